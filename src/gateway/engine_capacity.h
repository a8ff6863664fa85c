#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"
#include "grants/grant_types.h"

namespace comfreyspring::gateway {

/** Above this load a request has to wait for a batch slot. */
inline constexpr double kFullLoad = 0.95;

/** Tokens of a request. */
struct answer_size {
  std::int64_t prompt_tokens = 0;
  /** 0 if unknown. */
  std::int64_t output_tokens = 0;
};

/**
 * Speeds of the engines of a service, relative to the median of those whose
 * token time is known.
 *
 * Speeds whose token time is within a factor of 1.6 of the median are 1, and so
 * are unknown ones, and all while more than half of them are unknown. The
 * others are rounded to multiples of one half (below 1: to the reciprocals of
 * such multiples), so that measurement noise does not move adapters to other
 * engines, and limited to 0.4 to 2.5.
 * @param token_times per engine; 0 if unknown.
 */
std::vector<double> RelativeSpeeds(
    const std::vector<core::microseconds>& token_times);

/** Returns true if an answer that takes this long on average may be in time. */
bool MayFinish(core::milliseconds expected, core::milliseconds due_in);

/**
 * What one engine can take on, given its status and its relative speed.
 *
 * Load pattern that it handles: engines of one service that differ in speed by
 * a factor of two or more, with answers of very different length. Slow engines
 * fill up while fast ones have room, and long answers on slow engines miss
 * their deadline.
 */
class engine_capacity {
 public:
  /**
   * @param status must outlive this object.
   * @param more grant requests sent to the engine since the status report.
   */
  engine_capacity(const grants::engine_status& status, std::size_t batch_slots,
                  std::size_t more, double relative_speed);

  double RelativeSpeed() const { return speed_; }
  /**
   * Load by which engines of different speed are compared: the share of the
   * batch that is taken divided by the speed, plus waits, which are times
   * already. An engine with free slots is at most at `kFullLoad` for its batch,
   * a full one is above it at any speed.
   */
  double Load() const;
  /**
   * Converts a bound on `Load()` into one on `grants::LoadOf`, which is what
   * the engine's sidecar compares.
   */
  double SidecarBound(double bound) const;
  /**
   * Time to the end of the answer if it is sent there now, without a load of
   * its adapter; nothing if the token time or the length is unknown. The queue
   * is taken to consist of answers of the same length.
   */
  std::optional<core::milliseconds> FinishIn(const answer_size& size) const;
  /** The same on an engine with a free slot and no prompts ahead. */
  std::optional<core::milliseconds> ShortestFinishIn(
      const answer_size& size) const;

 private:
  double BatchLoad() const;

  const grants::engine_status& status_;
  double slots_;
  std::size_t more_;
  double speed_;
};

/**
 * Score of weighted rendezvous hashing: the engine with the highest score is
 * the home of a key, and an engine is home to a share of the keys in proportion
 * to its relative speed.
 * @param weight rendezvous weight of the engine for the key.
 */
double HomeScore(std::uint64_t weight, double relative_speed);

}  // namespace comfreyspring::gateway

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "adapters/decayed_value.h"
#include "admission/request_queue.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/** Number of running attempts of each work class. */
struct running_counts {
  std::size_t urgent_short = 0;
  std::size_t urgent_long = 0;
  std::size_t may_wait_short = 0;
  std::size_t may_wait_long = 0;

  std::size_t Long() const { return urgent_long + may_wait_long; }
  std::size_t MayWait() const { return may_wait_short + may_wait_long; }
  std::size_t Urgent() const { return urgent_short + urgent_long; }
  std::size_t Total() const { return Urgent() + MayWait(); }
};

/**
 * Limits on the batch slots of long work and of `may_wait` work. Long work gets
 * at most half of the batch while there is demand for short work, `may_wait`
 * work leaves a quarter of it free while there is urgent demand, and otherwise
 * both may use the whole batch. Demand counts for a few seconds after the last
 * submission, because an attempt that has started keeps its batch slot.
 */
class batch_shares {
 public:
  // Demand.

  /** @param expected time that the work will hold a batch slot. */
  void OnSubmitted(work_class value, core::milliseconds expected,
                   core::time_point now);
  /**
   * @param below_may_wait_floor `may_wait` work is queued and holds fewer batch
   *     slots than MayWaitFloor.
   */
  void OnDispatched(work_class value, core::token_count tokens,
                    bool below_may_wait_floor);

  // Shares.

  bool ShortDemandIsRecent(core::time_point now) const;
  bool UrgentDemandIsRecent(core::time_point now) const;
  /** Batch slots that long work may hold now. */
  std::size_t LongLimit(std::size_t batch_limit, core::time_point now) const;
  /**
   * As LongLimit, but for long work that cannot be preempted: keeps a reserve
   * for short urgent work.
   */
  std::size_t NonPreemptibleLongLimit(std::size_t batch_limit,
                                      core::time_point now) const;
  /** As LongLimit, but for preemptible long work: keeps a smaller reserve. */
  std::size_t PreemptibleLongLimit(std::size_t batch_limit,
                                   core::time_point now) const;
  /** Adapter slots that long work may pin now. */
  std::size_t LongSlotLimit(std::size_t slots, core::time_point now) const;
  /** Batch slots that `may_wait` work may hold now. */
  std::size_t MayWaitLimit(std::size_t batch_limit, core::time_point now) const;
  /** Minimum mean number of batch slots of `may_wait` work, at least 1. */
  static std::size_t MayWaitFloor(std::size_t batch_limit);
  /** True if the accumulated credit covers `may_wait` work of this size. */
  bool HasMayWaitCredit(core::token_count tokens) const;

 private:
  /** Averages out random variation of the arrivals. */
  static constexpr core::milliseconds kSteadyHalfLife{30'000};
  /** Follows a change of the load. */
  static constexpr core::milliseconds kRecentHalfLife{5'000};

  /** Mean number of batch slots that short urgent work needs. */
  double ShortUrgentConcurrency(const adapters::decayed_value& sum,
                                core::milliseconds half_life,
                                core::time_point now) const;

  bool seen_short_ = false;
  bool seen_urgent_ = false;
  core::time_point last_short_;
  core::time_point last_urgent_;
  /** Expected batch slot time of short urgent work, in milliseconds. */
  adapters::decayed_value steady_short_urgent_ms_{kSteadyHalfLife};
  adapters::decayed_value recent_short_urgent_ms_{kRecentHalfLife};
  std::optional<core::time_point> first_short_urgent_;
  /** Tokens of `may_wait` work that may be dispatched before urgent work. */
  double may_wait_credit_ = 0.0;
};

}  // namespace comfreyspring::admission

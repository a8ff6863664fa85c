#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "adapters/decayed_value.h"
#include "admission/request_queue.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/** Attempts that the endpoint runs, by kind. */
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
 * Shares of the batch. Long work holds at most half while there is short work,
 * `may_wait` keeps out of the last quarter while there is urgent demand, and
 * both may use the whole batch otherwise. Demand counts for a few seconds
 * after it was seen, because work that has started cannot give its place back.
 */
class batch_shares {
 public:
  // Demand.

  /** `expected` is the time that the work will hold a place. */
  void OnSubmitted(lane value, core::milliseconds expected,
                   core::time_point now);
  /** `short_of_share`: `may_wait` work waits and runs less than its floor. */
  void OnDispatched(lane value, core::token_count tokens, bool short_of_share);

  // Shares.

  bool ShortDemandIsRecent(core::time_point now) const;
  bool UrgentDemandIsRecent(core::time_point now) const;
  /** Places that long work may hold now. */
  std::size_t LongLimit(std::size_t batch_limit, core::time_point now) const;
  /** Places that long work may hold that cannot be preempted. */
  std::size_t FirmLongLimit(std::size_t batch_limit,
                            core::time_point now) const;
  /** Places that long work may hold that can be preempted. */
  std::size_t SoftLongLimit(std::size_t batch_limit,
                            core::time_point now) const;
  /** Adapter slots that long work may pin now. */
  std::size_t LongSlotLimit(std::size_t slots, core::time_point now) const;
  /** Places that `may_wait` work may hold now. */
  std::size_t MayWaitLimit(std::size_t batch_limit, core::time_point now) const;
  /** Places of a batch that `may_wait` work gets over time, at least 1. */
  static std::size_t MayWaitFloor(std::size_t batch_limit);
  /** `may_wait` work of this size has its minimum share coming to it. */
  bool MayWaitIsDue(core::token_count tokens) const;

 private:
  /** Smooths out chance. */
  static constexpr core::milliseconds kSteadyHalfLife{30'000};
  /** Follows a load swing. */
  static constexpr core::milliseconds kRecentHalfLife{5'000};

  /** Mean number of places that short urgent work needs. */
  double ShortUrgentPlaces(const adapters::decayed_value& sum,
                           core::milliseconds half_life,
                           core::time_point now) const;

  bool seen_short_ = false;
  bool seen_urgent_ = false;
  core::time_point last_short_;
  core::time_point last_urgent_;
  /** Place time of short urgent work, milliseconds. */
  adapters::decayed_value steady_short_urgent_ms_{kSteadyHalfLife};
  adapters::decayed_value recent_short_urgent_ms_{kRecentHalfLife};
  std::optional<core::time_point> first_short_urgent_;
  /** Tokens that `may_wait` work may run ahead of urgent work. */
  double may_wait_credit_ = 0.0;
};

}  // namespace comfreyspring::admission

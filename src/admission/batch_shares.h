#pragma once

#include <cstddef>
#include <cstdint>

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

  void OnSubmitted(lane value, core::time_point now);
  /** Work was dispatched while `may_wait` work waited or not. */
  void OnDispatched(lane value, core::token_count tokens, bool may_wait_waits);

  // Shares.

  bool ShortDemandIsRecent(core::time_point now) const;
  bool UrgentDemandIsRecent(core::time_point now) const;
  /** Places that long work may hold now. */
  std::size_t LongLimit(std::size_t batch_limit, core::time_point now) const;
  /** Places that `may_wait` work may hold now. */
  std::size_t MayWaitLimit(std::size_t batch_limit, core::time_point now) const;
  /** `may_wait` work of this size has its minimum share coming to it. */
  bool MayWaitIsDue(core::token_count tokens) const;

 private:
  bool seen_short_ = false;
  bool seen_urgent_ = false;
  core::time_point last_short_;
  core::time_point last_urgent_;
  /** Tokens that `may_wait` work may run ahead of urgent work. */
  double may_wait_credit_ = 0.0;
};

}  // namespace comfreyspring::admission

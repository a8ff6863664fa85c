#pragma once

#include <cstdint>

#include "core/time.h"

namespace comfreyspring::quotas {

/**
 * Token bucket that counts units against a rate and a burst.
 *
 * An amount beyond the burst can be taken from a full bucket, which is then in
 * debt: otherwise a request that is larger than the burst could never run. The
 * debt is bounded, because it counts against the platform's tolerance.
 */
class quota_bucket {
 public:
  /**
   * A bucket holds at least the rate times this. Covers the time between two
   * ticks of a slow process, which would otherwise lose what comes in between.
   */
  static constexpr double kMinimumSeconds = 0.1;

  /** Share of a full bucket that is kept for minimums. */
  static constexpr double kReserve = 0.25;
  /** Largest debt: the rate times this, but not less than the minimum ... */
  static constexpr double kDebtSeconds = 1.0;
  /** ... of about half of the amount that the platform tolerates besides. */
  static constexpr double kMinimumDebt = 8192.0;

  /** Keeps the tokens, as far as they fit. */
  void SetLimit(double rate, double burst, core::time_point now);
  /** Sets the tokens of a bucket that has just been created. */
  void Fill(double tokens) { tokens_ = tokens; }

  /**
   * Takes at least `minimum` and at most `wanted`; beyond the minimum only what
   * exceeds the reserve.
   * @returns the amount taken; 0 if it has fewer tokens than the minimum.
   */
  std::int64_t Take(std::int64_t minimum, std::int64_t wanted,
                    core::time_point now);
  double Capacity() const { return capacity_; }
  double Available(core::time_point now) const;
  /** An amount that can be taken at some time. */
  bool CanEverTake(std::int64_t amount) const;
  /** Time until there are that many tokens; rounded up. */
  core::milliseconds TimeUntil(double amount, core::time_point now) const;

 private:
  double rate_ = 0.0;
  /** Tokens of a full bucket. */
  double capacity_ = 0.0;
  double tokens_ = 0.0;
  core::time_point refilled_at_;
};

}  // namespace comfreyspring::quotas

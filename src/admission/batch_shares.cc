#include "admission/batch_shares.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::admission {
namespace {

constexpr core::milliseconds kRecentDemandWindow{3'000};
/**
 * Margin kept free for short urgent work in addition to its mean, in standard
 * deviations of a Poisson distribution. Long work that can be preempted needs a
 * smaller margin.
 */
constexpr double kNonPreemptibleDeviations = 3.0;
constexpr double kPreemptibleDeviations = 2.0;
constexpr double kNegligibleConcurrency = 0.02;
/** Minimum share of the batch that `may_wait` work gets over time. */
constexpr double kMayWaitShare = 0.05;
/** Tokens; bounds the burst of `may_wait` work that unused credit allows. */
constexpr double kMaximumCredit = 20'000.0;

/** Batch slots left after `concurrency` and a margin are reserved. */
std::size_t LimitAfterReserve(double concurrency, std::size_t batch_limit,
                              double deviations) {
  if (concurrency < kNegligibleConcurrency) return batch_limit;
  const auto reserve = static_cast<std::size_t>(
      std::ceil(concurrency + deviations * std::sqrt(concurrency)));
  return batch_limit > reserve ? batch_limit - reserve : 1;
}

}  // namespace

void batch_shares::OnSubmitted(work_class value, core::milliseconds expected,
                               core::time_point now) {
  if (value == work_class::urgent_short) {
    if (!first_short_urgent_) first_short_urgent_ = now;
    steady_short_urgent_ms_.Add(static_cast<double>(expected.count()), now);
    recent_short_urgent_ms_.Add(static_cast<double>(expected.count()), now);
  }
  if (!IsLong(value)) {
    seen_short_ = true;
    last_short_ = now;
  }
  if (IsUrgent(value)) {
    seen_urgent_ = true;
    last_urgent_ = now;
  }
}

void batch_shares::OnDispatched(work_class value, core::token_count tokens,
                                bool below_may_wait_floor) {
  const auto amount = static_cast<double>(tokens.value);
  if (!IsUrgent(value)) {
    may_wait_credit_ = std::max(0.0, may_wait_credit_ - amount);
  } else if (below_may_wait_floor) {
    may_wait_credit_ =
        std::min(kMaximumCredit, may_wait_credit_ + amount * kMayWaitShare /
                                                        (1.0 - kMayWaitShare));
  } else {
    may_wait_credit_ = 0.0;
  }
}

bool batch_shares::ShortDemandIsRecent(core::time_point now) const {
  return seen_short_ && now - last_short_ < kRecentDemandWindow;
}

bool batch_shares::UrgentDemandIsRecent(core::time_point now) const {
  return seen_urgent_ && now - last_urgent_ < kRecentDemandWindow;
}

double batch_shares::ShortUrgentConcurrency(const adapters::decayed_value& sum,
                                            core::milliseconds half_life,
                                            core::time_point now) const {
  if (!first_short_urgent_) return 0.0;
  const auto seconds = [](core::microseconds time) {
    return static_cast<double>(core::ToMilliseconds(time).count()) / 1e3;
  };
  // Corrects for the time after the start, when the decayed sum does not yet
  // cover its whole window.
  const double elapsed = std::max(1.0, seconds(now - *first_short_urgent_));
  const double covered = 1.0 - std::exp2(-elapsed / seconds(half_life));
  return sum.PerSecond(now) / covered / 1e3;
}

std::size_t batch_shares::LongLimit(std::size_t batch_limit,
                                    core::time_point now) const {
  if (!ShortDemandIsRecent(now)) return batch_limit;
  return std::max<std::size_t>(1, batch_limit / 2);
}

std::size_t batch_shares::NonPreemptibleLongLimit(std::size_t batch_limit,
                                                  core::time_point now) const {
  const double concurrency =
      ShortUrgentConcurrency(steady_short_urgent_ms_, kSteadyHalfLife, now);
  return std::min(
      LongLimit(batch_limit, now),
      LimitAfterReserve(concurrency, batch_limit, kNonPreemptibleDeviations));
}

std::size_t batch_shares::PreemptibleLongLimit(std::size_t batch_limit,
                                               core::time_point now) const {
  // Follows a decrease of the load within seconds, because a wrong estimate
  // costs only a preemption. The recent value is doubled, so that random gaps
  // between arrivals are not taken for a decrease.
  const double concurrency = std::min(
      ShortUrgentConcurrency(steady_short_urgent_ms_, kSteadyHalfLife, now),
      2.0 * ShortUrgentConcurrency(recent_short_urgent_ms_, kRecentHalfLife,
                                   now));
  return std::min(
      LongLimit(batch_limit, now),
      LimitAfterReserve(concurrency, batch_limit, kPreemptibleDeviations));
}

std::size_t batch_shares::LongSlotLimit(std::size_t slots,
                                        core::time_point now) const {
  // The same share as of the batch: an adapter slot that long work pins serves
  // no other adapter until that work ends.
  if (!ShortDemandIsRecent(now)) return slots;
  return std::max<std::size_t>(1, slots / 2);
}

std::size_t batch_shares::MayWaitLimit(std::size_t batch_limit,
                                       core::time_point now) const {
  if (!UrgentDemandIsRecent(now)) return batch_limit;
  const std::size_t reserve = (batch_limit + 3) / 4;
  return std::max<std::size_t>(1, batch_limit - reserve);
}

std::size_t batch_shares::MayWaitFloor(std::size_t batch_limit) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(
             std::lround(kMayWaitShare * static_cast<double>(batch_limit))));
}

bool batch_shares::HasMayWaitCredit(core::token_count tokens) const {
  return may_wait_credit_ >=
         std::min(static_cast<double>(tokens.value), kMaximumCredit);
}

}  // namespace comfreyspring::admission

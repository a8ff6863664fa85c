#include "admission/batch_shares.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::admission {
namespace {

constexpr core::milliseconds kRecent{3'000};
/**
 * Standard deviations (Poisson) of short urgent work kept free beside its mean.
 * Long work that can be preempted needs a smaller margin.
 */
constexpr double kFirmDeviations = 3.0;
constexpr double kSoftDeviations = 2.0;
constexpr double kNegligiblePlaces = 0.02;
/** Share of the batch that `may_wait` work gets over time, at least. */
constexpr double kMayWaitShare = 0.05;
/** Unused credit does not grow into a later burst of deferrable work. */
constexpr double kMaximumCredit = 20'000.0;

/** Places left when this demand keeps its mean and a margin. */
std::size_t Beside(double places, std::size_t batch_limit, double deviations) {
  if (places < kNegligiblePlaces) return batch_limit;
  const auto reserve = static_cast<std::size_t>(
      std::ceil(places + deviations * std::sqrt(places)));
  return batch_limit > reserve ? batch_limit - reserve : 1;
}

}  // namespace

void batch_shares::OnSubmitted(lane value, core::milliseconds expected,
                               core::time_point now) {
  if (value == lane::urgent_short) {
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

void batch_shares::OnDispatched(lane value, core::token_count tokens,
                                bool short_of_share) {
  const auto amount = static_cast<double>(tokens.value);
  if (!IsUrgent(value)) {
    may_wait_credit_ = std::max(0.0, may_wait_credit_ - amount);
  } else if (short_of_share) {
    may_wait_credit_ =
        std::min(kMaximumCredit, may_wait_credit_ + amount * kMayWaitShare /
                                                        (1.0 - kMayWaitShare));
  } else {
    may_wait_credit_ = 0.0;
  }
}

bool batch_shares::ShortDemandIsRecent(core::time_point now) const {
  return seen_short_ && now - last_short_ < kRecent;
}

bool batch_shares::UrgentDemandIsRecent(core::time_point now) const {
  return seen_urgent_ && now - last_urgent_ < kRecent;
}

double batch_shares::ShortUrgentPlaces(const adapters::decayed_value& sum,
                                       core::milliseconds half_life,
                                       core::time_point now) const {
  if (!first_short_urgent_) return 0.0;
  const auto seconds = [](core::microseconds time) {
    return static_cast<double>(core::ToMilliseconds(time).count()) / 1e3;
  };
  // The sum covers less than its half-life in the beginning.
  const double elapsed = std::max(1.0, seconds(now - *first_short_urgent_));
  const double covered = 1.0 - std::exp2(-elapsed / seconds(half_life));
  return sum.PerSecond(now) / covered / 1e3;
}

std::size_t batch_shares::LongLimit(std::size_t batch_limit,
                                    core::time_point now) const {
  if (!ShortDemandIsRecent(now)) return batch_limit;
  return std::max<std::size_t>(1, batch_limit / 2);
}

std::size_t batch_shares::FirmLongLimit(std::size_t batch_limit,
                                        core::time_point now) const {
  const double places =
      ShortUrgentPlaces(steady_short_urgent_ms_, kSteadyHalfLife, now);
  return std::min(LongLimit(batch_limit, now),
                  Beside(places, batch_limit, kFirmDeviations));
}

std::size_t batch_shares::SoftLongLimit(std::size_t batch_limit,
                                        core::time_point now) const {
  // Follows a swing down within seconds, because a wrong guess costs only a
  // preemption; doubled, so that chance gaps do not look like a swing.
  const double places = std::min(
      ShortUrgentPlaces(steady_short_urgent_ms_, kSteadyHalfLife, now),
      2.0 * ShortUrgentPlaces(recent_short_urgent_ms_, kRecentHalfLife, now));
  return std::min(LongLimit(batch_limit, now),
                  Beside(places, batch_limit, kSoftDeviations));
}

std::size_t batch_shares::LongSlotLimit(std::size_t slots,
                                        core::time_point now) const {
  // The same share of the slots as of the batch: a slot that long work pins
  // serves no other adapter for as long as it runs.
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

bool batch_shares::MayWaitIsDue(core::token_count tokens) const {
  return may_wait_credit_ >=
         std::min(static_cast<double>(tokens.value), kMaximumCredit);
}

}  // namespace comfreyspring::admission

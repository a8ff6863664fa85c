#include "quotas/quota_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreyspring::quotas {
namespace {

/** Tolerance for sums of fractions. */
constexpr double kRoundingError = 1e-6;
/** Longest wait that is reported. */
constexpr double kMaximumWaitMs = 1e7;

}  // namespace

double quota_bucket::Available(core::time_point now) const {
  const double passed =
      std::max(0.0, std::chrono::duration<double>(now - refilled_at_).count());
  return std::min(capacity_, tokens_ + passed * rate_);
}

void quota_bucket::SetLimit(double rate, double burst, core::time_point now) {
  // The time before the first limit fills nothing.
  const double tokens = Available(now);
  rate_ = rate;
  capacity_ = std::max(burst, rate * kMinimumSeconds);
  tokens_ = std::min(tokens, capacity_);
  refilled_at_ = std::max(refilled_at_, now);
}

std::int64_t quota_bucket::Take(std::int64_t minimum, std::int64_t wanted,
                                core::time_point now) {
  if (!CanEverTake(minimum)) return 0;
  const double available = Available(now) + kRoundingError;
  if (available < std::min(static_cast<double>(minimum), capacity_)) return 0;
  const auto spare =
      static_cast<std::int64_t>(std::floor(available - kReserve * capacity_));
  const auto taken = std::clamp(spare, minimum, std::max(minimum, wanted));
  tokens_ = Available(now) - static_cast<double>(taken);
  refilled_at_ = std::max(refilled_at_, now);
  return taken;
}

bool quota_bucket::CanEverTake(std::int64_t amount) const {
  return static_cast<double>(amount) <=
         capacity_ + std::max(rate_ * kDebtSeconds, kMinimumDebt);
}

core::milliseconds quota_bucket::TimeUntil(double amount,
                                           core::time_point now) const {
  const double missing = amount - kRoundingError - Available(now);
  if (missing <= 0.0) return core::milliseconds(0);
  const double wait_ms = rate_ > 0.0 ? missing / rate_ * 1e3 : kMaximumWaitMs;
  return core::milliseconds(
      std::llround(std::ceil(std::min(wait_ms, kMaximumWaitMs))));
}

}  // namespace comfreyspring::quotas

#include "limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::limits {
namespace {

/**
 * Time for which unused tokens of a fast rate are kept. Covers the interval
 * between two turns of the scheduler, also on a slow VM.
 */
constexpr double kRetentionSeconds = 0.25;
/** Tolerance for sums of fractions. */
constexpr double kRoundingError = 1e-6;

double Seconds(core::time_point::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double token_bucket::Capacity() const {
  return burst_ + rate_.PerSecond() * kRetentionSeconds;
}

double token_bucket::Available(core::time_point now) const {
  const double passed = std::max(0.0, Seconds(now - refilled_at_));
  return std::min(Capacity(), tokens_ + passed * rate_.PerSecond());
}

void token_bucket::Refill(core::time_point now) {
  tokens_ = Available(now);
  refilled_at_ = std::max(refilled_at_, now);
}

void token_bucket::SetRate(request_rate rate, core::time_point now) {
  Refill(now);
  rate_ = rate;
  tokens_ = std::min(tokens_, Capacity());
}

bool token_bucket::TryTake(core::time_point now) {
  Refill(now);
  if (tokens_ < 1.0 - kRoundingError) return false;
  tokens_ = std::max(0.0, tokens_ - 1.0);
  return true;
}

void token_bucket::Return(core::time_point now) {
  Refill(now);
  tokens_ = std::min(tokens_ + 1.0, Capacity());
}

core::milliseconds token_bucket::TimeUntil(double count,
                                           core::time_point now) const {
  const double missing = count - kRoundingError - Available(now);
  if (missing <= 0.0) return core::milliseconds(0);
  const double wait_ms = missing / rate_.PerSecond() * 1e3;
  if (!(wait_ms < static_cast<double>(kMaximumWait.count()))) {
    return kMaximumWait;
  }
  return core::milliseconds(std::llround(std::ceil(wait_ms)));
}

}  // namespace comfreyspring::limits

#include "grants/prompt_pacer.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::grants {
namespace {

/** Prompts may take this part of a pause between events to read. */
constexpr double kPrefillShareOfGap = 0.2;
/** Hold after a sign of a long pause, as a share of the pause that counts. */
constexpr double kHoldShareOfGap = 0.4;
/** Weight that a sample keeps when the next one arrives. */
constexpr double kSampleDecay = 0.98;
constexpr double kMinimumSamples = 8.0;
/** Bounds of the measured rate, tokens a millisecond. */
constexpr double kMinimumRate = 4.0;
constexpr double kMaximumRate = 200.0;
/** A start that took longer was held up by something else. */
constexpr core::milliseconds kMaximumSample{1500};

}  // namespace

prompt_pacer::prompt_pacer(double initial_rate) : rate_(initial_rate) {}

void prompt_pacer::OnStreamsStalled(core::time_point now) {
  held_until_ =
      now +
      core::milliseconds(std::llround(
          kHoldShareOfGap * static_cast<double>(event_gap_target_.count())));
}

bool prompt_pacer::HasRoom(std::int64_t pending, std::int64_t tokens) const {
  const double limit = rate_ * kPrefillShareOfGap *
                       static_cast<double>(event_gap_target_.count());
  return pending == 0 || static_cast<double>(pending + tokens) <= limit;
}

void prompt_pacer::OnFirstOutput(std::int64_t tokens, core::milliseconds took) {
  if (tokens <= 0 || took > kMaximumSample) return;
  const auto x = static_cast<double>(tokens);
  const auto y = static_cast<double>(took.count());
  for (double* sum :
       {&count_, &tokens_, &times_, &tokens_squared_, &tokens_times_}) {
    *sum *= kSampleDecay;
  }
  count_ += 1.0;
  tokens_ += x;
  times_ += y;
  tokens_squared_ += x * x;
  tokens_times_ += x * y;
  if (count_ < kMinimumSamples) return;
  const double spread = count_ * tokens_squared_ - tokens_ * tokens_;
  // Prompts of nearly the same length say nothing of the slope.
  if (spread < 0.05 * tokens_ * tokens_) return;
  const double slope = (count_ * tokens_times_ - tokens_ * times_) / spread;
  rate_ = slope <= 1.0 / kMaximumRate
              ? kMaximumRate
              : std::clamp(1.0 / slope, kMinimumRate, kMaximumRate);
}

core::milliseconds prompt_pacer::PrefillTime(std::int64_t tokens) const {
  return core::milliseconds(std::llround(static_cast<double>(tokens) / rate_));
}

}  // namespace comfreyspring::grants

#include "grants/prompt_pacer.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::grants {
namespace {

/**
 * Share of the event-gap target that the prefill of pending prompts may take.
 */
constexpr double kPrefillShareOfGap = 0.2;
/**
 * Time for which prompts are held after a stall, as a share of the event-gap
 * target.
 */
constexpr double kHoldShareOfGap = 0.4;
/** Factor applied to the previous samples when a new one is added. */
constexpr double kSampleDecay = 0.98;
constexpr double kMinimumSamples = 8.0;
/** Bounds of the estimated rate, in tokens per millisecond. */
constexpr double kMinimumRate = 4.0;
constexpr double kMaximumRate = 200.0;
/** Longer times to first output have another cause than prefill. */
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
  // Prompts of nearly equal length do not determine the slope.
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

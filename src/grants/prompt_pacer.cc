#include "grants/prompt_pacer.h"

#include <algorithm>
#include <cmath>

namespace comfreyspring::grants {
namespace {

/**
 * Share of the engine's time that reading takes at least and at most. The low
 * share leaves room in a pause between events for an engine that is slowed for
 * moments; the high one still leaves time for the tokens of running streams.
 */
constexpr double kLowestShare = 0.3;
constexpr double kHighestShare = 0.75;
/** The prompts that wait shall be read within this time. */
constexpr double kBacklogTargetMs = 250.0;
/** Reading that may come at once, as a share of the pause between events. */
constexpr double kBurstShareOfGap = 0.05;
/** Hold after a sign of a long pause, as a share of the pause that counts. */
constexpr double kHoldShareOfGap = 0.4;
/** Weight that a sample keeps when the next one arrives. */
constexpr double kSampleMemory = 0.98;
constexpr double kFewestSamples = 8.0;
/** Bounds of the measured rate, tokens a millisecond. */
constexpr double kLowestRate = 4.0;
constexpr double kHighestRate = 200.0;
/** A start that took longer was held up by something else. */
constexpr core::milliseconds kLongestSample{1500};

}  // namespace

prompt_pacer::prompt_pacer(double initial_rate)
    : rate_(initial_rate), share_(kLowestShare) {}

void prompt_pacer::SetBacklog(std::int64_t tokens, core::time_point now) {
  credit_ = Credit(now);
  credited_at_ = now;
  const double reading_ms = static_cast<double>(tokens) / rate_;
  share_ =
      std::clamp(reading_ms / kBacklogTargetMs, kLowestShare, kHighestShare);
}

double prompt_pacer::Credit(core::time_point now) const {
  const double elapsed_ms = std::max(
      0.0,
      std::chrono::duration<double, std::milli>(now - credited_at_).count());
  const double most =
      rate_ * kBurstShareOfGap * static_cast<double>(event_gap_.count());
  return std::min(most, credit_ + elapsed_ms * rate_ * share_);
}

void prompt_pacer::OnPause(core::time_point now) {
  held_until_ =
      now + core::milliseconds(std::llround(
                kHoldShareOfGap * static_cast<double>(event_gap_.count())));
}

bool prompt_pacer::IsOpen(core::time_point now) const {
  return Credit(now) >= 0.0;
}

void prompt_pacer::OnGranted(std::int64_t tokens, core::time_point now) {
  credit_ = Credit(now) - static_cast<double>(tokens);
  credited_at_ = now;
}

void prompt_pacer::OnFirstOutput(std::int64_t tokens, core::milliseconds took) {
  if (tokens <= 0 || took > kLongestSample) return;
  const auto x = static_cast<double>(tokens);
  const auto y = static_cast<double>(took.count());
  for (double* sum :
       {&count_, &tokens_, &times_, &tokens_squared_, &tokens_times_}) {
    *sum *= kSampleMemory;
  }
  count_ += 1.0;
  tokens_ += x;
  times_ += y;
  tokens_squared_ += x * x;
  tokens_times_ += x * y;
  if (count_ < kFewestSamples) return;
  const double spread = count_ * tokens_squared_ - tokens_ * tokens_;
  // Prompts of nearly the same length say nothing of the slope.
  if (spread < 0.05 * tokens_ * tokens_) return;
  const double slope = (count_ * tokens_times_ - tokens_ * times_) / spread;
  rate_ = slope <= 1.0 / kHighestRate
              ? kHighestRate
              : std::clamp(1.0 / slope, kLowestRate, kHighestRate);
}

core::milliseconds prompt_pacer::TimeFor(std::int64_t tokens,
                                         core::time_point now) const {
  const double missing = static_cast<double>(tokens) - Credit(now);
  if (missing <= 0.0) return core::milliseconds(0);
  return core::milliseconds(std::llround(missing / (rate_ * kHighestShare)));
}

}  // namespace comfreyspring::grants

#include "admission/work_estimator.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace comfreyspring::admission {
namespace {

constexpr std::size_t kMedianWindow = 101;
/** Number of samples below which no work counts as long. */
constexpr std::size_t kMinimumSamples = 5;
constexpr double kSmoothing = 0.1;
constexpr double kMinimumRatio = 0.02;
constexpr std::size_t kMaximumAdapters = 8192;

void Smooth(double& value, double sample, bool first) {
  value = first ? sample : value + kSmoothing * (sample - value);
}

double Milliseconds(core::milliseconds time) {
  return static_cast<double>(time.count());
}

}  // namespace

void work_estimator::OnSubmitted(core::token_count estimate) {
  if (recent_.size() < kMedianWindow) {
    recent_.push_back(estimate.value);
  } else {
    recent_[next_recent_] = estimate.value;
    next_recent_ = (next_recent_ + 1) % kMedianWindow;
  }
  std::vector<std::int64_t> sorted = recent_;
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  median_.value = *middle;
}

void work_estimator::OnFirstOutput(core::milliseconds after) {
  Smooth(first_output_ms_, Milliseconds(after), first_output_ms_ == 0.0);
}

void work_estimator::OnEnded(const core::adapter_reference& adapter,
                             core::token_count expected,
                             core::token_count produced) {
  if (expected.value <= 0 || produced.value <= 0) return;
  const double ratio = std::clamp(
      static_cast<double>(produced.value) / static_cast<double>(expected.value),
      kMinimumRatio, 1.0);
  if (produced_ratio_.size() >= kMaximumAdapters) produced_ratio_.clear();
  const auto [entry, first] = produced_ratio_.try_emplace(adapter, ratio);
  if (!first) Smooth(entry->second, ratio, false);
}

void work_estimator::OnGenerated(core::token_count tokens,
                                 core::milliseconds took) {
  if (tokens.value <= 1) {
    // Counts as one unit: a service call or a response of a single token.
    Smooth(token_ms_, Milliseconds(took), !has_samples_);
  } else {
    Smooth(token_ms_, Milliseconds(took) / static_cast<double>(tokens.value),
           !has_samples_);
  }
  has_samples_ = true;
}

core::token_count work_estimator::Estimate(
    const core::adapter_reference& adapter, core::token_count expected) const {
  const auto found = produced_ratio_.find(adapter);
  const double ratio = found == produced_ratio_.end() ? 1.0 : found->second;
  const double tokens = ratio * static_cast<double>(expected.value);
  return {std::max<std::int64_t>(1, std::llround(tokens))};
}

core::milliseconds work_estimator::ServiceTime(core::token_count tokens) const {
  return ServiceTime(1, tokens.value);
}

core::milliseconds work_estimator::ServiceTime(std::size_t count,
                                               std::int64_t tokens) const {
  const double time = static_cast<double>(count) * first_output_ms_ +
                      static_cast<double>(tokens) * token_ms_;
  return core::milliseconds(std::llround(time));
}

bool work_estimator::IsLong(core::token_count tokens) const {
  return recent_.size() >= kMinimumSamples &&
         tokens.value > kLongFactor * median_.value;
}

}  // namespace comfreyspring::admission

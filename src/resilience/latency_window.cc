#include "resilience/latency_window.h"

#include <algorithm>
#include <cassert>

namespace comfreyspring::resilience {
namespace {

// Samples between updates. Selecting a quantile of 256 samples for every
// response would cost more than the rest of the bookkeeping.
constexpr std::size_t kUpdateInterval = 8;

}  // namespace

latency_window::latency_window(std::size_t capacity, std::size_t minimum,
                               double quantile)
    : capacity_(capacity), minimum_(minimum), quantile_(quantile) {
  assert(capacity > 0 && minimum <= capacity);
  assert(quantile > 0.0 && quantile < 1.0);
}

void latency_window::Add(core::microseconds latency) {
  if (samples_.size() < capacity_) {
    samples_.push_back(latency);
  } else {
    samples_[next_] = latency;
    next_ = (next_ + 1) % capacity_;
  }
  ++since_update_;
  if (samples_.size() < minimum_) return;
  if (value_ && since_update_ < kUpdateInterval) return;
  since_update_ = 0;
  std::vector<core::microseconds> sorted = samples_;
  const auto position = static_cast<std::size_t>(
      quantile_ * static_cast<double>(sorted.size() - 1));
  const auto selected = sorted.begin() + static_cast<std::ptrdiff_t>(position);
  std::nth_element(sorted.begin(), selected, sorted.end());
  value_ = *selected;
}

}  // namespace comfreyspring::resilience

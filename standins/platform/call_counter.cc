#include "standins/platform/call_counter.h"

#include <algorithm>
#include <numeric>

namespace comfreyspring::standins {

void call_counter::Count(const std::string& kind, core::time_point now) {
  Advance(now);
  ++by_kind_[kind];
  ++current_second_count_;
  peak_second_count_ = std::max(peak_second_count_, current_second_count_);
}

void call_counter::OnWatchBegins(core::time_point now) {
  Advance(now);
  ++waiting_watches_;
}

void call_counter::OnWatchEnds(core::time_point now) {
  Advance(now);
  --waiting_watches_;
}

std::int64_t call_counter::Total() const {
  return std::accumulate(
      by_kind_.begin(), by_kind_.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& item) { return sum + item.second; });
}

void call_counter::Advance(core::time_point now) {
  const std::int64_t second =
      std::chrono::duration_cast<core::seconds>(now.time_since_epoch()).count();
  if (second == current_second_) return;
  current_second_ = second;
  current_second_count_ = waiting_watches_;
  peak_second_count_ = std::max(peak_second_count_, current_second_count_);
}

}  // namespace comfreyspring::standins

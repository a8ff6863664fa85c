#include "standins/platform/call_counter.h"

#include <algorithm>
#include <numeric>

namespace comfreyspring::standins {

void call_counter::Count(const std::string& kind, core::time_point now) {
  Advance(now);
  ++by_kind_[kind];
  ++in_second_;
  peak_ = std::max(peak_, in_second_);
}

void call_counter::OnWatchBegins(core::time_point now) {
  Advance(now);
  ++waiting_;
}

void call_counter::OnWatchEnds(core::time_point now) {
  Advance(now);
  --waiting_;
}

std::int64_t call_counter::Total() const {
  return std::accumulate(
      by_kind_.begin(), by_kind_.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& item) { return sum + item.second; });
}

void call_counter::Advance(core::time_point now) {
  const std::int64_t second =
      std::chrono::duration_cast<core::seconds>(now.time_since_epoch()).count();
  if (second == second_) return;
  second_ = second;
  in_second_ = waiting_;
  peak_ = std::max(peak_, in_second_);
}

}  // namespace comfreyspring::standins

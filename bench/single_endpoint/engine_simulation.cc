#include "bench/single_endpoint/engine_simulation.h"

#include <cmath>
#include <numeric>

namespace comfreyspring::bench {

void event_queue::At(std::int64_t time_us, std::function<void()> run) {
  events_.push({std::max(time_us, now_us_), next_++, std::move(run)});
}

void event_queue::RunUntil(std::int64_t end_us) {
  while (!events_.empty() && events_.top().time_us <= end_us) {
    const event next = events_.top();
    events_.pop();
    now_us_ = next.time_us;
    next.run();
  }
  now_us_ = end_us;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

double Mean(const std::vector<double>& values) {
  if (values.empty()) return 0.0;
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

}  // namespace comfreyspring::bench

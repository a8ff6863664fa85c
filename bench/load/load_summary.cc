#include "bench/load/load_summary.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace comfreyspring::bench {
namespace {

double Milliseconds(core::microseconds duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

void AddPercentiles(nlohmann::json& target, const std::string& name,
                    const std::vector<double>& values) {
  target[name + "_p50_ms"] = Percentile(values, 0.50);
  target[name + "_p95_ms"] = Percentile(values, 0.95);
  target[name + "_p99_ms"] = Percentile(values, 0.99);
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(share * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return values[std::min(index, values.size() - 1)];
}

void load_summary::Add(const request_sample& sample) {
  ++count_;
  if (!sample.succeeded) {
    ++errors_[sample.status];
    return;
  }
  first_byte_ms_.push_back(Milliseconds(sample.first_byte));
  total_ms_.push_back(Milliseconds(sample.total));
}

nlohmann::json load_summary::ToJson(core::microseconds elapsed) const {
  const double seconds = Milliseconds(elapsed) / 1000.0;
  nlohmann::json result = {{"requests", count_},
                           {"succeeded", total_ms_.size()},
                           {"errors_by_status", errors_},
                           {"elapsed_s", seconds}};
  result["throughput_requests_per_s"] =
      seconds > 0 ? static_cast<double>(total_ms_.size()) / seconds : 0.0;
  AddPercentiles(result, "first_byte", first_byte_ms_);
  AddPercentiles(result, "total", total_ms_);
  return result;
}

}  // namespace comfreyspring::bench

#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/time.h"

namespace comfreyspring::bench {

/** Result of one request of a load run. */
struct request_sample {
  /** HTTP status, or an error: `not_sent`, `broken`, `incomplete_stream`. */
  std::string status;
  bool succeeded = false;
  core::microseconds first_byte{0};
  core::microseconds total{0};
};

/** Collects samples and reports their percentiles. */
class load_summary {
 public:
  void Add(const request_sample& sample);
  std::size_t Count() const { return count_; }
  /** The latencies cover successful requests only. */
  nlohmann::json ToJson(core::microseconds elapsed) const;

 private:
  std::size_t count_ = 0;
  std::vector<double> first_byte_ms_;
  std::vector<double> total_ms_;
  std::map<std::string, std::size_t> errors_;
};

/** Nearest-rank percentile, `share` in [0, 1]; 0 if `values` is empty. */
double Percentile(std::vector<double> values, double share);

}  // namespace comfreyspring::bench

#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/time.h"

namespace comfreyspring::bench {

/** What one request of a load run has seen. */
struct request_sample {
  /** HTTP status, or why there is none: `not_sent`, `broken`. */
  std::string status;
  bool succeeded = false;
  core::microseconds first_byte{0};
  core::microseconds total{0};
};

/** Collects samples and renders their percentiles. */
class load_summary {
 public:
  void Add(const request_sample& sample);
  std::size_t Count() const { return count_; }
  /** Latencies are those of the requests that succeeded. */
  nlohmann::json ToJson(core::microseconds elapsed) const;

 private:
  std::size_t count_ = 0;
  std::vector<double> first_byte_ms_;
  std::vector<double> total_ms_;
  std::map<std::string, std::size_t> errors_;
};

/** Value below which a share of the values lies; 0 if there are none. */
double Percentile(std::vector<double> values, double share);

}  // namespace comfreyspring::bench

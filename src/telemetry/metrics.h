#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "core/time.h"

namespace comfreyspring::telemetry {

/**
 * Adds a label to the name of a metric. The value may be any text: it is
 * written as the text exposition format prescribes.
 */
std::string WithLabel(const std::string& name, const std::string& label,
                      const std::string& value);

/**
 * Registry of metrics. Names are in `snake_case`, include the unit and may have
 * labels in braces, such as `entry_requests_total{class="urgent"}`;
 * `WithLabel` makes those whose labels the program does not contain itself.
 */
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Recording.

  void Count(const std::string& name, std::uint64_t by = 1);
  void SetGauge(const std::string& name, double value);
  /** Adds an observation to a histogram, whose name must end in `_ms`. */
  void Observe(const std::string& name, double milliseconds);

  // Reading.

  /** All metrics in the Prometheus text exposition format. */
  std::string ToText() const;
  /** One member per metric; histograms have count, mean, p50, p95, p99. */
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/** Resident memory and CPU time of this process, for state dumps. */
struct process_usage {
  std::int64_t resident_bytes = 0;
  double processor_seconds = 0.0;
};
process_usage ReadProcessUsage();

}  // namespace comfreyspring::telemetry

#include "telemetry/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace comfreyspring::telemetry {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

/**
 * Upper bounds of the histogram buckets in ms. They range from one network hop
 * within a data centre to the longest timeout of a route.
 */
constexpr std::array<double, 14> kBuckets = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000};

using summary = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean,
                       acc::tag::extended_p_square>>;

struct histogram {
  summary values{acc::extended_p_square_probabilities = kQuantiles};
  /** Number of observations per bucket, not cumulative. */
  std::array<std::uint64_t, kBuckets.size()> buckets{};
};

/** Estimate of `kQuantiles[index]`. */
double QuantileOf(const summary& values, std::size_t index) {
  return acc::extended_p_square(values)[static_cast<std::ptrdiff_t>(index)];
}

std::string BaseName(const std::string& name) {
  return name.substr(0, name.find('{'));
}

std::string WithSuffix(const std::string& name, const std::string& suffix) {
  const std::size_t brace = name.find('{');
  if (brace == std::string::npos) return name + suffix;
  return name.substr(0, brace) + suffix + name.substr(brace);
}

}  // namespace

std::string WithLabel(const std::string& name, const std::string& label,
                      const std::string& value) {
  std::string result = name;
  if (result.back() == '}') {
    result.back() = ',';
  } else {
    result += '{';
  }
  result += label + "=\"";
  for (const char c : value) {
    if (c == '\\' || c == '"') result += '\\';
    if (c == '\n') {
      result += "\\n";
    } else {
      result += c;
    }
  }
  return result + "\"}";
}

struct metrics::impl {
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, histogram> histograms;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::Count(const std::string& name, std::uint64_t by) {
  impl_->counters[name] += by;
}

void metrics::SetGauge(const std::string& name, double value) {
  impl_->gauges[name] = value;
}

void metrics::Observe(const std::string& name, double milliseconds) {
  histogram& target = impl_->histograms[name];
  target.values(milliseconds);
  const auto bound =
      std::lower_bound(kBuckets.begin(), kBuckets.end(), milliseconds);
  if (bound == kBuckets.end()) return;
  ++target.buckets[static_cast<std::size_t>(bound - kBuckets.begin())];
}

std::string metrics::ToText() const {
  std::ostringstream text;
  std::string last_type;
  const auto write_type = [&](const std::string& name, const char* type) {
    const std::string base = BaseName(name);
    if (base == last_type) return;
    last_type = base;
    text << "# TYPE " << base << ' ' << type << '\n';
  };
  for (const auto& [name, value] : impl_->counters) {
    write_type(name, "counter");
    text << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : impl_->gauges) {
    write_type(name, "gauge");
    text << name << ' ' << value << '\n';
  }
  for (const auto& [name, observed] : impl_->histograms) {
    write_type(name, "histogram");
    const std::string bucket = WithSuffix(name, "_bucket");
    std::uint64_t up_to = 0;
    for (std::size_t i = 0; i < kBuckets.size(); ++i) {
      up_to += observed.buckets[i];
      std::ostringstream bound;
      bound << kBuckets[i];
      text << WithLabel(bucket, "le", bound.str()) << ' ' << up_to << '\n';
    }
    const auto count = acc::count(observed.values);
    text << WithLabel(bucket, "le", "+Inf") << ' ' << count << '\n';
    text << WithSuffix(name, "_sum") << ' ' << acc::sum(observed.values)
         << '\n';
    text << WithSuffix(name, "_count") << ' ' << count << '\n';
  }
  return text.str();
}

nlohmann::json metrics::ToJson() const {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [name, value] : impl_->counters) out[name] = value;
  for (const auto& [name, value] : impl_->gauges) out[name] = value;
  for (const auto& [name, observed] : impl_->histograms) {
    const summary& values = observed.values;
    out[name] = {{"count", acc::count(values)},
                 {"mean_ms", acc::mean(values)},
                 {"p50_ms", QuantileOf(values, 0)},
                 {"p95_ms", QuantileOf(values, 1)},
                 {"p99_ms", QuantileOf(values, 2)}};
  }
  return out;
}

process_usage ReadProcessUsage() {
  process_usage usage;
  std::ifstream statm("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    usage.resident_bytes = resident_pages * sysconf(_SC_PAGESIZE);
  }
  rusage times = {};
  if (getrusage(RUSAGE_SELF, &times) == 0) {
    const auto seconds_of = [](const timeval& value) {
      return static_cast<double>(value.tv_sec) +
             static_cast<double>(value.tv_usec) / 1e6;
    };
    usage.processor_seconds =
        seconds_of(times.ru_utime) + seconds_of(times.ru_stime);
  }
  return usage;
}

}  // namespace comfreyspring::telemetry

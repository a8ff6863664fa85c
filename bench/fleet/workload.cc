#include "bench/fleet/workload.h"

#include <algorithm>
#include <cmath>

#include "core/random_source.h"

namespace comfreyspring::bench {
namespace {

constexpr core::milliseconds kUrgentDeadline{6000};
constexpr core::milliseconds kMayWaitDeadline{120000};
constexpr std::int64_t kShortTokensRange = 160;
constexpr std::int64_t kShortMaxTokens = 300;
constexpr std::int64_t kLongMaxTokens = 4096;

std::vector<double> ZipfDistribution(int count, double exponent) {
  std::vector<double> cumulative;
  double sum = 0.0;
  for (int rank = 1; rank <= count; ++rank) {
    sum += std::pow(rank, -exponent);
    cumulative.push_back(sum);
  }
  for (double& value : cumulative) value /= sum;
  return cumulative;
}

class generator {
 public:
  explicit generator(const workload_options& options)
      : options_(options),
        random_(options.seed),
        zipf_(ZipfDistribution(options.adapters, options.zipf_exponent)) {}

  std::vector<job> Run() {
    double start = 0.0;
    for (const phase& part : options_.phases) {
      const double rate = part.urgent_per_second + part.may_wait_per_second;
      double time = start + NextInterarrivalSeconds(rate);
      while (rate > 0.0 && time < start + part.seconds) {
        const bool urgent = random_.NextUnit() < part.urgent_per_second / rate;
        jobs_.push_back(MakeJob(time, urgent));
        time += NextInterarrivalSeconds(rate);
      }
      start += part.seconds;
    }
    return std::move(jobs_);
  }

 private:
  double NextInterarrivalSeconds(double rate) {
    return -std::log(1.0 - random_.NextUnit()) / rate;
  }

  int AdapterAt(double time) {
    const double seconds_into_period =
        std::fmod(time, options_.burst_period_seconds);
    const auto period =
        static_cast<std::uint64_t>(time / options_.burst_period_seconds);
    if (seconds_into_period < options_.burst_seconds &&
        random_.NextUnit() < options_.burst_share) {
      core::random_source burst(options_.seed + 1000 + period);
      return static_cast<int>(burst.NextBelow(zipf_.size()));
    }
    const auto rank = static_cast<std::uint64_t>(
        std::lower_bound(zipf_.begin(), zipf_.end(), random_.NextUnit()) -
        zipf_.begin());
    const auto shift = static_cast<std::uint64_t>(
        time / std::max(options_.shift_seconds, 1e-3));
    // Each shift assigns on average one rank in four to another adapter.
    core::random_source moved(options_.seed + rank * 7919);
    std::uint64_t adapter = rank;
    for (std::uint64_t i = 0; i < shift; ++i) {
      if (moved.NextBelow(4) == 0) adapter = moved.NextBelow(zipf_.size());
    }
    return static_cast<int>(adapter);
  }

  job MakeJob(double time, bool urgent) {
    job result;
    result.at = core::microseconds(static_cast<std::int64_t>(time * 1e6));
    result.adapter = AdapterAt(time);
    result.entry = static_cast<int>(
        random_.NextBelow(static_cast<std::uint64_t>(options_.entries)));
    const bool is_long = !urgent && random_.NextUnit() < kLongShare;
    result.priority =
        urgent ? core::priority_class::urgent : core::priority_class::may_wait;
    result.tokens = is_long ? kLongTokens
                            : kShortTokens - kShortTokensRange / 2 +
                                  static_cast<std::int64_t>(
                                      random_.NextBelow(kShortTokensRange + 1));
    result.expected_tokens = is_long ? kLongMaxTokens : kShortMaxTokens;
    result.deadline = urgent ? kUrgentDeadline : kMayWaitDeadline;
    return result;
  }

  const workload_options& options_;
  core::random_source random_;
  std::vector<double> zipf_;
  std::vector<job> jobs_;
};

}  // namespace

std::vector<job> MakeWorkload(const workload_options& options) {
  return generator(options).Run();
}

}  // namespace comfreyspring::bench

/**
 * Compares the load stalls of one engine with few adapter slots between
 * eviction policies and queue orders. Adapter popularity follows a Zipf law;
 * the engine serves the share of adapters that rendezvous hashing would give
 * it. The seed is fixed.
 */
#include <gflags/gflags.h>

#include <cmath>
#include <cstdio>

#include "admission/basic_engine_scheduler.h"
#include "bench/single_endpoint/engine_simulation.h"
#include "core/hash.h"
#include "core/random_source.h"

DEFINE_uint64(seed, 20261204, "Seed of the workload.");
DEFINE_int32(duration_s, 600, "Simulated seconds.");
DEFINE_double(rate, 0.0, "Requests per second; 0 runs several rates.");
DEFINE_int32(adapters, 3000, "Adapters of the fleet.");
DEFINE_int32(engines, 12, "Engines that share the adapters.");
DEFINE_int32(slots, 8, "Adapter slots of the engine.");
DEFINE_double(zipf, 1.0, "Zipf exponent of the adapter popularity.");
DEFINE_int32(shift_s, 150, "Seconds between shifts of popularity; 0: none.");
DEFINE_double(background, 6.0,
              "Mean number of loads in flight on other engines.");

namespace comfreyspring::bench {
namespace {

/** Popularity of this engine's share of the adapters. */
class popularity {
 public:
  popularity() {
    double sum = 0.0;
    for (int rank = 1; rank <= FLAGS_adapters; ++rank) {
      const std::string name = "adapter-" + std::to_string(rank);
      const auto engines = static_cast<std::uint64_t>(FLAGS_engines);
      if (core::Hash64(name, FLAGS_seed) % engines != 0) continue;
      sum += std::pow(rank, -FLAGS_zipf);
      names_.push_back(name);
      cumulative_.push_back(sum);
    }
  }
  /** Draws an adapter; each `shift` gives some ranks to other adapters. */
  std::string Draw(core::random_source& random, std::size_t shift) const {
    const double drawn = random.NextUnit() * cumulative_.back();
    const auto found =
        std::upper_bound(cumulative_.begin(), cumulative_.end(), drawn);
    const auto rank =
        std::min(static_cast<std::size_t>(found - cumulative_.begin()),
                 names_.size() - 1);
    // A shift moves about a quarter of the ranks to other adapters.
    const bool moved = core::Hash64(names_[rank], shift) % 4 == 0;
    return names_[moved ? (rank + shift * 17) % names_.size() : rank];
  }
  std::size_t Size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::vector<double> cumulative_;
};

std::vector<arrival> MakeWorkload(double rate) {
  const popularity adapter_popularity;
  core::random_source random(FLAGS_seed);
  std::vector<arrival> arrivals;
  double at_s = 0.0;
  while (true) {
    at_s += -std::log(1.0 - random.NextUnit()) / rate;
    if (at_s >= FLAGS_duration_s) break;
    const std::size_t shift =
        FLAGS_shift_s > 0 ? static_cast<std::size_t>(at_s / FLAGS_shift_s) : 0;
    arrival result;
    result.at_us = static_cast<std::int64_t>(at_s * 1e6);
    result.work.attempt =
        core::attempt_id("r" + std::to_string(arrivals.size()));
    result.work.adapter = {
        core::adapter_id(adapter_popularity.Draw(random, shift)),
        core::version_id("1")};
    result.long_work = random.NextBelow(50) == 0;
    const std::uint64_t tokens = result.long_work
                                     ? 800 + random.NextBelow(1'200)
                                     : 20 + random.NextBelow(60);
    result.work.expected_tokens = {static_cast<std::int64_t>(tokens)};
    const bool may_wait = result.long_work || random.NextBelow(4) == 0;
    result.work.priority = may_wait ? core::priority_class::may_wait
                                    : core::priority_class::urgent;
    const core::seconds deadline(may_wait ? 600 : 10);
    result.work.deadline = core::time_point(core::microseconds(result.at_us) +
                                            core::seconds(100'000) + deadline);
    arrivals.push_back(std::move(result));
  }
  return arrivals;
}

/**
 * Misses of a cache that knows the future (evicts the adapter whose next use
 * is farthest away) when each request is over before the next one comes. No
 * policy that loads on demand has fewer, unless requests share a load.
 */
std::size_t ClairvoyantMisses(const std::vector<arrival>& arrivals) {
  std::map<core::adapter_reference, std::vector<std::size_t>> uses;
  for (std::size_t i = arrivals.size(); i-- > 0;) {
    uses[arrivals[i].work.adapter].push_back(i);
  }
  const auto next_use = [&](const core::adapter_reference& adapter) {
    const auto& left = uses[adapter];
    return left.empty() ? arrivals.size() : left.back();
  };
  std::vector<core::adapter_reference> cached;
  std::size_t misses = 0;
  for (const arrival& request : arrivals) {
    const core::adapter_reference& adapter = request.work.adapter;
    uses[adapter].pop_back();
    if (std::find(cached.begin(), cached.end(), adapter) != cached.end())
      continue;
    ++misses;
    if (cached.size() == static_cast<std::size_t>(FLAGS_slots)) {
      cached.erase(std::max_element(cached.begin(), cached.end(),
                                    [&](const auto& left, const auto& right) {
                                      return next_use(left) < next_use(right);
                                    }));
    }
    cached.push_back(adapter);
  }
  return misses;
}

template <class Scheduler>
double Measure(const char* name, const std::vector<arrival>& arrivals,
               double baseline_stalls) {
  engine_model model{.adapter_slots = static_cast<std::size_t>(FLAGS_slots),
                     .background_loads = FLAGS_background};
  engine_simulation<Scheduler> simulation(model, FLAGS_seed);
  const simulation_result result =
      simulation.Run(arrivals, FLAGS_duration_s * 1'000'000LL);
  std::vector<double> urgent_ms;
  std::vector<double> may_wait_ms;
  std::size_t refused = 0;
  std::size_t misses = 0;
  std::size_t long_done = 0;
  std::size_t within_deadline = 0;
  std::size_t urgent = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const outcome_record& record = result.outcomes[i];
    if (record.refused) ++refused;
    if (record.adapter_miss) ++misses;
    if (arrivals[i].long_work && record.ended_us >= 0) ++long_done;
    const bool is_urgent =
        arrivals[i].work.priority == core::priority_class::urgent;
    if (is_urgent) ++urgent;
    if (record.ended_us >= 0 && is_urgent &&
        record.ended_us - record.submitted_us <= 10'000'000) {
      ++within_deadline;
    }
    if (record.first_output_us < 0) continue;
    (is_urgent ? urgent_ms : may_wait_ms)
        .push_back(
            static_cast<double>(record.first_output_us - record.submitted_us) /
            1e3);
  }
  const auto stalls = static_cast<double>(result.counters.load_stalls);
  const double change =
      baseline_stalls > 0 ? 100.0 * (stalls / baseline_stalls - 1.0) : 0.0;
  std::printf(
      "%-22s stalls %5.0f (%+6.1f%%) misses %5zu loads/s %.2f | urgent "
      "first_output_ms p50 %6.0f p95 %6.0f p99 %6.0f in_deadline %5.1f%% | "
      "may_wait p99 %7.0f long done %zu | fill %.2f refused %zu of %zu\n",
      name, stalls, change, misses,
      static_cast<double>(result.counters.loads_started) / result.seconds,
      Percentile(urgent_ms, 0.5), Percentile(urgent_ms, 0.95),
      Percentile(urgent_ms, 0.99),
      100.0 * static_cast<double>(within_deadline) /
          static_cast<double>(urgent),
      Percentile(may_wait_ms, 0.99), long_done, result.batch_fill, refused,
      arrivals.size());
  return stalls;
}

void RunAt(double rate) {
  using admission::basic_engine_scheduler;
  using admission::fifo_order;
  using admission::shortest_expected_first;
  const std::vector<arrival> arrivals = MakeWorkload(rate);
  std::printf("requests a second: %.1f; clairvoyant misses %zu of %zu\n", rate,
              ClairvoyantMisses(arrivals), arrivals.size());
  const double base =
      Measure<basic_engine_scheduler<fifo_order, adapters::lru_eviction>>(
          "fifo+lru", arrivals, 0.0);
  Measure<basic_engine_scheduler<fifo_order, adapters::lfu_eviction>>(
      "fifo+lfu", arrivals, base);
  Measure<
      basic_engine_scheduler<shortest_expected_first, adapters::lru_eviction>>(
      "shortest+lru", arrivals, base);
  Measure<
      basic_engine_scheduler<shortest_expected_first, adapters::lfu_eviction>>(
      "shortest+lfu", arrivals, base);
  Measure<basic_engine_scheduler<shortest_expected_first,
                                 adapters::cost_aware_eviction>>(
      "default", arrivals, base);
}

}  // namespace
}  // namespace comfreyspring::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_rate > 0.0) {
    comfreyspring::bench::RunAt(FLAGS_rate);
    return 0;
  }
  for (const double rate : {2.0, 4.0, 8.0}) comfreyspring::bench::RunAt(rate);
  return 0;
}

/**
 * Compares the entry's endpoint choice with baselines on a simulated fleet.
 *
 * Usage: bench_fleet crest|slow|stalls|capacity|picks [seed]
 */

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "adapters/eviction_policy.h"
#include "admission/basic_engine_scheduler.h"
#include "admission/queue_order.h"
#include "bench/fleet/baseline_choices.h"
#include "bench/fleet/fleet.h"
#include "bench/fleet/workload.h"
#include "placement/endpoint_choice.h"
#include "placement/endpoint_picker.h"

namespace comfreyspring::bench {
namespace {

using default_scheduler =
    admission::basic_engine_scheduler<admission::shortest_expected_first,
                                      adapters::cost_aware_eviction>;
using lru_scheduler =
    admission::basic_engine_scheduler<admission::shortest_expected_first,
                                      adapters::lru_eviction>;
using fifo_scheduler =
    admission::basic_engine_scheduler<admission::fifo_order,
                                      adapters::lru_eviction>;

constexpr std::uint64_t kDefaultSeed = 20261204;
constexpr int kEngines = 12;
constexpr double kSlowFrom = 10.0;
constexpr double kSlowTo = 30.0;

/** Requests per second that use this share of the fleet's token rate. */
double UrgentRate(double share) {
  return share * kEngines * fake_engine::kTokensPerSecond / kMeanUrgentTokens;
}
double MayWaitRate(double share) {
  return share * kEngines * fake_engine::kTokensPerSecond / kMeanMayWaitTokens;
}

template <class Choice, class Scheduler>
run_result RunFleet(const std::string& name, const std::vector<job>& jobs,
                    std::uint64_t seed, bool eject_and_hedge,
                    const slow_period& slow) {
  fleet_options options;
  options.name = name;
  options.seed = seed;
  options.eject_slow = eject_and_hedge;
  options.hedge = eject_and_hedge;
  options.slow = slow;
  options.observed_from_seconds = kSlowFrom;
  options.observed_to_seconds = kSlowTo;
  return fleet<Choice, Scheduler>(options).Run(jobs);
}

/** Runs the production choice and each baseline on the same jobs. */
std::vector<run_result> RunAll(const std::vector<job>& jobs, std::uint64_t seed,
                               const slow_period& slow) {
  std::vector<run_result> results;
  const auto add = [&](run_result result) {
    Print(result);
    results.push_back(std::move(result));
  };
  add(RunFleet<placement::lowest_cost_choice, default_scheduler>(
      "comfreyspring", jobs, seed, true, slow));
  add(RunFleet<random_choice, default_scheduler>("random", jobs, seed, false,
                                                 slow));
  add(RunFleet<round_robin_choice, default_scheduler>("round robin", jobs, seed,
                                                      false, slow));
  add(RunFleet<least_outstanding_choice, default_scheduler>(
      "least outstanding", jobs, seed, false, slow));
  return results;
}

void RunCrest(std::uint64_t seed) {
  workload_options options;
  options.seed = seed;
  options.phases = {{10, UrgentRate(0.35), MayWaitRate(0.15)},
                    {10, UrgentRate(0.60), MayWaitRate(0.90)},
                    {20, UrgentRate(0.35), MayWaitRate(0.15)}};
  const std::vector<job> jobs = MakeWorkload(options);
  RunAll(jobs, seed, {});
  Print(RunFleet<least_outstanding_choice, fifo_scheduler>(
      "least outst. fifo lru", jobs, seed, false, {}));
}

void RunSlow(std::uint64_t seed) {
  workload_options options;
  options.seed = seed;
  options.phases = {{40, UrgentRate(0.45), MayWaitRate(0.15)}};
  const std::vector<job> jobs = MakeWorkload(options);
  std::puts("none slowed:");
  const auto without = RunAll(jobs, seed, {});
  std::puts("2 of 12 slowed five-fold from 10 s to 30 s:");
  const auto with = RunAll(jobs, seed, {2, 5.0, kSlowFrom, kSlowTo});
  for (std::size_t i = 0; i < with.size(); ++i) {
    std::printf(
        "%-22s p99 of urgent work: %.2f times; of requests submitted while "
        "slowed: %.2f times\n",
        with[i].name.c_str(),
        Quantile(with[i].urgent.latencies_ms, 0.99) /
            Quantile(without[i].urgent.latencies_ms, 0.99),
        Quantile(with[i].urgent.observed_ms, 0.99) /
            Quantile(without[i].urgent.observed_ms, 0.99));
  }
}

void RunStalls(std::uint64_t seed) {
  workload_options options;
  options.seed = seed;
  options.phases = {{60, UrgentRate(0.45), MayWaitRate(0.15)}};
  const std::vector<job> jobs = MakeWorkload(options);
  const auto results = RunAll(jobs, seed, {});
  const run_result baseline = RunFleet<least_outstanding_choice, lru_scheduler>(
      "least outst. + LRU", jobs, seed, false, {});
  Print(baseline);
  std::printf("load stalls relative to least outstanding with LRU: %.2f\n",
              static_cast<double>(results[0].load_stalls) /
                  static_cast<double>(baseline.load_stalls));
}

void RunCapacity(std::uint64_t seed) {
  workload_options options;
  options.seed = seed;
  options.phases = {{20, 0.0, MayWaitRate(2.0)}};
  const auto results = RunAll(MakeWorkload(options), seed, {});
  for (const run_result& result : results) {
    std::printf("%-22s %.1f completed requests a second\n", result.name.c_str(),
                result.throughput);
  }
}

/** Measures the time per pick at the target size of a data centre. */
void RunPicks(std::uint64_t seed) {
  constexpr int kPicks = 200000;
  constexpr int kTargetEngines = 360;
  workload_options options;
  options.seed = seed;
  options.adapters = 28000;
  options.phases = {{100, kPicks / 100.0, 0.0}};
  const std::vector<job> jobs = MakeWorkload(options);
  placement::endpoint_picker<> picker;
  std::vector<placement::endpoint_picker<>::member> members;
  for (int i = 0; i < kTargetEngines; ++i) {
    members.push_back({core::endpoint_id("engine-" + std::to_string(i))});
  }
  picker.SetMembers(members);
  core::random_source random(seed);
  const auto usable = [](const core::endpoint_id&) { return true; };
  const core::model_id model("base");
  const auto start = std::chrono::steady_clock::now();
  for (const job& work : jobs) {
    const core::time_point now(core::seconds(1) + work.at);
    const core::adapter_id adapter("adapter-" + std::to_string(work.adapter));
    placement::pick_request request;
    request.key = placement::KeyOf(model, adapter);
    request.expected_tokens = work.expected_tokens;
    picker.OnRequest(request.key, now);
    const auto picked = picker.Pick(request, usable, random, now);
    picker.OnSubmitted(picked->endpoint, request, now);
    picker.OnEnded(picked->endpoint, false);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf("%zu picks over %d adapters and %d engines: %.2f us each\n",
              jobs.size(), options.adapters, kTargetEngines,
              elapsed.count() / static_cast<double>(jobs.size()));
}

int RunCommand(const std::string& command, std::uint64_t seed) {
  std::printf("%s, seed %llu\n", command.c_str(),
              static_cast<unsigned long long>(seed));
  if (command != "picks") PrintHeader();
  if (command == "crest") {
    RunCrest(seed);
  } else if (command == "slow") {
    RunSlow(seed);
  } else if (command == "stalls") {
    RunStalls(seed);
  } else if (command == "capacity") {
    RunCapacity(seed);
  } else if (command == "picks") {
    RunPicks(seed);
  } else {
    std::fputs("Usage: bench_fleet crest|slow|stalls|capacity|picks [seed]\n",
               stderr);
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace comfreyspring::bench

int main(int argument_count, char** arguments) {
  const std::string command = argument_count > 1 ? arguments[1] : "";
  const std::uint64_t seed = argument_count > 2
                                 ? std::strtoull(arguments[2], nullptr, 10)
                                 : comfreyspring::bench::kDefaultSeed;
  return comfreyspring::bench::RunCommand(command, seed);
}

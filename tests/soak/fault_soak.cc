// Randomized soak test. Runs gateways and sidecars as real processes, injects
// faults from outside, and checks the guarantees from what callers and
// endpoints observe. Exit code 0: every guarantee held; 1: at least one was
// violated; 2: invalid command line.

#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include "callers.h"
#include "fault_schedule.h"
#include "fleet_under_test.h"
#include "net/event_loop.h"
#include "promise_record.h"

DEFINE_uint32(seed, 1, "seed of the load and the faults");
DEFINE_int32(seconds, 20, "duration of fault injection in seconds");
DEFINE_int32(gateways, 3, "number of gateway processes");
DEFINE_int32(engines, 4, "number of engines, each with a sidecar process");
DEFINE_int32(plain, 3, "number of endpoints of the plain service");
DEFINE_double(rate, 40, "requests per second");
DEFINE_string(
    faults, "all",
    "all, processes, links, store, endpoints, clocks, leaving, limits, "
    "streams, deadly, restores, silences, repeats, thin, malformed, "
    "suspensions or keys");
DEFINE_string(directory, "",
              "directory for logs; they are kept if the run fails");

namespace comfreyspring::soak {
namespace {

using core::milliseconds;

constexpr milliseconds kWarmUp{3000};
/** Time to recover after the last fault (RecoverS). */
constexpr core::seconds kRecovery{12};
constexpr core::seconds kFaultFreeLoad{4};
/** Covers the longest request and its deadline. */
constexpr core::seconds kFinalAnswersTimeout{9};
constexpr milliseconds kProcessCheckInterval{100};
/** Without faults and under low load, every request must succeed. */
constexpr double kMinServedShare = 1.0;

const std::map<std::string, fault_family> kFamilies = {
    {"all", fault_family::all},
    {"processes", fault_family::processes},
    {"links", fault_family::links},
    {"store", fault_family::store},
    {"endpoints", fault_family::endpoints},
    {"clocks", fault_family::clocks},
    {"leaving", fault_family::leaving},
    {"limits", fault_family::limits},
    {"streams", fault_family::streams},
    {"deadly", fault_family::deadly},
    {"restores", fault_family::restores},
    {"silences", fault_family::silences},
    {"repeats", fault_family::repeats},
    {"thin", fault_family::thin},
    {"malformed", fault_family::malformed},
    {"suspensions", fault_family::suspensions},
    {"keys", fault_family::keys}};

/** In the family `thin`: 10 Mbit/s, and a configuration of some 200 kB. */
constexpr std::size_t kThinLinkBytesPerSecond = 1'250'000;
constexpr int kUnusedRoutes = 900;
/** Memory that a program may use, in `keys`. */
constexpr long kMaximumKib = 128 * 1024;
/** Share of streams that end engines, in `deadly` and `repeats`. */
constexpr double kDeadlyShare = 0.08;

void Wait(net::event_loop& loop, milliseconds length) {
  loop.RunUntil([] { return false; }, length);
}

int Run(const std::filesystem::path& directory) {
  const bool is_thin = FLAGS_faults == "thin";
  const bool probes_configuration = FLAGS_faults == "restores" ||
                                    FLAGS_faults == "silences" ||
                                    FLAGS_faults == "keys" || is_thin;
  net::event_loop loop;
  promise_record promises(fleet_under_test::kEvents);
  fleet_under_test fleet(
      loop, promises,
      {.binary_directory = COMFREYSPRING_BINARY_DIRECTORY,
       .clock_library = COMFREYSPRING_CLOCK_LIBRARY,
       .log_directory = directory,
       .gateways = FLAGS_gateways,
       .engines = FLAGS_engines,
       .plain_endpoints = FLAGS_plain,
       .adds_routes = probes_configuration,
       .unused_routes = is_thin ? kUnusedRoutes : 0,
       .store_bytes_per_second = is_thin ? kThinLinkBytesPerSecond : 0,
       .maximum_kib = FLAGS_faults == "keys" ? kMaximumKib : 0});
  callers load(loop, fleet, promises, FLAGS_seed, FLAGS_rate);
  fault_schedule faults(loop, fleet, promises, FLAGS_seed,
                        kFamilies.at(FLAGS_faults));
  const net::timer_id checks = loop.SchedulePeriodic(
      kProcessCheckInterval, [&fleet] { fleet.CheckProcesses(); });
  if (FLAGS_faults == "repeats") load.RepeatDeadlyRequests();
  if (FLAGS_faults == "deadly" || FLAGS_faults == "repeats") {
    load.SetDeadlyShare(kDeadlyShare);
  }
  Wait(loop, kWarmUp);
  load.Start();
  if (probes_configuration) load.StartProbes();
  faults.Start();
  Wait(loop, core::seconds(FLAGS_seconds));
  faults.StopAndHeal();
  load.DisableCancellation();
  // One that is not known yet may end two engines more.
  if (FLAGS_faults == "repeats") load.SetDeadlyShare(0);
  Wait(loop, kRecovery);
  const auto fault_free_since = loop.Now();
  Wait(loop, kFaultFreeLoad);
  load.Stop();
  loop.RunUntil([&load] { return load.Open() == 0; }, kFinalAnswersTimeout);
  promises.CheckWholeRun(loop.Now(), [&](const std::string& id, int gateway) {
    return fleet.CallerRelays()[static_cast<std::size_t>(gateway)]
        ->HasSwallowed("request-id: " + id + "\r\n");
  });
  if (FLAGS_faults == "silences") promises.CheckLostRequests();
  fleet.CheckProcesses();
  fleet.CheckLogs();
  loop.Cancel(checks);
  const double served = promises.ServedShare(fault_free_since);
  if (served < kMinServedShare) {
    promises.Violation("after the faults only a share of " +
                       std::to_string(served) + " of the requests was served");
  }

  std::ofstream report(directory / "soak.txt");
  for (const auto& line : faults.History()) report << line << '\n';
  for (const auto& line : promises.Violations()) {
    report << "broken: " << line << '\n';
    std::cout << "seed " << FLAGS_seed << " broken: " << line.substr(0, 300)
              << '\n';
  }
  std::cout << promises.CrossingCounts();
  std::cout << "seed " << FLAGS_seed << ": " << faults.History().size()
            << " faults," << promises.Summary() << ", "
            << promises.Violations().size() << " promises broken";
  if (const auto worst = promises.WorstSpan()) {
    std::cout << ", worst span: " << worst->ToString();
  }
  std::cout << std::endl;
  return promises.Violations().empty() ? 0 : 1;
}

}  // namespace
}  // namespace comfreyspring::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs the fleet under random faults and checks its guarantees");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (comfreyspring::soak::kFamilies.count(FLAGS_faults) == 0 ||
      FLAGS_gateways < 1 || FLAGS_gateways > 30 || FLAGS_engines < 1 ||
      FLAGS_engines + FLAGS_plain > 70 || FLAGS_plain < 1 || FLAGS_rate <= 0) {
    std::cerr << "invalid flag value; see --help" << std::endl;
    return 2;
  }
  const std::filesystem::path directory =
      FLAGS_directory.empty()
          ? std::filesystem::temp_directory_path() /
                ("fault_soak_" + std::to_string(FLAGS_seed) + '_' +
                 std::to_string(::getpid()))
          : std::filesystem::path(FLAGS_directory);
  const int status = comfreyspring::soak::Run(directory);
  if (status == 0) {
    std::filesystem::remove_all(directory);
  } else {
    std::cout << "logs: " << directory.string() << std::endl;
  }
  return status;
}

// Randomized soak: gateways and sidecars as real processes, faults from
// outside, and the promises checked from what callers and endpoints see.
// Exit code 0: every promise held; 1: one was broken; 2: wrong usage.

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

DEFINE_uint32(seed, 1, "seed of load and faults");
DEFINE_int32(seconds, 20, "seconds with faults");
DEFINE_int32(gateways, 3, "gateway processes");
DEFINE_int32(engines, 4, "engines, each with a sidecar process");
DEFINE_int32(plain, 3, "endpoints of the plain service");
DEFINE_double(rate, 40, "requests a second");
DEFINE_string(faults, "all",
              "all, processes, links, store, endpoints, clocks or leaving");
DEFINE_string(directory, "", "where logs go; a failed run leaves them there");

namespace comfreyspring::soak {
namespace {

using core::milliseconds;

constexpr milliseconds kWarmUp{3000};
/** After the last fault the fleet serves again (RecoverS). */
constexpr core::seconds kRecovery{12};
constexpr core::seconds kCalmLoad{4};
/** The longest request, and its caller's patience. */
constexpr core::seconds kLastAnswers{9};
constexpr milliseconds kProcessCheck{100};
/** With nothing wrong and little load, every request is served. */
constexpr double kServedWhenCalm = 1.0;

const std::map<std::string, fault_family> kFamilies = {
    {"all", fault_family::all},
    {"processes", fault_family::processes},
    {"links", fault_family::links},
    {"store", fault_family::store},
    {"endpoints", fault_family::endpoints},
    {"clocks", fault_family::clocks},
    {"leaving", fault_family::leaving}};

void Wait(net::event_loop& loop, milliseconds length) {
  loop.RunUntil([] { return false; }, length);
}

int Run(const std::filesystem::path& directory) {
  net::event_loop loop;
  promise_record promises(fleet_under_test::kEvents);
  fleet_under_test fleet(loop, promises,
                         {.binary_directory = COMFREYSPRING_BINARY_DIRECTORY,
                          .clock_library = COMFREYSPRING_CLOCK_LIBRARY,
                          .log_directory = directory,
                          .gateways = FLAGS_gateways,
                          .engines = FLAGS_engines,
                          .plain_endpoints = FLAGS_plain});
  callers load(loop, fleet, promises, FLAGS_seed, FLAGS_rate);
  fault_schedule faults(loop, fleet, promises, FLAGS_seed,
                        kFamilies.at(FLAGS_faults));
  const net::timer_id checks = loop.SchedulePeriodic(
      kProcessCheck, [&fleet] { fleet.CheckProcesses(); });
  Wait(loop, kWarmUp);
  load.Start();
  faults.Start();
  Wait(loop, core::seconds(FLAGS_seconds));
  faults.StopAndHeal();
  load.DisableCancellation();
  Wait(loop, kRecovery);
  const auto calm_since = loop.Now();
  Wait(loop, kCalmLoad);
  load.Stop();
  loop.RunUntil([&load] { return load.Open() == 0; }, kLastAnswers);
  promises.CheckWholeRun(loop.Now());
  fleet.CheckProcesses();
  fleet.CheckLogs();
  loop.Cancel(checks);
  const double served = promises.ServedShare(calm_since);
  if (served < kServedWhenCalm) {
    promises.Violation("after the faults only " + std::to_string(served) +
                       " of the requests are served");
  }

  std::ofstream report(directory / "soak.txt");
  for (const auto& line : faults.History()) report << line << '\n';
  for (const auto& line : promises.Violations()) {
    report << "broken: " << line << '\n';
    std::cout << "seed " << FLAGS_seed << " broken: " << line.substr(0, 300)
              << '\n';
  }
  std::cout << "seed " << FLAGS_seed << ": " << faults.History().size()
            << " faults," << promises.Summary() << ", "
            << promises.Violations().size() << " promises broken" << std::endl;
  return promises.Violations().empty() ? 0 : 1;
}

}  // namespace
}  // namespace comfreyspring::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs the fleet under random faults");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (comfreyspring::soak::kFamilies.count(FLAGS_faults) == 0 ||
      FLAGS_gateways < 1 || FLAGS_gateways > 30 || FLAGS_engines < 1 ||
      FLAGS_engines + FLAGS_plain > 70 || FLAGS_plain < 1 || FLAGS_rate <= 0) {
    std::cerr << "wrong value of an option; try --help" << std::endl;
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

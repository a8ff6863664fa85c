#include "membership/endpoint_directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

namespace comfreyspring::membership {
namespace {

using core::endpoint_id;
using core::milliseconds;
using core::time_point;

constexpr milliseconds kLimit{3000};
const endpoint_id kFirst("engine-1");
const endpoint_id kSecond("engine-2");

time_point At(std::int64_t ms) { return time_point(milliseconds(ms)); }

config::endpoint_record Engine(const endpoint_id& endpoint) {
  config::endpoint_record record;
  record.endpoint = endpoint;
  record.vm = core::vm_id("vm-of-" + endpoint.Value());
  record.model = core::model_id("base");
  return record;
}

std::shared_ptr<config::configuration> Configuration(
    std::uint64_t generation, const std::vector<endpoint_id>& endpoints) {
  auto result = std::make_shared<config::configuration>();
  result->version.generation = generation;
  for (const endpoint_id& endpoint : endpoints) {
    result->endpoints.push_back(Engine(endpoint));
  }
  return result;
}

wire::endpoint_report Up() { return {.batch_limit = 8, .endpoint_up = true}; }

wire::hello Hello(std::int64_t instance_ms) {
  wire::hello message;
  message.instance_ms = instance_ms;
  message.report = Up();
  return message;
}

wire::vm_list VmList(std::int64_t revision,
                     const std::map<endpoint_id, wire::vm_state>& states) {
  wire::vm_list list{.revision = revision};
  for (const auto& [endpoint, state] : states) {
    list.vms.push_back({Engine(endpoint).vm, state});
  }
  return list;
}

class directory_test : public testing::Test {
 protected:
  directory_test() : directory_(kLimit) {
    directory_.OnConfiguration(Configuration(1, {kFirst, kSecond}));
    directory_.OnHello(kFirst, Hello(100), At(0));
  }
  availability State(std::int64_t ms = 0) const {
    return directory_.AvailabilityOf(kFirst, At(ms));
  }
  endpoint_directory directory_;
};

TEST_F(directory_test, IsAvailableAfterHello) {
  EXPECT_EQ(State(), availability::available);
  EXPECT_EQ(directory_.AvailabilityOf(kSecond, At(0)), availability::no_link);
  EXPECT_EQ(directory_.AvailabilityOf(endpoint_id("other"), At(0)),
            availability::not_configured);
}

// Guards against new work for an endpoint whose heartbeats have stopped.
TEST_F(directory_test, StopsWhenHeartbeatsStop) {
  EXPECT_EQ(State(3000), availability::available);
  EXPECT_EQ(State(3001), availability::stale_heartbeat);
  directory_.OnReport(kFirst, Up(), At(3500));
  EXPECT_EQ(State(3500), availability::available);
  directory_.OnLinkLost(kFirst, At(3600));
  EXPECT_EQ(State(3600), availability::no_link);
}

// Guards against an outdated VM list that stops responsive endpoints.
TEST_F(directory_test, AbsenceFromTheVmListStopsNothing) {
  directory_.OnVmList(VmList(1, {{kFirst, wire::vm_state::live}}));
  directory_.OnVmList(VmList(2, {}));
  EXPECT_EQ(State(), availability::available);
  EXPECT_TRUE(directory_.HasLeftVmList(Engine(kFirst).vm));
  EXPECT_FALSE(directory_.HasLeftVmList(Engine(kSecond).vm));
}

// Guards against an older VM list that reverts the leaving state of a VM.
TEST_F(directory_test, IgnoresOlderVmLists) {
  directory_.OnVmList(VmList(5, {{kFirst, wire::vm_state::leaving}}));
  directory_.OnVmList(VmList(4, {{kFirst, wire::vm_state::live}}));
  EXPECT_EQ(State(), availability::vm_leaving);
  directory_.OnVmList(VmList(6, {}));
  EXPECT_EQ(State(), availability::vm_leaving);
  directory_.OnVmList(VmList(7, {{kFirst, wire::vm_state::live}}));
  EXPECT_EQ(State(), availability::available);
}

// Guards against new work for an endpoint during its planned stop.
TEST_F(directory_test, StopsWorkDuringPlannedStops) {
  auto current = Configuration(2, {kFirst});
  current->stops.push_back({kFirst, core::WallTimeFromUnix(1000),
                            core::WallTimeFromUnix(2000), core::seconds(60)});
  directory_.OnConfiguration(current);
  directory_.OnWallTime(core::WallTimeFromUnix(999));
  EXPECT_EQ(State(), availability::available);
  directory_.OnWallTime(core::WallTimeFromUnix(1000));
  EXPECT_EQ(State(), availability::planned_stop);
  directory_.OnWallTime(core::WallTimeFromUnix(2000));
  EXPECT_EQ(State(), availability::available);
}

// Guards against new work for a leaving process after it reconnects.
TEST_F(directory_test, LeavingLastsUntilANewInstance) {
  directory_.OnLeaving(kFirst, At(1));
  EXPECT_EQ(State(1), availability::draining);
  directory_.OnReport(kFirst, Up(), At(2));
  directory_.OnHello(kFirst, Hello(100), At(3));
  EXPECT_EQ(State(3), availability::draining);
  directory_.OnHello(kFirst, Hello(99), At(4));
  EXPECT_EQ(State(4), availability::draining);
  directory_.OnHello(kFirst, Hello(101), At(5));
  EXPECT_EQ(State(5), availability::available);
}

// Guards against decisions on state from before a pause of this process.
TEST_F(directory_test, IsUnavailableAfterAPauseUntilTheNextReport) {
  directory_.OnPause(At(10));
  EXPECT_EQ(State(10), availability::unverified_after_pause);
  directory_.OnReport(kFirst, Up(), At(20));
  EXPECT_EQ(State(20), availability::available);
}

TEST_F(directory_test, ReportsOfDrainingAndDownStopWork) {
  wire::endpoint_report report = Up();
  report.draining = true;
  directory_.OnReport(kFirst, report, At(1));
  EXPECT_EQ(State(1), availability::draining);
  report = Up();
  report.endpoint_up = false;
  directory_.OnReport(kFirst, report, At(2));
  EXPECT_EQ(State(2), availability::endpoint_down);
}

// Guards against an older configuration that arrives late and replaces the
// current one.
TEST_F(directory_test, IgnoresOlderConfigurations) {
  directory_.OnConfiguration(Configuration(3, {kSecond}));
  directory_.OnConfiguration(Configuration(2, {kFirst}));
  EXPECT_EQ(State(), availability::not_configured);
  EXPECT_EQ(directory_.All(), std::vector<endpoint_id>{kSecond});
}

TEST_F(directory_test, ListsEnginesOfAModel) {
  EXPECT_EQ(directory_.Engines(core::model_id("base")),
            (std::vector<endpoint_id>{kFirst, kSecond}));
  EXPECT_TRUE(directory_.Engines(core::model_id("other")).empty());
  EXPECT_TRUE(directory_.ServiceEndpoints(core::service_id("base")).empty());
}

// Checks that after a leaving notice, a leaving VM entry or a pause, an
// endpoint is available only once a newer instance, a live VM entry or a new
// message allows it, in any order of events.
RC_GTEST_PROP(EndpointDirectory, IsNeverAvailableWhileLeavingOrUnverified, ()) {
  endpoint_directory directory(kLimit);
  directory.OnConfiguration(Configuration(1, {kFirst}));
  std::int64_t instance = 0;
  std::int64_t leaving_instance = -1;
  std::int64_t list_revision = 0;
  bool vm_leaving = false;
  bool connected = false;
  bool unverified = false;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const time_point now = At(step);
    switch (*rc::gen::inRange(0, 7)) {
      case 0: {
        const auto next = *rc::gen::inRange<std::int64_t>(0, 6);
        directory.OnHello(kFirst, Hello(next), now);
        if (next < instance) break;
        instance = next;
        connected = true;
        unverified = false;
        break;
      }
      case 1:
        directory.OnReport(kFirst, Up(), now);
        if (connected) unverified = false;
        break;
      case 2:
        directory.OnLeaving(kFirst, now);
        leaving_instance = instance;
        break;
      case 3: {
        const auto revision = *rc::gen::inRange<std::int64_t>(0, 8);
        const bool leaving = *rc::gen::arbitrary<bool>();
        directory.OnVmList(
            VmList(revision, {{kFirst, leaving ? wire::vm_state::leaving
                                               : wire::vm_state::live}}));
        if (revision < list_revision) break;
        list_revision = revision;
        vm_leaving = leaving;
        break;
      }
      case 4:
        directory.OnPause(now);
        unverified = true;
        break;
      case 5:
        directory.OnLinkLost(kFirst, now);
        connected = false;
        break;
      default:
        directory.OnVmList(VmList(++list_revision, {}));
        break;
    }
    const bool available =
        directory.AvailabilityOf(kFirst, now) == availability::available;
    const bool unavailable =
        leaving_instance >= instance || vm_leaving || unverified || !connected;
    RC_ASSERT(available == !unavailable);
  }
}

}  // namespace
}  // namespace comfreyspring::membership

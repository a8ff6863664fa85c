// Suspends the VM of an engine: its sidecar is stopped and the engine sends
// nothing. Connections to both stay open.

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <string>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr int kGateways = 4;
constexpr int kEngines = 3;
constexpr int kRequestsPerGateway = 3;
constexpr milliseconds kSuspension{3000};

class silent_vm_test : public small_fleet_test {
 protected:
  silent_vm_test()
      : small_fleet_test(
            {.name = "silent_vm", .gateways = kGateways, .engines = kEngines}) {
  }

  void Prepare(engine_stand_in& engine) override {
    engine.on_arrival = [this, &engine](const std::string&) {
      ++arrivals_[&engine];
    };
  }

  /** @returns requests that arrived at each engine, by its number. */
  std::map<int, int> SendFromAllGateways() {
    arrivals_.clear();
    for (int i = 0; i < kRequestsPerGateway; ++i) {
      for (int gateway = 0; gateway < kGateways; ++gateway) {
        Send("stream", gateway);
      }
      Wait(milliseconds(200));
    }
    WaitForAnswers();
    std::map<int, int> result;
    for (int i = 0; i < kEngines; ++i) result[i] = arrivals_[&Engine(i)];
    return result;
  }

  void Suspend(int index) {
    Sidecar(index).Signal(SIGSTOP);
    Engine(index).Silence(kSuspension);
  }

  std::map<const engine_stand_in*, int> arrivals_;
};

// Guards against requests that are sent to an engine whose VM is silent: they
// arrive when the VM goes on, after their callers have left.
TEST_F(silent_vm_test, GetsNoRequests) {
  const auto before = SendFromAllGateways();
  const int busiest = std::max_element(before.begin(), before.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second < right.second;
                                       })
                          ->first;
  Suspend(busiest);
  EXPECT_EQ(SendFromAllGateways()[busiest], 0);
  for (const fleet_outcome& outcome : outcomes_) {
    EXPECT_EQ(outcome.status, 200) << outcome.id;
    EXPECT_LT(outcome.answered_at - outcome.sent_at, milliseconds(900))
        << outcome.id;
  }
  Wait(kSuspension);
  Sidecar(busiest).Signal(SIGCONT);
  Wait(milliseconds(1500));
  EXPECT_GT(SendFromAllGateways()[busiest], 0);
}

}  // namespace
}  // namespace comfreyspring::process_test

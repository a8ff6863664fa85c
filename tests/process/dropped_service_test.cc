// Publishes configurations without, and again with, the service that requests
// are waiting for.

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr int kEngines = 2;
/** Many times the slots of the engines. */
constexpr int kRequests = 80;
/** Time in which a configuration takes effect (ConfigApplyMs). */
constexpr milliseconds kApplyTime{2000};

class dropped_service_test : public small_fleet_test {
 protected:
  dropped_service_test()
      : small_fleet_test({.name = "dropped_service",
                          .gateways = 1,
                          .engines = kEngines,
                          .plain = 1}) {}

  void Prepare(engine_stand_in& engine) override {
    engine.on_run = [this](const net::http_request& request) {
      run_.insert(request.headers.at("request-id"));
    };
  }

  void SendStreams(int count) {
    for (int i = 0; i < count; ++i) sent_ids_.insert(Send("stream", 0));
  }
  void SetUnresponsive(bool value) {
    for (int i = 0; i < kEngines; ++i) Engine(i).unresponsive = value;
  }

  std::set<std::string> sent_ids_;
  std::set<std::string> run_;
};

TEST_F(dropped_service_test, LeavesNoRequestWaitingForItsSidecars) {
  SetUnresponsive(true);
  SendStreams(kRequests);
  Wait(milliseconds(200));
  const auto dropped_at = loop_.Now();
  PutConfiguration({.version = 2, .has_engine_service = false});
  WaitForAnswers();
  int waited = 0;
  for (const fleet_outcome& each : outcomes_) {
    if (run_.count(each.id) > 0) continue;
    ++waited;
    EXPECT_EQ(each.status, 503) << each.id;
    EXPECT_LT(each.answered_at - dropped_at, kApplyTime) << each.id;
  }
  EXPECT_GT(waited, kRequests / 2);
}

TEST_F(dropped_service_test, IsServedOnceItIsNamedAgain) {
  SendStreams(kRequests / 8);
  PutConfiguration({.version = 2, .has_engine_service = false});
  Wait(kApplyTime);
  WaitForAnswers();
  PutConfiguration({.version = 3});
  Wait(kApplyTime);
  SendStreams(kRequests / 8);
  WaitForAnswers();
  for (const fleet_outcome& each : outcomes_) {
    EXPECT_EQ(each.status, 200) << each.id;
    EXPECT_TRUE(each.complete) << each.id;
  }
  EXPECT_EQ(outcomes_.size(), sent_ids_.size());
}

}  // namespace
}  // namespace comfreyspring::process_test

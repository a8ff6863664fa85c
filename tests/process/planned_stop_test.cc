// Stops a gateway in calm while clients go on sending to it. What became of
// each request is counted at the client.

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr int kEngines = 3;
constexpr int kPlain = 2;
constexpr milliseconds kSendPeriod{20};
/** So many that clients have open connections until the gateway has ended. */
constexpr int kOpenConnections = 400;
/** The fleet's `GraceS`. */
constexpr milliseconds kGrace{5000};
/** A request without an answer counts as lost after this time (LossSlackMs). */
constexpr milliseconds kLossSlack{200};
/** Time limit of the clients and of the routes. */
constexpr milliseconds kTimeLimit{3000};
constexpr milliseconds kTimerTolerance{100};

class planned_stop_test : public small_fleet_test {
 protected:
  planned_stop_test()
      : small_fleet_test({.name = "planned_stop",
                          .gateways = 1,
                          .engines = kEngines,
                          .plain = kPlain}) {}

  void TearDown() override {
    loop_.Cancel(timer_);
    small_fleet_test::TearDown();
  }

  void Prepare(engine_stand_in& engine) override {
    engine.on_arrival = [this](const std::string& id) { arrived_.insert(id); };
  }

  /** Sends on every route until the gateway has ended. */
  void StartLoad() {
    for (int i = 0; i < kOpenConnections; ++i) Send("order", 0);
    WaitForAnswers();
    timer_ = loop_.SchedulePeriodic(kSendPeriod, [this] {
      if (Gateway(0).HasEnded()) {
        loop_.Cancel(std::exchange(timer_, 0));
        return;
      }
      streams_.insert(Send("stream", 0));
      Send("order", 0);
    });
  }

  void Stop() {
    stopped_at_ = loop_.Now();
    Gateway(0).Signal(SIGTERM);
  }

  void WaitUntilEnded() {
    EXPECT_TRUE(
        loop_.RunUntil([this] { return Gateway(0).HasEnded(); }, kGrace));
    EXPECT_EQ(Gateway(0).Status(), 0);
    EXPECT_LT(loop_.Now() - stopped_at_, kGrace);
    WaitForAnswers();
  }

  /**
   * The engine of a stream that has begun was still at work in the last sixth
   * of the grace period, or at the request's own deadline.
   */
  bool MayBreakOff(const fleet_outcome& outcome) const {
    return streams_.count(outcome.id) > 0 && outcome.status == 200 &&
           (outcome.answered_at - stopped_at_ >= kGrace - kGrace / 6 ||
            outcome.answered_at - outcome.sent_at >=
                kTimeLimit - kTimerTolerance);
  }

  std::string OutcomeOf(const fleet_outcome& outcome) const {
    if (outcome.complete) return std::to_string(outcome.status);
    if (!outcome.was_sent) return "not sent";
    if (MayBreakOff(outcome)) return "stream broken off";
    const bool was_passed_on = arrived_.count(outcome.id) > 0;
    if (was_passed_on || outcome.answered_at - outcome.sent_at > kLossSlack) {
      return was_passed_on ? "lost at an endpoint" : "lost in the gateway";
    }
    return "crossed the close";
  }

  /** Number of requests by route and outcome. */
  std::map<std::string, int> Outcomes() const {
    std::map<std::string, int> counts;
    for (const fleet_outcome& each : outcomes_) {
      const std::string kind = streams_.count(each.id) > 0 ? "stream" : "order";
      ++counts[kind + ": " + OutcomeOf(each)];
    }
    return counts;
  }

  void ExpectNoneLost() const {
    const auto outcomes = Outcomes();
    std::string text;
    int lost = 0;
    for (const auto& [outcome, count] : outcomes) {
      text += outcome + " x " + std::to_string(count) + '\n';
      if (outcome.find("lost") != std::string::npos) lost += count;
    }
    EXPECT_EQ(lost, 0) << text;
    RecordProperty("outcomes", text);
  }

  core::time_point stopped_at_;
  std::set<std::string> streams_;
  std::set<std::string> arrived_;
  net::timer_id timer_ = 0;
};

TEST_F(planned_stop_test, EveryRequestOfSoundEndpointsGetsItsAnswer) {
  StartLoad();
  Wait(milliseconds(500));
  Stop();
  WaitUntilEnded();
  ExpectNoneLost();
  EXPECT_EQ(Outcomes().count("stream: stream broken off"), 0U);
  EXPECT_GT(Outcomes()["order: 200"], 0);
  EXPECT_GT(Outcomes()["stream: 200"], 0);
}

TEST_F(planned_stop_test, RequestsThatOutlastTheGraceGetAFinalAnswer) {
  StartLoad();
  Wait(milliseconds(500));
  Stop();
  Wait(milliseconds(1600));
  Engine(0).unresponsive = true;
  Engine(1).slowdown_factor = 60;
  Engine(kEngines).unresponsive = true;
  Engine(kEngines + 1).slowdown_factor = 150;
  WaitUntilEnded();
  ExpectNoneLost();
  EXPECT_GT(Outcomes()["order: 504"], 0);
  EXPECT_GT(Outcomes()["order: 503"], 0);
}

// Requests wait in the queues of all engines when the gateway stops.
TEST_F(planned_stop_test, RequestsThatWaitForAnEngineAreRefused) {
  for (int i = 0; i < kEngines + kPlain; ++i) Engine(i).unresponsive = true;
  StartLoad();
  Wait(milliseconds(500));
  Stop();
  WaitUntilEnded();
  ExpectNoneLost();
  EXPECT_GT(Outcomes()["stream: 503"], 0);
}

}  // namespace
}  // namespace comfreyspring::process_test

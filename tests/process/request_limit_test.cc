// Runs several gateways and sidecars as real processes before endpoints that
// name request rate limits. What arrives at an endpoint is counted over all
// gateways.

#include <gtest/gtest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "arrival_record.h"
#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

constexpr int kGateways = 4;
constexpr int kEngines = 3;
constexpr int kPlain = 2;

class request_limit_test : public small_fleet_test {
 protected:
  request_limit_test()
      : small_fleet_test({.name = "request_limit",
                          .gateways = kGateways,
                          .engines = kEngines,
                          .plain = kPlain}) {}

  void TearDown() override {
    loop_.Cancel(load_timer_);
    small_fleet_test::TearDown();
  }

  void Prepare(engine_stand_in& engine) override {
    engine.on_arrival = [this, &engine](const std::string& id) {
      arrivals_.Arrived(engine.Instance(), GatewayOf(id), loop_.Now());
    };
    engine.on_limit_named = [this, &engine](const std::string& id) {
      arrivals_.Named(engine.Instance(), GatewayOf(id), loop_.Now());
    };
  }

  /** Sends requests of this route to the first gateways in turn. */
  void StartLoad(const std::string& route, milliseconds period,
                 int gateways = kGateways) {
    load_timer_ = loop_.SchedulePeriodic(
        period, [this, route, gateways] { Send(route, sent_ % gateways); });
  }
  void StopLoad() {
    loop_.Cancel(load_timer_);
    WaitForAnswers();
  }

  // Limits.

  void SetLimit(int index, std::optional<double> per_second) {
    engine_stand_in& engine = Engine(index);
    engine.limit.reset();
    if (per_second) engine.limit = std::to_string(*per_second);
    arrivals_.LimitSet(engine.Instance(), per_second, loop_.Now());
  }
  void ExpectLimitsKept() {
    for (const arrival_record::span& worst :
         arrivals_.WorstSpans(loop_.Now())) {
      EXPECT_LE(worst.arrivals, worst.allowed) << worst.ToString();
    }
  }
  int ArrivedSince(int index, core::time_point begin) {
    return arrivals_.ArrivedBetween(Engine(index).Instance(), begin,
                                    loop_.Now());
  }
  double ServedShare(core::time_point since) const {
    int sent = 0;
    int served = 0;
    for (const fleet_outcome& each : outcomes_) {
      if (each.sent_at < since) continue;
      ++sent;
      if (each.status == 200) ++served;
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
  }

  arrival_record arrivals_;
  net::timer_id load_timer_ = 0;
};

// Guards against an engine in need that gets its usual share of the load from
// all gateways: its limit counts over all of them.
TEST_F(request_limit_test, AnEngineGetsNoMoreThanTheLimitThatItNames) {
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  SetLimit(0, 1.2);
  const auto named_at = loop_.Now();
  Wait(milliseconds(9000));
  StopLoad();
  ExpectLimitsKept();
  // The other engines take what the limited one cannot.
  EXPECT_GE(ServedShare(named_at), 0.99);
  EXPECT_GT(ArrivedSince(0, named_at + milliseconds(3000)), 0);
}

// Guards against the same for an engine whose reports do not name the limit,
// and whose sidecar is killed and restarted while the limit is in force.
TEST_F(request_limit_test, TheLimitOutlivesTheSidecarOfItsEngine) {
  Engine(0).limit_in_reports = false;
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  SetLimit(0, 2.0);
  Wait(milliseconds(3000));
  for (int i = 0; i < 2; ++i) {
    Sidecar(0).Signal(SIGKILL);
    Wait(milliseconds(1500));
    StartSidecar(0);
    Wait(milliseconds(1500));
  }
  Wait(milliseconds(2000));
  StopLoad();
  ExpectLimitsKept();
}

// A plain endpoint has no sidecar, so that nothing counts its requests.
TEST_F(request_limit_test, APlainEndpointGetsNoMoreThanTheLimitThatItNames) {
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  SetLimit(kEngines, 2.0);
  const auto named_at = loop_.Now();
  Wait(milliseconds(9000));
  StopLoad();
  ExpectLimitsKept();
  EXPECT_GE(ServedShare(named_at), 0.99);
}

// Guards against a limit that is respected by serving nothing, and against
// callers that are held until their deadline for nothing.
TEST_F(request_limit_test, LimitsOfAllEnginesAreUsedAndTheRestIsRefusedAtOnce) {
  constexpr double kLimit = 3.0;
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, kLimit);
  Wait(milliseconds(3000));
  const auto since = loop_.Now();
  constexpr milliseconds kLength{8000};
  Wait(kLength);
  for (int i = 0; i < kEngines; ++i) {
    const double used = ArrivedSince(i, since) / (kLimit * 8.0);
    EXPECT_GE(used, 0.7) << "engine " << i;
  }
  StopLoad();
  ExpectLimitsKept();
  for (const fleet_outcome& each : outcomes_) {
    if (each.status != 503 || each.sent_at < since) continue;
    EXPECT_LT(each.answered_at - each.sent_at, milliseconds(2000));
    EXPECT_GT(each.retry_after_s, 0.0);
  }
}

TEST_F(request_limit_test, LimitsOfAllPlainEndpointsAreUsed) {
  constexpr double kLimit = 3.0;
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, kLimit);
  Wait(milliseconds(3000));
  const auto since = loop_.Now();
  Wait(milliseconds(8000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) {
    EXPECT_GE(ArrivedSince(i, since) / (kLimit * 8.0), 0.7) << "endpoint " << i;
  }
  StopLoad();
  ExpectLimitsKept();
}

// One gateway hears that the limits have ended, and all of them must.
TEST_F(request_limit_test, LimitsOfPlainEndpointsThatEndAreForgotten) {
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, 2.0);
  Wait(milliseconds(4000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, std::nullopt);
  Wait(milliseconds(2000));
  const auto since = loop_.Now();
  Wait(milliseconds(2000));
  StopLoad();
  ExpectLimitsKept();
  EXPECT_GE(ServedShare(since), 0.99);
}

// Guards against a gateway that does not learn an engine's limit from its
// sidecar because it has reported limits of other endpoints to that sidecar.
TEST_F(request_limit_test, LimitsInReportsReachGatewaysThatReportedOthers) {
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, 5.0);
  StartLoad("order", milliseconds(25), 1);
  Wait(milliseconds(1500));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, 2.0);
  Wait(milliseconds(1500));
  StopLoad();
  const json dump = json::parse(AdminPage(0, "/debug/state"));
  ASSERT_EQ(dump.at("endpoints").size(), std::size_t{kEngines + kPlain});
  for (const auto& each : dump.at("endpoints")) {
    EXPECT_NE(each.at("limit_per_s").get<std::string>(), "")
        << each.at("instance");
  }
}

// Guards against requests that wait until their deadline for the permit of a
// sidecar whose engine has left, and two sidecars that count for long.
TEST_F(request_limit_test, PermitsMoveWhenTheCountingSidecarLeaves) {
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, 2.0);
  Wait(milliseconds(3500));
  const auto changed = loop_.Now();
  for (int i = 0; i < kEngines - 1; ++i) {
    store_.Remove("servers/" + Engine(i).Instance());
  }
  Wait(milliseconds(4000));
  StopLoad();
  ExpectLimitsKept();
  for (const fleet_outcome& each : outcomes_) {
    if (each.sent_at < changed - milliseconds(1500)) continue;
    EXPECT_LT(each.answered_at - each.sent_at, milliseconds(2500))
        << each.status;
  }
  for (int i = kEngines; i < kEngines + kPlain; ++i) {
    EXPECT_GT(ArrivedSince(i, changed + milliseconds(1000)), 0);
  }
}

// Guards against a gateway that sends, when it is resumed, all requests that
// were granted one after another while it was suspended.
TEST_F(request_limit_test, AResumedGatewaySendsNoGrantsThatHaveWaited) {
  constexpr double kLimit = 10.0;
  StartLoad("stream", milliseconds(10), 1);
  Wait(milliseconds(1000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, kLimit);
  Wait(milliseconds(3000));
  Gateway(0).Signal(SIGSTOP);
  Wait(milliseconds(2000));
  const auto resumed = loop_.Now();
  Gateway(0).Signal(SIGCONT);
  Wait(milliseconds(300));
  for (int i = 0; i < kEngines; ++i) {
    EXPECT_LE(ArrivedSince(i, resumed), kLimit * 0.3 + 5.0) << "engine " << i;
  }
  StopLoad();
}

// Guards against a limit that is remembered for longer than the endpoint names
// it, by any gateway.
TEST_F(request_limit_test, ALimitThatIsNotNamedAnyMoreIsForgotten) {
  Engine(0).limit_in_reports = false;
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, 2.0);
  SetLimit(kEngines, 2.0);
  Wait(milliseconds(3000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, std::nullopt);
  SetLimit(kEngines, std::nullopt);
  Wait(milliseconds(3000));
  const auto since = loop_.Now();
  Wait(milliseconds(2000));
  StopLoad();
  ExpectLimitsKept();
  EXPECT_GE(ServedShare(since), 0.99);
}

}  // namespace
}  // namespace comfreyspring::process_test

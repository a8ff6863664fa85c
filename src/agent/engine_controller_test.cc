#include "agent/engine_controller.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "agent/test_doubles.h"

namespace comfreyspring::agent {
namespace {

using core::milliseconds;
using nlohmann::json;
using ::testing::_;
using ::testing::Field;
using ::testing::InSequence;
using ::testing::IsEmpty;
using ::testing::NiceMock;

const core::adapter_reference kAdapter{core::adapter_id("a"),
                                       core::version_id("v2")};
const core::adapter_reference kOtherAdapter{core::adapter_id("b"),
                                            core::version_id("v1")};
const core::attempt_id kAttempt("r.1");
constexpr std::int64_t kStartMs = 1'700'000'000'000;
constexpr milliseconds kTimeout{5000};

class engine_controller_test : public ::testing::Test {
 protected:
  engine_controller_test() {
    engine_.SetListener(listener_);
    engine_.Begin();
  }

  static engine_options Options() {
    engine_options options;
    options.stream.url = net::url::Parse("http://e");
    options.stream.first_token_timeout = milliseconds(300);
    options.stream.idle_timeout = milliseconds(200);
    options.stream.retry_delay = milliseconds(1);
    options.started_unix_ms = kStartMs;
    options.status_period = milliseconds(20);
    options.yield_time = milliseconds(200);
    return options;
  }

  static json Status(const std::string& instance = "i1",
                     std::int64_t fencing_number = 0) {
    return {{"instance_id", instance},
            {"adapter_slots", 4},
            {"batch_limit", 8},
            {"resident", {{{"adapter", "a"}, {"version", "v2"}}}},
            {"fencing_number", fencing_number},
            {"checks_fencing", true}};
  }

  bool WaitFor(const std::string& url) {
    return loop_.RunUntil([&] { return !http_.Open(url).empty(); }, kTimeout);
  }
  net::http_call_id WaitForCall(const std::string& url) {
    EXPECT_TRUE(WaitFor(url)) << "no call to " << url;
    const auto open = http_.Open(url);
    return open.empty() ? 0 : open.front();
  }
  void AnswerStatus(const json& status) {
    http_.Answer(WaitForCall("/status"), 200, status.dump());
    AnswerControl();
  }
  /** Answers the command that only conveys the fencing number, if it is open.
   */
  void AnswerControl() {
    for (const auto call : http_.Open("/adapters/unload")) {
      if (http_.BodyOf(call)["adapter"] != "fencing-number") continue;
      http_.Answer(call, 404, "{}");
      return;
    }
  }

  net::http_call_id Run(run_request run = {}) {
    auto request = std::make_shared<wire::submit>();
    request->attempt = kAttempt;
    request->adapter = kAdapter;
    request->body = R"({"prompt":"p","max_tokens":5})";
    run.request = request;
    engine_.Run(std::move(run));
    return WaitForCall("/v1/completions");
  }

  static json FirstEvent(const std::string& adapter = "a",
                         const std::string& version = "v2") {
    return {{"offset", 0},
            {"text", "x"},
            {"stream_id", "s1"},
            {"adapter", adapter},
            {"version", version}};
  }
  static json TextEvent(int offset) {
    return {{"offset", offset}, {"text", std::to_string(offset)}};
  }
  static json DoneEvent(int tokens) {
    return {{"done", true},
            {"tokens", tokens},
            {"adapter", "a"},
            {"version", "v2"}};
  }

  net::event_loop loop_;
  NiceMock<mock_http_client> http_;
  NiceMock<mock_endpoint_listener> listener_;
  engine_controller engine_{loop_, http_, Options()};
};

TEST_F(engine_controller_test, ReportsTheStateOfTheEngine) {
  EXPECT_FALSE(engine_.IsUp());
  EXPECT_CALL(listener_,
              OnEndpointState(Field(&admission::engine_limits::batch_limit, 8),
                              std::vector<core::adapter_reference>{kAdapter}));
  EXPECT_CALL(listener_, OnEndpointAvailability());
  AnswerStatus(Status());
  EXPECT_TRUE(engine_.IsReady());
}

TEST_F(engine_controller_test, ForwardsTheOutputOfACompletion) {
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_EQ(http_.BodyOf(call)["max_tokens"], 5);
  EXPECT_GE(http_.BodyOf(call)["fencing_number"], kStartMs << 20);
  InSequence order;
  EXPECT_CALL(listener_, OnOutput(kAttempt, "x"));
  EXPECT_CALL(listener_, OnOutput(kAttempt, "1"));
  EXPECT_CALL(listener_, OnCompleted(kAttempt, Field(&run_result::tokens,
                                                     core::token_count{2})));
  http_.Event(call, FirstEvent());
  http_.Event(call, TextEvent(1));
  http_.Event(call, DoneEvent(2));
}

// Output of another adapter must never reach a caller.
TEST_F(engine_controller_test, CancelsARunOfTheWrongAdapter) {
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_CALL(listener_, OnOutput(_, _)).Times(0);
  EXPECT_CALL(listener_, OnCompleted(_, _)).Times(0);
  http_.Event(call, FirstEvent("a", "v1"));
  EXPECT_CALL(listener_, OnAdapterMissing(kAttempt, true));
  http_.Answer(WaitForCall("/streams/s1/cancel"), 200,
               R"({"cancelled":true,"tokens":1})");
}

TEST_F(engine_controller_test, TreatsAnUnnamedAdapterAsWrong) {
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_CALL(listener_, OnOutput(_, _)).Times(0);
  http_.Event(call, TextEvent(0));
}

// Guards against lost or duplicate tokens when the connection to the engine
// breaks.
TEST_F(engine_controller_test, ResumesABrokenStreamWhereItEnded) {
  AnswerStatus(Status());
  const auto call = Run();
  InSequence order;
  EXPECT_CALL(listener_, OnOutput(kAttempt, "x"));
  EXPECT_CALL(listener_, OnOutput(kAttempt, "1"));
  EXPECT_CALL(listener_, OnOutput(kAttempt, "2"));
  EXPECT_CALL(listener_, OnCompleted(kAttempt, _));
  http_.Event(call, FirstEvent());
  http_.Event(call, TextEvent(1));
  http_.Fail(call, net::http_failure::broken);
  const auto resumed = WaitForCall("/streams/s1?offset=2");
  // An event that was passed on before is dropped.
  http_.Event(resumed, TextEvent(1));
  http_.Event(resumed, TextEvent(2));
  http_.Event(resumed, DoneEvent(3));
}

// The id of a stream could change the path and the query of calls to it.
TEST_F(engine_controller_test, TheIdOfAStreamStaysOneSegment) {
  AnswerStatus(Status());
  const auto call = Run();
  json first = FirstEvent();
  first["stream_id"] = "../a b?c#d";
  http_.Event(call, first);
  http_.Fail(call, net::http_failure::broken);
  WaitForCall("/streams/..%2Fa%20b%3Fc%23d?offset=1");
}

// Guards against a truncated response that looks complete.
TEST_F(engine_controller_test, AStreamThatCannotBeResumedIsIncomplete) {
  AnswerStatus(Status());
  const auto call = Run();
  http_.Event(call, FirstEvent());
  EXPECT_CALL(listener_, OnCompleted(_, _)).Times(0);
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::incomplete)));
  EXPECT_CALL(listener_, OnReleased(kAttempt));
  // The connection ends without the last event.
  http_.Answer(call, 200, "");
  http_.Answer(WaitForCall("/streams/s1?offset=1"), 404, "");
}

// Guards against a dead connection while new ones work.
TEST_F(engine_controller_test, AnIdleStreamIsResumedOnANewConnection) {
  AnswerStatus(Status());
  const auto call = Run();
  http_.Event(call, FirstEvent());
  const auto resumed = WaitForCall("/streams/s1?offset=1");
  EXPECT_CALL(listener_, OnCompleted(kAttempt, _));
  http_.Event(resumed, DoneEvent(1));
}

TEST_F(engine_controller_test, NoFirstEventInTimeIsIncomplete) {
  AnswerStatus(Status());
  Run();
  bool failed = false;
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::incomplete)))
      .WillOnce([&](auto&&...) { failed = true; });
  EXPECT_TRUE(loop_.RunUntil([&] { return failed; }, kTimeout));
}

// No byte reached the engine, so the attempt can safely run elsewhere.
TEST_F(engine_controller_test, ARefusedConnectionIsNotRun) {
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::not_run)));
  EXPECT_CALL(listener_, OnReleased(kAttempt));
  http_.Fail(call, net::http_failure::not_sent);
}

TEST_F(engine_controller_test, AnAdapterThatIsNotResidentIsReported) {
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_CALL(listener_, OnAdapterMissing(kAttempt, false));
  http_.Answer(call, 404, R"({"error":"adapter_not_resident"})");
}

// Guards against an early release of the adapter, which the run may use until
// the engine confirms the cancel.
TEST_F(engine_controller_test, ACancelCountsOnlyWhenConfirmed) {
  AnswerStatus(Status());
  const auto call = Run();
  http_.Event(call, FirstEvent());
  EXPECT_CALL(listener_, OnCancelled(_)).Times(0);
  engine_.Cancel(kAttempt);
  http_.Fail(WaitForCall("/streams/s1/cancel"), net::http_failure::broken);
  const auto again = WaitForCall("/streams/s1/cancel");
  ::testing::Mock::VerifyAndClearExpectations(&listener_);
  EXPECT_CALL(listener_, OnCancelled(kAttempt));
  http_.Answer(again, 200, R"({"cancelled":true,"tokens":1})");
}

// Guards against endless resumption of a stream that another agent cancelled.
TEST_F(engine_controller_test, AStreamCancelledAtTheEngineIsIncomplete) {
  AnswerStatus(Status());
  const auto call = Run();
  http_.Event(call, FirstEvent());
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::incomplete)));
  http_.Event(call, {{"cancelled", true}, {"tokens", 1}});
}

// After a preemption the next run must continue after the delivered output.
TEST_F(engine_controller_test, ALaterRunContinuesTheDeliveredText) {
  AnswerStatus(Status());
  const auto call = Run({.delivered_text = "xy",
                         .delivered_tokens = core::token_count{2},
                         .run_index = 1});
  EXPECT_EQ(http_.BodyOf(call)["prompt"], "pxy");
  EXPECT_EQ(http_.BodyOf(call)["max_tokens"], 3);
  EXPECT_EQ(http_.BodyOf(call)["request_id"], "r.1.run1");
  EXPECT_CALL(listener_, OnCompleted(kAttempt, Field(&run_result::tokens,
                                                     core::token_count{3})));
  http_.Event(call, FirstEvent());
  http_.Event(call, DoneEvent(1));
}

// Guards against responses of the engine instance before a restart.
TEST_F(engine_controller_test, ARestartDropsRunsAndLoads) {
  AnswerStatus(Status());
  const auto call = Run();
  http_.Event(call, FirstEvent());
  engine_.Load(kOtherAdapter, std::nullopt);
  const auto load = WaitForCall("/adapters/load");
  EXPECT_CALL(listener_, OnEndpointRestart());
  EXPECT_CALL(listener_, OnLoadDone(_, _)).Times(0);
  EXPECT_CALL(listener_, OnEndpointState(_, IsEmpty()));
  auto status = Status("i2");
  status["resident"] = json::array();
  AnswerStatus(status);
  EXPECT_TRUE(http_.Open("/v1/completions").empty());
  EXPECT_TRUE(http_.Open("/adapters/load").empty()) << load;
}

// Lost runs are retried only if the endpoint is up when the restart is
// reported.
TEST_F(engine_controller_test, IsUpWhenItReportsARestartAfterAnOutage) {
  AnswerStatus(Status());
  http_.Fail(WaitForCall("/status"), net::http_failure::not_sent);
  EXPECT_FALSE(engine_.IsUp());
  EXPECT_CALL(listener_, OnEndpointRestart()).WillOnce([this] {
    EXPECT_TRUE(engine_.IsUp());
  });
  AnswerStatus(Status("i2"));
}

TEST_F(engine_controller_test, UnloadsBeforeItLoads) {
  AnswerStatus(Status());
  engine_.Load(kOtherAdapter, kAdapter);
  EXPECT_TRUE(http_.Open("/adapters/load").empty());
  http_.Answer(WaitForCall("/adapters/unload"), 200, "{}");
  EXPECT_CALL(listener_, OnLoadDone(kOtherAdapter, _));
  http_.Answer(WaitForCall("/adapters/load"), 200, "{}");
}

TEST_F(engine_controller_test, ReportsAFailedLoad) {
  AnswerStatus(Status());
  engine_.Load(kOtherAdapter, std::nullopt);
  EXPECT_CALL(listener_, OnLoadFailed(kOtherAdapter));
  http_.Answer(WaitForCall("/adapters/load"), 502,
               R"({"error":"load_failed"})");
}

// Guards against a status that was requested before a load ended and would make
// the loaded adapter look absent.
TEST_F(engine_controller_test, AStatusOlderThanALoadIsIgnored) {
  AnswerStatus(Status());
  ASSERT_TRUE(WaitFor("/status"));
  engine_.Load(kOtherAdapter, std::nullopt);
  http_.Answer(WaitForCall("/adapters/load"), 200, "{}");
  const std::vector<core::adapter_reference> both = {kAdapter, kOtherAdapter};
  EXPECT_CALL(listener_, OnEndpointState(_, both));
  AnswerStatus(Status());
}

// Guards against two agents that take control of one engine in turn.
TEST_F(engine_controller_test, YieldsToANewerAgent) {
  AnswerStatus(Status());
  ASSERT_TRUE(engine_.IsReady());
  AnswerStatus(Status("i1", (kStartMs + 1) << 20));
  EXPECT_FALSE(engine_.IsUp());
  EXPECT_FALSE(engine_.IsReady());
  // The newer agent is gone: its number no longer changes.
  EXPECT_TRUE(loop_.RunUntil(
      [&] {
        if (!http_.Open("/status").empty()) {
          AnswerStatus(Status("i1", (kStartMs + 1) << 20));
        }
        return engine_.IsReady();
      },
      kTimeout));
  EXPECT_GT(http_.BodyOf(Run())["fencing_number"], (kStartMs + 1) << 20);
}

TEST_F(engine_controller_test, ARejectedFencingNumberStopsCommands) {
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::not_run)));
  http_.Answer(call, 409, R"({"error":"stale_fencing_number"})");
  EXPECT_FALSE(engine_.IsReady());
  AnswerStatus(Status());
  EXPECT_TRUE(engine_.IsReady());
}

// The number of a restarted agent whose clock is behind must exceed the number
// of its previous process.
TEST_F(engine_controller_test, StartsAboveTheHighestNumberSeen) {
  const std::int64_t former = (kStartMs + 5000) << 20;
  AnswerStatus(Status("i1", former));
  EXPECT_TRUE(engine_.IsReady());
  EXPECT_GT(http_.BodyOf(Run())["fencing_number"], former);
}

// Guards against commands based on a status from before a pause.
TEST_F(engine_controller_test, IsNotReadyUntilTheStatusIsReadAgain) {
  AnswerStatus(Status());
  ASSERT_TRUE(WaitFor("/status"));
  const auto outdated = http_.Open("/status").front();
  engine_.Revalidate();
  // The read that was in flight started before the pause.
  EXPECT_NE(http_.Open("/status").front(), outdated);
  EXPECT_FALSE(engine_.IsReady());
  EXPECT_TRUE(engine_.IsUp());
}

TEST_F(engine_controller_test, IsDownWhenItRefusesConnections) {
  AnswerStatus(Status());
  http_.Fail(WaitForCall("/status"), net::http_failure::not_sent);
  EXPECT_FALSE(engine_.IsUp());
  AnswerStatus(Status());
  EXPECT_TRUE(engine_.IsUp());
}

TEST_F(engine_controller_test, OneFailedStatusReadIsNoOutage) {
  AnswerStatus(Status());
  http_.Fail(WaitForCall("/status"), net::http_failure::broken);
  EXPECT_TRUE(engine_.IsUp());
  http_.Fail(WaitForCall("/status"), net::http_failure::broken);
  EXPECT_FALSE(engine_.IsUp());
}

TEST_F(engine_controller_test, SurvivesAMalformedStatus) {
  AnswerStatus(json{{"instance_id", 5}});
  AnswerStatus(json::array());
  EXPECT_FALSE(engine_.IsUp());
}

// Guards against a value of the engine that exhausts the stack when it is
// copied or printed.
TEST_F(engine_controller_test, SurvivesDeeplyNestedValues) {
  constexpr std::size_t kDepth = 200'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  http_.Answer(WaitForCall("/status"), 200,
               R"({"instance_id":)" + nested + '}');
  EXPECT_FALSE(engine_.IsUp());
  AnswerStatus(Status());
  const auto call = Run();
  EXPECT_CALL(listener_, OnOutput(_, _)).Times(0);
  http_.EventText(call, R"({"adapter":)" + nested + R"(,"version":"v1"})");
}

}  // namespace
}  // namespace comfreyspring::agent

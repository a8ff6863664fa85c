#include "agent/queue_controller.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "agent/test_doubles.h"
#include "core/random_source.h"
#include "core/uuid.h"

namespace comfreyspring::agent {
namespace {

using core::milliseconds;
using core::outcome;
using ::testing::_;
using ::testing::NiceMock;
using ::testing::Return;

const entry_instance kEntry{core::process_id("entry-1"), 5};
const entry_instance kOtherEntry{core::process_id("entry-2"), 6};
const core::adapter_reference kAdapter{core::adapter_id("a"),
                                       core::version_id("v2")};
const core::endpoint_id kEndpoint("endpoint-1");
const core::service_id kService("orders");

class queue_controller_test : public ::testing::Test {
 protected:
  explicit queue_controller_test(
      core::endpoint_kind kind = core::endpoint_kind::engine)
      : started_at_(loop_.WallNow() - milliseconds(60'000)),
        ledger_(loop_, {.own_endpoint = kEndpoint, .started_at = started_at_}),
        queue_(loop_, {.kind = kind, .attempts = {.started_at = started_at_}},
               runner_, ledger_, responses_, metrics_) {
    ON_CALL(runner_, IsUp()).WillByDefault(Return(true));
    ON_CALL(runner_, IsReady()).WillByDefault(Return(true));
    const bool engine = kind == core::endpoint_kind::engine;
    queue_.OnEndpointState({engine ? 2U : 0U, 1},
                           engine ? std::vector{kAdapter}
                                  : std::vector<core::adapter_reference>());
    queue_.OnEndpointAvailability();
  }

  wire::submit Completion(const std::string& attempt) {
    wire::submit message;
    message.attempt = core::attempt_id(attempt);
    message.adapter = kAdapter;
    message.remaining = milliseconds(60'000);
    message.expires_unix_ms = core::UnixMilliseconds(loop_.WallNow()) + 60'000;
    message.expected_tokens = core::token_count{10};
    message.body = R"({"prompt":"p","max_tokens":10})";
    return message;
  }

  std::string NewUuid() { return core::MakeUuidV7(loop_.WallNow(), random_); }

  template <class Message>
  Message LastSent() const {
    const auto sent = sender_.Sent<Message>();
    EXPECT_FALSE(sent.empty());
    return sent.empty() ? Message() : sent.back();
  }

  net::event_loop loop_;
  core::wall_time started_at_;
  core::random_source random_{3};
  NiceMock<mock_endpoint_runner> runner_;
  recording_sender sender_;
  response_channel responses_{sender_, {}};
  telemetry::metrics metrics_;
  ledger_controller ledger_;
  queue_controller queue_;
};

TEST_F(queue_controller_test, AnswersACompletion) {
  EXPECT_CALL(runner_, Run(_));
  const auto message = Completion("r.1");
  queue_.OnSubmit(kEntry, message);
  EXPECT_EQ(LastSent<wire::accepted>().attempt, message.attempt);
  queue_.OnOutput(message.attempt, "x");
  queue_.OnCompleted(message.attempt, {.tokens = core::token_count{1}});
  EXPECT_EQ(LastSent<wire::chunk>().data, "x");
  EXPECT_EQ(LastSent<wire::finished>().chunk_count, 1U);
  EXPECT_EQ(LastSent<wire::finished>().adapter, kAdapter);
  EXPECT_EQ(sender_.FinalMessageCount(message.attempt), 1U);
  EXPECT_TRUE(queue_.IsIdle());
}

// An attempt whose withdraw overtook its submit was reported as not run, so it
// must not run.
TEST_F(queue_controller_test, ALateSubmitOfAWithdrawnAttemptDoesNotRun) {
  EXPECT_CALL(runner_, Run(_)).Times(0);
  const auto message = Completion(NewUuid() + ".1");
  queue_.OnWithdraw(kEntry, {message.attempt});
  EXPECT_EQ(LastSent<wire::withdrawn>().outcome, outcome::not_run);
  queue_.OnSubmit(kEntry, message);
  EXPECT_EQ(sender_.FinalMessageCount(message.attempt), 1U);
}

// A previous process of this agent may have run the attempt, so it must not be
// reported as not run.
TEST_F(queue_controller_test, AnAttemptOlderThanTheAgentIsUnknown) {
  const std::string old =
      core::MakeUuidV7(started_at_ - milliseconds(1000), random_);
  queue_.OnWithdraw(kEntry, {core::attempt_id(old + ".1")});
  EXPECT_EQ(LastSent<wire::withdrawn>().outcome, outcome::unknown);
  queue_.OnResume(kEntry, {core::attempt_id(old + ".2"), 0});
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::unknown);
}

TEST_F(queue_controller_test, AnExpiredSubmitIsRefused) {
  EXPECT_CALL(runner_, Run(_)).Times(0);
  auto message = Completion("r.1");
  message.expires_unix_ms = core::UnixMilliseconds(loop_.WallNow()) - 1;
  queue_.OnSubmit(kEntry, message);
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::not_run);
  EXPECT_EQ(LastSent<wire::refused>().reason, "expired");
}

// Guards against running an attempt twice when its submit arrives twice.
TEST_F(queue_controller_test, ADuplicateSubmitDoesNotRun) {
  EXPECT_CALL(runner_, Run(_)).Times(1);
  const auto message = Completion("r.1");
  queue_.OnSubmit(kEntry, message);
  queue_.OnSubmit(kEntry, message);
  queue_.OnCompleted(message.attempt, {});
  queue_.OnSubmit(kEntry, message);
  EXPECT_EQ(sender_.FinalMessageCount(message.attempt), 1U);
}

TEST_F(queue_controller_test, AQueuedAttemptIsWithdrawnAsNotRun) {
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnSubmit(kEntry, Completion("r.2"));
  queue_.OnWithdraw(kEntry, {core::attempt_id("r.2")});
  EXPECT_EQ(LastSent<wire::withdrawn>().attempt, core::attempt_id("r.2"));
  EXPECT_EQ(LastSent<wire::withdrawn>().outcome, outcome::not_run);
}

TEST_F(queue_controller_test, ARunningAttemptIsCancelledAndNeverNotRun) {
  const core::attempt_id attempt("r.1");
  queue_.OnSubmit(kEntry, Completion("r.1"));
  EXPECT_CALL(runner_, Cancel(attempt));
  queue_.OnWithdraw(kEntry, {attempt});
  EXPECT_EQ(sender_.FinalMessageCount(attempt), 0U);
  queue_.OnCancelled(attempt);
  EXPECT_EQ(LastSent<wire::withdrawn>().outcome, outcome::incomplete);
}

// A run that was cancelled for its wrong adapter must not be reported as not
// run.
TEST_F(queue_controller_test, AnAttemptThatRanInPartIsNeverNotRun) {
  const core::attempt_id attempt("r.1");
  queue_.OnSubmit(kEntry, Completion("r.1"));
  for (int i = 0; i < 5; ++i) {
    queue_.OnAdapterMissing(attempt, true);
    queue_.OnLoadDone(kAdapter, milliseconds(10));
  }
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::incomplete);
  EXPECT_EQ(sender_.FinalMessageCount(attempt), 1U);
}

TEST_F(queue_controller_test, ARestartRetriesOnlyRunsWithoutOutput) {
  const core::attempt_id attempt("r.1");
  EXPECT_CALL(runner_, Run(_)).Times(2);
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnEndpointRestart();
  queue_.OnLoadDone(kAdapter, milliseconds(10));
  queue_.OnOutput(attempt, "x");
  queue_.OnEndpointRestart();
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::incomplete);
  EXPECT_TRUE(queue_.IsIdle());
}

// Guards against failing a request when the engine restarts before its first
// output.
TEST_F(queue_controller_test, ARunLostWithoutOutputIsRetried) {
  const core::attempt_id attempt("r.1");
  const run_failure lost{outcome::incomplete, "stream_interrupted", ""};
  EXPECT_CALL(runner_, Run(_)).Times(3);
  queue_.OnSubmit(kEntry, Completion("r.1"));
  for (int i = 0; i < 3; ++i) {
    queue_.OnFailed(attempt, lost);
    queue_.OnReleased(attempt);
  }
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::incomplete);
  EXPECT_EQ(sender_.FinalMessageCount(attempt), 1U);
}

// Guards against lost runs of an unresponsive engine that wait in the queue
// until their deadline.
TEST_F(queue_controller_test, ARunLostByADownEndpointIsNotRetried) {
  const core::attempt_id attempt("r.1");
  queue_.OnSubmit(kEntry, Completion("r.1"));
  EXPECT_CALL(runner_, IsUp()).WillRepeatedly(Return(false));
  queue_.OnEndpointAvailability();
  queue_.OnFailed(attempt, {outcome::incomplete, "stream_interrupted", ""});
  queue_.OnReleased(attempt);
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::incomplete);
  EXPECT_TRUE(queue_.IsIdle());
}

TEST_F(queue_controller_test, ARunLostAfterOutputIsNotRetried) {
  const core::attempt_id attempt("r.1");
  EXPECT_CALL(runner_, Run(_)).Times(1);
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnOutput(attempt, "x");
  queue_.OnFailed(attempt, {outcome::incomplete, "stream_interrupted", ""});
  queue_.OnReleased(attempt);
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::incomplete);
}

TEST_F(queue_controller_test, AFailedRunKeepsItsPinUntilReleased) {
  const core::attempt_id attempt("r.1");
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnFailed(attempt, {outcome::incomplete, "engine_silent", ""});
  EXPECT_EQ(LastSent<wire::refused>().reason, "engine_silent");
  EXPECT_EQ(queue_.Report(kAdapter).running, 1);
  queue_.OnReleased(attempt);
  EXPECT_EQ(queue_.Report(kAdapter).running, 0);
  EXPECT_EQ(sender_.FinalMessageCount(attempt), 1U);
}

// Guards against a gap in the response when it is resumed after a lost link.
TEST_F(queue_controller_test, AResumeResendsTheMessagesFromTheSequence) {
  const core::attempt_id attempt("r.1");
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnOutput(attempt, "0");
  queue_.OnOutput(attempt, "1");
  queue_.OnCompleted(attempt, {.tokens = core::token_count{2}});
  queue_.OnResume(kEntry, {attempt, 1});
  EXPECT_EQ(sender_.Sent<wire::chunk>().size(), 3U);
  EXPECT_EQ(LastSent<wire::chunk>().sequence, 1U);
  EXPECT_EQ(sender_.Sent<wire::finished>().size(), 2U);
}

// Guards against dispatches based on the state from before a pause.
TEST_F(queue_controller_test, NothingIsDispatchedUntilVerified) {
  queue_.SetVerified(false);
  EXPECT_CALL(runner_, Run(_)).Times(0);
  queue_.OnSubmit(kEntry, Completion("r.1"));
  ::testing::Mock::VerifyAndClearExpectations(&runner_);
  ON_CALL(runner_, IsUp()).WillByDefault(Return(true));
  ON_CALL(runner_, IsReady()).WillByDefault(Return(true));
  EXPECT_CALL(runner_, Run(_));
  queue_.SetVerified(true);
}

TEST_F(queue_controller_test, QueuedWorkIsRefusedWhenTheEndpointIsDown) {
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnSubmit(kEntry, Completion("r.2"));
  EXPECT_CALL(runner_, IsUp()).WillRepeatedly(Return(false));
  queue_.OnEndpointAvailability();
  EXPECT_EQ(LastSent<wire::refused>().attempt, core::attempt_id("r.2"));
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::not_run);
  EXPECT_EQ(sender_.FinalMessageCount(core::attempt_id("r.1")), 0U);
}

// During a drain running work must finish and new work must be refused.
TEST_F(queue_controller_test, ADrainFinishesRunningWork) {
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.BeginDrain(loop_.Now() + milliseconds(60'000));
  EXPECT_TRUE(queue_.Report(kAdapter).draining);
  queue_.OnSubmit(kEntry, Completion("r.2"));
  EXPECT_EQ(LastSent<wire::refused>().attempt, core::attempt_id("r.2"));
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::not_run);
  EXPECT_FALSE(queue_.IsIdle());
  queue_.OnCompleted(core::attempt_id("r.1"), {});
  EXPECT_EQ(LastSent<wire::finished>().attempt, core::attempt_id("r.1"));
  EXPECT_TRUE(queue_.IsIdle());
}

TEST_F(queue_controller_test, AbortAllRefusesOpenAttempts) {
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.AbortAll("agent_ended");
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::incomplete);
}

TEST_F(queue_controller_test, WorkOfALostEntryIsWithdrawn) {
  queue_.OnSubmit(kEntry, Completion("r.1"));
  queue_.OnSubmit(kEntry, Completion("r.2"));
  queue_.OnSubmit(kOtherEntry, Completion("r.3"));
  EXPECT_CALL(runner_, Cancel(core::attempt_id("r.1")));
  queue_.OnEntryLost(kEntry);
  EXPECT_EQ(LastSent<wire::withdrawn>().attempt, core::attempt_id("r.2"));
  EXPECT_EQ(sender_.FinalMessageCount(core::attempt_id("r.3")), 0U);
}

class service_queue_test : public queue_controller_test {
 protected:
  service_queue_test()
      : queue_controller_test(core::endpoint_kind::plain_service) {
    auto set = std::make_shared<config::configuration>();
    set->version = {1, 1};
    config::service_record service;
    service.service = kService;
    service.repeatable = false;
    service.epochs = {{1, 0, {kEndpoint}}};
    set->services.push_back(service);
    ledger_.OnConfiguration(set);
  }

  wire::submit NonIdempotentCall(const std::string& attempt,
                                 const std::string& key) {
    auto message = Completion(attempt);
    message.kind = core::request_kind::service_call;
    message.adapter = {};
    message.idempotent = false;
    message.service = kService;
    message.key = core::idempotency_key(key);
    message.method = "POST";
    message.path = "/new";
    return message;
  }
};

// Guards against a second run of a non-idempotent call: every submit with the
// same key gets the response of one run.
TEST_F(service_queue_test, CallsWithTheSameKeyShareOneRun) {
  EXPECT_CALL(runner_, Run(_)).Times(1);
  const std::string key = NewUuid();
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.1", key));
  queue_.OnSubmit(kOtherEntry, NonIdempotentCall("q.1", key));
  queue_.OnCompleted(core::attempt_id("r.1"),
                     {.status = 201, .content_type = "t", .body = "done"});
  queue_.OnSubmit(kOtherEntry, NonIdempotentCall("q.2", key));
  const auto finished = sender_.Sent<wire::finished>();
  ASSERT_EQ(finished.size(), 3U);
  for (const auto& message : finished) {
    EXPECT_EQ(message.status, 201);
    EXPECT_EQ(message.chunk_count, 1U);
  }
  EXPECT_TRUE(queue_.IsIdle());
}

TEST_F(service_queue_test, ABrokenCallStaysUnknown) {
  EXPECT_CALL(runner_, Run(_)).Times(1);
  const std::string key = NewUuid();
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.1", key));
  queue_.OnFailed(core::attempt_id("r.1"), {outcome::unknown, "broken", ""});
  queue_.OnReleased(core::attempt_id("r.1"));
  queue_.OnSubmit(kOtherEntry, NonIdempotentCall("q.1", key));
  for (const auto& message : sender_.Sent<wire::refused>()) {
    EXPECT_EQ(message.outcome, outcome::unknown);
  }
  EXPECT_EQ(sender_.Sent<wire::refused>().size(), 2U);
}

TEST_F(service_queue_test, ACallThatWasNotSentMayBeRetried) {
  EXPECT_CALL(runner_, Run(_)).Times(2);
  const std::string key = NewUuid();
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.1", key));
  queue_.OnFailed(core::attempt_id("r.1"), {outcome::not_run, "down", ""});
  queue_.OnReleased(core::attempt_id("r.1"));
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::not_run);
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.2", key));
}

// A running non-idempotent call must continue when its entry dies, so that its
// response is recorded.
TEST_F(service_queue_test, ARunningCallOfALostEntryIsRecordedInTheLedger) {
  const std::string key = NewUuid();
  EXPECT_CALL(runner_, Cancel(_)).Times(0);
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.1", key));
  queue_.OnEntryLost(kEntry);
  EXPECT_EQ(LastSent<wire::withdrawn>().outcome, outcome::unknown);
  queue_.OnCompleted(core::attempt_id("r.1"), {.body = "done"});
  EXPECT_EQ(sender_.FinalMessageCount(core::attempt_id("r.1")), 1U);
  queue_.OnSubmit(kOtherEntry, NonIdempotentCall("q.1", key));
  EXPECT_EQ(LastSent<wire::finished>().attempt, core::attempt_id("q.1"));
}

TEST_F(service_queue_test, AWithdrawnQueuedCallMayBeRetried) {
  const std::string key = NewUuid();
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.1", NewUuid()));
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.2", key));
  queue_.OnSubmit(kOtherEntry, NonIdempotentCall("q.1", key));
  queue_.OnWithdraw(kEntry, {core::attempt_id("r.2")});
  EXPECT_EQ(LastSent<wire::withdrawn>().outcome, outcome::not_run);
  // The attempt that waited for the same call is refused as well.
  EXPECT_EQ(LastSent<wire::refused>().attempt, core::attempt_id("q.1"));
  EXPECT_EQ(LastSent<wire::refused>().outcome, outcome::not_run);
  queue_.OnSubmit(kEntry, NonIdempotentCall("r.3", key));
  EXPECT_EQ(LastSent<wire::accepted>().attempt, core::attempt_id("r.3"));
}

TEST_F(service_queue_test, ACompletionIsRefused) {
  queue_.OnSubmit(kEntry, Completion("r.1"));
  EXPECT_EQ(LastSent<wire::refused>().reason, "wrong_endpoint_kind");
}

}  // namespace
}  // namespace comfreyspring::agent

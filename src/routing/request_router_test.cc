#include "routing/request_router.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "routing/router_fixture_test.h"

namespace comfreyspring::routing {
namespace {

using core::milliseconds;
using core::outcome;

core::time_point At(std::int64_t ms) { return router_fixture::At(ms); }

wire::finished Finished(const core::attempt_id& attempt) {
  wire::finished message;
  message.attempt = attempt;
  message.tokens = {100};
  message.report = router_fixture::Up();
  return message;
}

wire::refused Refused(const core::attempt_id& attempt, outcome result) {
  wire::refused message;
  message.attempt = attempt;
  message.outcome = result;
  message.reason = "queue_full";
  message.retry_after = milliseconds(700);
  message.report = router_fixture::Up();
  return message;
}

class router_test : public testing::Test {
 protected:
  router_test() : fixture_(4), router_(fixture_.Router()) {}

  submit_attempt Submit(const request_attributes& attributes,
                        std::int64_t ms = 0) {
    const auto actions = router_.OnRequest(attributes, At(ms));
    return TakeAction<submit_attempt>(actions);
  }

  router_fixture fixture_;
  request_router& router_;
};

TEST_F(router_test, CompletesARequest) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  EXPECT_EQ(submit.attempt, core::attempt_id("r.1"));
  const auto first = router_.OnFirstChunk(submit.attempt, At(5));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_NE(FindAction<select_attempt>(first), nullptr);
  EXPECT_TRUE(router_.OnFirstChunk(submit.attempt, At(6)).empty());
  const auto last = router_.OnFinished(Finished(submit.attempt), At(9));
  ASSERT_EQ(last.size(), 1U);
  EXPECT_NE(FindAction<complete_request>(last), nullptr);
  EXPECT_EQ(router_.OpenRequests(), 0U);
}

// Guards against dropping a response because it had no chunks.
TEST_F(router_test, SelectsAnAnswerWithoutChunks) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  const auto actions = router_.OnFinished(Finished(submit.attempt), At(9));
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<select_attempt>(actions[0]));
  EXPECT_TRUE(std::holds_alternative<complete_request>(actions[1]));
}

TEST_F(router_test, RetriesARefusalElsewhereAndThenGivesUp) {
  submit_attempt submit = Submit(router_fixture::Completion("r"));
  std::set<core::endpoint_id> used = {submit.endpoint};
  for (int retry = 0; retry < 2; ++retry) {
    const auto actions =
        router_.OnRefused(Refused(submit.attempt, outcome::not_run), At(1));
    submit = TakeAction<submit_attempt>(actions);
    EXPECT_TRUE(used.insert(submit.endpoint).second);
  }
  const auto last =
      router_.OnRefused(Refused(submit.attempt, outcome::not_run), At(2));
  const auto fail = TakeAction<fail_request>(last);
  EXPECT_EQ(fail.outcome, outcome::not_run);
  EXPECT_EQ(fail.reason, "queue_full");
  EXPECT_EQ(fail.retry_after, milliseconds(700));
}

// Guards against a second run of work whose first outcome is unknown.
TEST_F(router_test, DoesNotRetryAnUnknownOutcome) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  const auto actions =
      router_.OnRefused(Refused(submit.attempt, outcome::unknown), At(1));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(TakeAction<fail_request>(actions).outcome, outcome::unknown);
}

TEST_F(router_test, RetriesALostEndpointBeforeTheFirstChunk) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  const auto actions = router_.OnEndpointLost(submit.endpoint, At(1));
  const auto retry = TakeAction<submit_attempt>(actions);
  EXPECT_NE(retry.endpoint, submit.endpoint);
  // A refusal of the retries proves nothing about the lost attempt.
  const auto again =
      router_.OnRefused(Refused(retry.attempt, outcome::not_run), At(2));
  const auto second = TakeAction<submit_attempt>(again);
  const auto last =
      router_.OnRefused(Refused(second.attempt, outcome::not_run), At(3));
  const auto fail = TakeAction<fail_request>(last);
  EXPECT_EQ(fail.outcome, outcome::unknown);
  EXPECT_EQ(fail.reason, "outcome_unknown");
}

// Guards against a truncated response although another engine can continue it,
// and against continuations without limit.
TEST_F(router_test, ContinuesALostCompletionTwiceThenFailsIncomplete) {
  submit_attempt attempt = Submit(router_fixture::Completion("r"));
  EXPECT_FALSE(attempt.continuation);
  std::set<core::endpoint_id> used = {attempt.endpoint};
  for (int i = 0; i < 2; ++i) {
    router_.OnFirstChunk(attempt.attempt, At(1));
    const auto actions = router_.OnEndpointLost(attempt.endpoint, At(2));
    ASSERT_EQ(actions.size(), 1U);
    attempt = TakeAction<submit_attempt>(actions);
    EXPECT_TRUE(attempt.continuation);
    EXPECT_TRUE(used.insert(attempt.endpoint).second);
  }
  const auto selected = router_.OnFirstChunk(attempt.attempt, At(3));
  EXPECT_EQ(TakeAction<select_attempt>(selected).attempt, attempt.attempt);
  const auto last = router_.OnEndpointLost(attempt.endpoint, At(4));
  ASSERT_EQ(last.size(), 1U);
  const auto fail = TakeAction<fail_request>(last);
  EXPECT_EQ(fail.outcome, outcome::incomplete);
  EXPECT_EQ(fail.reason, "stream_interrupted");
  EXPECT_EQ(router_.Counters().continuations, 2U);
}

// Guards against an outcome other than `incomplete` after output was delivered.
TEST_F(router_test, AFailedContinuationIsIncomplete) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  router_.OnFirstChunk(submit.attempt, At(1));
  const auto next = TakeAction<submit_attempt>(
      router_.OnRefused(Refused(submit.attempt, outcome::incomplete), At(2)));
  EXPECT_TRUE(next.continuation);
  const auto second = TakeAction<submit_attempt>(
      router_.OnRefused(Refused(next.attempt, outcome::not_run), At(3)));
  EXPECT_TRUE(second.continuation);
  const auto fail = TakeAction<fail_request>(
      router_.OnRefused(Refused(second.attempt, outcome::not_run), At(4)));
  EXPECT_EQ(fail.outcome, outcome::incomplete);
}

TEST_F(router_test, DoesNotContinueWhatMustNotBeContinued) {
  const submit_attempt order = Submit(router_fixture::Order("o"));
  router_.OnFirstChunk(order.attempt, At(1));
  EXPECT_EQ(
      TakeAction<fail_request>(
          router_.OnRefused(Refused(order.attempt, outcome::incomplete), At(2)))
          .outcome,
      outcome::unknown);
  request_attributes read = router_fixture::Order("s");
  read.idempotent = true;
  read.home.reset();
  const submit_attempt service = Submit(read);
  router_.OnFirstChunk(service.attempt, At(1));
  const submit_attempt wrong = Submit(router_fixture::Completion("w"));
  router_.OnFirstChunk(wrong.attempt, At(1));
  // Output that may be invalid must not be continued.
  EXPECT_EQ(TakeAction<fail_request>(
                router_.OnBrokenAnswer(wrong.attempt, "checksum", At(2)))
                .outcome,
            outcome::incomplete);
  const submit_attempt barred = Submit(router_fixture::Completion("b"));
  router_.OnFirstChunk(barred.attempt, At(1));
  router_.DisallowContinuation(barred.request);
  for (const core::endpoint_id& lost : {service.endpoint, barred.endpoint}) {
    EXPECT_EQ(
        TakeAction<fail_request>(router_.OnEndpointLost(lost, At(2))).outcome,
        outcome::incomplete);
  }
  EXPECT_EQ(router_.Counters().continuations, 0U);
}

TEST_F(router_test, ContinuesAValidOutputThatBreaksOff) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  router_.OnFirstChunk(submit.attempt, At(1));
  const auto actions =
      router_.OnBrokenAnswer(submit.attempt, "gap", At(2), true);
  EXPECT_EQ(TakeAction<withdraw_attempt>(actions).attempt, submit.attempt);
  const auto next = TakeAction<submit_attempt>(actions);
  EXPECT_TRUE(next.continuation);
  const auto last = router_.OnNothingToContinue(next.attempt, At(3));
  EXPECT_EQ(TakeAction<complete_request>(last).attempt, next.attempt);
  EXPECT_EQ(router_.OpenRequests(), 0U);
}

// Guards against an error for a completion of which nothing was delivered.
TEST_F(router_test, RetriesAnIncompleteRunWithoutOutput) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  const auto retry = TakeAction<submit_attempt>(
      router_.OnRefused(Refused(submit.attempt, outcome::incomplete), At(1)));
  EXPECT_NE(retry.endpoint, submit.endpoint);
  EXPECT_FALSE(retry.continuation);
}

// Guards against a repeated order: it is submitted once, to its home endpoint.
TEST_F(router_test, NeverRepeatsAnOrder) {
  const submit_attempt submit = Submit(router_fixture::Order("o"));
  EXPECT_EQ(submit.endpoint, core::endpoint_id("desk-0"));
  EXPECT_EQ(FindAction<submit_attempt>(router_.OnTick(At(5000))), nullptr);
  const auto actions = router_.OnEndpointLost(submit.endpoint, At(6000));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(TakeAction<fail_request>(actions).outcome, outcome::unknown);
}

TEST_F(router_test, OrderThatWasNotSentHasNotRun) {
  const submit_attempt submit = Submit(router_fixture::Order("o"));
  const auto actions = router_.OnNotSent(submit.attempt, At(1));
  ASSERT_EQ(actions.size(), 1U);
  const auto fail = TakeAction<fail_request>(actions);
  EXPECT_EQ(fail.outcome, outcome::not_run);
  EXPECT_EQ(fail.reason, "home_unreachable");
}

TEST_F(router_test, OrderFailsAtOnceWithoutItsHome) {
  fixture_.Directory().OnLeaving(core::endpoint_id("desk-0"), At(0));
  const auto actions = router_.OnRequest(router_fixture::Order("o"), At(0));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(TakeAction<fail_request>(actions).outcome, outcome::not_run);
}

// Guards against new work for an endpoint in a planned stop, and against a stop
// that interrupts running work.
TEST_F(router_test, PlannedStopTakesNoNewWorkAndEndsNothing) {
  const submit_attempt order = Submit(router_fixture::Order("o1"));
  fixture_.Directory().OnWallTime(core::WallTimeFromUnix(1500));
  const auto refused = router_.OnRequest(router_fixture::Order("o2"), At(1));
  EXPECT_EQ(TakeAction<fail_request>(refused).reason, "home_unreachable");
  EXPECT_TRUE(router_.OnTick(At(2)).empty());
  const auto actions = router_.OnFinished(Finished(order.attempt), At(3));
  EXPECT_NE(FindAction<complete_request>(actions), nullptr);
}

// Guards against a caller that waits beyond its deadline, and against the
// claim that a dispatched order has not run.
TEST_F(router_test, AnswersAtTheDeadline) {
  const submit_attempt order = Submit(router_fixture::Order("o", 1000));
  const auto actions = router_.OnTick(At(1000));
  const auto withdraw = TakeAction<withdraw_attempt>(actions);
  EXPECT_EQ(withdraw.attempt, order.attempt);
  const auto fail = TakeAction<fail_request>(actions);
  EXPECT_EQ(fail.outcome, outcome::unknown);
  EXPECT_EQ(fail.reason, "deadline_exceeded");
  // The confirmation arrives too late to change the result.
  EXPECT_TRUE(
      router_.OnWithdrawn({order.attempt, outcome::not_run}, At(1001)).empty());
}

TEST_F(router_test, DropsAndCountsLateFrames) {
  const submit_attempt submit = Submit(router_fixture::Completion("r"));
  router_.OnFinished(Finished(submit.attempt), At(1));
  EXPECT_TRUE(router_.OnFirstChunk(submit.attempt, At(2)).empty());
  EXPECT_TRUE(router_.OnFinished(Finished(submit.attempt), At(3)).empty());
  EXPECT_EQ(router_.Counters().late_frames_dropped, 2U);
}

TEST_F(router_test, CallerGoneWithdrawsCompletionsButNotOrders) {
  Submit(router_fixture::Completion("r"));
  Submit(router_fixture::Order("o"));
  const auto completion = router_.OnCallerGone(core::request_id("r"), At(1));
  EXPECT_NE(FindAction<withdraw_attempt>(completion), nullptr);
  EXPECT_TRUE(router_.OnCallerGone(core::request_id("o"), At(1)).empty());
  EXPECT_EQ(router_.OpenRequests(), 0U);
}

TEST_F(router_test, AsksForANewLinkOnceWhenNothingIsAcknowledged) {
  const submit_attempt submit = Submit(router_fixture::Order("o"));
  EXPECT_EQ(FindAction<suspect_link>(router_.OnTick(At(299))), nullptr);
  const auto actions = router_.OnTick(At(300));
  EXPECT_EQ(TakeAction<suspect_link>(actions).endpoint, submit.endpoint);
  EXPECT_EQ(FindAction<suspect_link>(router_.OnTick(At(1000))), nullptr);
}

TEST_F(router_test, RefusesWithoutEndpointsAtOnce) {
  fixture_.Directory().OnPause(At(0));
  const auto actions =
      router_.OnRequest(router_fixture::Completion("r"), At(0));
  const auto fail = TakeAction<fail_request>(actions);
  EXPECT_EQ(fail.reason, "no_endpoint");
  EXPECT_EQ(fail.outcome, outcome::not_run);
  EXPECT_GT(fail.retry_after, milliseconds(0));
}

TEST_F(router_test, RefusesWhenEveryWaitExceedsTheDeadline) {
  wire::endpoint_report busy = router_fixture::Up();
  busy.expected_wait = milliseconds(5000);
  for (int i = 0; i < 4; ++i) {
    fixture_.Directory().OnReport(
        core::endpoint_id("engine-" + std::to_string(i)), busy, At(1));
  }
  Submit(router_fixture::Completion("first"), 1);
  router_.OnTick(At(200));
  const auto actions =
      router_.OnRequest(router_fixture::Completion("r", 1200), At(200));
  const auto fail = TakeAction<fail_request>(actions);
  EXPECT_EQ(fail.reason, "overloaded");
  EXPECT_EQ(fail.retry_after, milliseconds(3801));
  EXPECT_EQ(router_.Counters().refused_overload, 1U);
}

// Guards against new work for an engine whose link may be dead.
TEST_F(router_test, PrefersOthersUntilASuspectedEndpointIsHeard) {
  const core::endpoint_id engine =
      Submit(router_fixture::Completion("r")).endpoint;
  router_.OnTick(At(300));
  EXPECT_NE(Submit(router_fixture::Completion("s"), 301).endpoint, engine);
  fixture_.Directory().OnReport(engine, router_fixture::Up(), At(400));
  EXPECT_EQ(Submit(router_fixture::Completion("t"), 401).endpoint, engine);
}

// Guards against a slow engine that is detected only when its responses end.
TEST_F(router_test, LeavesAnEngineWhoseChunksComeSlowly) {
  const submit_attempt first = Submit(router_fixture::Completion("first"));
  router_.OnAccepted(first.attempt, router_fixture::Up(), At(0));
  const core::endpoint_id engine = first.endpoint;
  std::int64_t now = 1;
  for (int i = 0; i < 200; ++i, now += 10) {
    auto attributes =
        router_fixture::Completion("w" + std::to_string(i), 1000000);
    attributes.adapter.adapter = core::adapter_id("a" + std::to_string(i));
    const submit_attempt submit = Submit(attributes, now);
    const std::int64_t step = submit.endpoint == engine ? 800 : 100;
    router_.OnAccepted(submit.attempt, router_fixture::Up(), At(now));
    router_.OnFirstChunk(submit.attempt, At(now));
    router_.OnProgress(submit.attempt, 9, At(now + step));
    router_.OnCallerGone(attributes.request, At(now + step));
    router_.OnTick(At(now));
  }
  for (const endpoint_load& load : router_.Loads()) {
    EXPECT_EQ(load.ejected, load.endpoint == engine);
  }
  EXPECT_NE(Submit(router_fixture::Completion("last", 1000000), now).endpoint,
            engine);
}

// Guards against a response that is delivered twice because of a hedge.
TEST_F(router_test, HedgesUrgentWorkAndWithdrawsTheLoser) {
  for (int i = 0; i < 64; ++i) {
    const submit_attempt submit =
        Submit(router_fixture::Completion("w" + std::to_string(i)), i);
    router_.OnAccepted(submit.attempt, router_fixture::Up(), At(i));
    router_.OnFirstChunk(submit.attempt, At(i + 20));
    router_.OnFinished(Finished(submit.attempt), At(i + 40));
  }
  const submit_attempt slow = Submit(router_fixture::Completion("r"), 200);
  EXPECT_EQ(FindAction<submit_attempt>(router_.OnTick(At(219))), nullptr);
  const auto actions = router_.OnTick(At(221));
  const auto hedge = TakeAction<submit_attempt>(actions);
  EXPECT_TRUE(hedge.hedge);
  EXPECT_NE(hedge.endpoint, slow.endpoint);
  const auto won = router_.OnFirstChunk(hedge.attempt, At(230));
  EXPECT_EQ(TakeAction<withdraw_attempt>(won).attempt, slow.attempt);
  EXPECT_TRUE(router_.OnFirstChunk(slow.attempt, At(231)).empty());
  EXPECT_EQ(router_.Counters().hedges_won, 1U);
}

}  // namespace
}  // namespace comfreyspring::routing

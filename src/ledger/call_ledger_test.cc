#include "ledger/call_ledger.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "core/random_source.h"
#include "core/uuid.h"
#include "ledger/handover_tracker.h"

namespace comfreyspring::ledger {
namespace {

using core::milliseconds;
using core::wall_time;

const core::endpoint_id kOwn("counter-1");
const core::endpoint_id kFormer("counter-2");
const core::endpoint_id kThird("counter-3");
const core::endpoint_id kFourth("counter-4");
const core::service_id kService("orders");
const wall_time kStart = core::WallTimeFromUnix(1'000'000'000);

wall_time At(std::int64_t ms_after_start) {
  return kStart + milliseconds(ms_after_start);
}

std::shared_ptr<config::configuration> Configuration(
    std::uint64_t generation, std::vector<config::ownership_epoch> epochs) {
  auto result = std::make_shared<config::configuration>();
  result->version = {generation, 1};
  config::service_record service;
  service.service = kService;
  service.repeatable = false;
  service.epochs = std::move(epochs);
  result->services.push_back(service);
  for (const auto& endpoint : {kOwn, kFormer}) {
    config::endpoint_record record;
    record.endpoint = endpoint;
    record.vm = core::vm_id("vm-" + endpoint.Value());
    record.kind = core::endpoint_kind::plain_service;
    record.service = kService;
    result->endpoints.push_back(record);
  }
  return result;
}

class call_ledger_test : public ::testing::Test {
 protected:
  call_ledger_test() { ledger_.OnConfiguration(Sole()); }

  static std::shared_ptr<config::configuration> Sole() {
    return Configuration(1, {{1, 0, {kOwn}}});
  }

  // kOwn takes over from kFormer 10 s after the start.
  static std::shared_ptr<config::configuration> TakeOver() {
    return Configuration(2, {{1, 0, {kFormer}},
                             {2, core::UnixMilliseconds(At(10'000)), {kOwn}}});
  }

  wire::submit Submit(wall_time key_time, const std::string& body = "order") {
    wire::submit message;
    message.attempt =
        core::attempt_id("attempt-" + std::to_string(++attempts_));
    message.kind = core::request_kind::service_call;
    message.service = kService;
    message.idempotent = false;
    message.key = core::idempotency_key(core::MakeUuidV7(key_time, random_));
    message.body = body;
    return message;
  }

  // A key made at `key_time` that `home` owns by the members of `epoch`.
  wire::submit SubmitOfHome(std::int64_t epoch, const core::endpoint_id& home,
                            wall_time key_time) {
    const auto& epochs = last_->services[0].epochs;
    const auto& wanted = epochs[static_cast<std::size_t>(epoch - 1)];
    auto message = Submit(key_time);
    while (HomeInEpoch(wanted, message.key) != home) message = Submit(key_time);
    return message;
  }

  void Adopt(std::shared_ptr<config::configuration> set) {
    last_ = set;
    ledger_.OnConfiguration(std::move(set));
  }

  wire::submit Repeat(wire::submit message) {
    message.attempt =
        core::attempt_id("attempt-" + std::to_string(++attempts_));
    return message;
  }

  static void ExpectRejected(const ledger_decision& decision,
                             core::outcome outcome, const std::string& reason) {
    const auto* rejected = std::get_if<reject_call>(&decision);
    ASSERT_NE(rejected, nullptr) << "decision " << decision.index();
    EXPECT_EQ(rejected->outcome, outcome);
    EXPECT_EQ(rejected->reason, reason);
  }

  core::random_source random_{7};
  int attempts_ = 0;
  std::shared_ptr<config::configuration> last_;
  call_ledger ledger_{{.own_endpoint = kOwn, .started_at = kStart}};
};

bool Runs(const ledger_decision& decision) {
  return std::holds_alternative<run_call>(decision);
}

// Guards against a repeat that runs, or that gets another answer.
TEST_F(call_ledger_test, RepeatOfFinishedKeyGetsTheRecordedAnswer) {
  const auto message = Submit(At(5000));
  ASSERT_TRUE(Runs(ledger_.OnSubmit(message, At(5000))));
  ledger_.OnDispatched(message.key);
  const auto waiting =
      ledger_.OnResponse(message.key, 201, "text/plain", "done");
  EXPECT_EQ(waiting, std::vector<core::attempt_id>{message.attempt});
  const auto decision = ledger_.OnSubmit(Repeat(message), At(6000));
  const auto* answer = std::get_if<replay_response>(&decision);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->status, 201);
  EXPECT_EQ(answer->content_type, "text/plain");
  EXPECT_EQ(answer->body, "done");
}

TEST_F(call_ledger_test, RepeatOfRunningKeyWaitsForTheAnswer) {
  const auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  const auto repeat = Repeat(message);
  EXPECT_TRUE(
      std::holds_alternative<join_running>(ledger_.OnSubmit(repeat, At(5001))));
  // The same frame twice must not make its attempt wait twice.
  ledger_.OnSubmit(repeat, At(5002));
  ledger_.OnDispatched(message.key);
  EXPECT_EQ(ledger_.OnResponse(message.key, 200, "", "").size(), 2U);
}

TEST_F(call_ledger_test, RepeatOfUnknownKeyStaysUnknown) {
  const auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  ledger_.OnDispatched(message.key);
  EXPECT_EQ(ledger_.OnOutcomeUnknown(message.key).size(), 1U);
  ExpectRejected(ledger_.OnSubmit(Repeat(message), At(6000)),
                 core::outcome::unknown, "outcome_unknown");
}

TEST_F(call_ledger_test, SameKeyWithAnotherBodyIsAConflict) {
  auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  message = Repeat(message);
  message.body = "another order";
  ExpectRejected(ledger_.OnSubmit(message, At(5001)), core::outcome::not_run,
                 "key_conflict");
}

// Guards guarantee 4: an attempt given back must not run when its frame
// arrives once more, while a new attempt of the same key may.
TEST_F(call_ledger_test, AttemptGivenBackNeverRuns) {
  const auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  EXPECT_EQ(ledger_.OnNotRun(message.key).size(), 1U);
  ExpectRejected(ledger_.OnSubmit(message, At(5001)), core::outcome::not_run,
                 "attempt_withdrawn");
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Repeat(message), At(5002))));
}

// Guards keys that may have run in an earlier life of this process.
TEST_F(call_ledger_test, KeyOlderThanTheStartIsUnknown) {
  ExpectRejected(ledger_.OnSubmit(Submit(At(-1)), At(3000)),
                 core::outcome::unknown, "key_older_than_record");
  ExpectRejected(ledger_.OnSubmit(Submit(At(2000)), At(3000)),
                 core::outcome::unknown, "key_older_than_record");
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Submit(At(2001)), At(3000))));
}

TEST_F(call_ledger_test, KeyFromTheFutureIsNotRun) {
  ExpectRejected(ledger_.OnSubmit(Submit(At(7001)), At(5000)),
                 core::outcome::not_run, "key_time_in_future");
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Submit(At(7000)), At(5000))));
}

// Guards against a second run after the record was dropped, also when the wall
// clock steps back afterwards.
TEST_F(call_ledger_test, KeyBeyondRetentionIsUnknown) {
  const auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  ledger_.OnDispatched(message.key);
  ledger_.OnResponse(message.key, 200, "", "");
  ledger_.OnTick(At(5000 + 3600 * 1000));
  EXPECT_EQ(ledger_.RecordCount(), 1U);
  ledger_.OnTick(At(5001 + 3600 * 1000));
  EXPECT_EQ(ledger_.RecordCount(), 0U);
  ExpectRejected(ledger_.OnSubmit(Repeat(message), At(9000)),
                 core::outcome::unknown, "key_older_than_retention");
}

TEST_F(call_ledger_test, KeyOfAnotherHomeIsNotRun) {
  ledger_.OnConfiguration(Configuration(2, {{1, 0, {kFormer}}}));
  ExpectRejected(ledger_.OnSubmit(Submit(At(5000)), At(5000)),
                 core::outcome::not_run, "not_home");
}

TEST_F(call_ledger_test, NoConfigurationMeansNotRun) {
  call_ledger fresh({.own_endpoint = kOwn, .started_at = kStart});
  ExpectRejected(fresh.OnSubmit(Submit(At(5000)), At(5000)),
                 core::outcome::not_run, "not_home");
}

TEST_F(call_ledger_test, KeyBeforeTheFirstKeptEpochIsUnknown) {
  ledger_.OnConfiguration(
      Configuration(2, {{5, core::UnixMilliseconds(At(10'000)), {kOwn}}}));
  ExpectRejected(ledger_.OnSubmit(Submit(At(9000)), At(11'000)),
                 core::outcome::unknown, "epoch_not_kept");
}

// Guards the takeover: until the former owner knows the new epoch it may still
// run the key.
TEST_F(call_ledger_test, HandoverNeedsTheReportOfTheFormerOwner) {
  ledger_.OnConfiguration(TakeOver());
  ExpectRejected(ledger_.OnSubmit(Submit(At(20'000)), At(20'000)),
                 core::outcome::unknown, "handover_incomplete");
  ledger_.OnPeerVersions({{{kFormer, 5, {1, 1}}}}, At(21'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(26'000)), At(26'000)),
                 core::outcome::unknown, "handover_incomplete");
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(30'000));
  // Made while the former owner may have run it, two clock skews included.
  ExpectRejected(ledger_.OnSubmit(Submit(At(34'000)), At(35'000)),
                 core::outcome::unknown, "handover_incomplete");
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Submit(At(34'001)), At(35'000))));
}

// Guards keys in flight when a later configuration arrives.
TEST_F(call_ledger_test, LaterConfigurationsDoNotRestartTheHandover) {
  ledger_.OnConfiguration(TakeOver());
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(20'000));
  ledger_.OnPeerVersions({{{kFormer, 5, {3, 1}}}}, At(30'000));
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Submit(At(30'000)), At(30'000))));
}

// Guards against a former owner that restarts with an older configuration.
TEST_F(call_ledger_test, ReportIsVoidWhenTheInstanceChanges) {
  ledger_.OnConfiguration(TakeOver());
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(20'000));
  ledger_.OnPeerVersions({{{kFormer, 6, {1, 1}}}}, At(30'000));
  // A late report of the ended instance changes nothing.
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(31'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(36'000)), At(36'000)),
                 core::outcome::unknown, "handover_incomplete");
}

TEST_F(call_ledger_test, GoneVmCompletesTheHandover) {
  ledger_.OnConfiguration(TakeOver());
  ledger_.OnPeerVersions({{{kFormer, 5, {1, 1}}}}, At(20'000));
  ledger_.OnVmRemoved(core::vm_id("vm-counter-2"), At(30'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(34'000)), At(34'001)),
                 core::outcome::unknown, "handover_incomplete");
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Submit(At(34'001)), At(34'001))));
  // The endpoint came back elsewhere and has not heard of the epoch.
  ledger_.OnPeerVersions({{{kFormer, 6, {1, 1}}}}, At(40'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(50'000)), At(50'000)),
                 core::outcome::unknown, "handover_incomplete");
}

// Guards against two operators that publish different members as one epoch.
TEST_F(call_ledger_test, ChangedEpochNeedsANewHandover) {
  ledger_.OnConfiguration(TakeOver());
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(20'000));
  auto changed = TakeOver();
  changed->version = {2, 9};
  changed->services[0].epochs[1].effective_from_ms += 1;
  ledger_.OnConfiguration(changed);
  ExpectRejected(ledger_.OnSubmit(Submit(At(30'000)), At(30'000)),
                 core::outcome::unknown, "handover_incomplete");
}

// Guards against an owner that lags by two epochs.
TEST_F(call_ledger_test, OwnersOfAllKeptEpochsMustHandOver) {
  ledger_.OnConfiguration(
      Configuration(3, {{1, 0, {kFormer}},
                        {2, core::UnixMilliseconds(At(10'000)), {kOwn}},
                        {3, core::UnixMilliseconds(At(12'000)), {kOwn}}}));
  ExpectRejected(ledger_.OnSubmit(Submit(At(30'000)), At(30'000)),
                 core::outcome::unknown, "handover_incomplete");
}

// Guards against a restarted agent that takes keys under an old configuration
// before it has heard anybody; it may not call them not run, as their newer
// home may have run them.
TEST_F(call_ledger_test, OwnershipNeedsAMajorityOfTheMembers) {
  Adopt(Configuration(2, {{1, 0, {kOwn}}, {2, 1, {kOwn, kFormer, kThird}}}));
  const auto message = SubmitOfHome(2, kOwn, At(5000));
  const auto decision = ledger_.OnSubmit(message, At(5000));
  ExpectRejected(decision, core::outcome::unknown, "ownership_unconfirmed");
  EXPECT_GT(std::get<reject_call>(decision).retry_after, milliseconds(0));
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(6000));
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Repeat(message), At(6000))));
}

TEST_F(call_ledger_test, OneOfTwoMembersIsNoMajority) {
  Adopt(Configuration(2, {{1, 0, {kOwn, kFormer}}}));
  ledger_.OnPeerVersions({{{kThird, 5, {2, 1}}}}, At(4000));
  const auto message = SubmitOfHome(1, kOwn, At(5000));
  ExpectRejected(ledger_.OnSubmit(message, At(5000)), core::outcome::unknown,
                 "ownership_unconfirmed");
  ledger_.OnPeerVersions({{{kFormer, 5, {1, 1}}}}, At(6000));
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Repeat(message), At(6000))));
}

// Guards against a majority that knows of a newer owner, and against refusals
// at each publication once the agent has been confirmed.
TEST_F(call_ledger_test, MemberAheadDelaysTheFirstConfirmationOnly) {
  const std::vector<config::ownership_epoch> epochs = {
      {1, 0, {kOwn, kFormer, kThird}}};
  Adopt(Configuration(2, epochs));
  ledger_.OnPeerVersions({{{kFormer, 5, {3, 1}}, {kThird, 5, {2, 1}}}},
                         At(4000));
  const auto message = SubmitOfHome(1, kOwn, At(5000));
  ExpectRejected(ledger_.OnSubmit(message, At(5000)), core::outcome::unknown,
                 "ownership_unconfirmed");
  Adopt(Configuration(3, epochs));
  EXPECT_TRUE(Runs(ledger_.OnSubmit(Repeat(message), At(6000))));
  ledger_.OnPeerVersions({{{kFormer, 5, {4, 1}}}}, At(7000));
  EXPECT_TRUE(
      Runs(ledger_.OnSubmit(SubmitOfHome(1, kOwn, At(8000)), At(8000))));
}

// Guards against a former owner that reports the epoch, restarts, and is
// confirmed in an older configuration by members that have not heard of it.
TEST_F(call_ledger_test, HandoverNeedsTheMajorityBeforeTheFormerOwner) {
  Adopt(Configuration(2, {{1, 0, {kFormer, kThird, kFourth}},
                          {2, core::UnixMilliseconds(At(1000)), {kOwn}}}));
  const auto refused_at = [&](std::int64_t time_ms) {
    ExpectRejected(
        ledger_.OnSubmit(SubmitOfHome(1, kFormer, At(time_ms)), At(time_ms)),
        core::outcome::unknown, "handover_incomplete");
  };
  const std::int64_t age = kMaximumReportAge.count();
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}, {kThird, 5, {1, 1}}}},
                         At(10'000));
  refused_at(20'000);
  ledger_.OnPeerVersions({{{kThird, 5, {2, 1}}}}, At(30'000));
  refused_at(40'000);
  // May have been made before the report of kThird reached its readers.
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(29'999 + 2 * age));
  refused_at(40'000 + 2 * age);
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(50'000 + 2 * age));
  refused_at(54'000 + 2 * age);
  EXPECT_TRUE(Runs(ledger_.OnSubmit(
      SubmitOfHome(1, kFormer, At(54'001 + 2 * age)), At(54'001 + 2 * age))));
  // Later reports do not move the handover.
  ledger_.OnPeerVersions({{{kFormer, 5, {2, 1}}}}, At(60'000 + 2 * age));
  EXPECT_TRUE(Runs(ledger_.OnSubmit(
      SubmitOfHome(1, kFormer, At(60'000 + 2 * age)), At(60'000 + 2 * age))));
}

TEST_F(call_ledger_test, FullLedgerRefusesNewKeysAsNotRun) {
  call_ledger small(
      {.own_endpoint = kOwn, .started_at = kStart, .maximum_records = 1});
  small.OnConfiguration(Sole());
  EXPECT_TRUE(Runs(small.OnSubmit(Submit(At(5000)), At(5000))));
  ExpectRejected(small.OnSubmit(Submit(At(5000)), At(5000)),
                 core::outcome::not_run, "ledger_full");
}

// Guards guarantee 3: a long answer is never replayed as an empty one.
TEST_F(call_ledger_test, LongAnswerIsNotReplayed) {
  call_ledger small(
      {.own_endpoint = kOwn, .started_at = kStart, .maximum_answer_bytes = 3});
  small.OnConfiguration(Sole());
  const auto message = Submit(At(5000));
  small.OnSubmit(message, At(5000));
  small.OnDispatched(message.key);
  small.OnResponse(message.key, 200, "", "long");
  ExpectRejected(small.OnSubmit(Repeat(message), At(5001)),
                 core::outcome::incomplete, "answer_not_kept");
}

TEST_F(call_ledger_test, KeyThatIsNoUuidIsNotRun) {
  auto message = Submit(At(5000));
  message.key = core::idempotency_key("42");
  ExpectRejected(ledger_.OnSubmit(message, At(5000)), core::outcome::not_run,
                 "invalid_key");
}

}  // namespace
}  // namespace comfreyspring::ledger

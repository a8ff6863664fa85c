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

const core::endpoint_id kOwnEndpoint("counter-1");
const core::endpoint_id kFormerOwner("counter-2");
const core::endpoint_id kThirdMember("counter-3");
const core::endpoint_id kFourthMember("counter-4");
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
  for (const auto& endpoint : {kOwnEndpoint, kFormerOwner}) {
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
  call_ledger_test() { ledger_.OnConfiguration(SoleOwnerConfiguration()); }

  static std::shared_ptr<config::configuration> SoleOwnerConfiguration() {
    return Configuration(1, {{1, 0, {kOwnEndpoint}}});
  }

  // kOwnEndpoint takes over from kFormerOwner 10 s after the start.
  static std::shared_ptr<config::configuration> TakeoverConfiguration() {
    return Configuration(
        2, {{1, 0, {kFormerOwner}},
            {2, core::UnixMilliseconds(At(10'000)), {kOwnEndpoint}}});
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

  // A submit whose key is created at `key_time` and owned by `owner` in
  // `epoch`.
  wire::submit SubmitOwnedBy(std::int64_t epoch, const core::endpoint_id& owner,
                             wall_time key_time) {
    const auto& epochs = last_->services[0].epochs;
    const auto& record = epochs[static_cast<std::size_t>(epoch - 1)];
    auto submit = Submit(key_time);
    while (OwnerInEpoch(record, submit.key) != owner) submit = Submit(key_time);
    return submit;
  }

  void Adopt(std::shared_ptr<config::configuration> configuration) {
    last_ = configuration;
    ledger_.OnConfiguration(std::move(configuration));
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
  call_ledger ledger_{{.own_endpoint = kOwnEndpoint, .started_at = kStart}};
};

bool IsRun(const ledger_decision& decision) {
  return std::holds_alternative<run_call>(decision);
}

// Guards against a repeat that runs again or gets a different response.
TEST_F(call_ledger_test, RepeatOfFinishedKeyGetsTheRecordedResponse) {
  const auto message = Submit(At(5000));
  ASSERT_TRUE(IsRun(ledger_.OnSubmit(message, At(5000))));
  ledger_.OnDispatched(message.key);
  const auto waiting =
      ledger_.OnResponse(message.key, 201, "text/plain", "done");
  EXPECT_EQ(waiting, std::vector<core::attempt_id>{message.attempt});
  const auto decision = ledger_.OnSubmit(Repeat(message), At(6000));
  const auto* response = std::get_if<replay_response>(&decision);
  ASSERT_NE(response, nullptr);
  EXPECT_EQ(response->status, 201);
  EXPECT_EQ(response->content_type, "text/plain");
  EXPECT_EQ(response->body, "done");
}

TEST_F(call_ledger_test, RepeatOfRunningKeyWaitsForTheResponse) {
  const auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  const auto repeat = Repeat(message);
  EXPECT_TRUE(
      std::holds_alternative<join_running>(ledger_.OnSubmit(repeat, At(5001))));
  // A duplicate of the frame must not add its attempt a second time.
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

// Guards against an attempt that runs after it was reported as not run because
// its frame arrives again. A new attempt with the same key may run.
TEST_F(call_ledger_test, WithdrawnAttemptNeverRuns) {
  const auto message = Submit(At(5000));
  ledger_.OnSubmit(message, At(5000));
  EXPECT_EQ(ledger_.OnNotRun(message.key).size(), 1U);
  ExpectRejected(ledger_.OnSubmit(message, At(5001)), core::outcome::not_run,
                 "attempt_withdrawn");
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Repeat(message), At(5002))));
}

// Guards against a second run of a key that a previous process may have run.
TEST_F(call_ledger_test, KeyOlderThanTheStartIsUnknown) {
  ExpectRejected(ledger_.OnSubmit(Submit(At(-1)), At(3000)),
                 core::outcome::unknown, "key_older_than_record");
  ExpectRejected(ledger_.OnSubmit(Submit(At(2000)), At(3000)),
                 core::outcome::unknown, "key_older_than_record");
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Submit(At(2001)), At(3000))));
}

TEST_F(call_ledger_test, KeyFromTheFutureIsNotRun) {
  ExpectRejected(ledger_.OnSubmit(Submit(At(7001)), At(5000)),
                 core::outcome::not_run, "key_time_in_future");
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Submit(At(7000)), At(5000))));
}

// Guards against a second run of a key whose record was removed, also when the
// wall clock steps back afterwards.
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

TEST_F(call_ledger_test, KeyOfAnotherOwnerIsNotRun) {
  ledger_.OnConfiguration(Configuration(2, {{1, 0, {kFormerOwner}}}));
  ExpectRejected(ledger_.OnSubmit(Submit(At(5000)), At(5000)),
                 core::outcome::not_run, "not_home");
}

TEST_F(call_ledger_test, NoConfigurationMeansNotRun) {
  call_ledger fresh({.own_endpoint = kOwnEndpoint, .started_at = kStart});
  ExpectRejected(fresh.OnSubmit(Submit(At(5000)), At(5000)),
                 core::outcome::not_run, "not_home");
}

TEST_F(call_ledger_test, KeyBeforeTheFirstKeptEpochIsUnknown) {
  ledger_.OnConfiguration(Configuration(
      2, {{5, core::UnixMilliseconds(At(10'000)), {kOwnEndpoint}}}));
  ExpectRejected(ledger_.OnSubmit(Submit(At(9000)), At(11'000)),
                 core::outcome::unknown, "epoch_not_kept");
}

// Guards against a run at the new owner while the former owner does not know
// the new epoch and may still run the key.
TEST_F(call_ledger_test, HandoverNeedsTheReportOfTheFormerOwner) {
  ledger_.OnConfiguration(TakeoverConfiguration());
  ExpectRejected(ledger_.OnSubmit(Submit(At(20'000)), At(20'000)),
                 core::outcome::unknown, "handover_incomplete");
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {1, 1}}}}, At(21'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(26'000)), At(26'000)),
                 core::outcome::unknown, "handover_incomplete");
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(30'000));
  // The former owner may have run this key: it was created less than twice the
  // clock skew after the report.
  ExpectRejected(ledger_.OnSubmit(Submit(At(34'000)), At(35'000)),
                 core::outcome::unknown, "handover_incomplete");
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Submit(At(34'001)), At(35'000))));
}

// Guards against rejected keys in flight when a later configuration arrives.
TEST_F(call_ledger_test, LaterConfigurationsDoNotRestartTheHandover) {
  ledger_.OnConfiguration(TakeoverConfiguration());
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(20'000));
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {3, 1}}}}, At(30'000));
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Submit(At(30'000)), At(30'000))));
}

// Guards against a run at the new owner after the former owner has reported the
// new epoch and restarted with an older configuration.
TEST_F(call_ledger_test, ReportIsInvalidWhenTheInstanceChanges) {
  ledger_.OnConfiguration(TakeoverConfiguration());
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(20'000));
  ledger_.OnPeerVersions({{{kFormerOwner, 6, {1, 1}}}}, At(30'000));
  // A delayed report of the previous instance has no effect.
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(31'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(36'000)), At(36'000)),
                 core::outcome::unknown, "handover_incomplete");
}

TEST_F(call_ledger_test, RemovedVmCompletesTheHandover) {
  ledger_.OnConfiguration(TakeoverConfiguration());
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {1, 1}}}}, At(20'000));
  ledger_.OnVmRemoved(core::vm_id("vm-counter-2"), At(30'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(34'000)), At(34'001)),
                 core::outcome::unknown, "handover_incomplete");
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Submit(At(34'001)), At(34'001))));
  // The endpoint now runs on another VM and has not reported the epoch.
  ledger_.OnPeerVersions({{{kFormerOwner, 6, {1, 1}}}}, At(40'000));
  ExpectRejected(ledger_.OnSubmit(Submit(At(50'000)), At(50'000)),
                 core::outcome::unknown, "handover_incomplete");
}

// Guards against a report for one definition of an epoch that counts for
// another: two operators may publish the same epoch with different contents.
TEST_F(call_ledger_test, ChangedEpochNeedsANewHandover) {
  ledger_.OnConfiguration(TakeoverConfiguration());
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(20'000));
  auto changed = TakeoverConfiguration();
  changed->version = {2, 9};
  changed->services[0].epochs[1].effective_from_ms += 1;
  ledger_.OnConfiguration(changed);
  ExpectRejected(ledger_.OnSubmit(Submit(At(30'000)), At(30'000)),
                 core::outcome::unknown, "handover_incomplete");
}

// Guards against a second run at an owner that is two epochs behind.
TEST_F(call_ledger_test, OwnersOfAllKeptEpochsMustHandOver) {
  ledger_.OnConfiguration(Configuration(
      3, {{1, 0, {kFormerOwner}},
          {2, core::UnixMilliseconds(At(10'000)), {kOwnEndpoint}},
          {3, core::UnixMilliseconds(At(12'000)), {kOwnEndpoint}}}));
  ExpectRejected(ledger_.OnSubmit(Submit(At(30'000)), At(30'000)),
                 core::outcome::unknown, "handover_incomplete");
}

// Guards against a restarted agent that accepts keys by an old configuration
// before any member has reported. The outcome must be unknown, not not_run: a
// newer owner may have run the keys.
TEST_F(call_ledger_test, OwnershipNeedsAMajorityOfTheMembers) {
  Adopt(Configuration(2, {{1, 0, {kOwnEndpoint}},
                          {2, 1, {kOwnEndpoint, kFormerOwner, kThirdMember}}}));
  const auto message = SubmitOwnedBy(2, kOwnEndpoint, At(5000));
  const auto decision = ledger_.OnSubmit(message, At(5000));
  ExpectRejected(decision, core::outcome::unknown, "ownership_unconfirmed");
  EXPECT_GT(std::get<reject_call>(decision).retry_after, milliseconds(0));
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(6000));
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Repeat(message), At(6000))));
}

TEST_F(call_ledger_test, OneOfTwoMembersIsNoMajority) {
  Adopt(Configuration(2, {{1, 0, {kOwnEndpoint, kFormerOwner}}}));
  ledger_.OnPeerVersions({{{kThirdMember, 5, {2, 1}}}}, At(4000));
  const auto message = SubmitOwnedBy(1, kOwnEndpoint, At(5000));
  ExpectRejected(ledger_.OnSubmit(message, At(5000)), core::outcome::unknown,
                 "ownership_unconfirmed");
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {1, 1}}}}, At(6000));
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Repeat(message), At(6000))));
}

// Guards against a confirmation by a member that knows a newer configuration,
// and against rejections at each publication after the confirmation.
TEST_F(call_ledger_test, MemberWithNewerVersionDelaysOnlyTheFirstConfirmation) {
  const std::vector<config::ownership_epoch> epochs = {
      {1, 0, {kOwnEndpoint, kFormerOwner, kThirdMember}}};
  Adopt(Configuration(2, epochs));
  ledger_.OnPeerVersions(
      {{{kFormerOwner, 5, {3, 1}}, {kThirdMember, 5, {2, 1}}}}, At(4000));
  const auto message = SubmitOwnedBy(1, kOwnEndpoint, At(5000));
  ExpectRejected(ledger_.OnSubmit(message, At(5000)), core::outcome::unknown,
                 "ownership_unconfirmed");
  Adopt(Configuration(3, epochs));
  EXPECT_TRUE(IsRun(ledger_.OnSubmit(Repeat(message), At(6000))));
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {4, 1}}}}, At(7000));
  EXPECT_TRUE(IsRun(
      ledger_.OnSubmit(SubmitOwnedBy(1, kOwnEndpoint, At(8000)), At(8000))));
}

// Guards against a second run at a former owner that reports the new epoch,
// restarts, and has its ownership by an older configuration confirmed by
// members that do not know the new epoch.
TEST_F(call_ledger_test, HandoverNeedsTheMajorityBeforeTheFormerOwner) {
  Adopt(Configuration(2,
                      {{1, 0, {kFormerOwner, kThirdMember, kFourthMember}},
                       {2, core::UnixMilliseconds(At(1000)), {kOwnEndpoint}}}));
  const auto expect_incomplete_at = [&](std::int64_t time_ms) {
    ExpectRejected(ledger_.OnSubmit(SubmitOwnedBy(1, kFormerOwner, At(time_ms)),
                                    At(time_ms)),
                   core::outcome::unknown, "handover_incomplete");
  };
  const std::int64_t age = kMaximumReportAge.count();
  ledger_.OnPeerVersions(
      {{{kFormerOwner, 5, {2, 1}}, {kThirdMember, 5, {1, 1}}}}, At(10'000));
  expect_incomplete_at(20'000);
  ledger_.OnPeerVersions({{{kThirdMember, 5, {2, 1}}}}, At(30'000));
  expect_incomplete_at(40'000);
  // This report may have been created before that of kThirdMember arrived.
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(29'999 + 2 * age));
  expect_incomplete_at(40'000 + 2 * age);
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(50'000 + 2 * age));
  expect_incomplete_at(54'000 + 2 * age);
  EXPECT_TRUE(IsRun(
      ledger_.OnSubmit(SubmitOwnedBy(1, kFormerOwner, At(54'001 + 2 * age)),
                       At(54'001 + 2 * age))));
  // Later reports do not change the time of the handover.
  ledger_.OnPeerVersions({{{kFormerOwner, 5, {2, 1}}}}, At(60'000 + 2 * age));
  EXPECT_TRUE(IsRun(
      ledger_.OnSubmit(SubmitOwnedBy(1, kFormerOwner, At(60'000 + 2 * age)),
                       At(60'000 + 2 * age))));
}

TEST_F(call_ledger_test, FullLedgerRefusesNewKeysAsNotRun) {
  call_ledger small({.own_endpoint = kOwnEndpoint,
                     .started_at = kStart,
                     .maximum_records = 1});
  small.OnConfiguration(SoleOwnerConfiguration());
  EXPECT_TRUE(IsRun(small.OnSubmit(Submit(At(5000)), At(5000))));
  ExpectRejected(small.OnSubmit(Submit(At(5000)), At(5000)),
                 core::outcome::not_run, "ledger_full");
}

// Guards against a response that is too long to be recorded and is replayed
// with an empty body.
TEST_F(call_ledger_test, LongResponseIsNotReplayed) {
  call_ledger small({.own_endpoint = kOwnEndpoint,
                     .started_at = kStart,
                     .maximum_response_bytes = 3});
  small.OnConfiguration(SoleOwnerConfiguration());
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

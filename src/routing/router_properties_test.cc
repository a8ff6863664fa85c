#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/request_router.h"
#include "routing/router_fixture_test.h"

namespace comfreyspring::routing {
namespace {

using core::attempt_id;
using core::endpoint_id;
using core::outcome;
using core::request_id;

/** Expected state of an attempt according to the events so far. */
struct expected_attempt {
  endpoint_id endpoint;
  request_id request;
  bool open = true;
  bool proved_not_run = false;
  bool lost = false;
  bool chunk_seen = false;
  /** Refused in a way that allows another run of a completion. */
  bool repeatable = false;
  /** Failed after output that another attempt may continue. */
  bool continuable = false;
  bool continuation = false;
  /** Another attempt of the request was selected. */
  bool superseded = false;
};

struct expected_request {
  request_attributes attributes;
  std::vector<attempt_id> attempts;
  int selects = 0;
  int continuations = 0;
  bool may_select = true;
  int final_results = 0;
  bool caller_gone = false;
  attempt_id selected;
};

/**
 * Checks every action of a router against the rules for results, retries,
 * continuations, hedges and outcomes.
 */
class router_checker {
 public:
  router_checker() : fixture_(5, 7), router_(fixture_.Router()) { WarmUp(); }

  void Step() {
    switch (*rc::gen::inRange(0, 15)) {
      case 0:
      case 1:
      case 2:
        NewRequest();
        break;
      case 3:
        if (const auto attempt = AnyAttempt()) {
          Check(router_.OnAccepted(*attempt, router_fixture::Up(), Now()));
        }
        break;
      case 4:
        FirstChunk();
        break;
      case 5:
        Finish();
        break;
      case 6:
        Refuse();
        break;
      case 7:
        NotSent();
        break;
      case 8:
        LoseEndpoint();
        break;
      case 9:
        now_ms_ += *rc::gen::inRange(0, 700);
        Check(router_.OnTick(Now()));
        break;
      case 10:
        if (const auto attempt = AnyAttempt()) {
          router_.OnProgress(*attempt, *rc::gen::inRange(0, 50), Now());
        }
        CallerGone();
        break;
      case 11:
        Withdrawn();
        break;
      case 12:
        BreakAnswer();
        break;
      case 13:
        NothingLeft();
        break;
      default:
        ChangeDirectory();
        break;
    }
    CheckBudgets();
  }

  /** Lets every deadline pass: no request may remain without a result. */
  void End() {
    now_ms_ += 100000;
    Check(router_.OnTick(Now()));
    for (const auto& [id, request] : requests_) {
      RC_ASSERT(request.final_results == (request.caller_gone ? 0 : 1));
    }
    RC_ASSERT(router_.OpenRequests() == 0U);
  }

 private:
  /** Finishes enough requests for hedges to be possible. */
  void WarmUp() {
    for (int i = 0; i < 64; ++i) {
      const std::string name = std::to_string(100 + i);
      const request_attributes attributes = router_fixture::Completion(name);
      requests_[attributes.request].attributes = attributes;
      Check(router_.OnRequest(attributes, Now()));
      const attempt_id attempt(name + ".1");
      Check(router_.OnFirstChunk(attempt, Now() + core::milliseconds(20)));
      Check(router_.OnFinished(FinishedOf(attempt), Now()));
    }
    requests_.clear();
    attempts_.clear();
  }
  static wire::finished FinishedOf(const attempt_id& attempt) {
    wire::finished message;
    message.attempt = attempt;
    message.report = router_fixture::Up();
    message.tokens = {100};
    return message;
  }

  core::time_point Now() const { return router_fixture::At(now_ms_); }
  endpoint_id AnyEndpoint() {
    const auto all = fixture_.Directory().All();
    return all[*rc::gen::inRange<std::size_t>(0, all.size())];
  }
  std::optional<attempt_id> AnyAttempt() {
    if (attempts_.empty()) return std::nullopt;
    auto position = attempts_.begin();
    // Mostly recent attempts, sometimes old ones that the router has erased.
    const auto skipped = *rc::gen::inRange<std::size_t>(
        attempts_.size() > 8 && *rc::gen::inRange(0, 4) > 0
            ? attempts_.size() - 8
            : 0,
        attempts_.size());
    std::advance(position, static_cast<std::ptrdiff_t>(skipped));
    return position->first;
  }

  void NewRequest() {
    // Names sort in the order of creation.
    const std::string name = std::to_string(1000 + requests_.size());
    const bool order = *rc::gen::inRange(0, 3) == 0;
    const std::int64_t deadline = now_ms_ + *rc::gen::inRange(0, 3000);
    request_attributes attributes =
        order ? router_fixture::Order(name, deadline)
              : router_fixture::Completion(name, deadline);
    if (order && *rc::gen::arbitrary<bool>()) {
      attributes.idempotent = true;
      attributes.home.reset();
    }
    attributes.adapter.adapter =
        core::adapter_id("a" + std::to_string(*rc::gen::inRange(0, 4)));
    if (*rc::gen::inRange(0, 3) == 0) {
      attributes.priority = core::priority_class::may_wait;
    }
    requests_[attributes.request].attributes = attributes;
    Check(router_.OnRequest(attributes, Now()));
  }
  void FirstChunk() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    expected_attempt& expected = attempts_.at(*attempt);
    if (expected.proved_not_run || expected.lost) return;
    // The router drops frames of attempts that have ended.
    expected.chunk_seen |= expected.open;
    Check(router_.OnFirstChunk(*attempt, Now()));
  }
  void Finish() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    expected_attempt& expected = attempts_.at(*attempt);
    if (expected.proved_not_run || expected.lost) return;
    expected.chunk_seen |= expected.open;
    Check(router_.OnFinished(FinishedOf(*attempt), Now()));
  }
  void Refuse() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    expected_attempt& expected = attempts_.at(*attempt);
    wire::refused message;
    message.attempt = *attempt;
    message.outcome = *rc::gen::element(outcome::not_run, outcome::unknown,
                                        outcome::incomplete);
    message.report = router_fixture::Up();
    message.reason = "queue_full";
    const bool not_run = message.outcome == outcome::not_run;
    expected.proved_not_run |= not_run && !expected.chunk_seen && expected.open;
    expected.repeatable |= message.outcome != outcome::unknown && expected.open;
    expected.open = false;
    Check(router_.OnRefused(message, Now()));
  }
  void NotSent() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    expected_attempt& expected = attempts_.at(*attempt);
    if (expected.chunk_seen || !expected.open) return;
    expected.proved_not_run = true;
    expected.open = false;
    Check(router_.OnNotSent(*attempt, Now()));
  }
  void Withdrawn() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    expected_attempt& expected = attempts_.at(*attempt);
    const bool not_run = *rc::gen::arbitrary<bool>() && !expected.chunk_seen;
    expected.proved_not_run |= not_run;
    expected.open = false;
    Check(router_.OnWithdrawn(
        {*attempt, not_run ? outcome::not_run : outcome::unknown}, Now()));
  }
  void BreakAnswer() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    expected_attempt& expected = attempts_.at(*attempt);
    if (expected.proved_not_run || expected.lost) return;
    const bool valid = *rc::gen::arbitrary<bool>();
    expected.continuable |= valid && expected.open && expected.chunk_seen;
    expected.chunk_seen |= expected.open;
    Check(router_.OnBrokenAnswer(*attempt, "checksum", Now(), valid));
  }
  void NothingLeft() {
    const auto attempt = AnyAttempt();
    if (!attempt) return;
    const expected_attempt& expected = attempts_.at(*attempt);
    if (!expected.continuation || expected.chunk_seen) return;
    const bool was_open = expected.open;
    const auto actions = router_.OnNothingToContinue(*attempt, Now());
    RC_ASSERT((FindAction<complete_request>(actions) != nullptr) == was_open);
    Check(actions);
  }
  void LoseEndpoint() {
    const endpoint_id endpoint = AnyEndpoint();
    for (auto& [id, expected] : attempts_) {
      if (expected.endpoint != endpoint || !expected.open) continue;
      expected.open = false;
      expected.lost = true;
    }
    Check(router_.OnEndpointLost(endpoint, Now()));
  }
  void CallerGone() {
    if (requests_.empty()) return;
    auto position = requests_.begin();
    std::advance(position,
                 *rc::gen::inRange<std::ptrdiff_t>(
                     0, static_cast<std::ptrdiff_t>(requests_.size())));
    expected_request& request = position->second;
    if (request.final_results > 0) return;
    request.caller_gone = true;
    const auto actions = router_.OnCallerGone(position->first, Now());
    if (!request.attributes.idempotent) RC_ASSERT(actions.empty());
    Check(actions);
  }
  void ChangeDirectory() {
    membership::endpoint_directory& directory = fixture_.Directory();
    const endpoint_id endpoint = AnyEndpoint();
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        directory.OnLeaving(endpoint, Now());
        break;
      case 1:
        directory.OnLinkLost(endpoint, Now());
        break;
      case 2:
        directory.OnPause(Now());
        break;
      case 3:
        directory.OnWallTime(core::WallTimeFromUnix(1500));
        break;
      case 4:
        directory.OnWallTime(core::WallTimeFromUnix(2500));
        break;
      default:
        fixture_.Hello(endpoint, ++instance_);
        directory.OnReport(endpoint, router_fixture::Up(), Now());
        break;
    }
  }

  void Check(const std::vector<router_action>& actions) {
    for (const router_action& action : actions) {
      std::visit([this](const auto& typed) { CheckOne(typed); }, action);
    }
  }
  void CheckOne(const submit_attempt& action) {
    expected_request& request = requests_.at(action.request);
    RC_ASSERT(request.final_results == 0);
    RC_ASSERT(!request.caller_gone);
    RC_ASSERT(fixture_.Directory().AvailabilityOf(action.endpoint, Now()) ==
              membership::availability::available);
    RC_ASSERT(action.attempt.Value() ==
              action.request.Value() + "." +
                  std::to_string(request.attempts.size() + 1));
    if (!request.attributes.idempotent) {
      RC_ASSERT(request.attempts.empty());
      RC_ASSERT(action.endpoint == *request.attributes.home);
    }
    CheckContinuation(request, action);
    for (const attempt_id& earlier : request.attempts) {
      const expected_attempt& expected = attempts_.at(earlier);
      RC_ASSERT(expected.endpoint != action.endpoint);
      RC_ASSERT(action.continuation || !expected.chunk_seen);
      if (action.hedge) continue;
      RC_ASSERT(!expected.open);
      if (expected.superseded) continue;
      const bool repeatable =
          expected.repeatable &&
          request.attributes.kind == core::request_kind::completion;
      RC_ASSERT(expected.proved_not_run || expected.lost || repeatable ||
                (action.continuation && expected.continuable));
    }
    request.attempts.push_back(action.attempt);
    attempts_[action.attempt] = {action.endpoint, action.request};
    attempts_[action.attempt].continuation = action.continuation;
  }
  static void CheckContinuation(expected_request& request,
                                const submit_attempt& action) {
    RC_ASSERT(action.continuation == (request.selects > 0));
    if (!action.continuation) return;
    RC_ASSERT(request.attributes.idempotent);
    RC_ASSERT(request.attributes.kind == core::request_kind::completion);
    RC_ASSERT(!action.hedge);
    RC_ASSERT(++request.continuations <= 2);
    request.may_select = true;
  }
  void CheckOne(const withdraw_attempt& action) {
    expected_attempt& expected = attempts_.at(action.attempt);
    RC_ASSERT(expected.endpoint == action.endpoint);
    RC_ASSERT(expected.open);
    expected.open = false;
  }
  void CheckOne(const select_attempt& action) {
    expected_request& request = requests_.at(action.request);
    // A second selection is possible only after a continuation.
    RC_ASSERT(request.may_select);
    request.may_select = false;
    RC_ASSERT(request.final_results == 0);
    RC_ASSERT(attempts_.at(action.attempt).open);
    RC_ASSERT(attempts_.at(action.attempt).continuation ==
              (request.selects > 0));
    ++request.selects;
    request.selected = action.attempt;
    for (const attempt_id& attempt : request.attempts) {
      if (attempt != action.attempt) attempts_.at(attempt).superseded = true;
    }
  }
  void CheckOne(const complete_request& action) {
    expected_request& request = requests_.at(action.request);
    RC_ASSERT(++request.final_results == 1);
    RC_ASSERT(!request.caller_gone);
    RC_ASSERT(request.selected == action.attempt);
    attempts_.at(action.attempt).open = false;
    for (const attempt_id& attempt : request.attempts) {
      RC_ASSERT(!attempts_.at(attempt).open);
    }
  }
  void CheckOne(const fail_request& action) {
    expected_request& request = requests_.at(action.request);
    RC_ASSERT(++request.final_results == 1);
    RC_ASSERT(!request.caller_gone);
    RC_ASSERT(!action.reason.empty());
    bool all_not_run = true;
    for (const attempt_id& attempt : request.attempts) {
      RC_ASSERT(!attempts_.at(attempt).open);
      all_not_run = all_not_run && attempts_.at(attempt).proved_not_run;
    }
    if (action.outcome == outcome::not_run) RC_ASSERT(all_not_run);
    if (action.outcome == outcome::incomplete) RC_ASSERT(request.selects >= 1);
    if (!request.attributes.idempotent && !all_not_run) {
      RC_ASSERT(action.outcome == outcome::unknown);
    }
  }
  void CheckOne(const suspect_link& action) {
    RC_ASSERT(!action.endpoint.empty());
  }
  void CheckBudgets() {
    const router_counters& counters = router_.Counters();
    const auto requests = static_cast<double>(counters.requests);
    const auto repeats =
        static_cast<double>(counters.retries + counters.continuations);
    RC_ASSERT(repeats <= 50 + 0.10 * requests);
    RC_ASSERT(static_cast<double>(counters.hedges) <= 10 + 0.05 * requests);
  }

  router_fixture fixture_;
  request_router& router_;
  std::int64_t now_ms_ = 1;
  std::int64_t instance_ = 1;
  std::map<request_id, expected_request> requests_;
  std::map<attempt_id, expected_attempt> attempts_;
};

// Checks the guarantees of the entry: exactly one final result, one submit of
// an order, no submit to an unavailable endpoint, one selected attempt at a
// time, a bounded number of continuations, only for completions, and `not_run`
// only with proof.
RC_GTEST_PROP(RequestRouter, MaintainsInvariantsForAnyEvents, ()) {
  router_checker checker;
  const int steps = *rc::gen::inRange(1, 250);
  for (int step = 0; step < steps; ++step) checker.Step();
  checker.End();
}

// Guards against retries that multiply the load of an overloaded fleet.
TEST(RequestRouter, RetriesStayWithinTheirBudget) {
  router_fixture fixture(8);
  request_router& router = fixture.Router();
  for (int i = 0; i < 2000; ++i) {
    auto actions =
        router.OnRequest(router_fixture::Completion("r" + std::to_string(i)),
                         router_fixture::At(1));
    while (const auto* submit = FindAction<submit_attempt>(actions)) {
      wire::refused message;
      message.attempt = submit->attempt;
      message.report = router_fixture::Up();
      actions = router.OnRefused(message, router_fixture::At(1));
    }
  }
  EXPECT_EQ(router.OpenRequests(), 0U);
  EXPECT_LE(router.Counters().retries, 250U);
  EXPECT_GE(router.Counters().retries, 200U);
}

// Guards against hedges that add load when every endpoint is slow.
TEST(RequestRouter, HedgesStayWithinTheirBudget) {
  router_fixture fixture(8);
  request_router& router = fixture.Router();
  const auto finish = [&](const std::string& name, std::int64_t ms) {
    const attempt_id attempt(name + ".1");
    router.OnFirstChunk(attempt, router_fixture::At(ms));
    wire::finished message;
    message.attempt = attempt;
    message.report = router_fixture::Up();
    router.OnFinished(message, router_fixture::At(ms));
  };
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "r" + std::to_string(i);
    router.OnRequest(router_fixture::Completion(name, 1000000),
                     router_fixture::At(i));
    if (i < 200) finish(name, i + 1);
  }
  for (int ms = 1000; ms < 9000; ms += 50)
    router.OnTick(router_fixture::At(ms));
  EXPECT_LE(router.Counters().hedges, 60U);
  EXPECT_GE(router.Counters().hedges, 10U);
}

}  // namespace
}  // namespace comfreyspring::routing

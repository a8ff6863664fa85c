#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "agent/attempt_register.h"
#include "agent/attempt_responder.h"
#include "agent/attempt_state.h"
#include "agent/queue_controller.h"
#include "trace/recording_scheduler.h"

/** Implementation of queue_controller; included only by queue_controller.cc. */
namespace comfreyspring::agent {

struct queue_controller::impl {
  static constexpr core::milliseconds kTickPeriod{20};
  static constexpr core::milliseconds kMaintenancePeriod{1000};
  static constexpr core::milliseconds kRetryAfter{100};
  /** A run that is lost before its first output is retried only while the
   * attempt has had fewer runs than this. */
  static constexpr int kMaximumRuns = 3;
  static constexpr const char* kStreamInterrupted = "stream_interrupted";
  /** Every service call counts as one unit of work. */
  static constexpr core::token_count kServiceWork{1};

  using actions = std::vector<admission::scheduler_action>;

  impl(net::event_loop& event_loop, queue_options settings,
       endpoint_runner& endpoint, ledger_controller& calls,
       response_channel& channel, telemetry::metrics& registry)
      : loop(event_loop),
        options(settings),
        runner(endpoint),
        ledger(calls),
        responder(event_loop, channel, registry),
        metrics(registry),
        known_attempts(settings.attempts),
        scheduler({.started_at = event_loop.Now(),
                   .random_seed = settings.random_seed,
                   .maximum_queue = settings.maximum_queue},
                  settings.trace) {
    tick_timer = loop.SchedulePeriodic(
        kTickPeriod, [this] { Execute(scheduler.OnTick(loop.Now())); });
    maintenance_timer = loop.SchedulePeriodic(kMaintenancePeriod, [this] {
      responder.Channel().OnTick(loop.Now());
      known_attempts.OnTick(loop.Now(), loop.WallNow());
    });
  }

  ~impl() {
    loop.Cancel(tick_timer);
    loop.Cancel(maintenance_timer);
  }

  attempt_state* Find(const core::attempt_id& attempt) {
    const auto found = attempts.find(attempt);
    return found == attempts.end() ? nullptr : &found->second;
  }

  wire::endpoint_report Report(const core::adapter_reference& adapter) const {
    wire::endpoint_report report = scheduler.Report(adapter, loop.Now());
    report.draining = draining;
    report.endpoint_up = runner.IsUp();
    return report;
  }

  // Scheduler actions.

  void Execute(const actions& list) {
    for (const admission::scheduler_action& action : list) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
  }

  void Apply(const admission::start_load& action) {
    runner.Load(action.adapter, action.evict);
  }

  void Apply(const admission::dispatch& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    const core::time_point now = loop.Now();
    state->phase = attempt_phase::running;
    if (IsExpired(*state->request)) {
      const auto next = scheduler.OnCancelConfirmed(
          action.attempt, state->delivered_tokens, now);
      RefuseQueued(action.attempt, "expired",
                   "The attempt expired before it could start.", kRetryAfter);
      Execute(next);
      return;
    }
    const auto expected = state->request->expected_tokens;
    if (state->delivered_tokens.value > 0 &&
        state->delivered_tokens >= expected) {
      Complete(action.attempt, {.tokens = state->delivered_tokens});
      return;
    }
    if (ledger_controller::AppliesTo(*state->request)) {
      ledger.OnDispatched(*state->request);
    }
    state->dispatched = now;
    metrics.Observe("agent_queue_wait_ms",
                    MillisecondsBetween(state->received, now));
    runner.Run({state->request, state->delivered_text, state->delivered_tokens,
                state->run_count++});
  }

  void Apply(const admission::preempt& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    state->phase = attempt_phase::preempting;
    metrics.Count("agent_preemptions_total");
    runner.Cancel(action.attempt);
  }

  void Apply(const admission::cancel_running& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    state->phase = attempt_phase::withdrawing;
    runner.Cancel(action.attempt);
  }

  void Apply(const admission::refuse& action) {
    if (attempt_state* state = Find(action.attempt)) {
      state->may_have_run = state->may_have_run || action.ran_before;
    }
    RefuseQueued(action.attempt, action.reason, action.message,
                 action.retry_after);
  }

  void Apply(const admission::confirm_withdrawn& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    state->may_have_run = state->may_have_run || action.ran_before;
    if (state->refuse_on_withdrawal) {
      RefuseQueued(action.attempt, "endpoint_down", "The endpoint is down.",
                   kRetryAfter);
      return;
    }
    const auto outcome = state->may_have_run ? core::outcome::incomplete
                                             : core::outcome::not_run;
    responder.ConfirmWithdrawn(action.attempt, outcome);
    RemoveQueued(action.attempt);
  }

  // Ends of attempts that are not running at the endpoint.

  void RefuseQueued(const core::attempt_id& attempt, const std::string& reason,
                    const std::string& message,
                    core::milliseconds retry_after) {
    const attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    const auto outcome = state->may_have_run ? core::outcome::incomplete
                                             : core::outcome::not_run;
    Refuse(attempt, {outcome, reason, message, retry_after});
    RemoveQueued(attempt);
  }

  void RemoveQueued(const core::attempt_id& attempt) {
    const auto found = attempts.find(attempt);
    if (found == attempts.end()) return;
    const auto request = found->second.request;
    attempts.erase(found);
    if (!ledger_controller::AppliesTo(*request)) return;
    RefuseAll(ledger.OnNotRun(*request),
              {core::outcome::not_run, "call_not_run",
               "The pending call with the same key was not run.", kRetryAfter});
  }

  // Refuses all attempts that wait for the same call.
  void RefuseAll(const std::vector<core::attempt_id>& waiting,
                 const run_failure& failure) {
    for (const core::attempt_id& attempt : waiting) {
      Refuse(attempt, failure);
      RemoveJoined(attempt);
    }
  }

  void Refuse(const core::attempt_id& attempt, const run_failure& failure) {
    responder.Refuse(attempt, failure, ReportFor(attempt));
  }

  wire::endpoint_report ReportFor(const core::attempt_id& attempt) {
    const attempt_state* state = Find(attempt);
    return Report(state == nullptr ? core::adapter_reference()
                                   : state->request->adapter);
  }

  void Finish(const core::attempt_id& attempt, const run_result& result) {
    const attempt_state* state = Find(attempt);
    responder.Finish(
        attempt, result,
        state == nullptr ? core::adapter_reference() : state->request->adapter,
        ReportFor(attempt));
  }

  void RemoveJoined(const core::attempt_id& attempt) {
    const auto found = attempts.find(attempt);
    if (found != attempts.end() &&
        found->second.phase == attempt_phase::joined) {
      attempts.erase(found);
    }
  }

  // Submits.

  bool IsExpired(const wire::submit& message) const {
    return message.expires_unix_ms <= core::UnixMilliseconds(loop.WallNow());
  }

  void Accept(const core::attempt_id& attempt) {
    responder.Accept(attempt, ReportFor(attempt));
  }

  void Submit(const entry_instance& entry, const wire::submit& message) {
    const core::attempt_id& attempt = message.attempt;
    const auto status = known_attempts.Status(attempt);
    if (status == attempt_status::submitted) {
      // Duplicate message: the attempt has been or will be answered.
      if (Find(attempt) != nullptr) Accept(attempt);
      return;
    }
    responder.Channel().Begin(attempt, entry);
    if (status == attempt_status::blocked) {
      Refuse(attempt, {core::outcome::not_run, "attempt_withdrawn",
                       "The attempt was withdrawn before it arrived."});
      return;
    }
    known_attempts.MarkSubmitted(attempt, loop.Now());
    metrics.Count("agent_submits_total");
    if (const auto reason = RefusalReason(message)) {
      Refuse(attempt, {core::outcome::not_run, *reason,
                       "The attempt was not accepted.", kRetryAfter});
      return;
    }
    attempt_state& state = attempts[attempt];
    state.request = std::make_shared<const wire::submit>(message);
    state.entry = entry;
    state.received = loop.Now();
    state.deadline = loop.Now() + message.remaining;
    if (!ledger_controller::AppliesTo(message)) {
      Enqueue(attempt);
      return;
    }
    const auto decision = ledger.OnSubmit(message);
    std::visit([&](const auto& typed) { ApplyDecision(attempt, typed); },
               decision);
  }

  std::optional<std::string> RefusalReason(const wire::submit& message) const {
    const bool engine = options.kind == core::endpoint_kind::engine;
    const bool completion = message.kind == core::request_kind::completion;
    if (engine != completion) return "wrong_endpoint_kind";
    if (IsExpired(message)) return "expired";
    // The ledger can replay a recorded response while the endpoint is down.
    if (!runner.IsUp() && !ledger_controller::AppliesTo(message)) {
      return "endpoint_down";
    }
    return std::nullopt;
  }

  void ApplyDecision(const core::attempt_id& attempt, const ledger::run_call&) {
    if (runner.IsUp()) {
      Enqueue(attempt);
      return;
    }
    RefuseQueued(attempt, "endpoint_down", "The endpoint is down.",
                 kRetryAfter);
  }

  void ApplyDecision(const core::attempt_id& attempt,
                     const ledger::join_running&) {
    attempts[attempt].phase = attempt_phase::joined;
    Accept(attempt);
  }

  void ApplyDecision(const core::attempt_id& attempt,
                     const ledger::replay_response& response) {
    Finish(attempt, {.status = response.status,
                     .content_type = response.content_type,
                     .body = response.body});
    attempts.erase(attempt);
  }

  void ApplyDecision(const core::attempt_id& attempt,
                     const ledger::reject_call& rejected) {
    Refuse(attempt, {rejected.outcome, rejected.reason, rejected.message,
                     rejected.retry_after});
    attempts.erase(attempt);
  }

  void Enqueue(const core::attempt_id& attempt) {
    const actions list =
        scheduler.OnSubmit(WorkItemFor(attempts[attempt]), loop.Now());
    const bool refused =
        std::any_of(list.begin(), list.end(), [&](const auto& action) {
          const auto* refusal = std::get_if<admission::refuse>(&action);
          return refusal != nullptr && refusal->attempt == attempt;
        });
    if (!refused) Accept(attempt);
    Execute(list);
  }

  admission::work_item WorkItemFor(const attempt_state& state) const {
    const wire::submit& request = *state.request;
    const bool completion = request.kind == core::request_kind::completion;
    return {
        .attempt = request.attempt,
        .kind = request.kind,
        .adapter = request.adapter,
        .priority = request.priority,
        .expected_tokens = completion ? request.expected_tokens : kServiceWork,
        .deadline = state.deadline,
        .idempotent = request.idempotent};
  }

  // Withdrawals.

  // The entry has withdrawn the attempt or was lost.
  void Withdraw(const core::attempt_id& attempt) {
    attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    if (state->phase == attempt_phase::joined) {
      responder.ConfirmWithdrawn(attempt, core::outcome::unknown);
      RemoveJoined(attempt);
      return;
    }
    if (state->IsAtEndpoint() && !state->request->idempotent) {
      // The call keeps running so that its response is recorded in the ledger.
      responder.ConfirmWithdrawn(attempt, core::outcome::unknown);
      return;
    }
    if (state->IsAtEndpoint()) state->phase = attempt_phase::withdrawing;
    Execute(scheduler.OnWithdraw(attempt, loop.Now()));
  }

  // Ends of runs.

  void Complete(const core::attempt_id& attempt, const run_result& result) {
    const auto found = attempts.find(attempt);
    if (found == attempts.end()) return;
    const attempt_state& state = found->second;
    const auto request = state.request;
    const bool completion = request->kind == core::request_kind::completion;
    metrics.Observe("agent_run_ms",
                    MillisecondsBetween(state.dispatched, loop.Now()));
    const auto next = scheduler.OnEnded(
        attempt, completion ? result.tokens : kServiceWork, loop.Now());
    if (ledger_controller::AppliesTo(*request)) {
      for (const auto& waiting : ledger.OnResponse(
               *request, result.status, result.content_type, result.body)) {
        Finish(waiting, result);
        RemoveJoined(waiting);
      }
    } else if (state.phase == attempt_phase::withdrawing) {
      responder.ConfirmWithdrawn(attempt, PartialOutcome(*request));
    } else {
      Finish(attempt, result);
    }
    attempts.erase(attempt);
    Execute(next);
  }

  void Fail(const core::attempt_id& attempt, run_failure failure) {
    attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    if (failure.outcome == core::outcome::not_run && state->may_have_run) {
      failure.outcome = core::outcome::incomplete;
    }
    state->may_have_run =
        state->may_have_run || failure.outcome != core::outcome::not_run;
    if (failure.reason == kStreamInterrupted && MayRetry(*state)) {
      state->retry_pending = true;
      return;
    }
    if (ledger_controller::AppliesTo(*state->request)) {
      RefuseAll(failure.outcome == core::outcome::not_run
                    ? ledger.OnNotRun(*state->request)
                    : ledger.OnOutcomeUnknown(*state->request),
                failure);
    } else if (state->phase == attempt_phase::withdrawing) {
      responder.ConfirmWithdrawn(attempt, failure.outcome);
    } else {
      Refuse(attempt, failure);
    }
  }

  // A retry is safe if the request is idempotent and no output was sent.
  bool MayRetry(const attempt_state& state) const {
    const core::attempt_id& attempt = state.request->attempt;
    return state.request->idempotent &&
           state.request->kind == core::request_kind::completion &&
           state.run_count < kMaximumRuns &&
           responder.Channel().ChunkCount(attempt) == 0 &&
           state.phase != attempt_phase::withdrawing &&
           !responder.Channel().HasEnded(attempt);
  }

  void Retry(attempt_state& state) {
    state.retry_pending = false;
    state.phase = attempt_phase::queued;
    if (!runner.IsUp()) {
      // In the queue it would only wait for its deadline.
      RefuseQueued(core::attempt_id(state.request->attempt), "endpoint_down",
                   "The endpoint went down during the response.", kRetryAfter);
      return;
    }
    metrics.Count("agent_repeated_runs_total");
    Execute(scheduler.OnSubmit(WorkItemFor(state), loop.Now()));
  }

  // The engine restarted and lost the run.
  void HandleLostRun(const core::attempt_id& attempt) {
    attempt_state& state = attempts.at(attempt);
    state.may_have_run = true;
    const bool may_retry = state.request->idempotent &&
                           responder.Channel().ChunkCount(attempt) == 0 &&
                           state.phase != attempt_phase::withdrawing &&
                           !responder.Channel().HasEnded(attempt);
    if (may_retry) {
      state.phase = attempt_phase::queued;
      Execute(scheduler.OnSubmit(WorkItemFor(state), loop.Now()));
      return;
    }
    Fail(attempt, {PartialOutcome(*state.request), "engine_restarted",
                   "The engine restarted during the response."});
    attempts.erase(attempt);
  }

  void UpdateEnabled() {
    Execute(scheduler.SetEnabled(verified && runner.IsReady(), loop.Now()));
    if (runner.IsUp()) return;
    // Queued attempts are refused so that they can run at another endpoint.
    for (const core::attempt_id& attempt : Select([](const auto& state) {
           return state.phase == attempt_phase::queued;
         })) {
      attempt_state* state = Find(attempt);
      if (state == nullptr) continue;
      state->refuse_on_withdrawal = true;
      Execute(scheduler.OnWithdraw(attempt, loop.Now()));
    }
  }

  template <class Predicate>
  std::vector<core::attempt_id> Select(Predicate predicate) const {
    std::vector<core::attempt_id> selected;
    for (const auto& [attempt, state] : attempts) {
      if (predicate(state)) selected.push_back(attempt);
    }
    return selected;
  }

  net::event_loop& loop;
  queue_options options;
  endpoint_runner& runner;
  ledger_controller& ledger;
  attempt_responder responder;
  telemetry::metrics& metrics;
  attempt_register known_attempts;
  trace::recording_scheduler scheduler;
  std::unordered_map<core::attempt_id, attempt_state> attempts;
  net::timer_id tick_timer = 0;
  net::timer_id maintenance_timer = 0;
  bool verified = true;
  bool draining = false;
};

}  // namespace comfreyspring::agent

#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "agent/attempt_answers.h"
#include "agent/attempt_register.h"
#include "agent/attempt_state.h"
#include "agent/queue_controller.h"
#include "trace/recording_scheduler.h"

/** Private part of queue_controller; only its source file includes this. */
namespace comfreyspring::agent {

struct queue_controller::impl {
  static constexpr core::milliseconds kTickPeriod{20};
  static constexpr core::milliseconds kUpkeepPeriod{1000};
  static constexpr core::milliseconds kRetryAfter{100};
  /** A run lost before its first output is repeated, but not for ever. */
  static constexpr int kMaximumRuns = 3;
  static constexpr const char* kInterrupted = "stream_interrupted";
  /** Every service call counts as one unit of work. */
  static constexpr core::token_count kServiceWork{1};

  using actions = std::vector<admission::scheduler_action>;

  impl(net::event_loop& event_loop, queue_options settings,
       endpoint_runner& endpoint, ledger_controller& calls,
       answer_channel& channel, telemetry::metrics& registry)
      : loop(event_loop),
        options(settings),
        runner(endpoint),
        ledger(calls),
        answers(event_loop, channel, registry),
        metrics(registry),
        known(settings.attempts),
        scheduler({.started_at = event_loop.Now(),
                   .random_seed = settings.random_seed,
                   .maximum_queue = settings.maximum_queue},
                  settings.trace) {
    tick_timer = loop.SchedulePeriodic(
        kTickPeriod, [this] { Execute(scheduler.OnTick(loop.Now())); });
    upkeep_timer = loop.SchedulePeriodic(kUpkeepPeriod, [this] {
      answers.Channel().OnTick(loop.Now());
      known.OnTick(loop.Now(), loop.WallNow());
    });
  }

  ~impl() {
    loop.Cancel(tick_timer);
    loop.Cancel(upkeep_timer);
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
      std::visit([this](const auto& typed) { Do(typed); }, action);
    }
  }

  void Do(const admission::start_load& action) {
    runner.Load(action.adapter, action.evict);
  }

  void Do(const admission::dispatch& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    const core::time_point now = loop.Now();
    state->phase = attempt_phase::running;
    if (IsExpired(*state->request)) {
      const auto next =
          scheduler.OnCancelConfirmed(action.attempt, state->delivered, now);
      EndQueued(action.attempt, "expired",
                "The attempt expired before it could start.", kRetryAfter);
      Execute(next);
      return;
    }
    const auto whole = state->request->expected_tokens;
    if (state->delivered.value > 0 && state->delivered >= whole) {
      Complete(action.attempt, {.tokens = state->delivered});
      return;
    }
    if (ledger_controller::Concerns(*state->request)) {
      ledger.OnDispatched(*state->request);
    }
    state->dispatched = now;
    metrics.Observe("agent_queue_wait_ms",
                    MillisecondsBetween(state->received, now));
    runner.Run({state->request, state->delivered_text, state->delivered,
                state->runs++});
  }

  void Do(const admission::preempt& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    state->phase = attempt_phase::preempting;
    metrics.Count("agent_preemptions_total");
    runner.Cancel(action.attempt);
  }

  void Do(const admission::cancel_running& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    state->phase = attempt_phase::withdrawing;
    runner.Cancel(action.attempt);
  }

  void Do(const admission::refuse& action) {
    if (attempt_state* state = Find(action.attempt)) {
      state->ran = state->ran || action.ran_before;
    }
    EndQueued(action.attempt, action.reason, action.message,
              action.retry_after);
  }

  void Do(const admission::confirm_withdrawn& action) {
    attempt_state* state = Find(action.attempt);
    if (state == nullptr) return;
    state->ran = state->ran || action.ran_before;
    if (state->given_back) {
      EndQueued(action.attempt, "endpoint_down", "The endpoint is down.",
                kRetryAfter);
      return;
    }
    const auto outcome =
        state->ran ? core::outcome::incomplete : core::outcome::not_run;
    answers.Withdrawn(action.attempt, outcome);
    ForgetQueued(action.attempt);
  }

  // Ends of attempts that are not at the endpoint.

  void EndQueued(const core::attempt_id& attempt, const std::string& reason,
                 const std::string& message, core::milliseconds retry_after) {
    const attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    const auto outcome =
        state->ran ? core::outcome::incomplete : core::outcome::not_run;
    Refuse(attempt, {outcome, reason, message, retry_after});
    ForgetQueued(attempt);
  }

  void ForgetQueued(const core::attempt_id& attempt) {
    const auto found = attempts.find(attempt);
    if (found == attempts.end()) return;
    const auto request = found->second.request;
    attempts.erase(found);
    if (!ledger_controller::Concerns(*request)) return;
    RefuseAll(ledger.OnNotRun(*request),
              {core::outcome::not_run, "call_not_run",
               "The call with the same key was given back.", kRetryAfter});
  }

  // Refuses every attempt that waits for the same call.
  void RefuseAll(const std::vector<core::attempt_id>& waiting,
                 const run_failure& failure) {
    for (const core::attempt_id& attempt : waiting) {
      Refuse(attempt, failure);
      ForgetJoined(attempt);
    }
  }

  void Refuse(const core::attempt_id& attempt, const run_failure& failure) {
    answers.Refuse(attempt, failure, ReportFor(attempt));
  }

  wire::endpoint_report ReportFor(const core::attempt_id& attempt) {
    const attempt_state* state = Find(attempt);
    return Report(state == nullptr ? core::adapter_reference()
                                   : state->request->adapter);
  }

  void Finish(const core::attempt_id& attempt, const run_result& result) {
    const attempt_state* state = Find(attempt);
    answers.Finish(
        attempt, result,
        state == nullptr ? core::adapter_reference() : state->request->adapter,
        ReportFor(attempt));
  }

  void ForgetJoined(const core::attempt_id& attempt) {
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
    answers.Accept(attempt, ReportFor(attempt));
  }

  void Submit(const entry_address& entry, const wire::submit& message) {
    const core::attempt_id& attempt = message.attempt;
    const auto knowledge = known.Knowledge(attempt);
    if (knowledge == attempt_knowledge::taken) {
      // A second copy of the frame; the attempt has its answer or gets one.
      if (Find(attempt) != nullptr) Accept(attempt);
      return;
    }
    answers.Channel().Begin(attempt, entry);
    if (knowledge == attempt_knowledge::barred) {
      Refuse(attempt, {core::outcome::not_run, "attempt_withdrawn",
                       "The attempt was withdrawn before it arrived."});
      return;
    }
    known.Take(attempt, loop.Now());
    metrics.Count("agent_submits_total");
    if (const auto reason = RefusalOf(message)) {
      Refuse(attempt, {core::outcome::not_run, *reason,
                       "The attempt was not taken.", kRetryAfter});
      return;
    }
    attempt_state& state = attempts[attempt];
    state.request = std::make_shared<const wire::submit>(message);
    state.entry = entry;
    state.received = loop.Now();
    state.deadline = loop.Now() + message.remaining;
    if (!ledger_controller::Concerns(message)) {
      Enqueue(attempt);
      return;
    }
    const auto decision = ledger.OnSubmit(message);
    std::visit([&](const auto& typed) { Decide(attempt, typed); }, decision);
  }

  std::optional<std::string> RefusalOf(const wire::submit& message) const {
    const bool engine = options.kind == core::endpoint_kind::engine;
    const bool completion = message.kind == core::request_kind::completion;
    if (engine != completion) return "wrong_endpoint_kind";
    if (IsExpired(message)) return "expired";
    // A recorded answer needs no endpoint.
    if (!runner.IsUp() && !ledger_controller::Concerns(message)) {
      return "endpoint_down";
    }
    return std::nullopt;
  }

  void Decide(const core::attempt_id& attempt, const ledger::run_call&) {
    if (runner.IsUp()) {
      Enqueue(attempt);
      return;
    }
    EndQueued(attempt, "endpoint_down", "The endpoint is down.", kRetryAfter);
  }

  void Decide(const core::attempt_id& attempt, const ledger::join_running&) {
    attempts[attempt].phase = attempt_phase::joined;
    Accept(attempt);
  }

  void Decide(const core::attempt_id& attempt,
              const ledger::replay_response& answer) {
    Finish(attempt, {.status = answer.status,
                     .content_type = answer.content_type,
                     .body = answer.body});
    attempts.erase(attempt);
  }

  void Decide(const core::attempt_id& attempt,
              const ledger::reject_call& rejected) {
    Refuse(attempt, {rejected.outcome, rejected.reason, rejected.message,
                     rejected.retry_after});
    attempts.erase(attempt);
  }

  void Enqueue(const core::attempt_id& attempt) {
    const actions list =
        scheduler.OnSubmit(ItemOf(attempts[attempt]), loop.Now());
    const bool refused =
        std::any_of(list.begin(), list.end(), [&](const auto& action) {
          const auto* refusal = std::get_if<admission::refuse>(&action);
          return refusal != nullptr && refusal->attempt == attempt;
        });
    if (!refused) Accept(attempt);
    Execute(list);
  }

  admission::work_item ItemOf(const attempt_state& state) const {
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

  // The entry wants the attempt no more, or is gone.
  void GiveUp(const core::attempt_id& attempt) {
    attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    if (state->phase == attempt_phase::joined) {
      answers.Withdrawn(attempt, core::outcome::unknown);
      ForgetJoined(attempt);
      return;
    }
    if (state->IsAtEndpoint() && !state->request->idempotent) {
      // It goes on, so that its answer reaches the ledger.
      answers.Withdrawn(attempt, core::outcome::unknown);
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
    if (ledger_controller::Concerns(*request)) {
      for (const auto& waiting : ledger.OnAnswered(
               *request, result.status, result.content_type, result.body)) {
        Finish(waiting, result);
        ForgetJoined(waiting);
      }
    } else if (state.phase == attempt_phase::withdrawing) {
      answers.Withdrawn(attempt, PartialOutcome(*request));
    } else {
      Finish(attempt, result);
    }
    attempts.erase(attempt);
    Execute(next);
  }

  void Fail(const core::attempt_id& attempt, run_failure failure) {
    attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    if (failure.outcome == core::outcome::not_run && state->ran) {
      failure.outcome = core::outcome::incomplete;
    }
    state->ran = state->ran || failure.outcome != core::outcome::not_run;
    if (failure.reason == kInterrupted && MayRepeat(*state)) {
      state->repeat = true;
      return;
    }
    if (ledger_controller::Concerns(*state->request)) {
      RefuseAll(failure.outcome == core::outcome::not_run
                    ? ledger.OnNotRun(*state->request)
                    : ledger.OnOutcomeUnknown(*state->request),
                failure);
    } else if (state->phase == attempt_phase::withdrawing) {
      answers.Withdrawn(attempt, failure.outcome);
    } else {
      Refuse(attempt, failure);
    }
  }

  // Nothing was sent to the caller, and a second run does no harm.
  bool MayRepeat(const attempt_state& state) const {
    const core::attempt_id& attempt = state.request->attempt;
    return state.request->idempotent &&
           state.request->kind == core::request_kind::completion &&
           state.runs < kMaximumRuns &&
           answers.Channel().ChunkCount(attempt) == 0 &&
           state.phase != attempt_phase::withdrawing &&
           !answers.Channel().HasEnded(attempt);
  }

  void Repeat(attempt_state& state) {
    state.repeat = false;
    state.phase = attempt_phase::queued;
    if (!runner.IsUp()) {
      // It would only wait for its deadline.
      EndQueued(core::attempt_id(state.request->attempt), "endpoint_down",
                "The endpoint went down during the answer.", kRetryAfter);
      return;
    }
    metrics.Count("agent_repeated_runs_total");
    Execute(scheduler.OnSubmit(ItemOf(state), loop.Now()));
  }

  // After a cold restart of the engine.
  void EndLostRun(const core::attempt_id& attempt) {
    attempt_state& state = attempts.at(attempt);
    state.ran = true;
    const bool again = state.request->idempotent &&
                       answers.Channel().ChunkCount(attempt) == 0 &&
                       state.phase != attempt_phase::withdrawing &&
                       !answers.Channel().HasEnded(attempt);
    if (again) {
      state.phase = attempt_phase::queued;
      Execute(scheduler.OnSubmit(ItemOf(state), loop.Now()));
      return;
    }
    Fail(attempt, {PartialOutcome(*state.request), "engine_restarted",
                   "The engine restarted during the answer."});
    attempts.erase(attempt);
  }

  void UpdateEnabled() {
    Execute(scheduler.SetEnabled(verified && runner.IsReady(), loop.Now()));
    if (runner.IsUp()) return;
    // Another endpoint can do what has not started here.
    for (const core::attempt_id& attempt : Select([](const auto& state) {
           return state.phase == attempt_phase::queued;
         })) {
      attempt_state* state = Find(attempt);
      if (state == nullptr) continue;
      state->given_back = true;
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
  attempt_answers answers;
  telemetry::metrics& metrics;
  attempt_register known;
  trace::recording_scheduler scheduler;
  std::unordered_map<core::attempt_id, attempt_state> attempts;
  net::timer_id tick_timer = 0;
  net::timer_id upkeep_timer = 0;
  bool verified = true;
  bool draining = false;
};

}  // namespace comfreyspring::agent

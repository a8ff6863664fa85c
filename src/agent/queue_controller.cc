#include "agent/queue_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "agent/attempt_state.h"
#include "trace/recording_scheduler.h"

namespace comfreyspring::agent {

using admission::scheduler_action;
using nlohmann::json;

namespace {

constexpr core::milliseconds kTickPeriod{20};
constexpr core::milliseconds kUpkeepPeriod{1000};
constexpr core::milliseconds kRetryAfter{100};
constexpr std::size_t kMaximumListed = 200;
// Every service call counts as one unit of work.
constexpr core::token_count kServiceWork{1};

double MillisecondsBetween(core::time_point from, core::time_point to) {
  return static_cast<double>((to - from).count()) / 1000.0;
}

}  // namespace

struct queue_controller::impl {
  using actions = std::vector<scheduler_action>;

  impl(net::event_loop& event_loop, queue_options settings,
       endpoint_runner& endpoint, ledger_controller& calls,
       answer_channel& channel, telemetry::metrics& registry)
      : loop(event_loop),
        options(settings),
        runner(endpoint),
        ledger(calls),
        answers(channel),
        metrics(registry),
        known(settings.attempts),
        scheduler({.started_at = event_loop.Now(),
                   .random_seed = settings.random_seed,
                   .maximum_queue = settings.maximum_queue},
                  settings.trace) {
    tick_timer = loop.SchedulePeriodic(
        kTickPeriod, [this] { Execute(scheduler.OnTick(loop.Now())); });
    upkeep_timer = loop.SchedulePeriodic(kUpkeepPeriod, [this] {
      answers.OnTick(loop.Now());
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
    for (const scheduler_action& action : list) {
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
    Withdrawn(action.attempt, outcome);
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

  // Answers. Each ignores an attempt that has been answered.

  void Refuse(const core::attempt_id& attempt, const run_failure& failure) {
    if (!answers.IsKnown(attempt) || answers.HasEnded(attempt)) return;
    LOG(INFO) << "agent.queue: Refused attempt " << attempt << " as "
              << core::ToString(failure.outcome) << ", " << failure.reason
              << ": " << failure.message;
    metrics.Count("agent_refused_total{reason=\"" + failure.reason + "\"}");
    wire::refused message;
    message.attempt = attempt;
    message.outcome = failure.outcome;
    message.reason = failure.reason;
    message.message = failure.message;
    message.retry_after = failure.retry_after;
    message.report = ReportFor(attempt);
    answers.End(attempt, message, loop.Now());
  }

  void RefuseAll(const std::vector<core::attempt_id>& waiting,
                 const run_failure& failure) {
    for (const core::attempt_id& attempt : waiting) {
      Refuse(attempt, failure);
      ForgetJoined(attempt);
    }
  }

  void Withdrawn(const core::attempt_id& attempt, core::outcome outcome) {
    if (!answers.IsKnown(attempt) || answers.HasEnded(attempt)) return;
    metrics.Count("agent_withdrawn_total");
    answers.End(attempt, wire::withdrawn{attempt, outcome}, loop.Now());
  }

  void Finish(const core::attempt_id& attempt, const run_result& result) {
    if (!answers.IsKnown(attempt) || answers.HasEnded(attempt)) return;
    metrics.Count("agent_finished_total");
    answers.Write(attempt, result.body);
    wire::finished message;
    message.attempt = attempt;
    if (const attempt_state* state = Find(attempt)) {
      message.adapter = state->request->adapter;
    }
    message.status = result.status;
    message.content_type = result.content_type;
    message.tokens = result.tokens;
    message.report = ReportFor(attempt);
    answers.End(attempt, message, loop.Now());
  }

  wire::endpoint_report ReportFor(const core::attempt_id& attempt) {
    const attempt_state* state = Find(attempt);
    return Report(state == nullptr ? core::adapter_reference()
                                   : state->request->adapter);
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
    answers.Notify(attempt, wire::accepted{attempt, ReportFor(attempt)});
  }

  void Submit(const entry_address& entry, const wire::submit& message) {
    const core::attempt_id& attempt = message.attempt;
    const auto knowledge = known.Knowledge(attempt);
    if (knowledge == attempt_knowledge::taken) {
      // A second copy of the frame; the attempt has its answer or gets one.
      if (Find(attempt) != nullptr) Accept(attempt);
      return;
    }
    answers.Begin(attempt, entry);
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
              const ledger::replay_answer& answer) {
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
      Withdrawn(attempt, core::outcome::unknown);
      ForgetJoined(attempt);
      return;
    }
    if (state->IsAtEndpoint() && !state->request->idempotent) {
      // It goes on, so that its answer reaches the ledger.
      Withdrawn(attempt, core::outcome::unknown);
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
      Withdrawn(attempt, PartialOutcome(*request));
    } else {
      Finish(attempt, result);
    }
    attempts.erase(attempt);
    Execute(next);
  }

  static core::outcome PartialOutcome(const wire::submit& request) {
    return request.kind == core::request_kind::completion
               ? core::outcome::incomplete
               : core::outcome::unknown;
  }

  void Fail(const core::attempt_id& attempt, run_failure failure) {
    attempt_state* state = Find(attempt);
    if (state == nullptr) return;
    if (failure.outcome == core::outcome::not_run && state->ran) {
      failure.outcome = core::outcome::incomplete;
    }
    state->ran = state->ran || failure.outcome != core::outcome::not_run;
    if (ledger_controller::Concerns(*state->request)) {
      RefuseAll(failure.outcome == core::outcome::not_run
                    ? ledger.OnNotRun(*state->request)
                    : ledger.OnOutcomeUnknown(*state->request),
                failure);
    } else if (state->phase == attempt_phase::withdrawing) {
      Withdrawn(attempt, failure.outcome);
    } else {
      Refuse(attempt, failure);
    }
  }

  // After a cold restart of the engine.
  void EndLostRun(const core::attempt_id& attempt) {
    attempt_state& state = attempts.at(attempt);
    state.ran = true;
    const bool again =
        state.request->idempotent && answers.ChunkCount(attempt) == 0 &&
        state.phase != attempt_phase::withdrawing && !answers.HasEnded(attempt);
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
  answer_channel& answers;
  telemetry::metrics& metrics;
  attempt_register known;
  trace::recording_scheduler scheduler;
  std::unordered_map<core::attempt_id, attempt_state> attempts;
  net::timer_id tick_timer = 0;
  net::timer_id upkeep_timer = 0;
  bool verified = true;
  bool draining = false;
};

queue_controller::queue_controller(net::event_loop& loop, queue_options options,
                                   endpoint_runner& runner,
                                   ledger_controller& ledger,
                                   answer_channel& answers,
                                   telemetry::metrics& metrics)
    : impl_(std::make_unique<impl>(loop, options, runner, ledger, answers,
                                   metrics)) {
  impl_->scheduler.SetEnabled(false, loop.Now());
}

queue_controller::~queue_controller() = default;

// From the entries.

void queue_controller::OnSubmit(const entry_address& entry,
                                const wire::submit& message) {
  impl_->Submit(entry, message);
}

void queue_controller::OnWithdraw(const entry_address& entry,
                                  const wire::withdraw& message) {
  const core::attempt_id& attempt = message.attempt;
  if (impl_->known.Knowledge(attempt) != attempt_knowledge::fresh) {
    impl_->GiveUp(attempt);
    return;
  }
  const auto outcome = impl_->known.ProvesNotTaken(attempt)
                           ? core::outcome::not_run
                           : core::outcome::unknown;
  impl_->known.Bar(attempt, impl_->loop.Now());
  impl_->answers.Begin(attempt, entry);
  impl_->Withdrawn(attempt, outcome);
}

void queue_controller::OnResume(const entry_address& entry,
                                const wire::resume& message) {
  const core::attempt_id& attempt = message.attempt;
  if (impl_->answers.Resume(attempt, message.next_sequence)) return;
  run_failure failure{core::outcome::incomplete, "replay_not_kept",
                      "The wanted part of the answer is not kept."};
  if (impl_->known.Knowledge(attempt) == attempt_knowledge::fresh) {
    failure = {core::outcome::unknown, "attempt_unknown",
               "The attempt is not known here."};
    if (impl_->known.ProvesNotTaken(attempt)) {
      failure.outcome = core::outcome::not_run;
    }
    impl_->known.Bar(attempt, impl_->loop.Now());
    impl_->answers.Begin(attempt, entry);
  }
  if (impl_->answers.IsKnown(attempt) && !impl_->answers.HasEnded(attempt)) {
    impl_->Refuse(attempt, failure);
    impl_->GiveUp(attempt);
    return;
  }
  // Its last frame was sent before, but the entry cannot use it any more.
  wire::refused answer;
  answer.attempt = attempt;
  answer.outcome = failure.outcome;
  answer.reason = failure.reason;
  answer.message = failure.message;
  impl_->answers.Notify(attempt, answer);
}

void queue_controller::OnEntryLost(const entry_address& entry) {
  const auto lost = impl_->Select(
      [&](const attempt_state& state) { return state.entry == entry; });
  if (lost.empty()) return;
  LOG(WARNING) << "agent.queue: Gave up " << lost.size()
               << " attempts of lost entry " << entry.process << '.';
  for (const core::attempt_id& attempt : lost) impl_->GiveUp(attempt);
}

// From the process.

void queue_controller::SetVerified(bool verified) {
  impl_->verified = verified;
  impl_->UpdateEnabled();
}

void queue_controller::BeginDrain(core::time_point limit) {
  impl_->draining = true;
  impl_->Execute(impl_->scheduler.OnDrain(limit, impl_->loop.Now()));
}

void queue_controller::EndAll(const std::string& reason) {
  const auto open = impl_->Select([](const attempt_state&) { return true; });
  for (const core::attempt_id& attempt : open) {
    const attempt_state* state = impl_->Find(attempt);
    if (state == nullptr) continue;
    const bool may_have_run =
        state->ran || state->phase != attempt_phase::queued;
    impl_->Refuse(attempt, {may_have_run ? impl::PartialOutcome(*state->request)
                                         : core::outcome::not_run,
                            reason, "The agent ends."});
  }
}

// State.

bool queue_controller::IsIdle() const { return impl_->attempts.empty(); }

wire::endpoint_report queue_controller::Report(
    const core::adapter_reference& adapter) const {
  return impl_->Report(adapter);
}

// endpoint_listener.

void queue_controller::OnOutput(const core::attempt_id& attempt,
                                const std::string& data) {
  attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  state->ran = true;
  ++state->delivered.value;
  if (state->MayBePreempted()) state->delivered_text += data;
  if (state->phase == attempt_phase::withdrawing) return;
  if (state->delivered.value == 1) {
    impl_->metrics.Observe(
        "agent_first_output_ms",
        MillisecondsBetween(state->received, impl_->loop.Now()));
  }
  impl_->answers.Write(attempt, data);
  impl_->Execute(impl_->scheduler.OnFirstOutput(attempt, impl_->loop.Now()));
}

void queue_controller::OnCompleted(const core::attempt_id& attempt,
                                   const run_result& result) {
  impl_->Complete(attempt, result);
}

void queue_controller::OnFailed(const core::attempt_id& attempt,
                                const run_failure& failure) {
  impl_->Fail(attempt, failure);
}

void queue_controller::OnReleased(const core::attempt_id& attempt) {
  const attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  const auto next =
      impl_->scheduler.OnEnded(attempt, state->delivered, impl_->loop.Now());
  impl_->attempts.erase(attempt);
  impl_->Execute(next);
}

void queue_controller::OnCancelled(const core::attempt_id& attempt) {
  attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  state->ran = true;
  const auto next = impl_->scheduler.OnCancelConfirmed(
      attempt, state->delivered, impl_->loop.Now());
  if (state->phase == attempt_phase::preempting) {
    state->phase = attempt_phase::queued;
  } else {
    impl_->Withdrawn(attempt, impl::PartialOutcome(*state->request));
    impl_->attempts.erase(attempt);
  }
  impl_->Execute(next);
}

void queue_controller::OnAdapterMissing(const core::attempt_id& attempt,
                                        bool ran) {
  attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  state->ran = state->ran || ran;
  state->phase = attempt_phase::queued;
  impl_->metrics.Count("agent_adapter_missing_total");
  impl_->Execute(impl_->scheduler.OnAdapterMissing(attempt, impl_->loop.Now()));
}

void queue_controller::OnLoadDone(const core::adapter_reference& adapter,
                                  core::milliseconds took) {
  impl_->metrics.Observe("agent_load_ms", static_cast<double>(took.count()));
  impl_->Execute(impl_->scheduler.OnLoadDone(adapter, took, impl_->loop.Now()));
}

void queue_controller::OnLoadFailed(const core::adapter_reference& adapter) {
  impl_->metrics.Count("agent_load_failures_total");
  impl_->Execute(impl_->scheduler.OnLoadFailed(adapter, impl_->loop.Now()));
}

void queue_controller::OnEndpointState(
    const admission::engine_limits& limits,
    const std::vector<core::adapter_reference>& resident) {
  impl_->Execute(
      impl_->scheduler.OnEngineState(limits, resident, impl_->loop.Now()));
}

void queue_controller::OnEndpointRestart() {
  const auto lost = impl_->Select(
      [](const attempt_state& state) { return state.IsAtEndpoint(); });
  impl_->metrics.Count("agent_endpoint_restarts_total");
  const auto next = impl_->scheduler.OnEngineRestart(impl_->loop.Now());
  for (const core::attempt_id& attempt : lost) impl_->EndLostRun(attempt);
  impl_->Execute(next);
}

void queue_controller::OnEndpointAvailability() { impl_->UpdateEnabled(); }

nlohmann::json queue_controller::ToJson() const {
  const core::time_point now = impl_->loop.Now();
  const auto report = Report({});
  const auto& counters = impl_->scheduler.Counters();
  json open = json::array();
  for (const auto& [attempt, state] : impl_->attempts) {
    if (open.size() >= kMaximumListed) break;
    open.push_back({{"attempt", attempt.Value()},
                    {"adapter", core::ToString(state.request->adapter)},
                    {"priority", core::ToString(state.request->priority)},
                    {"phase", ToString(state.phase)},
                    {"delivered_tokens", state.delivered.value},
                    {"age_ms", MillisecondsBetween(state.received, now)}});
  }
  json slots = json::array();
  for (const auto& slot : impl_->scheduler.Slots()) {
    slots.push_back({{"adapter", core::ToString(slot.adapter)},
                     {"pins", slot.pins},
                     {"loading", slot.loading}});
  }
  return {{"waiting", impl_->scheduler.Waiting()},
          {"waiting_urgent", report.waiting_urgent},
          {"waiting_may_wait", report.waiting_may_wait},
          {"running", impl_->scheduler.Running()},
          {"batch_limit", report.batch_limit},
          {"expected_wait_ms", report.expected_wait.count()},
          {"verified", impl_->verified},
          {"draining", impl_->draining},
          {"endpoint_up", report.endpoint_up},
          {"open_attempts", impl_->attempts.size()},
          {"attempts", std::move(open)},
          {"slots", std::move(slots)},
          {"known_attempts", impl_->known.Size()},
          {"replay_attempts", impl_->answers.KeptAttempts()},
          {"replay_bytes", impl_->answers.KeptBytes()},
          {"counters",
           {{"submitted", counters.submitted},
            {"dispatched", counters.dispatched},
            {"refused", counters.refused},
            {"preempted", counters.preempted},
            {"loads_started", counters.loads_started},
            {"loads_failed", counters.loads_failed},
            {"load_stalls", counters.load_stalls},
            {"evictions", counters.evictions}}}};
}

void queue_controller::UpdateMetrics() {
  const auto report = Report({});
  const auto& counters = impl_->scheduler.Counters();
  const auto set = [this](const std::string& name, auto value) {
    impl_->metrics.SetGauge(name, static_cast<double>(value));
  };
  set("agent_running", report.running);
  set("agent_waiting{class=\"urgent\"}", report.waiting_urgent);
  set("agent_waiting{class=\"may_wait\"}", report.waiting_may_wait);
  set("agent_expected_wait_ms", report.expected_wait.count());
  set("agent_endpoint_up", report.endpoint_up ? 1 : 0);
  set("agent_loads_started", counters.loads_started);
  set("agent_loads_failed", counters.loads_failed);
  set("agent_load_stalls", counters.load_stalls);
  set("agent_evictions", counters.evictions);
  set("agent_replay_bytes", impl_->answers.KeptBytes());
}

}  // namespace comfreyspring::agent

#include "agent/queue_controller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "agent/queue_controller_impl.h"
#include "agent/queue_dump.h"

namespace comfreyspring::agent {

using nlohmann::json;

queue_controller::queue_controller(net::event_loop& loop, queue_options options,
                                   endpoint_runner& runner,
                                   ledger_controller& ledger,
                                   response_channel& responses,
                                   telemetry::metrics& metrics)
    : impl_(std::make_unique<impl>(loop, options, runner, ledger, responses,
                                   metrics)) {
  impl_->scheduler.SetEnabled(false, loop.Now());
}

queue_controller::~queue_controller() = default;

// Messages from entries.

void queue_controller::OnSubmit(const entry_instance& entry,
                                const wire::submit& message) {
  impl_->Submit(entry, message);
}

void queue_controller::OnWithdraw(const entry_instance& entry,
                                  const wire::withdraw& message) {
  const core::attempt_id& attempt = message.attempt;
  if (impl_->known_attempts.Status(attempt) != attempt_status::unseen) {
    impl_->Withdraw(attempt);
    return;
  }
  const auto outcome = impl_->known_attempts.CannotHaveRun(attempt)
                           ? core::outcome::not_run
                           : core::outcome::unknown;
  impl_->known_attempts.Block(attempt, impl_->loop.Now());
  impl_->responder.Channel().Begin(attempt, entry);
  impl_->responder.ConfirmWithdrawn(attempt, outcome);
}

void queue_controller::OnResume(const entry_instance& entry,
                                const wire::resume& message) {
  const core::attempt_id& attempt = message.attempt;
  if (impl_->responder.Channel().Resume(attempt, message.next_sequence)) return;
  run_failure failure{
      core::outcome::incomplete, "replay_not_kept",
      "The requested part of the response is no longer buffered."};
  if (impl_->known_attempts.Status(attempt) == attempt_status::unseen) {
    failure = {core::outcome::unknown, "attempt_unknown",
               "The attempt is unknown to this agent."};
    if (impl_->known_attempts.CannotHaveRun(attempt)) {
      failure.outcome = core::outcome::not_run;
    }
    impl_->known_attempts.Block(attempt, impl_->loop.Now());
    impl_->responder.Channel().Begin(attempt, entry);
  }
  if (impl_->responder.IsOpen(attempt)) {
    impl_->Refuse(attempt, failure);
    impl_->Withdraw(attempt);
    return;
  }
  // The final message was already sent, but without the missing chunks the
  // entry cannot use it.
  wire::refused answer;
  answer.attempt = attempt;
  answer.outcome = failure.outcome;
  answer.reason = failure.reason;
  answer.message = failure.message;
  impl_->responder.Channel().Notify(attempt, answer);
}

void queue_controller::OnEntryLost(const entry_instance& entry) {
  const auto lost = impl_->Select(
      [&](const attempt_state& state) { return state.entry == entry; });
  if (lost.empty()) return;
  LOG(WARNING) << "agent.queue: Withdrew " << lost.size()
               << " attempts of lost entry " << entry.process << '.';
  for (const core::attempt_id& attempt : lost) impl_->Withdraw(attempt);
}

// Process events.

void queue_controller::SetVerified(bool verified) {
  impl_->verified = verified;
  impl_->UpdateEnabled();
}

void queue_controller::BeginDrain(core::time_point deadline) {
  impl_->draining = true;
  impl_->Execute(impl_->scheduler.OnDrain(deadline, impl_->loop.Now()));
}

void queue_controller::AbortAll(const std::string& reason) {
  const auto open = impl_->Select([](const attempt_state&) { return true; });
  for (const core::attempt_id& attempt : open) {
    const attempt_state* state = impl_->Find(attempt);
    if (state == nullptr) continue;
    const bool may_have_run =
        state->may_have_run || state->phase != attempt_phase::queued;
    impl_->Refuse(attempt, {may_have_run ? PartialOutcome(*state->request)
                                         : core::outcome::not_run,
                            reason, "The agent is shutting down."});
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
  state->may_have_run = true;
  ++state->delivered_tokens.value;
  if (state->MayBePreempted()) state->delivered_text += data;
  if (state->phase == attempt_phase::withdrawing) return;
  if (state->delivered_tokens.value == 1) {
    impl_->metrics.Observe(
        "agent_first_output_ms",
        MillisecondsBetween(state->received, impl_->loop.Now()));
  }
  impl_->responder.Channel().Write(attempt, data);
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
  attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  const core::time_point now = impl_->loop.Now();
  // Report a failed run as a confirmed cancellation so that it does not affect
  // the estimates of output length and speed. After a preemption, report a
  // normal end instead, because a confirmed cancellation would requeue the
  // attempt.
  const auto next =
      state->phase == attempt_phase::preempting
          ? impl_->scheduler.OnEnded(attempt, state->delivered_tokens, now)
          : impl_->scheduler.OnCancelConfirmed(attempt, state->delivered_tokens,
                                               now);
  if (state->retry_pending && state->phase != attempt_phase::withdrawing) {
    impl_->Retry(*state);
  } else {
    // Answers a pending retry that was withdrawn in the meantime.
    impl_->responder.ConfirmWithdrawn(attempt, PartialOutcome(*state->request));
    impl_->attempts.erase(attempt);
  }
  impl_->Execute(next);
}

void queue_controller::OnCancelled(const core::attempt_id& attempt) {
  attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  state->may_have_run = true;
  const auto next = impl_->scheduler.OnCancelConfirmed(
      attempt, state->delivered_tokens, impl_->loop.Now());
  if (state->phase == attempt_phase::preempting) {
    state->phase = attempt_phase::queued;
  } else {
    impl_->responder.ConfirmWithdrawn(attempt, PartialOutcome(*state->request));
    impl_->attempts.erase(attempt);
  }
  impl_->Execute(next);
}

void queue_controller::OnAdapterMissing(const core::attempt_id& attempt,
                                        bool ran) {
  attempt_state* state = impl_->Find(attempt);
  if (state == nullptr) return;
  state->may_have_run = state->may_have_run || ran;
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
  for (const core::attempt_id& attempt : lost) impl_->HandleLostRun(attempt);
  impl_->Execute(next);
}

void queue_controller::OnEndpointAvailability() { impl_->UpdateEnabled(); }

nlohmann::json queue_controller::ToJson() const {
  json dump = DumpQueue(impl_->scheduler.Scheduler(), Report({}),
                        impl_->attempts, impl_->loop.Now());
  dump["verified"] = impl_->verified;
  dump["known_attempts"] = impl_->known_attempts.Size();
  dump["replay_attempts"] = impl_->responder.Channel().BufferedAttempts();
  dump["replay_bytes"] = impl_->responder.Channel().BufferedBytes();
  return dump;
}

void queue_controller::UpdateMetrics() {
  SetQueueGauges(impl_->scheduler.Scheduler(), Report({}), impl_->metrics);
  impl_->metrics.SetGauge(
      "agent_replay_bytes",
      static_cast<double>(impl_->responder.Channel().BufferedBytes()));
}

}  // namespace comfreyspring::agent

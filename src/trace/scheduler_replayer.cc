#include "trace/scheduler_replayer.h"

#include <variant>

#include "core/error.h"

namespace comfreyspring::trace {

std::vector<admission::scheduler_action> scheduler_replayer::Apply(
    const scheduler_subject::event& event, core::time_point now) {
  actions list = std::visit(
      [this, now](const auto& typed) { return ApplyEvent(typed, now); }, event);
  for (const admission::scheduler_action& action : list) RecordAction(action);
  return list;
}

// Events.

scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const admission::scheduler_options& event, core::time_point) {
  scheduler_ = std::make_unique<admission::engine_scheduler>(event);
  return {};
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const admission::work_item& event, core::time_point now) {
  attempts_.try_emplace(event.attempt);
  return scheduler_->OnSubmit(event, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_withdraw& event, core::time_point now) {
  return scheduler_->OnWithdraw(event.attempt, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_first_output& event, core::time_point now) {
  return scheduler_->OnFirstOutput(event.attempt, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_ended& event, core::time_point now) {
  return scheduler_->OnEnded(event.attempt, event.produced, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_cancel_confirmed& event, core::time_point now) {
  return scheduler_->OnCancelConfirmed(event.attempt, event.delivered, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_adapter_missing& event, core::time_point now) {
  return scheduler_->OnAdapterMissing(event.attempt, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_load_done& event, core::time_point now) {
  return scheduler_->OnLoadDone(event.adapter, event.took, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_load_failed& event, core::time_point now) {
  return scheduler_->OnLoadFailed(event.adapter, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_engine_state& event, core::time_point now) {
  return scheduler_->OnEngineState(event.limits, event.resident, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_engine_restart&, core::time_point now) {
  return scheduler_->OnEngineRestart(now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_enabled& event, core::time_point now) {
  return scheduler_->SetEnabled(event.enabled, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_drain& event, core::time_point now) {
  return scheduler_->OnDrain(event.limit, now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const scheduler_tick&, core::time_point now) {
  return scheduler_->OnTick(now);
}
scheduler_replayer::actions scheduler_replayer::ApplyEvent(
    const end_of_recording&, core::time_point) {
  return {};
}

// Outcomes.

void scheduler_replayer::RecordAction(
    const admission::scheduler_action& action) {
  ++actions_;
  if (const auto* load = std::get_if<admission::start_load>(&action)) {
    ++loads_[load->adapter];
    if (load->evict) evicted_.insert(*load->evict);
  } else if (const auto* sent = std::get_if<admission::dispatch>(&action)) {
    attempt_history& history = attempts_[sent->attempt];
    if (history.dispatches == 0) history.first_dispatch = actions_;
    ++history.dispatches;
  } else if (const auto* refusal = std::get_if<admission::refuse>(&action)) {
    attempts_[refusal->attempt].refusal = *refusal;
  }
}

std::string scheduler_replayer::Check(
    const outcome_assertion& assertion) const {
  if (assertion.attempt) return CheckAttempt(assertion);
  if (assertion.adapter) return CheckAdapter(assertion);
  throw core::error("this outcome does not apply to the scheduler");
}

std::string scheduler_replayer::CheckAttempt(
    const outcome_assertion& assertion) const {
  const auto found = attempts_.find(*assertion.attempt);
  if (found == attempts_.end()) return "the attempt was never submitted";
  const attempt_history& history = found->second;
  if (assertion.result == "refused") return CheckRefused(assertion, history);
  if (history.dispatches == 0) return "the attempt was never dispatched";
  if (assertion.max && history.dispatches > *assertion.max) {
    return "the attempt was dispatched " + std::to_string(history.dispatches) +
           " times";
  }
  if (!assertion.dispatched_before) return "";
  const auto other = attempts_.find(*assertion.dispatched_before);
  if (other == attempts_.end()) return "the other attempt was never submitted";
  const bool later = other->second.dispatches == 0 ||
                     other->second.first_dispatch > history.first_dispatch;
  return later ? "" : "the other attempt was dispatched earlier";
}

std::string scheduler_replayer::CheckRefused(
    const outcome_assertion& assertion, const attempt_history& history) const {
  if (!history.refusal) return "the attempt was not refused";
  if (assertion.reason && history.refusal->reason != *assertion.reason) {
    return "the reason is " + history.refusal->reason;
  }
  const auto outcome = history.refusal->ran_before ? core::outcome::incomplete
                                                   : core::outcome::not_run;
  if (assertion.outcome && *assertion.outcome != outcome) {
    return "the outcome is " + std::string(core::ToString(outcome));
  }
  // The entry would run an attempt twice if the scheduler reported it as not
  // run after it had been dispatched.
  if (assertion.outcome && outcome == core::outcome::not_run &&
      history.dispatches > 0) {
    return "the attempt was dispatched before it was refused";
  }
  return "";
}

std::string scheduler_replayer::CheckAdapter(
    const outcome_assertion& assertion) const {
  if (assertion.never_evicted) {
    return evicted_.contains(*assertion.adapter) ? "the adapter was evicted"
                                                 : "";
  }
  const auto found = loads_.find(*assertion.adapter);
  const std::size_t loads = found == loads_.end() ? 0 : found->second;
  if (loads <= *assertion.max) return "";
  return std::to_string(loads) + " loads were started";
}

}  // namespace comfreyspring::trace

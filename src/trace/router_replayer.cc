#include "trace/router_replayer.h"

#include <utility>
#include <variant>

#include "core/error.h"

namespace comfreyspring::trace {
namespace {

// Applies until the first heartbeat_limit event; same value as in
// entry/membership_controller.cc.
constexpr core::milliseconds kInitialHeartbeatLimit{3000};

}  // namespace

router_replayer::router_replayer() : directory_(kInitialHeartbeatLimit) {}

std::vector<routing::router_action> router_replayer::Apply(
    const router_subject::event& event, core::time_point now) {
  actions list = std::visit(
      [this, now](const auto& typed) { return ApplyEvent(typed, now); }, event);
  for (const routing::router_action& action : list) RecordAction(action, now);
  return list;
}

// Router events.

router_replayer::actions router_replayer::ApplyEvent(
    const routing::router_options& event, core::time_point) {
  router_ = std::make_unique<routing::request_router>(event, directory_);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const routing::request_attributes& event, core::time_point now) {
  // The router asserts that request ids are unique.
  if (!requests_.try_emplace(event.request).second) {
    throw core::error("request " + event.request.Value() + " is a duplicate");
  }
  return router_->OnRequest(event, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_caller_gone& event, core::time_point now) {
  return router_->OnCallerGone(event.request, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const wire::accepted& event, core::time_point now) {
  return router_->OnAccepted(event.attempt, event.report, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_first_chunk& event, core::time_point now) {
  return router_->OnFirstChunk(event.attempt, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_progress& event, core::time_point now) {
  router_->OnProgress(event.attempt, event.chunks, now);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const wire::finished& event, core::time_point now) {
  return router_->OnFinished(event, now);
}
router_replayer::actions router_replayer::ApplyEvent(const wire::refused& event,
                                                     core::time_point now) {
  return router_->OnRefused(event, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const wire::withdrawn& event, core::time_point now) {
  return router_->OnWithdrawn(event, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_broken_answer& event, core::time_point now) {
  return router_->OnBrokenAnswer(event.attempt, event.reason, now,
                                 event.output_valid);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_nothing_to_continue& event, core::time_point now) {
  return router_->OnNothingToContinue(event.attempt, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_continuation_disallowed& event, core::time_point /*now*/) {
  router_->DisallowContinuation(event.request);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_not_sent& event, core::time_point now) {
  return router_->OnNotSent(event.attempt, now);
}
router_replayer::actions router_replayer::ApplyEvent(
    const router_endpoint_lost& event, core::time_point now) {
  return router_->OnEndpointLost(event.endpoint, now);
}
router_replayer::actions router_replayer::ApplyEvent(const router_tick&,
                                                     core::time_point now) {
  return router_->OnTick(now);
}

// Directory events.

router_replayer::actions router_replayer::ApplyEvent(
    const directory_endpoint& event, core::time_point) {
  next_configuration_.endpoints.push_back(event.record);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_planned_stop& event, core::time_point) {
  next_configuration_.stops.push_back(event.stop);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_configuration& event, core::time_point) {
  next_configuration_.version = event.version;
  directory_.OnConfiguration(std::make_shared<const config::configuration>(
      std::exchange(next_configuration_, {})));
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_vm_list& event, core::time_point) {
  wire::vm_list list;
  list.revision = event.revision;
  for (const core::vm_id& vm : event.live) {
    list.vms.push_back({vm, wire::vm_state::live});
  }
  for (const core::vm_id& vm : event.leaving) {
    list.vms.push_back({vm, wire::vm_state::leaving});
  }
  directory_.OnVmList(list);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_hello& event, core::time_point now) {
  wire::hello message;
  message.instance_ms = event.instance_ms;
  message.version = event.version;
  message.report = event.report;
  directory_.OnHello(event.endpoint, message, now);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_report& event, core::time_point now) {
  directory_.OnReport(event.endpoint, event.report, now);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_version& event, core::time_point) {
  directory_.OnVersion(event.endpoint, event.version);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_leaving& event, core::time_point now) {
  directory_.OnLeaving(event.endpoint, now);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_link_lost& event, core::time_point now) {
  directory_.OnLinkLost(event.endpoint, now);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(const directory_pause&,
                                                     core::time_point now) {
  directory_.OnPause(now);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_wall_time& event, core::time_point) {
  directory_.OnWallTime(event.wall);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(
    const directory_heartbeat_limit& event, core::time_point) {
  if (event.limit.count() <= 0) {
    throw core::error("the heartbeat limit must be positive");
  }
  directory_.SetHeartbeatLimit(event.limit);
  return {};
}
router_replayer::actions router_replayer::ApplyEvent(const end_of_recording&,
                                                     core::time_point) {
  return {};
}

// Outcomes.

void router_replayer::RecordAction(const routing::router_action& action,
                                   core::time_point now) {
  if (const auto* sent = std::get_if<routing::submit_attempt>(&action)) {
    requests_[sent->request].attempts.push_back(
        {sent->attempt, sent->endpoint, now});
  } else if (const auto* done =
                 std::get_if<routing::complete_request>(&action)) {
    request_history& history = requests_[done->request];
    history.results.emplace_back("completed");
    for (const sent_attempt& attempt : history.attempts) {
      if (attempt.attempt == done->attempt) {
        history.completed_by = attempt.endpoint;
      }
    }
  } else if (const auto* failed = std::get_if<routing::fail_request>(&action)) {
    request_history& history = requests_[failed->request];
    history.results.emplace_back("failed");
    history.failure = *failed;
  }
}

std::string router_replayer::Check(const outcome_assertion& assertion) const {
  if (assertion.request) return CheckRequest(assertion);
  if (assertion.no_submit) return CheckNoSubmit(assertion);
  throw core::error("this outcome does not apply to the router");
}

std::string router_replayer::CheckRequest(
    const outcome_assertion& assertion) const {
  const auto found = requests_.find(*assertion.request);
  if (found == requests_.end()) return "the trace has no such request";
  const request_history& history = found->second;
  if (assertion.attempts) {
    if (history.attempts.size() <= *assertion.max) return "";
    return std::to_string(history.attempts.size()) + " attempts were sent";
  }
  if (history.results.size() != 1) {
    return "the request has " + std::to_string(history.results.size()) +
           " results";
  }
  if (history.results.front() != assertion.result) {
    return "the request " + history.results.front() + " " +
           history.failure.reason;
  }
  if (assertion.endpoint && history.completed_by != *assertion.endpoint) {
    return "completed by " + history.completed_by.Value();
  }
  if (assertion.outcome && history.failure.outcome != *assertion.outcome) {
    return "the outcome is " +
           std::string(core::ToString(history.failure.outcome));
  }
  if (assertion.reason && history.failure.reason != *assertion.reason) {
    return "the reason is " + history.failure.reason;
  }
  return "";
}

std::string router_replayer::CheckNoSubmit(
    const outcome_assertion& assertion) const {
  for (const auto& [request, history] : requests_) {
    for (const sent_attempt& attempt : history.attempts) {
      const bool counts = !assertion.from || attempt.at >= *assertion.from;
      if (counts && attempt.endpoint == *assertion.endpoint) {
        return "attempt " + attempt.attempt.Value() +
               " was sent to this endpoint";
      }
    }
  }
  return "";
}

}  // namespace comfreyspring::trace

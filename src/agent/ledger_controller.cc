#include "agent/ledger_controller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::agent {

namespace {

constexpr core::milliseconds kTickPeriod{5000};

}  // namespace

ledger_controller::ledger_controller(net::event_loop& loop,
                                     ledger::ledger_options options)
    : loop_(loop), ledger_(std::move(options)) {
  tick_timer_ = loop_.SchedulePeriodic(
      kTickPeriod, [this] { ledger_.OnTick(loop_.WallNow()); });
}

ledger_controller::~ledger_controller() { loop_.Cancel(tick_timer_); }

void ledger_controller::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  ledger_.OnConfiguration(std::move(current));
}

void ledger_controller::OnPeerVersions(const wire::peer_versions& message) {
  ledger_.OnPeerVersions(message, loop_.WallNow());
}

void ledger_controller::OnVmList(const wire::vm_list& list) {
  std::set<core::vm_id> present;
  for (const wire::vm_entry& entry : list.vms) present.insert(entry.vm);
  for (const core::vm_id& vm : known_vms_) {
    if (present.count(vm) == 0) ledger_.OnVmRemoved(vm, loop_.WallNow());
  }
  known_vms_ = std::move(present);
}

bool ledger_controller::AppliesTo(const wire::submit& message) {
  return !message.idempotent &&
         message.kind == core::request_kind::service_call;
}

ledger::ledger_decision ledger_controller::OnSubmit(
    const wire::submit& message) {
  auto decision = ledger_.OnSubmit(message, loop_.WallNow());
  if (const auto* rejected = std::get_if<ledger::reject_call>(&decision)) {
    ++rejections_;
    LOG(INFO) << "agent.ledger: Rejected attempt " << message.attempt
              << " with key " << message.key << ": " << rejected->reason << '.';
  } else if (std::holds_alternative<ledger::run_call>(decision)) {
    ++runs_;
  } else if (std::holds_alternative<ledger::replay_response>(decision)) {
    ++replays_;
  } else {
    ++joins_;
  }
  return decision;
}

void ledger_controller::OnDispatched(const wire::submit& message) {
  ledger_.OnDispatched(message.key);
}

std::vector<core::attempt_id> ledger_controller::OnResponse(
    const wire::submit& message, int status, const std::string& content_type,
    const std::string& body) {
  return ledger_.OnResponse(message.key, status, content_type, body);
}

std::vector<core::attempt_id> ledger_controller::OnOutcomeUnknown(
    const wire::submit& message) {
  return ledger_.OnOutcomeUnknown(message.key);
}

std::vector<core::attempt_id> ledger_controller::OnNotRun(
    const wire::submit& message) {
  return ledger_.OnNotRun(message.key);
}

nlohmann::json ledger_controller::ToJson() const {
  return {{"records", ledger_.RecordCount()},
          {"calls_accepted", runs_},
          {"calls_replayed", replays_},
          {"calls_joined", joins_},
          {"calls_rejected", rejections_}};
}

}  // namespace comfreyspring::agent

#include "membership/endpoint_directory.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

namespace comfreyspring::membership {
namespace {

// VMs that left the list are kept for the handover of ownership. About 200 VMs
// are replaced per day, so this covers several weeks.
constexpr std::size_t kMaximumKnownVms = 20000;

struct link_state {
  endpoint_view view;
  bool configured = false;
  bool unverified = false;
  /** Set by a leaving notice; cleared only by a newer instance. */
  bool leaving = false;
  std::vector<config::planned_stop> stops;
};

struct vm_record {
  bool leaving = false;
  std::int64_t last_revision = 0;
};

bool InPlannedStop(const link_state& state, core::wall_time wall) {
  return std::any_of(state.stops.begin(), state.stops.end(),
                     [wall](const config::planned_stop& stop) {
                       return stop.starts_at <= wall && wall < stop.ends_at;
                     });
}

}  // namespace

std::string_view ToString(availability value) {
  switch (value) {
    case availability::available:
      return "available";
    case availability::not_configured:
      return "not_configured";
    case availability::planned_stop:
      return "planned_stop";
    case availability::vm_leaving:
      return "vm_leaving";
    case availability::no_link:
      return "no_link";
    case availability::stale_heartbeat:
      return "stale_heartbeat";
    case availability::draining:
      return "draining";
    case availability::endpoint_down:
      return "endpoint_down";
    case availability::unverified_after_pause:
      return "unverified_after_pause";
  }
  return "invalid";
}

struct endpoint_directory::impl {
  core::milliseconds heartbeat_limit{0};
  core::wall_time wall;
  core::config_version version;
  std::uint64_t list_revision = 0;
  std::int64_t vm_revision = 0;
  std::unordered_map<core::endpoint_id, link_state> links;
  std::unordered_map<core::vm_id, vm_record> vms;
  /** Configured endpoints in the order of the configuration. */
  std::vector<core::endpoint_id> order;

  const link_state* Configured(const core::endpoint_id& endpoint) const {
    const auto found = links.find(endpoint);
    if (found == links.end() || !found->second.configured) return nullptr;
    return &found->second;
  }

  bool VmLeaving(const core::vm_id& vm) const {
    const auto found = vms.find(vm);
    return found != vms.end() && found->second.leaving;
  }

  void EvictOldestVms() {
    while (vms.size() > kMaximumKnownVms) {
      vms.erase(std::min_element(
          vms.begin(), vms.end(), [](const auto& left, const auto& right) {
            return left.second.last_revision < right.second.last_revision;
          }));
    }
  }

  template <class Matches>
  std::vector<core::endpoint_id> Select(Matches matches) const {
    std::vector<core::endpoint_id> result;
    for (const core::endpoint_id& endpoint : order) {
      if (matches(links.at(endpoint).view.record)) result.push_back(endpoint);
    }
    return result;
  }
};

endpoint_directory::endpoint_directory(core::milliseconds heartbeat_limit)
    : impl_(std::make_unique<impl>()) {
  SetHeartbeatLimit(heartbeat_limit);
}

endpoint_directory::~endpoint_directory() = default;

void endpoint_directory::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  assert(current != nullptr);
  if (current->version < impl_->version) return;
  impl_->version = current->version;
  ++impl_->list_revision;
  impl_->order.clear();
  for (auto& [endpoint, state] : impl_->links) {
    state.configured = false;
    state.stops.clear();
  }
  for (const config::endpoint_record& record : current->endpoints) {
    link_state& state = impl_->links[record.endpoint];
    if (state.configured) continue;
    state.configured = true;
    state.view.record = record;
    impl_->order.push_back(record.endpoint);
  }
  for (const config::planned_stop& stop : current->stops) {
    const auto found = impl_->links.find(stop.endpoint);
    if (found != impl_->links.end()) found->second.stops.push_back(stop);
  }
  std::erase_if(impl_->links, [](const auto& item) {
    return !item.second.configured && !item.second.view.connected;
  });
}

void endpoint_directory::OnVmList(const wire::vm_list& list) {
  if (list.revision < impl_->vm_revision) return;
  impl_->vm_revision = list.revision;
  for (const wire::vm_entry& entry : list.vms) {
    vm_record& record = impl_->vms[entry.vm];
    record.leaving = entry.state == wire::vm_state::leaving;
    record.last_revision = list.revision;
  }
  // A VM that was leaving when it dropped off the list stays marked as leaving
  // until it is listed as live again. One that was live keeps its endpoints
  // available.
  impl_->EvictOldestVms();
}

void endpoint_directory::OnHello(const core::endpoint_id& endpoint,
                                 const wire::hello& message,
                                 core::time_point now) {
  link_state& state = impl_->links[endpoint];
  // An older instance that resumes after a pause may complete a handshake.
  if (message.instance_ms < state.view.instance_ms) return;
  if (message.instance_ms > state.view.instance_ms) {
    state.leaving = false;
    state.view.report.reset();
  }
  state.view.instance_ms = message.instance_ms;
  state.view.version = message.version;
  state.view.connected = true;
  state.view.last_heard = now;
  state.unverified = false;
  if (message.report) state.view.report = message.report;
}

void endpoint_directory::OnReport(const core::endpoint_id& endpoint,
                                  const wire::endpoint_report& report,
                                  core::time_point now) {
  const auto found = impl_->links.find(endpoint);
  if (found == impl_->links.end()) return;
  link_state& state = found->second;
  state.view.report = report;
  state.view.last_heard = now;
  if (state.view.connected) state.unverified = false;
}

void endpoint_directory::OnVersion(const core::endpoint_id& endpoint,
                                   core::config_version version) {
  const auto found = impl_->links.find(endpoint);
  if (found == impl_->links.end()) return;
  core::config_version& known = found->second.view.version;
  known = std::max(known, version);
}

void endpoint_directory::OnLeaving(const core::endpoint_id& endpoint,
                                   core::time_point now) {
  const auto found = impl_->links.find(endpoint);
  if (found == impl_->links.end()) return;
  found->second.leaving = true;
  found->second.view.last_heard = now;
}

void endpoint_directory::OnLinkLost(const core::endpoint_id& endpoint,
                                    core::time_point /*now*/) {
  const auto found = impl_->links.find(endpoint);
  if (found == impl_->links.end()) return;
  found->second.view.connected = false;
  if (!found->second.configured) impl_->links.erase(found);
}

void endpoint_directory::OnPause(core::time_point /*now*/) {
  for (auto& [endpoint, state] : impl_->links) state.unverified = true;
}

void endpoint_directory::OnWallTime(core::wall_time now) { impl_->wall = now; }

void endpoint_directory::SetHeartbeatLimit(core::milliseconds limit) {
  assert(limit.count() > 0);
  impl_->heartbeat_limit = limit;
}

availability endpoint_directory::AvailabilityOf(
    const core::endpoint_id& endpoint, core::time_point now) const {
  const link_state* state = impl_->Configured(endpoint);
  if (state == nullptr) return availability::not_configured;
  const endpoint_view& view = state->view;
  if (InPlannedStop(*state, impl_->wall)) return availability::planned_stop;
  if (impl_->VmLeaving(view.record.vm)) return availability::vm_leaving;
  if (state->leaving) return availability::draining;
  if (!view.connected) return availability::no_link;
  if (state->unverified) return availability::unverified_after_pause;
  if (now - view.last_heard > impl_->heartbeat_limit) {
    return availability::stale_heartbeat;
  }
  if (view.report && view.report->draining) return availability::draining;
  if (!view.report || !view.report->endpoint_up) {
    return availability::endpoint_down;
  }
  return availability::available;
}

const endpoint_view* endpoint_directory::Find(
    const core::endpoint_id& endpoint) const {
  const link_state* state = impl_->Configured(endpoint);
  return state == nullptr ? nullptr : &state->view;
}

std::vector<core::endpoint_id> endpoint_directory::Engines(
    const core::model_id& model) const {
  return impl_->Select([&model](const config::endpoint_record& record) {
    return record.kind == core::endpoint_kind::engine && record.model == model;
  });
}

std::vector<core::endpoint_id> endpoint_directory::ServiceEndpoints(
    const core::service_id& service) const {
  return impl_->Select([&service](const config::endpoint_record& record) {
    return record.kind == core::endpoint_kind::plain_service &&
           record.service == service;
  });
}

std::vector<core::endpoint_id> endpoint_directory::All() const {
  return impl_->order;
}

std::uint64_t endpoint_directory::ListRevision() const {
  return impl_->list_revision;
}

bool endpoint_directory::HasLeftVmList(const core::vm_id& vm) const {
  const auto found = impl_->vms.find(vm);
  return found != impl_->vms.end() &&
         found->second.last_revision < impl_->vm_revision;
}

}  // namespace comfreyspring::membership

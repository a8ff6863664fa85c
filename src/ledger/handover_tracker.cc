#include "ledger/handover_tracker.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/hash.h"

namespace comfreyspring::ledger {

namespace {

// Reported versions kept per peer. When the report for an older epoch has been
// dropped, a later one is used, which can only delay the handover.
constexpr std::size_t kMaximumVersions = 16;

struct completed_handover {
  std::int64_t instance_ms = 0;
  core::wall_time completed_at;
};

struct epoch_state {
  config::ownership_epoch epoch;
  core::config_version first_version;
  /** Time of the first event after the adoption. A late time only delays the
   * handover. */
  std::optional<core::wall_time> adopted_at;
  /** A majority of the members has reported, none with a newer version. */
  bool confirmed = false;
  /** By earlier epoch: when a majority of its members had reported this one or
   * a newer configuration. */
  std::map<std::int64_t, core::wall_time> majority_reported_at;
  /** By earlier epoch and member: the report that completed the handover. */
  std::map<std::pair<std::int64_t, core::endpoint_id>, completed_handover>
      completed_handovers;

  void EraseEarlierEpoch(std::int64_t earlier) {
    majority_reported_at.erase(earlier);
    for (auto entry = completed_handovers.begin();
         entry != completed_handovers.end();) {
      entry = entry->first.first == earlier ? completed_handovers.erase(entry)
                                            : std::next(entry);
    }
  }
};

struct peer_report {
  std::int64_t instance_ms = INT64_MIN;
  core::wall_time instance_first_received_at;
  /** Time of the latest report of the last of `versions`. */
  core::wall_time last_received_at;
  struct version_time {
    core::config_version version;
    core::wall_time received_at;
  };
  // In ascending order of version and time.
  std::deque<version_time> versions;

  std::optional<core::wall_time> FirstReportedAt(
      const core::config_version& version) const {
    for (const auto& entry : versions) {
      if (entry.version >= version) return entry.received_at;
    }
    return std::nullopt;
  }
};

bool SameEpoch(const config::ownership_epoch& left,
               const config::ownership_epoch& right) {
  return left.epoch == right.epoch &&
         left.effective_from_ms == right.effective_from_ms &&
         left.members == right.members;
}

}  // namespace

core::endpoint_id OwnerInEpoch(const config::ownership_epoch& epoch,
                               const core::idempotency_key& key) {
  core::endpoint_id owner;
  std::uint64_t greatest = 0;
  for (const core::endpoint_id& member : epoch.members) {
    const std::uint64_t weight =
        core::RendezvousWeight(key.Value(), member.Value());
    // Equal weights are resolved by the smaller id, so that the result does not
    // depend on the order of the members.
    if (owner.empty() || weight > greatest ||
        (weight == greatest && member < owner)) {
      owner = member;
      greatest = weight;
    }
  }
  return owner;
}

struct handover_tracker::impl {
  core::endpoint_id own_endpoint;
  core::config_version own_version;
  std::map<std::pair<core::service_id, std::int64_t>, epoch_state> epoch_states;
  std::unordered_map<core::endpoint_id, peer_report> peers;
  // Entries are kept when an endpoint leaves the configuration.
  std::unordered_map<core::endpoint_id, core::vm_id> endpoint_vms;
  std::unordered_map<core::vm_id, core::wall_time> vm_removed_at;

  void UpdateEpochStates(const config::service_record& service,
                         const core::config_version& version) {
    std::set<std::int64_t> present;
    for (const config::ownership_epoch& epoch : service.epochs) {
      present.insert(epoch.epoch);
      auto& state = epoch_states[{service.service, epoch.epoch}];
      // Two operators may publish different members under one epoch number.
      if (SameEpoch(state.epoch, epoch)) continue;
      state = {.epoch = epoch, .first_version = version};
      for (auto& [key, later] : epoch_states) {
        if (key.first == service.service) later.EraseEarlierEpoch(epoch.epoch);
      }
    }
    const auto first = epoch_states.lower_bound({service.service, INT64_MIN});
    for (auto entry = first; entry != epoch_states.end() &&
                             entry->first.first == service.service;) {
      entry = present.count(entry->first.second) == 0
                  ? epoch_states.erase(entry)
                  : std::next(entry);
    }
  }

  std::optional<core::wall_time> VmRemovedAt(
      const core::endpoint_id& endpoint) const {
    const auto vm = endpoint_vms.find(endpoint);
    if (vm == endpoint_vms.end()) return std::nullopt;
    const auto removed_at = vm_removed_at.find(vm->second);
    if (removed_at == vm_removed_at.end()) return std::nullopt;
    return removed_at->second;
  }

  // Earlier of the first report with at least `version` and the removal of the
  // VM. A process that first reported after the removal of its VM runs on
  // another one, so the removal does not count for it.
  std::optional<core::wall_time> ReportedOrVmRemovedAt(
      const core::endpoint_id& former,
      const core::config_version& version) const {
    const auto removed_at = VmRemovedAt(former);
    const auto peer = peers.find(former);
    if (peer == peers.end()) return removed_at;
    const auto reported = peer->second.FirstReportedAt(version);
    const bool removal_counts =
        removed_at && peer->second.instance_first_received_at <= *removed_at;
    if (!removal_counts) return reported;
    return reported ? std::min(*reported, *removed_at) : *removed_at;
  }

  void UpdateConfirmations() {
    for (auto& [key, state] : epoch_states) {
      if (!state.confirmed) state.confirmed = IsConfirmed(state.epoch);
    }
  }

  bool IsConfirmed(const config::ownership_epoch& epoch) const {
    std::size_t reporting_members = 0;
    for (const core::endpoint_id& member : epoch.members) {
      const auto peer = peers.find(member);
      const bool has_reported = peer != peers.end();
      // A newer version may contain an epoch that is unknown to this process.
      if (has_reported && peer->second.versions.back().version > own_version) {
        return false;
      }
      if (member == own_endpoint || has_reported) ++reporting_members;
    }
    return reporting_members > epoch.members.size() / 2;
  }

  void UpdateHandovers(core::wall_time now) {
    for (auto& [key, state] : epoch_states) {
      if (!state.adopted_at) state.adopted_at = now;
      for (auto earlier = epoch_states.lower_bound({key.first, INT64_MIN});
           earlier->first < key; ++earlier) {
        UpdateMajorityReport(state, earlier->second.epoch);
        UpdateCompletedHandovers(state, earlier->second.epoch);
      }
    }
  }

  void UpdateMajorityReport(epoch_state& state,
                            const config::ownership_epoch& earlier) const {
    if (state.majority_reported_at.count(earlier.epoch) > 0) return;
    std::vector<core::wall_time> times;
    for (const core::endpoint_id& member : earlier.members) {
      const auto time =
          member == own_endpoint
              ? state.adopted_at
              : ReportedOrVmRemovedAt(member, state.first_version);
      if (time) times.push_back(*time);
    }
    const std::size_t majority_index = earlier.members.size() / 2;
    if (times.size() <= majority_index) return;
    std::sort(times.begin(), times.end());
    state.majority_reported_at.emplace(earlier.epoch, times[majority_index]);
  }

  // Records the former owners whose instance still reports the epoch
  // 2 * kMaximumReportAge after the majority has. A process that replaces such
  // an instance receives a report of that majority before it accepts keys.
  void UpdateCompletedHandovers(epoch_state& state,
                                const config::ownership_epoch& earlier) const {
    const auto majority = state.majority_reported_at.find(earlier.epoch);
    if (majority == state.majority_reported_at.end()) return;
    for (const core::endpoint_id& member : earlier.members) {
      const auto peer = peers.find(member);
      if (member == own_endpoint || peer == peers.end()) continue;
      const peer_report& report = peer->second;
      const auto completed =
          state.completed_handovers.find({earlier.epoch, member});
      if ((completed != state.completed_handovers.end() &&
           completed->second.instance_ms == report.instance_ms) ||
          report.versions.back().version < state.first_version ||
          report.last_received_at < majority->second + 2 * kMaximumReportAge) {
        continue;
      }
      state.completed_handovers[{earlier.epoch, member}] = {
          report.instance_ms, report.last_received_at};
    }
  }

  std::optional<core::wall_time> FormerOwnerCompletedAt(
      const epoch_state& state, const config::ownership_epoch& earlier,
      const core::endpoint_id& former) const {
    // The only member of an epoch confirms its ownership without other reports,
    // so the order of the reports proves nothing.
    if (earlier.members.size() == 1) {
      return ReportedOrVmRemovedAt(former, state.first_version);
    }
    const auto majority = state.majority_reported_at.find(earlier.epoch);
    if (majority == state.majority_reported_at.end()) return std::nullopt;
    const auto peer = peers.find(former);
    const auto removed_at = VmRemovedAt(former);
    if (removed_at &&
        (peer == peers.end() ||
         peer->second.instance_first_received_at <= *removed_at)) {
      return std::max(*removed_at, majority->second);
    }
    const auto completed =
        state.completed_handovers.find({earlier.epoch, former});
    if (completed == state.completed_handovers.end() || peer == peers.end() ||
        completed->second.instance_ms != peer->second.instance_ms) {
      return std::nullopt;
    }
    return completed->second.completed_at;
  }
};

handover_tracker::handover_tracker(core::endpoint_id own_endpoint)
    : impl_(std::make_unique<impl>()) {
  impl_->own_endpoint = std::move(own_endpoint);
}

handover_tracker::~handover_tracker() = default;

void handover_tracker::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  impl_->own_version = current->version;
  for (const auto& service : current->services) {
    impl_->UpdateEpochStates(service, current->version);
  }
  for (const auto& endpoint : current->endpoints) {
    if (endpoint.service.empty()) continue;
    impl_->endpoint_vms[endpoint.endpoint] = endpoint.vm;
  }
  impl_->UpdateConfirmations();
}

void handover_tracker::OnPeerVersions(const wire::peer_versions& message,
                                      core::wall_time now) {
  for (const wire::peer_version& report : message.peers) {
    peer_report& peer = impl_->peers[report.endpoint];
    if (report.instance_ms < peer.instance_ms) continue;
    if (report.instance_ms > peer.instance_ms) {
      peer = {.instance_ms = report.instance_ms,
              .instance_first_received_at = now};
    }
    if (!peer.versions.empty() &&
        report.version < peer.versions.back().version) {
      continue;
    }
    peer.last_received_at = now;
    if (!peer.versions.empty() &&
        report.version == peer.versions.back().version) {
      continue;
    }
    peer.versions.push_back({report.version, now});
    if (peer.versions.size() > kMaximumVersions) peer.versions.pop_front();
  }
  impl_->UpdateConfirmations();
  impl_->UpdateHandovers(now);
}

void handover_tracker::OnVmRemoved(const core::vm_id& vm, core::wall_time now) {
  impl_->vm_removed_at.emplace(vm, now);
  impl_->UpdateHandovers(now);
}

bool handover_tracker::OwnershipConfirmed(const core::service_id& service,
                                          std::int64_t epoch) const {
  const auto state = impl_->epoch_states.find({service, epoch});
  return state != impl_->epoch_states.end() && state->second.confirmed;
}

std::optional<core::wall_time> handover_tracker::HandoverCompletedAt(
    const config::service_record& service, std::int64_t epoch,
    const core::idempotency_key& key) const {
  const auto state = impl_->epoch_states.find({service.service, epoch});
  if (state == impl_->epoch_states.end()) return std::nullopt;
  auto since = core::wall_time::min();
  // All kept epochs are checked: a process that is several epochs behind still
  // considers itself the owner of the key.
  for (const config::ownership_epoch& earlier : service.epochs) {
    if (earlier.epoch >= epoch) continue;
    const core::endpoint_id former = OwnerInEpoch(earlier, key);
    if (former.empty() || former == impl_->own_endpoint) continue;
    const auto completed_at =
        impl_->FormerOwnerCompletedAt(state->second, earlier, former);
    if (!completed_at) return std::nullopt;
    since = std::max(since, *completed_at);
  }
  return since;
}

}  // namespace comfreyspring::ledger

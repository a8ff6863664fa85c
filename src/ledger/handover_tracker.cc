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

// Versions kept per peer; an older epoch is then judged by a later report,
// which can only delay the handover.
constexpr std::size_t kKeptVersions = 16;

struct epoch_sighting {
  config::ownership_epoch epoch;
  core::config_version first_version;
};

struct peer_report {
  std::int64_t instance_ms = 0;
  core::wall_time instance_heard_at;
  struct version_time {
    core::config_version version;
    core::wall_time heard_at;
  };
  // Ascending by version and time.
  std::deque<version_time> versions;

  std::optional<core::wall_time> HeardAtLeast(
      const core::config_version& version) const {
    for (const auto& entry : versions) {
      if (entry.version >= version) return entry.heard_at;
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

core::endpoint_id HomeInEpoch(const config::ownership_epoch& epoch,
                              const core::idempotency_key& key) {
  core::endpoint_id home;
  std::uint64_t greatest = 0;
  for (const core::endpoint_id& member : epoch.members) {
    const std::uint64_t weight =
        core::RendezvousWeight(key.Value(), member.Value());
    // The name decides between equal weights, whatever the order of the list.
    if (home.empty() || weight > greatest ||
        (weight == greatest && member < home)) {
      home = member;
      greatest = weight;
    }
  }
  return home;
}

struct handover_tracker::impl {
  core::endpoint_id own_endpoint;
  std::map<std::pair<core::service_id, std::int64_t>, epoch_sighting> sightings;
  std::unordered_map<core::endpoint_id, peer_report> peers;
  // Kept after an endpoint has left the configuration.
  std::unordered_map<core::endpoint_id, core::vm_id> vm_of;
  std::unordered_map<core::vm_id, core::wall_time> gone_since;

  void UpdateSightings(const config::service_record& service,
                       const core::config_version& version) {
    std::set<std::int64_t> present;
    for (const config::ownership_epoch& epoch : service.epochs) {
      present.insert(epoch.epoch);
      auto& sighting = sightings[{service.service, epoch.epoch}];
      // Two operators may publish different members under one number.
      if (!SameEpoch(sighting.epoch, epoch)) sighting = {epoch, version};
    }
    const auto first = sightings.lower_bound({service.service, INT64_MIN});
    for (auto entry = first;
         entry != sightings.end() && entry->first.first == service.service;) {
      entry = present.count(entry->first.second) == 0 ? sightings.erase(entry)
                                                      : std::next(entry);
    }
  }

  std::optional<core::wall_time> GoneSince(
      const core::endpoint_id& endpoint) const {
    const auto vm = vm_of.find(endpoint);
    if (vm == vm_of.end()) return std::nullopt;
    const auto gone = gone_since.find(vm->second);
    if (gone == gone_since.end()) return std::nullopt;
    return gone->second;
  }

  // A process that was first heard after its VM was gone runs elsewhere.
  std::optional<core::wall_time> HandedOverAt(
      const core::endpoint_id& former,
      const core::config_version& version) const {
    const auto gone = GoneSince(former);
    const auto peer = peers.find(former);
    if (peer == peers.end()) return gone;
    const auto reported = peer->second.HeardAtLeast(version);
    const bool gone_counts = gone && peer->second.instance_heard_at <= *gone;
    if (!gone_counts) return reported;
    return reported ? std::min(*reported, *gone) : *gone;
  }
};

handover_tracker::handover_tracker(core::endpoint_id own_endpoint)
    : impl_(std::make_unique<impl>()) {
  impl_->own_endpoint = std::move(own_endpoint);
}

handover_tracker::~handover_tracker() = default;

void handover_tracker::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  for (const auto& service : current->services) {
    impl_->UpdateSightings(service, current->version);
  }
  for (const auto& endpoint : current->endpoints) {
    if (endpoint.service.empty()) continue;
    impl_->vm_of[endpoint.endpoint] = endpoint.vm;
  }
}

void handover_tracker::OnPeerVersions(const wire::peer_versions& message,
                                      core::wall_time now) {
  for (const wire::peer_version& report : message.peers) {
    peer_report& peer = impl_->peers[report.endpoint];
    if (report.instance_ms < peer.instance_ms) continue;
    if (report.instance_ms > peer.instance_ms) {
      peer = {.instance_ms = report.instance_ms, .instance_heard_at = now};
    }
    if (!peer.versions.empty() &&
        report.version <= peer.versions.back().version) {
      continue;
    }
    peer.versions.push_back({report.version, now});
    if (peer.versions.size() > kKeptVersions) peer.versions.pop_front();
  }
}

void handover_tracker::OnVmGone(const core::vm_id& vm, core::wall_time now) {
  impl_->gone_since.emplace(vm, now);
}

std::optional<core::wall_time> handover_tracker::CompleteSince(
    const config::service_record& service, std::int64_t epoch,
    const core::idempotency_key& key) const {
  const auto sighting = impl_->sightings.find({service.service, epoch});
  if (sighting == impl_->sightings.end()) return std::nullopt;
  auto since = core::wall_time::min();
  // All kept epochs: a process that is several epochs behind still takes the
  // key for its own.
  for (const config::ownership_epoch& earlier : service.epochs) {
    if (earlier.epoch >= epoch) continue;
    const core::endpoint_id former = HomeInEpoch(earlier, key);
    if (former.empty() || former == impl_->own_endpoint) continue;
    const auto handed_over =
        impl_->HandedOverAt(former, sighting->second.first_version);
    if (!handed_over) return std::nullopt;
    since = std::max(since, *handed_over);
  }
  return since;
}

}  // namespace comfreyspring::ledger

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

struct former_handover {
  std::int64_t instance_ms = 0;
  core::wall_time at;
};

struct epoch_sighting {
  config::ownership_epoch epoch;
  core::config_version first_version;
  /** First event with a time after the adoption; late is safe. */
  std::optional<core::wall_time> adopted_at;
  /** A majority of the members was heard, none of them ahead. */
  bool confirmed = false;
  /** By earlier epoch: when a majority of its members had reported this one. */
  std::map<std::int64_t, core::wall_time> majority_since;
  /** By earlier epoch and member: report that completes the handover. */
  std::map<std::pair<std::int64_t, core::endpoint_id>, former_handover>
      handed_over;

  void ForgetEarlier(std::int64_t earlier) {
    majority_since.erase(earlier);
    for (auto entry = handed_over.begin(); entry != handed_over.end();) {
      entry = entry->first.first == earlier ? handed_over.erase(entry)
                                            : std::next(entry);
    }
  }
};

struct peer_report {
  std::int64_t instance_ms = INT64_MIN;
  core::wall_time instance_heard_at;
  /** Latest report of the last of `versions`. */
  core::wall_time last_heard_at;
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
  core::config_version own_version;
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
      if (SameEpoch(sighting.epoch, epoch)) continue;
      sighting = {.epoch = epoch, .first_version = version};
      for (auto& [key, later] : sightings) {
        if (key.first == service.service) later.ForgetEarlier(epoch.epoch);
      }
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

  void UpdateConfirmed() {
    for (auto& [key, sighting] : sightings) {
      if (!sighting.confirmed) sighting.confirmed = IsConfirmed(sighting.epoch);
    }
  }

  bool IsConfirmed(const config::ownership_epoch& epoch) const {
    std::size_t heard = 0;
    for (const core::endpoint_id& member : epoch.members) {
      const auto peer = peers.find(member);
      const bool is_heard = peer != peers.end();
      // A newer version may contain an epoch that is not known here.
      if (is_heard && peer->second.versions.back().version > own_version) {
        return false;
      }
      if (member == own_endpoint || is_heard) ++heard;
    }
    return heard > epoch.members.size() / 2;
  }

  void UpdateHandovers(core::wall_time now) {
    for (auto& [key, sighting] : sightings) {
      if (!sighting.adopted_at) sighting.adopted_at = now;
      for (auto earlier = sightings.lower_bound({key.first, INT64_MIN});
           earlier->first < key; ++earlier) {
        UpdateMajority(sighting, earlier->second.epoch);
        UpdateFormers(sighting, earlier->second.epoch);
      }
    }
  }

  void UpdateMajority(epoch_sighting& sighting,
                      const config::ownership_epoch& earlier) const {
    if (sighting.majority_since.count(earlier.epoch) > 0) return;
    std::vector<core::wall_time> times;
    for (const core::endpoint_id& member : earlier.members) {
      const auto time = member == own_endpoint
                            ? sighting.adopted_at
                            : HandedOverAt(member, sighting.first_version);
      if (time) times.push_back(*time);
    }
    const std::size_t others = earlier.members.size() / 2;
    if (times.size() <= others) return;
    std::sort(times.begin(), times.end());
    sighting.majority_since.emplace(earlier.epoch, times[others]);
  }

  // An instance that is alive with the epoch after the majority has reported
  // it: its successors hear a member of that majority before they accept.
  void UpdateFormers(epoch_sighting& sighting,
                     const config::ownership_epoch& earlier) const {
    const auto majority = sighting.majority_since.find(earlier.epoch);
    if (majority == sighting.majority_since.end()) return;
    for (const core::endpoint_id& member : earlier.members) {
      const auto peer = peers.find(member);
      if (member == own_endpoint || peer == peers.end()) continue;
      const peer_report& report = peer->second;
      const auto done = sighting.handed_over.find({earlier.epoch, member});
      if ((done != sighting.handed_over.end() &&
           done->second.instance_ms == report.instance_ms) ||
          report.versions.back().version < sighting.first_version ||
          report.last_heard_at < majority->second + 2 * kMaximumReportAge) {
        continue;
      }
      sighting.handed_over[{earlier.epoch, member}] = {report.instance_ms,
                                                       report.last_heard_at};
    }
  }

  std::optional<core::wall_time> FormerDoneAt(
      const epoch_sighting& sighting, const config::ownership_epoch& earlier,
      const core::endpoint_id& former) const {
    // A sole member needs nobody to accept, so that order proves nothing.
    if (earlier.members.size() == 1) {
      return HandedOverAt(former, sighting.first_version);
    }
    const auto majority = sighting.majority_since.find(earlier.epoch);
    if (majority == sighting.majority_since.end()) return std::nullopt;
    const auto peer = peers.find(former);
    const auto gone = GoneSince(former);
    if (gone &&
        (peer == peers.end() || peer->second.instance_heard_at <= *gone)) {
      return std::max(*gone, majority->second);
    }
    const auto done = sighting.handed_over.find({earlier.epoch, former});
    if (done == sighting.handed_over.end() || peer == peers.end() ||
        done->second.instance_ms != peer->second.instance_ms) {
      return std::nullopt;
    }
    return done->second.at;
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
    impl_->UpdateSightings(service, current->version);
  }
  for (const auto& endpoint : current->endpoints) {
    if (endpoint.service.empty()) continue;
    impl_->vm_of[endpoint.endpoint] = endpoint.vm;
  }
  impl_->UpdateConfirmed();
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
        report.version < peer.versions.back().version) {
      continue;
    }
    peer.last_heard_at = now;
    if (!peer.versions.empty() &&
        report.version == peer.versions.back().version) {
      continue;
    }
    peer.versions.push_back({report.version, now});
    if (peer.versions.size() > kKeptVersions) peer.versions.pop_front();
  }
  impl_->UpdateConfirmed();
  impl_->UpdateHandovers(now);
}

void handover_tracker::OnVmRemoved(const core::vm_id& vm, core::wall_time now) {
  impl_->gone_since.emplace(vm, now);
  impl_->UpdateHandovers(now);
}

bool handover_tracker::OwnershipConfirmed(const core::service_id& service,
                                          std::int64_t epoch) const {
  const auto sighting = impl_->sightings.find({service, epoch});
  return sighting != impl_->sightings.end() && sighting->second.confirmed;
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
        impl_->FormerDoneAt(sighting->second, earlier, former);
    if (!handed_over) return std::nullopt;
    since = std::max(since, *handed_over);
  }
  return since;
}

}  // namespace comfreyspring::ledger

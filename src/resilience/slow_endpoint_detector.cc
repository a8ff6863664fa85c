#include "resilience/slow_endpoint_detector.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace comfreyspring::resilience {
namespace {

// Share of normal traffic by step. Step 0 is ejected, the last one healthy.
constexpr std::array<double, 5> kStepShares = {0.0, 0.1, 0.25, 0.5, 1.0};
constexpr std::size_t kHealthyStep = kStepShares.size() - 1;

template <class Samples>
double Median(const Samples& samples) {
  std::vector<double> sorted(samples.begin(), samples.end());
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace

slow_endpoint_detector::slow_endpoint_detector(slow_endpoint_options options)
    : options_(options) {
  assert(options_.minimum_samples > 0 &&
         options_.minimum_samples <= options_.window);
}

void slow_endpoint_detector::SetPeers(
    const std::vector<core::endpoint_id>& peers) {
  std::map<core::endpoint_id, peer_state> kept;
  for (const core::endpoint_id& endpoint : peers) {
    const auto found = peers_.find(endpoint);
    if (found != peers_.end()) {
      kept[endpoint] = std::move(found->second);
    } else {
      kept[endpoint].step = kHealthyStep;
    }
  }
  peers_ = std::move(kept);
  // The limit on ejected endpoints is lower in a smaller group.
  std::size_t excess = EjectedCount();
  excess -= std::min(excess, MaximumEjected());
  for (auto& [endpoint, peer] : peers_) {
    if (excess == 0) break;
    if (peer.step == kHealthyStep) continue;
    peer.step = kHealthyStep;
    peer.samples.clear();
    --excess;
  }
}

void slow_endpoint_detector::OnSample(const core::endpoint_id& endpoint,
                                      double time_per_unit,
                                      core::time_point /*now*/) {
  const auto found = peers_.find(endpoint);
  if (found == peers_.end()) return;
  std::deque<double>& samples = found->second.samples;
  samples.push_back(time_per_unit);
  if (samples.size() > options_.window) samples.pop_front();
}

void slow_endpoint_detector::OnReplaced(const core::endpoint_id& endpoint) {
  const auto found = peers_.find(endpoint);
  if (found == peers_.end()) return;
  found->second = peer_state{};
  found->second.step = kHealthyStep;
}

void slow_endpoint_detector::OnTick(core::time_point now) {
  UpdateSlowness();
  for (auto& [endpoint, peer] : peers_) UpdateStep(peer, now);
}

void slow_endpoint_detector::UpdateSlowness() {
  std::vector<double> medians;
  for (const auto& [endpoint, peer] : peers_) {
    if (peer.samples.size() >= options_.minimum_samples) {
      medians.push_back(Median(peer.samples));
    }
  }
  // With fewer than three measured peers there is no majority to compare with.
  const double reference = medians.size() < 3 ? 0.0 : Median(medians);
  for (auto& [endpoint, peer] : peers_) {
    const bool on_probation = peer.step != kHealthyStep;
    const std::size_t needed =
        on_probation ? options_.samples_per_step : options_.minimum_samples;
    if (reference <= 0.0 || peer.samples.size() < needed) continue;
    peer.slowness = Median(peer.samples) / reference;
  }
}

void slow_endpoint_detector::UpdateStep(peer_state& peer,
                                        core::time_point now) {
  const bool slow = peer.slowness > options_.eject_ratio;
  if (peer.step == kHealthyStep) {
    const bool below_limit = EjectedCount() < MaximumEjected();
    if (slow && below_limit &&
        peer.samples.size() >= options_.minimum_samples) {
      Eject(peer, now);
    }
    return;
  }
  if (peer.step == 0) {
    if (now < peer.probe_at) return;
    peer.step = 1;
    peer.samples.clear();
    return;
  }
  if (peer.samples.size() < options_.samples_per_step) return;
  if (slow) {
    Eject(peer, now);
    return;
  }
  ++peer.step;
  peer.samples.clear();
  if (peer.step == kHealthyStep) peer.ejection = core::milliseconds(0);
}

void slow_endpoint_detector::Eject(peer_state& peer, core::time_point now) {
  peer.step = 0;
  peer.samples.clear();
  peer.ejection = std::clamp(peer.ejection * 2, options_.first_ejection,
                             options_.longest_ejection);
  peer.probe_at = now + peer.ejection;
}

double slow_endpoint_detector::ShareOf(
    const core::endpoint_id& endpoint) const {
  const auto found = peers_.find(endpoint);
  return found == peers_.end() ? 1.0 : kStepShares.at(found->second.step);
}

double slow_endpoint_detector::SlownessOf(
    const core::endpoint_id& endpoint) const {
  const auto found = peers_.find(endpoint);
  return found == peers_.end() ? 1.0 : found->second.slowness;
}

std::size_t slow_endpoint_detector::EjectedCount() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& item) { return item.second.step != kHealthyStep; }));
}

std::size_t slow_endpoint_detector::MaximumEjected() const {
  return static_cast<std::size_t>(options_.maximum_ejected_share *
                                  static_cast<double>(peers_.size()));
}

}  // namespace comfreyspring::resilience

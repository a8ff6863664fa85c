#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"
#include "membership/endpoint_directory.h"
#include "placement/adapter_key.h"
#include "placement/endpoint_picker.h"
#include "placement/subset.h"
#include "resilience/latency_window.h"
#include "resilience/slow_endpoint_detector.h"
#include "routing/endpoint_selector.h"

namespace comfreyspring::routing {

struct selector_options {
  core::data_centre_id own_data_centre;
  std::uint64_t random_seed = 1;
  /** False for baselines without detection of slow endpoints. */
  bool eject_slow = true;
  /** False for baselines without hedges. */
  bool hedge = true;
  placement::picker_options picker;
  resilience::slow_endpoint_options slow;
};

/**
 * Selector that combines the availability of endpoints, the scores of a
 * slow_endpoint_detector and an endpoint_picker, for each model and service.
 */
template <placement::endpoint_choice Choice = placement::lowest_cost_choice>
class health_aware_selector final : public endpoint_selector {
 public:
  /** `directory` must outlive the object. */
  health_aware_selector(selector_options options,
                        const membership::endpoint_directory& directory)
      : options_(std::move(options)),
        directory_(directory),
        random_(options_.random_seed) {}

  void OnRequest(const request_attributes& attributes,
                 core::time_point now) override {
    GroupOf(attributes).picker.OnRequest(KeyOf(attributes), now);
    if (attributes.priority == core::priority_class::may_wait)
      last_may_wait_at_ = now;
  }
  selection Select(const request_attributes& attributes,
                   const std::vector<core::endpoint_id>& excluded, bool hedge,
                   core::time_point now) override;
  bool IsAvailable(const core::endpoint_id& endpoint,
                   core::time_point now) const override {
    return directory_.AvailabilityOf(endpoint, now) ==
           membership::availability::available;
  }
  std::optional<core::microseconds> HedgeDelay(
      const request_attributes& attributes) const override;

  void OnSubmitted(const request_attributes& attributes,
                   const core::endpoint_id& endpoint,
                   core::time_point now) override {
    GroupOf(attributes)
        .picker.OnSubmitted(endpoint, PickRequest(attributes), now);
  }
  void OnAcknowledged(const request_attributes& attributes,
                      const core::endpoint_id& endpoint) override {
    GroupOf(attributes).picker.OnAcknowledged(endpoint);
  }
  void OnReport(const request_attributes& attributes,
                const core::endpoint_id& endpoint,
                const wire::endpoint_report& report,
                core::time_point now) override {
    suspected_.erase(endpoint);
    GroupOf(attributes)
        .picker.OnReport(endpoint, KeyOf(attributes), report, now);
  }
  void OnFirstChunk(const request_attributes& attributes,
                    const core::endpoint_id& endpoint,
                    core::microseconds since_submit, bool uncontended,
                    core::time_point now) override {
    if (attributes.priority != core::priority_class::urgent) return;
    peer_group& group = GroupOf(attributes);
    group.first_chunk.Add(since_submit);
    if (!uncontended) return;
    AddScore(group, group.typical_first_chunk, endpoint, since_submit, now);
  }
  void OnProgress(const request_attributes& attributes,
                  const core::endpoint_id& endpoint,
                  core::microseconds per_chunk, core::time_point now) override {
    peer_group& group = GroupOf(attributes);
    AddScore(group, group.typical_chunk, endpoint, per_chunk, now);
  }
  void OnServed(const request_attributes& attributes,
                const core::endpoint_id& endpoint, core::token_count tokens,
                core::microseconds served, core::time_point now) override;
  void OnEnded(const request_attributes& attributes,
               const core::endpoint_id& endpoint, bool acknowledged) override {
    GroupOf(attributes).picker.OnEnded(endpoint, acknowledged);
  }
  void OnReplaced(const core::endpoint_id& endpoint) override;
  void OnSuspected(const core::endpoint_id& endpoint,
                   core::time_point now) override {
    suspected_[endpoint] = now;
  }
  void OnTick(core::time_point now) override;

  std::vector<endpoint_load> Loads() const;
  std::vector<core::endpoint_id> ReplicasOf(
      const core::model_id& model,
      const core::adapter_reference& adapter) const;

 private:
  /** The peers of one model or one service. */
  struct peer_group {
    explicit peer_group(const selector_options& options,
                        placement::picker_options picker_options)
        : picker(picker_options), detector(options.slow) {}
    placement::endpoint_picker<Choice> picker;
    resilience::slow_endpoint_detector detector;
    resilience::latency_window first_chunk{kWindowSamples, kMinimumSamples,
                                           kHedgeQuantile};
    /** Medians over all peers, used to normalize each kind of sample. */
    resilience::latency_window typical_first_chunk{kWindowSamples,
                                                   kMinimumSamples, 0.5};
    resilience::latency_window typical_unit{kWindowSamples, kMinimumSamples,
                                            0.5};
    resilience::latency_window typical_chunk{kWindowSamples, kMinimumSamples,
                                             0.5};
    std::uint64_t list_revision = 0;
    core::time_point reports_read_at;
  };

  static constexpr std::size_t kWindowSamples = 256;
  static constexpr std::size_t kMinimumSamples = 32;
  static constexpr double kHedgeQuantile = 0.95;
  // Round trip between data centres of one region, about 1.5 ms each way.
  static constexpr double kRemoteDistanceMs = 3.0;
  static constexpr core::milliseconds kScoreUpdateInterval{100};
  static constexpr core::seconds kMayWaitDemandWindow{5};

  static bool IsCompletion(const request_attributes& attributes) {
    return attributes.kind == core::request_kind::completion;
  }
  static std::string GroupName(const request_attributes& attributes) {
    return IsCompletion(attributes) ? "model:" + attributes.model.Value()
                                    : "service:" + attributes.service.Value();
  }
  static placement::adapter_key KeyOf(const request_attributes& attributes) {
    return IsCompletion(attributes)
               ? placement::KeyOf(attributes.model, attributes.adapter.adapter)
               : core::Hash64(attributes.service.Value());
  }
  static placement::pick_request PickRequest(
      const request_attributes& attributes) {
    return {KeyOf(attributes), attributes.priority,
            attributes.expected_tokens.value, attributes.prefix_hash};
  }

  peer_group& GroupOf(const request_attributes& attributes);
  void RefreshMembers(peer_group& group, const request_attributes& attributes);
  /** Passes a sample to the detector, relative to the median of its kind. */
  static void AddScore(peer_group& group, resilience::latency_window& typical,
                       const core::endpoint_id& endpoint,
                       core::microseconds sample, core::time_point now) {
    typical.Add(sample);
    if (!typical.Value()) return;
    const auto reference = std::max<std::int64_t>(1, typical.Value()->count());
    group.detector.OnSample(
        endpoint,
        static_cast<double>(sample.count()) / static_cast<double>(reference),
        now);
  }
  void ReadReports(peer_group& group, core::time_point now);
  /**
   * Whether the endpoint may get the request. A slow one gets only a random
   * share of its normal work.
   */
  bool AdmittedByScore(const peer_group& group,
                       const request_attributes& attributes,
                       const core::endpoint_id& endpoint, bool hedge,
                       core::time_point now);
  bool IsSuspected(const core::endpoint_id& endpoint) const;

  selector_options options_;
  const membership::endpoint_directory& directory_;
  core::random_source random_;
  std::map<std::string, std::unique_ptr<peer_group>> groups_;
  std::unordered_map<core::endpoint_id, core::time_point> suspected_;
  std::optional<core::time_point> last_may_wait_at_;
  core::time_point last_score_update_;
};

template <placement::endpoint_choice Choice>
typename health_aware_selector<Choice>::peer_group&
health_aware_selector<Choice>::GroupOf(const request_attributes& attributes) {
  std::unique_ptr<peer_group>& group = groups_[GroupName(attributes)];
  if (group == nullptr) {
    placement::picker_options picker = options_.picker;
    picker.all_members_are_replicas = !IsCompletion(attributes);
    group = std::make_unique<peer_group>(options_, picker);
  }
  if (group->list_revision != directory_.ListRevision()) {
    RefreshMembers(*group, attributes);
  }
  return *group;
}

template <placement::endpoint_choice Choice>
void health_aware_selector<Choice>::RefreshMembers(
    peer_group& group, const request_attributes& attributes) {
  group.list_revision = directory_.ListRevision();
  const std::vector<core::endpoint_id> endpoints =
      IsCompletion(attributes)
          ? directory_.Engines(attributes.model)
          : directory_.ServiceEndpoints(attributes.service);
  std::vector<typename placement::endpoint_picker<Choice>::member> members;
  std::size_t local_count = 0;
  for (const core::endpoint_id& endpoint : endpoints) {
    const bool local = directory_.Find(endpoint)->record.data_centre ==
                       options_.own_data_centre;
    members.push_back({endpoint, local ? 0.0 : kRemoteDistanceMs});
    if (local) ++local_count;
  }
  if (local_count >= placement::kMinimumLocalEngines) {
    for (auto& item : members) item.tier = item.distance_ms > 0.0 ? 1 : 0;
  }
  group.picker.SetMembers(members);
  group.detector.SetPeers(endpoints);
}

template <placement::endpoint_choice Choice>
selection health_aware_selector<Choice>::Select(
    const request_attributes& attributes,
    const std::vector<core::endpoint_id>& excluded, bool hedge,
    core::time_point now) {
  peer_group& group = GroupOf(attributes);
  const placement::pick_request request = PickRequest(attributes);
  const auto available = [&](const core::endpoint_id& endpoint) {
    const bool tried =
        std::find(excluded.begin(), excluded.end(), endpoint) != excluded.end();
    return !tried && IsAvailable(endpoint, now);
  };
  const auto preferred = [&](const core::endpoint_id& endpoint) {
    return available(endpoint) && !IsSuspected(endpoint) &&
           AdmittedByScore(group, attributes, endpoint, hedge, now);
  };
  auto chosen = group.picker.Pick(request, preferred, random_, now);
  if (!chosen && !hedge) {
    chosen = group.picker.Pick(request, available, random_, now);
  }
  if (!chosen) return {};
  const core::microseconds remaining = attributes.deadline - now;
  if (chosen->expected_wait > remaining) {
    chosen = group.picker.ShortestWait(request, available, now);
    if (chosen->expected_wait > remaining) {
      return {.overloaded = true,
              .retry_after =
                  core::ToMilliseconds(chosen->expected_wait - remaining)};
    }
  }
  return {.endpoint = chosen->endpoint};
}

template <placement::endpoint_choice Choice>
bool health_aware_selector<Choice>::AdmittedByScore(
    const peer_group& group, const request_attributes& attributes,
    const core::endpoint_id& endpoint, bool hedge, core::time_point now) {
  if (!options_.eject_slow) return true;
  const double share = group.detector.ShareOf(endpoint);
  if (share >= 1.0) return true;
  if (share <= 0.0 || hedge) return false;
  // `may_wait` requests probe a slow endpoint; urgent ones do so only if no
  // `may_wait` request has arrived recently.
  const bool may_wait = attributes.priority == core::priority_class::may_wait;
  const bool seen =
      last_may_wait_at_ && now - *last_may_wait_at_ < kMayWaitDemandWindow;
  if (!may_wait && seen) return false;
  return random_.NextUnit() < share;
}

template <placement::endpoint_choice Choice>
bool health_aware_selector<Choice>::IsSuspected(
    const core::endpoint_id& endpoint) const {
  const auto found = suspected_.find(endpoint);
  if (found == suspected_.end()) return false;
  const membership::endpoint_view* view = directory_.Find(endpoint);
  return view != nullptr && view->last_heard <= found->second;
}

template <placement::endpoint_choice Choice>
std::optional<core::microseconds> health_aware_selector<Choice>::HedgeDelay(
    const request_attributes& attributes) const {
  if (!options_.hedge) return std::nullopt;
  const auto found = groups_.find(GroupName(attributes));
  if (found == groups_.end()) return std::nullopt;
  return found->second->first_chunk.Value();
}

template <placement::endpoint_choice Choice>
void health_aware_selector<Choice>::OnServed(
    const request_attributes& attributes, const core::endpoint_id& endpoint,
    core::token_count tokens, core::microseconds served, core::time_point now) {
  peer_group& group = GroupOf(attributes);
  group.picker.OnServed(tokens.value, served);
  const std::int64_t units = std::max<std::int64_t>(1, tokens.value);
  AddScore(group, group.typical_unit, endpoint, served / units, now);
}

template <placement::endpoint_choice Choice>
void health_aware_selector<Choice>::OnReplaced(
    const core::endpoint_id& endpoint) {
  suspected_.erase(endpoint);
  for (auto& [name, group] : groups_) {
    group->picker.OnReplaced(endpoint);
    group->detector.OnReplaced(endpoint);
  }
}

template <placement::endpoint_choice Choice>
void health_aware_selector<Choice>::OnTick(core::time_point now) {
  if (now - last_score_update_ < kScoreUpdateInterval) return;
  last_score_update_ = now;
  for (auto& [name, group] : groups_) {
    ReadReports(*group, now);
    group->detector.OnTick(now);
    for (const core::endpoint_id& endpoint : group->picker.Members()) {
      group->picker.SetSlowness(endpoint, group->detector.SlownessOf(endpoint));
    }
  }
}

template <placement::endpoint_choice Choice>
void health_aware_selector<Choice>::ReadReports(peer_group& group,
                                                core::time_point now) {
  for (const core::endpoint_id& endpoint : group.picker.Members()) {
    const membership::endpoint_view* view = directory_.Find(endpoint);
    if (view == nullptr || !view->report) continue;
    if (view->last_heard <= group.reports_read_at) continue;
    group.picker.OnReport(endpoint, *view->report, view->last_heard);
  }
  group.reports_read_at = now;
}

template <placement::endpoint_choice Choice>
std::vector<endpoint_load> health_aware_selector<Choice>::Loads() const {
  std::vector<endpoint_load> loads;
  for (const auto& [name, group] : groups_) {
    for (const core::endpoint_id& endpoint : group->picker.Members()) {
      loads.push_back({endpoint, group->picker.Outstanding(endpoint),
                       group->detector.SlownessOf(endpoint),
                       group->detector.ShareOf(endpoint) < 1.0});
    }
  }
  return loads;
}

template <placement::endpoint_choice Choice>
std::vector<core::endpoint_id> health_aware_selector<Choice>::ReplicasOf(
    const core::model_id& model, const core::adapter_reference& adapter) const {
  const auto found = groups_.find("model:" + model.Value());
  if (found == groups_.end()) return {};
  return found->second->picker.ReplicasOf(
      placement::KeyOf(model, adapter.adapter));
}

}  // namespace comfreyspring::routing

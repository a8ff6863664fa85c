#pragma once

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"
#include "core/types.h"
#include "placement/adapter_key.h"
#include "placement/bounded_load.h"
#include "placement/endpoint_choice.h"
#include "placement/load_estimate.h"
#include "placement/lru_map.h"
#include "placement/rendezvous_ranks.h"
#include "placement/replica_controller.h"

namespace comfreyspring::placement {

struct picker_options {
  /** Expected delay of loading an adapter that is not resident. */
  double load_stall_ms = 250.0;
  /** Time that a cached prompt prefix saves. */
  double prefix_saving_ms = 30.0;
  /** Fraction of the service time that a full batch adds. */
  double full_batch_overhead = 0.3;
  /** Fraction of the batch below which a replica is never skipped. */
  double bound_floor = 0.75;
  /** True if every member is a replica, as for plain services. */
  bool all_members_are_replicas = false;
  replica_options replicas;
};

/** The attributes of a request that the choice depends on. */
struct pick_request {
  adapter_key key = 0;
  core::priority_class priority = core::priority_class::urgent;
  std::int64_t expected_tokens = 0;
  std::uint64_t prefix_hash = 0;
};

struct pick_result {
  core::endpoint_id endpoint;
  core::microseconds expected_wait{0};
};

/**
 * Chooses an endpoint among the peers of one model or service.
 *
 * The cost of a candidate in milliseconds is its expected wait, plus the load
 * stall if the adapter is probably not resident, plus the round trip to its
 * data centre, plus the extra service time of a slow endpoint and of a filled
 * batch, minus the saving of a cached prefix.
 */
template <endpoint_choice Choice = lowest_cost_choice>
class endpoint_picker {
 public:
  struct member {
    core::endpoint_id endpoint;
    /** Round trip to its data centre. */
    double distance_ms = 0.0;
    /** Members of tier 0 rank first; higher tiers only take their overflow. */
    int tier = 0;
  };

  explicit endpoint_picker(picker_options options = {})
      : options_(options), replicas_(options.replicas) {}

  /** Replaces the members; the load of those that remain is kept. */
  void SetMembers(const std::vector<member>& members);

  /**
   * Chooses an endpoint.
   * @param usable predicate: whether an endpoint may get the request.
   * @returns nullopt if no member is usable.
   */
  template <class Usable>
  std::optional<pick_result> Pick(const pick_request& request,
                                  const Usable& usable,
                                  core::random_source& random,
                                  core::time_point now);
  /** The usable member with the shortest expected wait. */
  template <class Usable>
  std::optional<pick_result> ShortestWait(const pick_request& request,
                                          const Usable& usable,
                                          core::time_point now) const;
  /** Replicas of the key in rank order, regardless of their availability. */
  std::vector<core::endpoint_id> ReplicasOf(adapter_key key) const;

  // Events.

  void OnRequest(adapter_key key, core::time_point now) {
    replicas_.OnRequest(key, now);
  }
  void OnSubmitted(const core::endpoint_id& endpoint,
                   const pick_request& request, core::time_point now);
  void OnAcknowledged(const core::endpoint_id& endpoint);
  void OnEnded(const core::endpoint_id& endpoint, bool acknowledged);
  /** A report that arrived with a response for the adapter. */
  void OnReport(const core::endpoint_id& endpoint, adapter_key key,
                const wire::endpoint_report& report, core::time_point now);
  /** A report that arrived with a heartbeat. */
  void OnReport(const core::endpoint_id& endpoint,
                const wire::endpoint_report& report, core::time_point now);
  /** A request held its batch slot for `duration`. */
  void OnServed(std::int64_t tokens, core::microseconds duration);
  void OnReplaced(const core::endpoint_id& endpoint);
  void SetSlowness(const core::endpoint_id& endpoint, double slowness);

  // State.

  std::int64_t Outstanding(const core::endpoint_id& endpoint) const;
  const std::vector<core::endpoint_id>& Members() const {
    return ranks_.Members();
  }

 private:
  struct member_state {
    load_estimate load;
    double distance_ms = 0.0;
    double slowness = 1.0;
  };

  // Ranks after the replicas that take the overflow of loaded replicas.
  static constexpr std::size_t kOverflowRanks = 3;
  static constexpr std::size_t kMaximumPrefixes = 8192;
  static constexpr double kSmoothing = 0.05;
  static constexpr core::milliseconds kMaximumMeanLoadAge{20};

  member_state* Find(const core::endpoint_id& endpoint) {
    const auto found = index_.find(endpoint);
    return found == index_.end() ? nullptr : &states_[found->second];
  }
  core::microseconds MeanService() const {
    return std::chrono::duration_cast<core::microseconds>(
        std::chrono::duration<double, std::milli>{mean_service_ms_});
  }
  double ServiceMs(const pick_request& request) const {
    return request.expected_tokens > 0
               ? ms_per_token_ * static_cast<double>(request.expected_tokens)
               : mean_service_ms_;
  }
  template <class Usable>
  void UpdateMeanLoad(const Usable& usable, core::time_point now);
  template <class Usable>
  std::vector<candidate> Candidates(const pick_request& request,
                                    const Usable& usable, core::time_point now);
  candidate MakeCandidate(const pick_request& request, std::uint32_t index,
                          core::time_point now) const;
  double Cost(const pick_request& request, std::uint32_t index,
              core::time_point now) const;

  picker_options options_;
  Choice choice_;
  rendezvous_ranks ranks_;
  replica_controller replicas_;
  std::vector<member_state> states_;
  std::unordered_map<core::endpoint_id, std::uint32_t> index_;
  lru_map<std::uint64_t, std::uint32_t> prefixes_{kMaximumPrefixes};
  double ms_per_token_ = 10.0;
  double mean_service_ms_ = 1000.0;
  double mean_load_ = 0.0;
  double mean_batch_limit_ = 16.0;
  std::optional<core::time_point> mean_load_at_;
  std::size_t first_tier_size_ = 0;
};

template <endpoint_choice Choice>
void endpoint_picker<Choice>::SetMembers(const std::vector<member>& members) {
  std::vector<member_state> states(members.size());
  std::unordered_map<core::endpoint_id, std::uint32_t> index;
  std::vector<core::endpoint_id> names;
  std::vector<int> tiers;
  first_tier_size_ = 0;
  for (std::uint32_t i = 0; i < members.size(); ++i) {
    if (member_state* known = Find(members[i].endpoint)) {
      states[i] = std::move(*known);
    }
    states[i].distance_ms = members[i].distance_ms;
    index[members[i].endpoint] = i;
    names.push_back(members[i].endpoint);
    tiers.push_back(members[i].tier);
    if (members[i].tier == 0) ++first_tier_size_;
  }
  states_ = std::move(states);
  index_ = std::move(index);
  ranks_.SetMembers(std::move(names), std::move(tiers));
  prefixes_.Clear();
  mean_load_at_.reset();
}

template <endpoint_choice Choice>
template <class Usable>
std::optional<pick_result> endpoint_picker<Choice>::Pick(
    const pick_request& request, const Usable& usable,
    core::random_source& random, core::time_point now) {
  if (states_.empty()) return std::nullopt;
  UpdateMeanLoad(usable, now);
  const std::vector<candidate> candidates = Candidates(request, usable, now);
  if (candidates.empty()) return std::nullopt;
  const candidate& chosen = candidates.at(choice_.Choose(candidates, random));
  return pick_result{ranks_.Members()[chosen.member], chosen.expected_wait};
}

template <endpoint_choice Choice>
template <class Usable>
std::optional<pick_result> endpoint_picker<Choice>::ShortestWait(
    const pick_request& request, const Usable& usable,
    core::time_point now) const {
  std::optional<pick_result> best;
  for (std::uint32_t i = 0; i < states_.size(); ++i) {
    const core::endpoint_id& endpoint = ranks_.Members()[i];
    if (!usable(endpoint)) continue;
    const core::microseconds wait =
        states_[i].load.ExpectedWait(request.priority, MeanService(), now);
    if (!best || wait < best->expected_wait) best = {endpoint, wait};
  }
  return best;
}

template <endpoint_choice Choice>
std::vector<core::endpoint_id> endpoint_picker<Choice>::ReplicasOf(
    adapter_key key) const {
  std::vector<core::endpoint_id> replicas;
  const std::size_t count = options_.all_members_are_replicas
                                ? states_.size()
                                : replicas_.LastReplicaCount(key);
  for (const std::uint32_t index : ranks_.All(key)) {
    if (replicas.size() == count) break;
    replicas.push_back(ranks_.Members()[index]);
  }
  return replicas;
}

template <endpoint_choice Choice>
template <class Usable>
void endpoint_picker<Choice>::UpdateMeanLoad(const Usable& usable,
                                             core::time_point now) {
  if (mean_load_at_ && now - *mean_load_at_ < kMaximumMeanLoadAge) return;
  mean_load_at_ = now;
  double load = 0.0;
  double limit = 0.0;
  double count = 0.0;
  for (std::uint32_t i = 0; i < states_.size(); ++i) {
    if (!usable(ranks_.Members()[i])) continue;
    load += states_[i].load.Occupancy(core::priority_class::may_wait);
    limit += states_[i].load.BatchLimit();
    count += 1.0;
  }
  if (count == 0.0) return;
  mean_load_ = load / count;
  mean_batch_limit_ = limit / count;
}

template <endpoint_choice Choice>
template <class Usable>
std::vector<candidate> endpoint_picker<Choice>::Candidates(
    const pick_request& request, const Usable& usable, core::time_point now) {
  const double capacity =
      mean_batch_limit_ / std::max(mean_service_ms_ / 1000.0, 1e-3);
  const std::size_t replica_count =
      options_.all_members_are_replicas
          ? states_.size()
          : replicas_.UpdateReplicaCount(
                request.key, capacity,
                std::max<std::size_t>(1, first_tier_size_), now);
  const bool all = Choice::kAllMembers || options_.all_members_are_replicas;
  const std::size_t wanted =
      all ? states_.size() : replica_count + kOverflowRanks;
  std::vector<candidate> candidates;
  const auto fill = [&](const std::vector<std::uint32_t>& ranks) {
    candidates.clear();
    for (const std::uint32_t index : ranks) {
      if (candidates.size() >= wanted) break;
      if (!usable(ranks_.Members()[index])) continue;
      candidates.push_back(MakeCandidate(request, index, now));
      candidates.back().replica = candidates.size() <= replica_count;
    }
  };
  fill(ranks_.Top(request.key));
  const bool more = states_.size() > rendezvous_ranks::kCachedRanks;
  if (candidates.size() < wanted && more) fill(ranks_.All(request.key));
  return candidates;
}

template <endpoint_choice Choice>
candidate endpoint_picker<Choice>::MakeCandidate(const pick_request& request,
                                                 std::uint32_t index,
                                                 core::time_point now) const {
  const load_estimate& load = states_[index].load;
  const double occupancy = load.Occupancy(core::priority_class::may_wait);
  const double limit =
      LoadLimit(mean_load_, options_.bound_floor * load.BatchLimit());
  return candidate{
      .member = index,
      .within_bound = occupancy < limit,
      .outstanding = load.Outstanding(),
      .expected_wait = load.ExpectedWait(request.priority, MeanService(), now),
      .cost = Cost(request, index, now)};
}

template <endpoint_choice Choice>
double endpoint_picker<Choice>::Cost(const pick_request& request,
                                     std::uint32_t index,
                                     core::time_point now) const {
  const member_state& state = states_[index];
  const core::microseconds wait =
      state.load.ExpectedWait(request.priority, MeanService(), now);
  const double service = ServiceMs(request);
  const double fill =
      state.load.Occupancy(request.priority) / state.load.BatchLimit();
  double cost = static_cast<double>(wait.count()) / 1e3 + state.distance_ms;
  cost += std::max(0.0, state.slowness - 1.0) * service;
  cost += options_.full_batch_overhead * service * fill;
  const bool needs_adapter = !options_.all_members_are_replicas;
  if (needs_adapter && !state.load.ProbablyResident(request.key, now)) {
    cost += options_.load_stall_ms;
  }
  const std::uint32_t* reused = prefixes_.Peek(request.prefix_hash);
  const bool cached = request.prefix_hash != 0 && reused && *reused == index;
  return cached ? cost - options_.prefix_saving_ms : cost;
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnSubmitted(const core::endpoint_id& endpoint,
                                          const pick_request& request,
                                          core::time_point now) {
  const auto found = index_.find(endpoint);
  if (found == index_.end()) return;
  states_[found->second].load.OnSubmitted(request.key, now);
  if (request.prefix_hash != 0) prefixes_[request.prefix_hash] = found->second;
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnAcknowledged(
    const core::endpoint_id& endpoint) {
  if (member_state* state = Find(endpoint)) state->load.OnAcknowledged();
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnEnded(const core::endpoint_id& endpoint,
                                      bool acknowledged) {
  if (member_state* state = Find(endpoint)) state->load.OnEnded(acknowledged);
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnReport(const core::endpoint_id& endpoint,
                                       adapter_key key,
                                       const wire::endpoint_report& report,
                                       core::time_point now) {
  OnReport(endpoint, report, now);
  replicas_.OnReportedRate(key, endpoint, report.adapter_rate, now);
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnReport(const core::endpoint_id& endpoint,
                                       const wire::endpoint_report& report,
                                       core::time_point now) {
  if (member_state* state = Find(endpoint)) state->load.OnReport(report, now);
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnServed(std::int64_t tokens,
                                       core::microseconds duration) {
  const double ms = static_cast<double>(duration.count()) / 1e3;
  mean_service_ms_ += kSmoothing * (ms - mean_service_ms_);
  if (tokens <= 0) return;
  ms_per_token_ +=
      kSmoothing * (ms / static_cast<double>(tokens) - ms_per_token_);
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::OnReplaced(const core::endpoint_id& endpoint) {
  if (member_state* state = Find(endpoint)) state->load.OnReplaced();
}

template <endpoint_choice Choice>
void endpoint_picker<Choice>::SetSlowness(const core::endpoint_id& endpoint,
                                          double slowness) {
  if (member_state* state = Find(endpoint)) state->slowness = slowness;
}

template <endpoint_choice Choice>
std::int64_t endpoint_picker<Choice>::Outstanding(
    const core::endpoint_id& endpoint) const {
  const auto found = index_.find(endpoint);
  if (found == index_.end()) return 0;
  return states_[found->second].load.Outstanding();
}

}  // namespace comfreyspring::placement

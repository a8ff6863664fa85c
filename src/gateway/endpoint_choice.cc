#include "gateway/endpoint_choice.h"

#include <algorithm>
#include <optional>

#include "core/hash.h"

namespace comfreyspring::gateway {
namespace {

/**
 * An endpoint is suspect when it is silent for longer with requests
 * outstanding.
 */
constexpr core::milliseconds kSuspectSilence{250};
constexpr core::milliseconds kSuspectEngineSilence{700};
/** Failure share above the median of the peers that is not penalised. */
constexpr double kFailureTolerance = 0.15;
/** Load that is added for an excess failure share of 1. */
constexpr double kFailureWeight = 3.0;
/**
 * An engine counts as slow if its latency to first output exceeds the median of
 * its peers by this factor.
 */
constexpr double kSlowFactor = 2.5;
constexpr double kSlowWeight = 0.3;
constexpr double kSuspectWeight = 1.0;
/**
 * Load by which engines that hold an adapter may exceed the mean of all
 * engines. Corresponds to the wait for another copy of the adapter from the
 * weight store.
 */
constexpr double kLoadHeadroom = 0.4;
constexpr double kLoadFactor = 1.25;
/**
 * Mean number of waiting adapter loads per engine that indicates a congested
 * weight store.
 */
constexpr double kCongestedLoads = 1.0;
/** Above this load a request has to wait for a batch slot. */
constexpr double kFullLoad = 0.95;
/**
 * Preference for endpoints in the same data centre, in outstanding requests.
 */
constexpr double kSameDataCentreBonus = 0.25;

double Median(std::vector<double> values) {
  if (values.empty()) return 0.0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/** Medians over the endpoints of a service. */
struct peer_medians {
  double failure_share = 0.0;
  double latency_ms = 0.0;
};

peer_medians MediansOf(const endpoint_views& views, core::time_point now) {
  std::vector<double> failures;
  std::vector<double> latencies;
  for (const endpoint_view* view : views) {
    failures.push_back(view->results.FailureShare(now));
    const auto latency = view->results.LatencyMs(now);
    if (latency) latencies.push_back(*latency);
  }
  return {Median(std::move(failures)), Median(std::move(latencies))};
}

/** Load that is added for failures and silence. */
double Penalty(const endpoint_view& view, const peer_medians& medians,
               core::milliseconds suspect_silence, core::time_point now) {
  double penalty = 0.0;
  const double excess = view.results.FailureShare(now) - medians.failure_share;
  if (excess > kFailureTolerance) penalty += kFailureWeight * excess;
  if (view.results.Silence(now) > suspect_silence) penalty += kSuspectWeight;
  return penalty;
}

struct candidate {
  const endpoint_view* view = nullptr;
  double load = 0.0;
  bool holds_adapter = false;
  bool has_free_slot = false;
  std::uint64_t weight = 0;
};

bool IsExcluded(const endpoint_view& view, const choice_request& request) {
  return request.excluded != nullptr &&
         request.excluded->count(view.record.instance) > 0;
}

/** @returns nothing if the engine cannot serve the request. */
std::optional<candidate> Evaluate(const endpoint_view& view,
                                  const choice_request& request,
                                  const peer_medians& medians,
                                  core::time_point now) {
  const bool needs_adapter = !request.adapter.adapter.empty();
  candidate result{.view = &view};
  result.holds_adapter =
      !needs_adapter || view.adapters.count(request.adapter) > 0;
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, view.record.slots));
  if (view.has_sidecar) {
    if (!view.status.serving) return std::nullopt;
    result.load = grants::LoadOf(view.status, view.record.slots,
                                 view.grants_requested_since_status);
    result.has_free_slot = view.status.free_adapter_slots > 0;
  } else {
    // Without its sidecar an engine can only serve the adapters that it holds.
    if (!result.holds_adapter || view.next_permit_at > now) return std::nullopt;
    result.load = static_cast<double>(view.results.Outstanding()) *
                  static_cast<double>(request.gateways) / slots;
    if (result.load >= 1.0) return std::nullopt;
  }
  result.load += Penalty(view, medians, kSuspectEngineSilence, now);
  const auto latency = view.results.LatencyMs(now);
  if (latency && medians.latency_ms > 0.0 &&
      *latency > kSlowFactor * medians.latency_ms) {
    result.load += kSlowWeight *
                   std::min(3.0, *latency / medians.latency_ms - kSlowFactor);
  }
  // Hashes the address, not the instance: a restarted engine still has the
  // adapters that it served before in its disk and memory caches.
  result.weight = core::RendezvousWeight(
      request.adapter.model.Value() + '/' + request.adapter.adapter.Value(),
      view.record.address.ToString());
  return result;
}

template <class IsBetter>
const candidate* BestOf(const std::vector<candidate>& candidates,
                        const IsBetter& is_better) {
  const candidate* best = nullptr;
  for (const candidate& each : candidates) {
    if (best == nullptr || is_better(each, *best)) best = &each;
  }
  return best;
}

}  // namespace

engine_choice ChooseEngine(const endpoint_views& engines,
                           const choice_request& request,
                           core::time_point now) {
  const peer_medians medians = MediansOf(engines, now);
  std::vector<candidate> all;
  for (const endpoint_view* view : engines) {
    if (IsExcluded(*view, request)) continue;
    const auto evaluated = Evaluate(*view, request, medians, now);
    if (evaluated) all.push_back(*evaluated);
  }
  if (all.empty()) return {};
  // The load of a rate-limited engine says nothing about that of the others.
  double mean = 0.0;
  std::size_t unlimited = 0;
  for (const candidate& each : all) {
    if (each.view->status.limit) continue;
    mean += each.load;
    ++unlimited;
  }
  if (unlimited == 0) {
    for (const candidate& each : all) mean += each.load;
    unlimited = all.size();
  }
  mean /= static_cast<double>(unlimited);
  double loads_waiting = 0.0;
  for (const candidate& each : all) {
    loads_waiting += static_cast<double>(each.view->status.loads_waiting);
  }
  loads_waiting /= static_cast<double>(all.size());
  // While the weight store is congested, loading a second copy delays the load
  // of another adapter, so engines that hold the adapter may fill up first.
  const double bound =
      loads_waiting >= kCongestedLoads
          ? kFullLoad
          : std::min(kFullLoad,
                     std::max(mean * kLoadFactor, mean + kLoadHeadroom));

  const auto less_loaded = [](const candidate& left, const candidate& right) {
    return left.load != right.load ? left.load < right.load
                                   : left.weight > right.weight;
  };
  const auto by_rendezvous_weight = [](const candidate& left,
                                       const candidate& right) {
    return left.weight > right.weight;
  };
  const auto best_where = [&](const auto& matches, const auto& is_better) {
    std::vector<candidate> matching;
    for (const candidate& each : all) {
      if (matches(each)) matching.push_back(each);
    }
    const candidate* best = BestOf(matching, is_better);
    return best == nullptr ? nullptr : best->view;
  };
  // The least loaded engine that holds the adapter, within the bound.
  const auto* found = best_where(
      [&](const candidate& each) {
        return each.holds_adapter && each.load <= bound;
      },
      less_loaded);
  if (found != nullptr) return {found, bound};
  // The first engine in rendezvous order with a free adapter slot, within the
  // bound.
  found = best_where(
      [&](const candidate& each) {
        return each.has_free_slot && each.load <= bound;
      },
      by_rendezvous_weight);
  if (found != nullptr) return {found, bound};
  // All engines are above the bound or have no free adapter slot.
  found = best_where([&](const candidate& each) { return each.holds_adapter; },
                     less_loaded);
  if (found != nullptr) return {found};
  found = best_where([&](const candidate& each) { return each.has_free_slot; },
                     less_loaded);
  if (found != nullptr) return {found};
  return {BestOf(all, less_loaded)->view};
}

const endpoint_view* ChooseIsolationEngine(const endpoint_views& engines,
                                           const choice_request& request,
                                           const core::prompt_part_id& part) {
  const endpoint_view* best = nullptr;
  std::uint64_t highest = 0;
  for (const endpoint_view* view : engines) {
    if (IsExcluded(*view, request) || !view->has_sidecar ||
        !view->status.serving) {
      continue;
    }
    const auto weight =
        core::RendezvousWeight(part.Value(), view->record.address.ToString());
    if (best != nullptr && weight <= highest) continue;
    best = view;
    highest = weight;
  }
  return best;
}

const endpoint_view* ChoosePlainEndpoint(const endpoint_views& endpoints,
                                         const choice_request& request,
                                         core::random_source& random,
                                         core::time_point now) {
  const peer_medians medians = MediansOf(endpoints, now);
  const endpoint_view* best = nullptr;
  double lowest = 0.0;
  const endpoint_view* next_permitted = nullptr;
  for (const endpoint_view* view : endpoints) {
    if (IsExcluded(*view, request)) continue;
    if (view->next_permit_at > now) {
      if (next_permitted == nullptr ||
          view->next_permit_at < next_permitted->next_permit_at) {
        next_permitted = view;
      }
      continue;
    }
    const double latency =
        view->results.LatencyMs(now).value_or(medians.latency_ms);
    const double relative =
        medians.latency_ms > 0.0 ? latency / medians.latency_ms : 1.0;
    double cost =
        (1.0 + view->results.Outstanding()) * std::clamp(relative, 0.3, 5.0);
    cost += 10.0 * Penalty(*view, medians, kSuspectSilence, now);
    if (view->record.data_centre == request.data_centre)
      cost -= kSameDataCentreBonus;
    // Breaks ties at random, so that gateways do not all choose the same
    // endpoint.
    cost += 0.1 * random.NextUnit();
    if (best != nullptr && cost >= lowest) continue;
    best = view;
    lowest = cost;
  }
  return best != nullptr ? best : next_permitted;
}

}  // namespace comfreyspring::gateway

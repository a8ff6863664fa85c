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
/**
 * Share of the time to its deadline that an answer is preferably expected to
 * take. The rest covers moments at which the engine is slower, and the prompts
 * of requests that follow.
 */
constexpr double kComfortableShare = 1.0 / 1.5;
/**
 * Share of that time up to which an answer is likely to be in time. Estimates
 * are for an undisturbed engine, so the answer takes longer than that.
 */
constexpr double kLikelyShare = 0.8;
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
  /** Relative to its peers. */
  double speed = 1.0;
  /** See `engine_capacity::FinishIn`. */
  std::optional<core::milliseconds> finish_in;
  bool holds_adapter = false;
  bool has_free_slot = false;
  std::uint64_t weight = 0;
};

engine_capacity CapacityOf(const candidate& each) {
  const endpoint_view& view = *each.view;
  return {view.status, view.record.slots, view.grants_requested_since_status,
          each.speed};
}

/** Relative speeds, in the order of the engines. */
std::vector<double> SpeedsOf(const endpoint_views& engines) {
  std::vector<core::microseconds> token_times;
  token_times.reserve(engines.size());
  for (const endpoint_view* view : engines) {
    token_times.push_back(view->status.token_time);
  }
  return RelativeSpeeds(token_times);
}

bool IsExcluded(const endpoint_view& view, const choice_request& request) {
  return request.excluded != nullptr &&
         request.excluded->count(view.record.instance) > 0;
}

/** @returns nothing if the engine cannot serve the request. */
std::optional<candidate> Evaluate(const endpoint_view& view,
                                  const choice_request& request,
                                  const peer_medians& medians, double speed,
                                  core::time_point now) {
  const bool needs_adapter = !request.adapter.adapter.empty();
  candidate result{.view = &view, .speed = speed};
  result.holds_adapter =
      !needs_adapter || view.adapters.count(request.adapter) > 0;
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, view.record.slots));
  if (view.has_sidecar) {
    if (!view.status.serving) return std::nullopt;
    result.load = CapacityOf(result).Load();
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
  const std::vector<double> speeds = SpeedsOf(engines);
  const bool speeds_differ = std::any_of(
      speeds.begin(), speeds.end(), [](double speed) { return speed != 1.0; });
  std::vector<candidate> all;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (IsExcluded(*engines[i], request)) continue;
    const auto evaluated =
        Evaluate(*engines[i], request, medians, speeds[i], now);
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

  const bool considers_finish = speeds_differ && request.answer_due_in;
  if (considers_finish) {
    std::erase_if(all, [&](const candidate& each) {
      const auto shortest = CapacityOf(each).ShortestFinishIn(request.size);
      return shortest && !MayFinish(*shortest, *request.answer_due_in);
    });
    if (all.empty()) return {.speeds_differ = true, .cannot_finish = true};
    for (candidate& each : all) {
      each.finish_in = CapacityOf(each).FinishIn(request.size);
    }
  }
  const auto is_home_before = [](const candidate& left,
                                 const candidate& right) {
    return left.speed == right.speed ? left.weight > right.weight
                                     : HomeScore(left.weight, left.speed) >
                                           HomeScore(right.weight, right.speed);
  };
  const auto less_loaded = [&](const candidate& left, const candidate& right) {
    return left.load != right.load ? left.load < right.load
                                   : is_home_before(left, right);
  };
  // Share of the time left that the answer may take; nothing: not considered.
  using share = std::optional<double>;
  const auto best_where = [&](share limit, const auto& matches,
                              const auto& is_better) {
    std::vector<candidate> matching;
    for (const candidate& each : all) {
      if (!matches(each)) continue;
      if (limit && each.finish_in &&
          static_cast<double>(each.finish_in->count()) >
              *limit * static_cast<double>(request.answer_due_in->count())) {
        continue;
      }
      matching.push_back(each);
    }
    const candidate* best = BestOf(matching, is_better);
    return best == nullptr ? std::optional<candidate>() : *best;
  };
  const auto within_bound = [&](share limit) {
    // The least loaded engine that holds the adapter.
    const auto holder = best_where(
        limit,
        [&](const candidate& each) {
          return each.holds_adapter && each.load <= bound;
        },
        less_loaded);
    if (holder) return holder;
    // The first engine in rendezvous order with a free adapter slot.
    return best_where(
        limit,
        [&](const candidate& each) {
          return each.has_free_slot && each.load <= bound;
        },
        is_home_before);
  };
  // If all engines are above the bound or have no free adapter slot.
  const auto above_bound = [&](share limit) {
    auto found = best_where(
        limit, [](const candidate& each) { return each.holds_adapter; },
        less_loaded);
    if (found) return found;
    found = best_where(
        limit, [](const candidate& each) { return each.has_free_slot; },
        less_loaded);
    if (found) return found;
    return best_where(
        limit, [](const candidate&) { return true; }, less_loaded);
  };
  const auto chosen = [&](const candidate& each, double load_bound) {
    const engine_capacity capacity = CapacityOf(each);
    return engine_choice{.view = each.view,
                         .load_bound = load_bound > 0.0
                                           ? capacity.SidecarBound(load_bound)
                                           : 0.0,
                         .relative_speed = each.speed,
                         .finish_in = capacity.FinishIn(request.size),
                         .speeds_differ = speeds_differ};
  };
  if (considers_finish) {
    for (const double limit : {kComfortableShare, kLikelyShare}) {
      if (const auto found = within_bound(limit)) return chosen(*found, bound);
    }
    if (const auto found = above_bound(kLikelyShare))
      return chosen(*found, 0.0);
  }
  if (const auto found = within_bound(std::nullopt)) {
    return chosen(*found, bound);
  }
  return chosen(*above_bound(std::nullopt), 0.0);
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

#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "adapters/adapter_cache.h"
#include "adapters/load_scheduler.h"
#include "admission/scheduler_types.h"

namespace comfreyspring::admission {

/**
 * Joins the slots of one engine with its loads: which load starts now and
 * which adapter it replaces. With 0 slots (a plain service) every adapter
 * counts as loaded.
 */
template <adapters::eviction_policy Eviction>
class slot_planner {
 public:
  explicit slot_planner(const scheduler_options& options)
      : cache_(options.uncongested_load_time),
        loads_({.uncongested_load_time = options.uncongested_load_time,
                .random_seed = options.random_seed}) {}

  // Slots.

  adapters::adapter_cache<Eviction>& Cache() { return cache_; }
  const adapters::adapter_cache<Eviction>& Cache() const { return cache_; }
  const adapters::load_scheduler& Loads() const { return loads_; }

  bool CanDispatch(const core::adapter_reference& adapter) const {
    return cache_.SlotLimit() == 0 || cache_.CanDispatch(adapter);
  }
  /** True if the adapter holds a slot that must be unpinned later. */
  bool Pin(const core::adapter_reference& adapter, core::time_point now) {
    if (cache_.SlotLimit() == 0) return false;
    cache_.Pin(adapter, now);
    return true;
  }

  // Loads.

  /**
   * Starts the loads that the demand of `queue` calls for. `release(adapter)`
   * is the expected time until its pins are gone; demand for adapters is left
   * out unless `may_load(adapter)` holds.
   */
  template <class Queue, class MayLoad, class Release>
  std::vector<start_load> Plan(const Queue& queue, const MayLoad& may_load,
                               const Release& release, core::time_point now) {
    std::vector<start_load> started;
    if (cache_.SlotLimit() == 0) return started;
    CollectDemand(queue, may_load);
    const auto waiting = [&](const core::adapter_reference& adapter) {
      return queue.WaitingFor(adapter);
    };
    while (const auto adapter = loads_.Next(now)) {
      const bool starving = IsStarving(queue.Demand(*adapter), now);
      const auto slot = cache_.Reserve(*adapter, starving, waiting, now);
      if (!slot) break;
      loads_.OnStarted(*adapter, now);
      loads_.SetDemand(*adapter, {});
      started.push_back({*adapter, slot->evicted});
    }
    UpdateDraining(queue, may_load, release, now);
    return started;
  }

  void OnLoadDone(const core::adapter_reference& adapter,
                  core::milliseconds took, core::time_point now) {
    loads_.OnDone(adapter, took, now);
    cache_.OnLoaded(adapter, took, now);
  }
  /** True if the requests that wait for the adapter must be given up. */
  bool OnLoadFailed(const core::adapter_reference& adapter,
                    core::time_point now) {
    cache_.OnLoadFailed(adapter);
    return loads_.OnFailed(adapter, now);
  }
  void OnEngineRestart() {
    cache_.Clear();
    loads_.OnEngineRestart();
  }

  /** Expected time until the adapter can serve; 0 if it is loaded. */
  core::milliseconds LoadDelay(const core::adapter_reference& adapter,
                               core::time_point now) const {
    if (cache_.SlotLimit() == 0) return core::milliseconds(0);
    const adapters::adapter_slot* slot = cache_.Find(adapter);
    if (slot != nullptr && !slot->loading) return core::milliseconds(0);
    return loads_.ExpectedDelay(adapter, now);
  }

 private:
  template <class Queue, class MayLoad>
  void CollectDemand(const Queue& queue, const MayLoad& may_load) {
    loads_.ClearDemand();
    queue.ForEachDemand([&](const core::adapter_reference& adapter,
                            const adapters::load_demand& demand) {
      if (cache_.Find(adapter) == nullptr && may_load(adapter)) {
        loads_.SetDemand(adapter, demand);
      }
    });
  }

  static bool IsStarving(const adapters::load_demand& demand,
                         core::time_point now) {
    if (demand.urgent > 0 && now - demand.oldest_urgent > kUrgentPatience) {
      return true;
    }
    return demand.may_wait > 0 &&
           now - demand.oldest_may_wait > kMayWaitPatience;
  }

  /** Keeps as many slots draining as adapters starve, within a limit. */
  template <class Queue, class MayLoad, class Release>
  void UpdateDraining(const Queue& queue, const MayLoad& may_load,
                      const Release& release, core::time_point now) {
    std::size_t starving = 0;
    // Draining a slot that may not be evicted would only stop its work.
    if (!cache_.MayEvict()) {
      StopDraining();
      return;
    }
    queue.ForEachDemand([&](const core::adapter_reference& adapter,
                            const adapters::load_demand& demand) {
      if (cache_.Find(adapter) == nullptr && IsStarving(demand, now) &&
          may_load(adapter) && loads_.GivenUpFor(adapter, now).count() == 0) {
        ++starving;
      }
    });
    const std::size_t limit =
        std::max<std::size_t>(1, cache_.SlotLimit() / kDrainingShare);
    const std::size_t wanted = std::min(starving, limit);
    std::size_t available = 0;
    for (const adapters::adapter_slot& slot : cache_.Slots()) {
      if (slot.draining || slot.loading) ++available;
    }
    if (cache_.Slots().size() < cache_.SlotLimit()) return;
    while (available < wanted && DrainOne(queue, release, now)) ++available;
    if (starving == 0) StopDraining();
  }

  template <class Queue, class Release>
  bool DrainOne(const Queue& queue, const Release& release,
                core::time_point now) {
    const adapters::adapter_slot* best = nullptr;
    std::pair<core::milliseconds, double> best_cost;
    for (const adapters::adapter_slot& slot : cache_.Slots()) {
      if (slot.loading || slot.draining || slot.awaited) continue;
      const double value =
          cache_.KeepValue(slot, queue.WaitingFor(slot.adapter), now);
      // Among those that end soon, the least valuable one.
      const std::pair cost(std::max(release(slot.adapter), kSoon), value);
      if (best == nullptr || cost < best_cost) {
        best = &slot;
        best_cost = cost;
      }
    }
    if (best == nullptr) return false;
    cache_.SetDraining(core::adapter_reference(best->adapter), true);
    return true;
  }

  void StopDraining() {
    std::vector<core::adapter_reference> draining;
    for (const adapters::adapter_slot& slot : cache_.Slots()) {
      if (slot.draining) draining.push_back(slot.adapter);
    }
    for (const auto& adapter : draining) cache_.SetDraining(adapter, false);
  }

  /** Wait for a slot after which one is drained for the adapter. */
  static constexpr core::milliseconds kUrgentPatience{500};
  static constexpr core::milliseconds kMayWaitPatience{5'000};
  /** One slot in so many may drain; more would evict what is in use. */
  static constexpr std::size_t kDrainingShare = 8;
  /** Differences between shorter waits do not matter for draining. */
  static constexpr core::milliseconds kSoon{1'500};

  adapters::adapter_cache<Eviction> cache_;
  adapters::load_scheduler loads_;
};

}  // namespace comfreyspring::admission

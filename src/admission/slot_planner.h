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
 * Decides which adapter load of one engine starts next and which adapter it
 * evicts. With 0 slots (a plain service) every adapter counts as loaded.
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
  /** @returns true if a slot was pinned, which must be unpinned later. */
  bool Pin(const core::adapter_reference& adapter, core::time_point now) {
    if (cache_.SlotLimit() == 0) return false;
    cache_.Pin(adapter, now);
    return true;
  }

  // Loads.

  /**
   * Starts loads for the adapters that requests in `queue` wait for.
   * `release(adapter)` is the expected time until the adapter is unpinned;
   * adapters for which `may_load(adapter)` is false are not considered.
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
  /** @returns true if requests that wait for the adapter must be refused. */
  bool OnLoadFailed(const core::adapter_reference& adapter,
                    core::time_point now) {
    cache_.OnLoadFailed(adapter);
    return loads_.OnFailed(adapter, now);
  }
  void OnEngineRestart() {
    cache_.Clear();
    loads_.OnEngineRestart();
  }

  /** Expected time until the adapter is loaded; 0 if it is already. */
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
    if (demand.urgent > 0 &&
        now - demand.oldest_urgent > kUrgentStarvationTimeout) {
      return true;
    }
    return demand.may_wait > 0 &&
           now - demand.oldest_may_wait > kMayWaitStarvationTimeout;
  }

  /** Drains one slot for each starving adapter, up to a limit. */
  template <class Queue, class MayLoad, class Release>
  void UpdateDraining(const Queue& queue, const MayLoad& may_load,
                      const Release& release, core::time_point now) {
    std::size_t starving = 0;
    // Draining a slot that may not be evicted would only stop dispatches to it.
    if (!cache_.MayEvict()) {
      StopDraining();
      return;
    }
    queue.ForEachDemand([&](const core::adapter_reference& adapter,
                            const adapters::load_demand& demand) {
      if (cache_.Find(adapter) == nullptr && IsStarving(demand, now) &&
          may_load(adapter) &&
          loads_.RefusalDuration(adapter, now).count() == 0) {
        ++starving;
      }
    });
    const std::size_t limit =
        std::max<std::size_t>(1, cache_.SlotLimit() / kSlotsPerDrainingSlot);
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
      // Among the slots that are released soon, the least valuable one.
      const std::pair cost(std::max(release(slot.adapter), kReleaseTimeFloor),
                           value);
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

  /** Wait of an adapter after which a slot is drained for it. */
  static constexpr core::milliseconds kUrgentStarvationTimeout{500};
  static constexpr core::milliseconds kMayWaitStarvationTimeout{5'000};
  /** At most one slot in so many drains; more would evict adapters in use. */
  static constexpr std::size_t kSlotsPerDrainingSlot = 8;
  /** Release times below this count as equal in the choice of a slot. */
  static constexpr core::milliseconds kReleaseTimeFloor{1'500};

  adapters::adapter_cache<Eviction> cache_;
  adapters::load_scheduler loads_;
};

}  // namespace comfreyspring::admission

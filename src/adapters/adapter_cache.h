#pragma once

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "adapters/decayed_value.h"
#include "adapters/eviction_policy.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::adapters {

/** One adapter slot of the engine. */
struct adapter_slot {
  core::adapter_reference adapter;
  /** Attempts that are running on the engine with the adapter. */
  int pins = 0;
  bool loading = false;
  /** Gets no new dispatches; first choice for eviction once unpinned. */
  bool draining = false;
  /** The engine reports it as not loaded; removed with its last pin. */
  bool missing = false;
  /** Loaded on demand and not used by a dispatch since. */
  bool awaited = false;
  std::uint64_t uses_since_load = 0;
  core::time_point last_used;
};

/**
 * Adapter slots of one engine. Never evicts a pinned or loading adapter and
 * never holds more adapters than slots, except while the engine reports fewer
 * slots than are in use.
 */
template <eviction_policy Policy>
class adapter_cache {
 public:
  explicit adapter_cache(core::milliseconds initial_load_time,
                         Policy policy = {})
      : initial_load_time_(initial_load_time), policy_(policy) {}

  // Slots.

  /** If false, no adapter is evicted, whatever the demand. */
  void SetMayEvict(bool may_evict) { may_evict_ = may_evict; }
  bool MayEvict() const { return may_evict_; }
  void SetSlotLimit(std::size_t limit) { slot_limit_ = limit; }
  std::size_t SlotLimit() const { return slot_limit_; }
  const std::vector<adapter_slot>& Slots() const { return slots_; }

  /** @returns the slot of the adapter, or nullptr if it has none. */
  const adapter_slot* Find(const core::adapter_reference& adapter) const {
    const auto found = Position(adapter);
    return found == slots_.end() ? nullptr : &*found;
  }
  /** True if the adapter is loaded and accepts new dispatches. */
  bool CanDispatch(const core::adapter_reference& adapter) const {
    const adapter_slot* slot = Find(adapter);
    return slot != nullptr && !slot->loading && !slot->draining &&
           !slot->missing;
  }

  // Usage.

  /** Counts a request for the adapter, resident or not. */
  void RecordDemand(const core::adapter_reference& adapter,
                    core::time_point now) {
    if (history_.size() >= kMaximumHistoryEntries) PruneHistory(now);
    HistoryOf(adapter).frequency.Add(1.0, now);
  }

  /** @pre CanDispatch(adapter) */
  void Pin(const core::adapter_reference& adapter, core::time_point now) {
    assert(CanDispatch(adapter));
    adapter_slot& slot = *MutablePosition(adapter);
    ++slot.pins;
    ++slot.uses_since_load;
    slot.awaited = false;
    slot.last_used = now;
  }

  /** @pre the adapter is pinned */
  void Unpin(const core::adapter_reference& adapter, core::time_point now) {
    const auto found = MutablePosition(adapter);
    assert(found != slots_.end() && found->pins > 0);
    --found->pins;
    found->last_used = std::max(found->last_used, now);
    if (found->pins == 0 && found->missing) slots_.erase(found);
  }

  // Loads.

  /** Result of reserving a slot for a load. */
  struct reservation {
    /** The adapter that was evicted; nullopt if a slot was free. */
    std::optional<core::adapter_reference> evicted;
  };

  /**
   * Reserves a slot for `adapter` and marks it as loading. Without a free slot,
   * evicts the unpinned adapter with the lowest value. `waiting(adapter)`
   * returns the number of queued requests for an adapter. Adapters with queued
   * requests are evicted only if `evict_requested` is set.
   *
   * @returns nullopt if no slot can be freed.
   */
  template <class Waiting>
  std::optional<reservation> Reserve(const core::adapter_reference& adapter,
                                     bool evict_requested,
                                     const Waiting& waiting,
                                     core::time_point now) {
    assert(Find(adapter) == nullptr);
    reservation result;
    if (slots_.size() >= slot_limit_) {
      const auto victim = Victim(evict_requested, waiting, now);
      if (victim == slots_.end() || slots_.size() > slot_limit_) {
        return std::nullopt;
      }
      result.evicted = victim->adapter;
      slots_.erase(victim);
    }
    slots_.push_back({.adapter = adapter,
                      .loading = true,
                      .awaited = true,
                      .last_used = now});
    return result;
  }

  void OnLoaded(const core::adapter_reference& adapter, core::milliseconds took,
                core::time_point now) {
    const auto found = MutablePosition(adapter);
    if (found == slots_.end() || !found->loading) return;
    found->loading = false;
    found->last_used = now;
    core::milliseconds& smoothed = HistoryOf(adapter).load_time;
    smoothed = (smoothed * 3 + took) / 4;
  }

  /** Frees the slot that was reserved for the load. */
  void OnLoadFailed(const core::adapter_reference& adapter) {
    const auto found = MutablePosition(adapter);
    if (found != slots_.end() && found->loading) slots_.erase(found);
  }

  // Draining.

  /** @pre the adapter holds a slot */
  void SetDraining(const core::adapter_reference& adapter, bool draining) {
    const auto found = MutablePosition(adapter);
    assert(found != slots_.end());
    found->draining = draining;
  }

  /** Value of keeping the adapter, as the eviction policy rates it. */
  double KeepValue(const adapter_slot& slot, std::size_t waiting,
                   core::time_point now) const {
    return policy_.KeepValue(UsageOf(slot, waiting, now), now);
  }

  // Reconciliation.

  /** The engine does not hold the adapter; a pinned slot stays until unpin. */
  void OnMissing(const core::adapter_reference& adapter) {
    const auto found = MutablePosition(adapter);
    if (found == slots_.end() || found->loading) return;
    if (found->pins == 0) {
      slots_.erase(found);
    } else {
      found->missing = true;
    }
  }

  /**
   * Brings the slots in line with the adapters that the engine reports: adds
   * those that it holds, removes those that it does not. Loads in flight are
   * not affected.
   */
  void Reconcile(const std::vector<core::adapter_reference>& resident,
                 core::time_point now) {
    const std::vector<adapter_slot> before = slots_;
    for (const adapter_slot& slot : before) {
      if (!Contains(resident, slot.adapter)) {
        OnMissing(slot.adapter);
      } else {
        MutablePosition(slot.adapter)->missing = false;
      }
    }
    for (const core::adapter_reference& adapter : resident) {
      // The report may predate an eviction, so the slot limit is enforced here.
      if (Find(adapter) == nullptr && slots_.size() < slot_limit_) {
        slots_.push_back({.adapter = adapter, .last_used = now});
      }
    }
  }

  /** The engine has lost all adapters. Keeps the demand history. */
  void Clear() { slots_.clear(); }

 private:
  struct history {
    decayed_value frequency;
    core::milliseconds load_time;
  };
  using slot_iterator = std::vector<adapter_slot>::iterator;

  auto Position(const core::adapter_reference& adapter) const {
    return std::find_if(
        slots_.begin(), slots_.end(),
        [&](const adapter_slot& slot) { return slot.adapter == adapter; });
  }
  slot_iterator MutablePosition(const core::adapter_reference& adapter) {
    return slots_.begin() + (Position(adapter) - slots_.begin());
  }
  static bool Contains(const std::vector<core::adapter_reference>& list,
                       const core::adapter_reference& adapter) {
    return std::find(list.begin(), list.end(), adapter) != list.end();
  }

  history& HistoryOf(const core::adapter_reference& adapter) {
    return history_
        .try_emplace(adapter, history{decayed_value(kFrequencyHalfLife),
                                      initial_load_time_})
        .first->second;
  }

  adapter_usage UsageOf(const adapter_slot& slot, std::size_t waiting,
                        core::time_point now) const {
    adapter_usage usage{.last_used = slot.last_used,
                        .uses_since_load = slot.uses_since_load,
                        .load_time = initial_load_time_,
                        .waiting = waiting};
    const auto found = history_.find(slot.adapter);
    if (found != history_.end()) {
      usage.frequency = found->second.frequency.At(now);
      usage.load_time = found->second.load_time;
    }
    return usage;
  }

  template <class Waiting>
  slot_iterator Victim(bool evict_requested, const Waiting& waiting,
                       core::time_point now) {
    slot_iterator best = slots_.end();
    if (!may_evict_) return best;
    double best_value = 0.0;
    for (auto slot = slots_.begin(); slot != slots_.end(); ++slot) {
      if (slot->pins > 0 || slot->loading) continue;
      const std::size_t waiting_requests = waiting(slot->adapter);
      // Evicting an adapter before the request that it was loaded for is
      // dispatched would let two adapters evict each other without progress.
      if (waiting_requests > 0 && !slot->draining &&
          (slot->awaited || !evict_requested)) {
        continue;
      }
      if (slot->draining) return slot;
      const double value = KeepValue(*slot, waiting_requests, now);
      if (best == slots_.end() || value < best_value) {
        best = slot;
        best_value = value;
      }
    }
    return best;
  }

  void PruneHistory(core::time_point now) {
    std::erase_if(history_, [&](const auto& entry) {
      return entry.second.frequency.At(now) < kMinimumRetainedFrequency;
    });
  }

  /**
   * Popularity shifts within minutes; a shorter half-life loses the history of
   * rarely used adapters.
   */
  static constexpr core::milliseconds kFrequencyHalfLife{120'000};
  static constexpr std::size_t kMaximumHistoryEntries = 8192;
  static constexpr double kMinimumRetainedFrequency = 0.05;

  core::milliseconds initial_load_time_;
  Policy policy_;
  std::size_t slot_limit_ = 0;
  bool may_evict_ = true;
  std::vector<adapter_slot> slots_;
  std::unordered_map<core::adapter_reference, history> history_;
};

}  // namespace comfreyspring::adapters

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "adapters/decayed_value.h"
#include "adapters/eviction_policy.h"
#include "catalog/route.h"
#include "core/time.h"
#include "grants/grant_types.h"

namespace comfreyspring::grants {

/** An adapter that occupies a slot of the engine, as far as is known. */
struct adapter_slot {
  enum class state { loading, resident, unloading };
  state phase = state::resident;
  std::int64_t version = 1;
  /** Time of the last order or response that concerns the adapter. */
  core::time_point changed_at;
  core::time_point last_used;
  /**
   * An order for the adapter was sent, and the engine has not told what became
   * of it. The slot stays as it is until then.
   */
  bool unanswered = false;
  /** The engine held the adapter when its load was ordered. */
  bool replaces = false;
  /**
   * The engine still has a copy of the adapter, so that loading it is quick.
   */
  bool warm = false;
};

/**
 * Tracks the adapter slots of one engine. A slot counts as occupied from the
 * order to load an adapter until the engine is known to have released it, so
 * that the engine is never ordered to hold more adapters than it can.
 */
class slot_table {
 public:
  // Capacity.

  void SetCapacity(std::size_t capacity) { capacity_ = capacity; }
  std::size_t Capacity() const { return capacity_; }
  bool HasFreeSlot() const { return slots_.size() < capacity_; }
  std::size_t Size() const { return slots_.size(); }
  std::size_t Loading() const;
  /**
   * Number of loads in progress that fetch the adapter from the weight store.
   */
  std::size_t ColdLoading() const;
  /** Changes whenever the set of adapters changes. */
  std::uint64_t Revision() const { return revision_; }

  // Lookup.

  const adapter_slot* Find(const catalog::adapter_name& adapter) const;
  /** The adapter is loaded in at least this version. */
  bool IsReady(const catalog::adapter_name& adapter,
               std::int64_t minimum_version) const;
  const std::map<catalog::adapter_name, adapter_slot>& Slots() const {
    return slots_;
  }
  std::vector<catalog::adapter_name> Adapters() const;
  /** The engine unloaded the adapter recently and can reload it quickly. */
  bool IsWarm(const catalog::adapter_name& adapter, core::time_point now) const;

  // Usage.

  void CountDemand(const catalog::adapter_name& adapter, core::time_point now);
  void OnUsed(const catalog::adapter_name& adapter, core::time_point now);
  /**
   * Returns the resident adapter with the lowest retention value among those
   * for which `is_free(adapter)` is true.
   */
  template <class IsFree>
  std::optional<catalog::adapter_name> Victim(const IsFree& is_free,
                                              core::time_point now) const {
    std::optional<catalog::adapter_name> victim;
    double lowest = 0.0;
    for (const auto& [name, slot] : slots_) {
      if (slot.phase != adapter_slot::state::resident || !is_free(name)) {
        continue;
      }
      const double value = KeepValue(name, slot, now);
      if (victim && value >= lowest) continue;
      victim = name;
      lowest = value;
    }
    return victim;
  }

  // Orders.

  void OnLoadOrdered(const catalog::adapter_name& adapter,
                     core::time_point now);
  void OnUnloadOrdered(const catalog::adapter_name& adapter,
                       core::time_point now);
  /** The order is known to have been carried out, or to have no effect. */
  void OnOrderEnded(const engine_order& order, order_result result,
                    core::time_point now);
  /**
   * The engine has accepted the order, whose answer was lost. The next report
   * shows its effect.
   */
  void OnOrderAccepted(const engine_order& order);

  /** A completed load and the time it took. */
  struct finished_load {
    catalog::adapter_name adapter;
    core::milliseconds took{0};
    bool warm = false;
  };

  /**
   * Updates the table from a state report of the engine that includes all
   * answered orders.
   * @param requested_at time at which the report was requested.
   */
  std::vector<finished_load> Reconcile(const engine_state& state,
                                       core::time_point requested_at,
                                       core::time_point now);
  /** The engine has lost all adapters. */
  void Clear();

 private:
  double KeepValue(const catalog::adapter_name& adapter,
                   const adapter_slot& slot, core::time_point now) const;
  void Erase(const catalog::adapter_name& adapter, core::time_point now);

  std::size_t capacity_ = 0;
  std::uint64_t revision_ = 1;
  std::map<catalog::adapter_name, adapter_slot> slots_;
  std::map<catalog::adapter_name, adapters::decayed_value> demand_;
  /** Time at which each unloaded adapter was last known to be on the engine. */
  std::map<catalog::adapter_name, core::time_point> dropped_at_;
};

}  // namespace comfreyspring::grants

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

/** An adapter that holds a place at the engine, as far as is known. */
struct adapter_slot {
  enum class state { loading, resident, unloading };
  state phase = state::resident;
  std::int64_t version = 1;
  /** Time of the last order or answer that concerns it. */
  core::time_point changed_at;
  core::time_point last_used;
  /** The order to load it was sent and has no answer. */
  bool unanswered = false;
  /** The engine still has a copy from before, so that its load is quick. */
  bool warm = false;
};

/**
 * Adapter places of one engine. A place counts as taken from the order that
 * fills it until the engine is known to have given it up, so the engine is
 * never asked to hold more than it can.
 */
class slot_table {
 public:
  // Limits.

  void SetCapacity(std::size_t capacity) { capacity_ = capacity; }
  std::size_t Capacity() const { return capacity_; }
  bool HasFreeSlot() const { return slots_.size() < capacity_; }
  std::size_t Size() const { return slots_.size(); }
  std::size_t Loading() const;
  /** Loads that fetch the adapter from the weight store. */
  std::size_t ColdLoading() const;
  /** Changes with the set of adapters. */
  std::uint64_t Revision() const { return revision_; }

  // Lookup.

  const adapter_slot* Find(const catalog::adapter_name& adapter) const;
  /** The engine can run the adapter in at least this version. */
  bool IsReady(const catalog::adapter_name& adapter,
               std::int64_t minimum_version) const;
  const std::map<catalog::adapter_name, adapter_slot>& Slots() const {
    return slots_;
  }
  std::vector<catalog::adapter_name> Adapters() const;
  /** The engine held it a short time ago and can load it quickly. */
  bool IsWarm(const catalog::adapter_name& adapter, core::time_point now) const;

  // Use.

  void CountDemand(const catalog::adapter_name& adapter, core::time_point now);
  void OnUsed(const catalog::adapter_name& adapter, core::time_point now);
  /**
   * The resident adapter that is worth least, among those for which
   * `is_free(adapter)` holds.
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
  void OnOrderEnded(const engine_order& order, order_result result,
                    core::time_point now);

  /** An adapter that became ready, with the time that its load took. */
  struct finished_load {
    catalog::adapter_name adapter;
    core::milliseconds took{0};
    bool warm = false;
  };

  /**
   * Follows the engine's own list.
   * @param requested_at when the list was asked for: it may lack what was
   * ordered later.
   */
  std::vector<finished_load> Reconcile(const engine_state& state,
                                       core::time_point requested_at,
                                       core::time_point now);
  /** The engine has lost everything. */
  void Clear();

 private:
  double KeepValue(const catalog::adapter_name& adapter,
                   const adapter_slot& slot, core::time_point now) const;
  void Erase(const catalog::adapter_name& adapter, core::time_point now);

  std::size_t capacity_ = 0;
  std::uint64_t revision_ = 1;
  std::map<catalog::adapter_name, adapter_slot> slots_;
  std::map<catalog::adapter_name, adapters::decayed_value> demand_;
  /** When the engine was last known to hold adapters that it has dropped. */
  std::map<catalog::adapter_name, core::time_point> dropped_at_;
};

}  // namespace comfreyspring::grants

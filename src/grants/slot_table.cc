#include "grants/slot_table.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace comfreyspring::grants {
namespace {

/** Short half-life, so that the demand reflects the last few seconds. */
constexpr core::milliseconds kDemandHalfLife{10'000};
constexpr std::size_t kMaximumDemandEntries = 8192;
/** An engine keeps a copy of an unloaded adapter for at least this time. */
constexpr core::milliseconds kWarmTime{30'000};
constexpr std::size_t kMaximumDropped = 1024;

using slot_state = adapter_slot::state;

}  // namespace

std::size_t slot_table::Loading() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(), [](const auto& entry) {
        return entry.second.phase == slot_state::loading;
      }));
}

std::size_t slot_table::ColdLoading() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(), [](const auto& entry) {
        return entry.second.phase == slot_state::loading && !entry.second.warm;
      }));
}

bool slot_table::IsWarm(const catalog::adapter_name& adapter,
                        core::time_point now) const {
  const auto found = dropped_at_.find(adapter);
  return found != dropped_at_.end() && now - found->second < kWarmTime;
}

const adapter_slot* slot_table::Find(
    const catalog::adapter_name& adapter) const {
  const auto found = slots_.find(adapter);
  return found == slots_.end() ? nullptr : &found->second;
}

bool slot_table::IsReady(const catalog::adapter_name& adapter,
                         std::int64_t minimum_version) const {
  const adapter_slot* slot = Find(adapter);
  return slot != nullptr && slot->phase == slot_state::resident &&
         slot->version >= minimum_version;
}

std::vector<catalog::adapter_name> slot_table::Adapters() const {
  std::vector<catalog::adapter_name> names;
  for (const auto& [name, slot] : slots_) {
    if (slot.phase != slot_state::unloading) names.push_back(name);
  }
  return names;
}

// Usage.

void slot_table::CountDemand(const catalog::adapter_name& adapter,
                             core::time_point now) {
  if (demand_.size() >= kMaximumDemandEntries) {
    std::erase_if(demand_, [&](const auto& entry) {
      return entry.second.At(now) < 0.05;
    });
  }
  demand_.try_emplace(adapter, adapters::decayed_value(kDemandHalfLife))
      .first->second.Add(1.0, now);
}

void slot_table::OnUsed(const catalog::adapter_name& adapter,
                        core::time_point now) {
  const auto found = slots_.find(adapter);
  if (found != slots_.end()) found->second.last_used = now;
}

double slot_table::KeepValue(const catalog::adapter_name& adapter,
                             const adapter_slot& slot,
                             core::time_point now) const {
  const auto demand = demand_.find(adapter);
  const adapters::adapter_usage usage{
      .last_used = slot.last_used,
      .frequency = demand == demand_.end() ? 0.0 : demand->second.At(now)};
  return adapters::cost_aware_eviction().KeepValue(usage, now);
}

// Orders.

void slot_table::OnLoadOrdered(const catalog::adapter_name& adapter,
                               core::time_point now) {
  const auto [position, inserted] = slots_.try_emplace(adapter);
  adapter_slot& slot = position->second;
  slot.replaces = !inserted;
  slot.phase = slot_state::loading;
  slot.changed_at = now;
  slot.last_used = now;
  slot.unanswered = true;
  slot.warm = IsWarm(adapter, now);
  ++revision_;
}

void slot_table::OnUnloadOrdered(const catalog::adapter_name& adapter,
                                 core::time_point now) {
  adapter_slot& slot = slots_[adapter];
  slot.phase = slot_state::unloading;
  slot.changed_at = now;
  slot.unanswered = true;
  ++revision_;
}

void slot_table::OnOrderEnded(const engine_order& order, order_result result,
                              core::time_point now) {
  const auto found = slots_.find(order.subject);
  if (found == slots_.end()) return;
  adapter_slot& slot = found->second;
  slot.changed_at = now;
  if (result == order_result::unknown) return;
  slot.unanswered = false;
  const bool loads = order.what == engine_order::kind::load;
  switch (result) {
    case order_result::done:
      if (!loads) {
        Erase(order.subject, now);
      } else if (order.version == 0 || slot.version >= order.version) {
        slot.phase = slot_state::resident;
      }
      return;
    case order_result::accepted:
      return;
    default:
      // The order had no effect on the engine.
      if (loads && !slot.replaces) {
        slots_.erase(order.subject);
      } else {
        slot.phase = slot_state::resident;
      }
      ++revision_;
  }
}

void slot_table::OnOrderAccepted(const engine_order& order) {
  const auto found = slots_.find(order.subject);
  if (found != slots_.end()) found->second.unanswered = false;
}

std::vector<slot_table::finished_load> slot_table::Reconcile(
    const engine_state& state, core::time_point requested_at,
    core::time_point now) {
  std::vector<finished_load> finished;
  std::set<catalog::adapter_name> listed;
  const std::set<catalog::adapter_name> loading(state.loading.begin(),
                                                state.loading.end());
  for (const catalog::loaded_model& model : state.models) {
    for (const auto& held : model.adapters) {
      const catalog::adapter_name name{model.model, held.adapter};
      listed.insert(name);
      auto [position, inserted] = slots_.try_emplace(name);
      adapter_slot& slot = position->second;
      if (inserted) {
        slot.changed_at = now;
        slot.last_used = now;
        ++revision_;
      }
      const bool newer = held.version > slot.version;
      if (inserted || newer) slot.version = held.version;
      // The previous version stays listed until its replacement is loaded.
      if (slot.phase == slot_state::loading && loading.count(name) == 0 &&
          (newer || (!slot.unanswered && slot.changed_at <= requested_at))) {
        finished.push_back(
            {name, core::ToMilliseconds(now - slot.changed_at), slot.warm});
        slot.phase = slot_state::resident;
        slot.changed_at = now;
      }
    }
  }
  for (const auto& name : loading) {
    if (slots_.count(name) > 0) continue;
    slots_[name] = {
        .phase = slot_state::loading, .changed_at = now, .last_used = now};
    ++revision_;
  }
  for (auto entry = slots_.begin(); entry != slots_.end();) {
    const auto next = std::next(entry);
    const auto& [name, slot] = *entry;
    if (listed.count(name) == 0 && loading.count(name) == 0 &&
        !slot.unanswered && slot.changed_at < requested_at) {
      Erase(catalog::adapter_name(name), now);
    }
    entry = next;
  }
  return finished;
}

void slot_table::Clear() {
  slots_.clear();
  dropped_at_.clear();
  ++revision_;
}

void slot_table::Erase(const catalog::adapter_name& adapter,
                       core::time_point now) {
  const auto found = slots_.find(adapter);
  if (found == slots_.end()) return;
  if (found->second.phase != slot_state::loading) {
    if (dropped_at_.size() >= kMaximumDropped) {
      std::erase_if(dropped_at_, [&](const auto& entry) {
        return now - entry.second >= kWarmTime;
      });
    }
    dropped_at_[adapter] = now;
  }
  slots_.erase(found);
  ++revision_;
}

}  // namespace comfreyspring::grants

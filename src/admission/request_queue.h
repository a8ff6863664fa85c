#pragma once

#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "adapters/decayed_value.h"
#include "adapters/load_scheduler.h"
#include "admission/queue_order.h"

namespace comfreyspring::admission {

/** Priority class and length of work; each class has its own batch limit. */
enum class work_class {
  urgent_short,
  urgent_long,
  may_wait_short,
  may_wait_long
};
inline constexpr std::size_t kWorkClassCount = 4;

inline work_class WorkClassOf(core::priority_class priority, bool long_work) {
  if (priority == core::priority_class::urgent) {
    return long_work ? work_class::urgent_long : work_class::urgent_short;
  }
  return long_work ? work_class::may_wait_long : work_class::may_wait_short;
}

inline bool IsLong(work_class value) {
  return value == work_class::urgent_long || value == work_class::may_wait_long;
}
inline bool IsUrgent(work_class value) {
  return value == work_class::urgent_short || value == work_class::urgent_long;
}

class work_class_set {
 public:
  work_class_set() = default;
  work_class_set& Add(work_class value) {
    contained_[static_cast<std::size_t>(value)] = true;
    return *this;
  }
  bool Contains(work_class value) const {
    return contained_[static_cast<std::size_t>(value)];
  }
  static work_class_set All() {
    work_class_set all;
    all.contained_.fill(true);
    return all;
  }

 private:
  std::array<bool, kWorkClassCount> contained_ = {};
};

/** Amount of queued work of one class. */
struct work_class_load {
  std::size_t count = 0;
  std::int64_t tokens = 0;
};

/** Queued attempts of one endpoint, grouped by work class and adapter. */
template <queue_order Order>
class request_queue {
 public:
  explicit request_queue(Order order = {}) : order_(order) {}

  // Content.

  /** @pre the attempt is not in the queue */
  void Add(queued_item item) {
    const core::attempt_id attempt = item.work.attempt;
    assert(!items_.contains(attempt));
    stored_item entry{std::move(item), 0.0, next_sequence_++};
    entry.key = order_.Key(entry.item);
    Link(entry);
    items_.emplace(attempt, std::move(entry));
  }

  /** Removes and returns the attempt; nullopt if it is not queued. */
  std::optional<queued_item> Take(const core::attempt_id& attempt) {
    const auto found = items_.find(attempt);
    if (found == items_.end()) return std::nullopt;
    Unlink(found->second);
    queued_item item = std::move(found->second.item);
    items_.erase(found);
    return item;
  }

  const queued_item* Find(const core::attempt_id& attempt) const {
    const auto found = items_.find(attempt);
    return found == items_.end() ? nullptr : &found->second.item;
  }

  std::size_t Size() const { return items_.size(); }
  const work_class_load& Load(work_class value) const {
    return loads_[static_cast<std::size_t>(value)];
  }

  // Order.

  /**
   * First item in queue order among those of `classes` for which
   * `eligible(work_class, adapter)` holds; nullptr if there is none.
   */
  template <class Eligible>
  const queued_item* Best(const work_class_set& classes,
                          const Eligible& eligible,
                          core::time_point now) const {
    const entry_key* best = nullptr;
    double best_rank = 0.0;
    for (std::size_t i = 0; i < kWorkClassCount; ++i) {
      if (!classes.Contains(static_cast<work_class>(i))) continue;
      for (const auto& [adapter, group] : groups_[i]) {
        if (!eligible(static_cast<work_class>(i), adapter)) continue;
        const entry_key& head = *group.begin();
        const double rank =
            head.key + order_.Penalty(RecentService(adapter, now));
        if (best == nullptr || rank < best_rank ||
            (rank == best_rank && head.sequence < best->sequence)) {
          best = &head;
          best_rank = rank;
        }
      }
    }
    return best == nullptr ? nullptr : Find(best->attempt);
  }

  /** Records the time of one batch slot, for fairness between adapters. */
  void RecordService(const core::adapter_reference& adapter,
                     core::milliseconds time, core::time_point now) {
    recent_service_
        .try_emplace(adapter, adapters::decayed_value(kFairnessHalfLife))
        .first->second.Add(static_cast<double>(time.count()), now);
  }

  // Views.

  /** Calls `visit(item)` for each queued item, in no particular order. */
  template <class Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& entry : items_) visit(entry.second.item);
  }

  /** Calls `visit(item)` in key order within each adapter of `classes`. */
  template <class Visit>
  void ForEachOf(const work_class_set& classes, const Visit& visit) const {
    for (std::size_t i = 0; i < kWorkClassCount; ++i) {
      if (!classes.Contains(static_cast<work_class>(i))) continue;
      for (const auto& [adapter, group] : groups_[i]) {
        for (const entry_key& entry : group) visit(*Find(entry.attempt));
      }
    }
  }

  /** Whether an item of `classes` waits for the adapter. */
  bool WaitsIn(const work_class_set& classes,
               const core::adapter_reference& adapter) const {
    for (std::size_t i = 0; i < kWorkClassCount; ++i) {
      if (classes.Contains(static_cast<work_class>(i)) &&
          groups_[i].contains(adapter)) {
        return true;
      }
    }
    return false;
  }

  /** Number of requests that wait for the adapter. */
  std::size_t WaitingFor(const core::adapter_reference& adapter) const {
    const auto found = demand_.find(adapter);
    if (found == demand_.end()) return 0;
    return found->second.urgent.size() + found->second.may_wait.size();
  }

  /** Calls `visit(adapter, load_demand)` for each adapter waited for. */
  template <class Visit>
  void ForEachDemand(const Visit& visit) const {
    for (const auto& [adapter, demand] : demand_) {
      visit(adapter, DemandOf(demand));
    }
  }
  adapters::load_demand Demand(const core::adapter_reference& adapter) const {
    const auto found = demand_.find(adapter);
    return found == demand_.end() ? adapters::load_demand()
                                  : DemandOf(found->second);
  }

  // Maintenance.

  /** Marks the items of `classes` that wait for the adapter as stalled. */
  void MarkStalled(const core::adapter_reference& adapter,
                   const work_class_set& classes) {
    for (std::size_t i = 0; i < kWorkClassCount; ++i) {
      if (!classes.Contains(static_cast<work_class>(i))) continue;
      const auto group = groups_[i].find(adapter);
      if (group == groups_[i].end()) continue;
      for (const entry_key& entry : group->second) {
        items_.at(entry.attempt).item.stalled = true;
      }
    }
  }

  /** Reclassifies all items as short or long by `is_long(item)`. */
  template <class IsLong>
  void Reclassify(const IsLong& is_long) {
    for (auto& [attempt, entry] : items_) {
      const bool long_work = is_long(entry.item);
      if (long_work == entry.item.long_work) continue;
      Unlink(entry);
      entry.item.long_work = long_work;
      Link(entry);
    }
  }

  /** Drops adapters whose recorded service has decayed to below 1 ms. */
  void PruneService(core::time_point now) {
    std::erase_if(recent_service_, [&](const auto& entry) {
      return entry.second.At(now) < 1.0;
    });
  }

 private:
  struct entry_key {
    double key = 0.0;
    std::uint64_t sequence = 0;
    core::attempt_id attempt;
    friend bool operator<(const entry_key& left, const entry_key& right) {
      return std::pair(left.key, left.sequence) <
             std::pair(right.key, right.sequence);
    }
  };
  struct stored_item {
    queued_item item;
    double key = 0.0;
    std::uint64_t sequence = 0;
  };
  struct submission_times {
    std::multiset<core::time_point> urgent;
    std::multiset<core::time_point> may_wait;
  };
  using group_map = std::map<core::adapter_reference, std::set<entry_key>>;

  static std::size_t ClassIndex(const queued_item& item) {
    return static_cast<std::size_t>(
        WorkClassOf(item.work.priority, item.long_work));
  }
  static std::multiset<core::time_point>& TimesOf(submission_times& demand,
                                                  const queued_item& item) {
    return item.work.priority == core::priority_class::urgent ? demand.urgent
                                                              : demand.may_wait;
  }
  static adapters::load_demand DemandOf(const submission_times& times) {
    adapters::load_demand demand;
    demand.urgent = times.urgent.size();
    demand.may_wait = times.may_wait.size();
    if (!times.urgent.empty()) demand.oldest_urgent = *times.urgent.begin();
    if (!times.may_wait.empty()) {
      demand.oldest_may_wait = *times.may_wait.begin();
    }
    return demand;
  }

  void Link(const stored_item& entry) {
    const std::size_t index = ClassIndex(entry.item);
    const core::adapter_reference& adapter = entry.item.work.adapter;
    groups_[index][adapter].insert(
        {entry.key, entry.sequence, entry.item.work.attempt});
    ++loads_[index].count;
    loads_[index].tokens += entry.item.estimate.value;
    TimesOf(demand_[adapter], entry.item).insert(entry.item.submitted);
  }

  void Unlink(const stored_item& entry) {
    const std::size_t index = ClassIndex(entry.item);
    const core::adapter_reference& adapter = entry.item.work.adapter;
    const auto group = groups_[index].find(adapter);
    group->second.erase({entry.key, entry.sequence, {}});
    if (group->second.empty()) groups_[index].erase(group);
    --loads_[index].count;
    loads_[index].tokens -= entry.item.estimate.value;
    const auto demand = demand_.find(adapter);
    auto& times = TimesOf(demand->second, entry.item);
    times.erase(times.find(entry.item.submitted));
    if (demand->second.urgent.empty() && demand->second.may_wait.empty()) {
      demand_.erase(demand);
    }
  }

  core::milliseconds RecentService(const core::adapter_reference& adapter,
                                   core::time_point now) const {
    const auto found = recent_service_.find(adapter);
    if (found == recent_service_.end()) return core::milliseconds(0);
    return core::milliseconds(static_cast<std::int64_t>(found->second.At(now)));
  }

  /** About the time over which the load of an adapter changes. */
  static constexpr core::milliseconds kFairnessHalfLife{10'000};

  Order order_;
  std::uint64_t next_sequence_ = 0;
  std::unordered_map<core::attempt_id, stored_item> items_;
  std::array<group_map, kWorkClassCount> groups_;
  std::array<work_class_load, kWorkClassCount> loads_ = {};
  std::unordered_map<core::adapter_reference, submission_times> demand_;
  std::unordered_map<core::adapter_reference, adapters::decayed_value>
      recent_service_;
};

}  // namespace comfreyspring::admission

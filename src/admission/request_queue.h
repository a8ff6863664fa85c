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

/** Kinds of work that have their own shares of the batch. */
enum class lane { urgent_short, urgent_long, may_wait_short, may_wait_long };
inline constexpr std::size_t kLaneCount = 4;

/** Lane of a piece of work. */
inline lane LaneOf(core::priority_class priority, bool long_work) {
  if (priority == core::priority_class::urgent) {
    return long_work ? lane::urgent_long : lane::urgent_short;
  }
  return long_work ? lane::may_wait_long : lane::may_wait_short;
}

inline bool IsLong(lane value) {
  return value == lane::urgent_long || value == lane::may_wait_long;
}
inline bool IsUrgent(lane value) {
  return value == lane::urgent_short || value == lane::urgent_long;
}

/** A set of lanes. */
class lane_set {
 public:
  lane_set() = default;
  lane_set& Add(lane value) {
    contained_[static_cast<std::size_t>(value)] = true;
    return *this;
  }
  bool Contains(lane value) const {
    return contained_[static_cast<std::size_t>(value)];
  }
  static lane_set All() {
    lane_set all;
    all.contained_.fill(true);
    return all;
  }

 private:
  std::array<bool, kLaneCount> contained_ = {};
};

/** Sum of the work in a lane. */
struct lane_load {
  std::size_t count = 0;
  std::int64_t tokens = 0;
};

/** Waiting attempts of one endpoint, grouped by lane and adapter. */
template <queue_order Order>
class request_queue {
 public:
  explicit request_queue(Order order = {}) : order_(order) {}

  // Content.

  /** @pre the attempt is not in the queue */
  void Add(queued_item item) {
    const core::attempt_id attempt = item.work.attempt;
    assert(!items_.contains(attempt));
    stored entry{std::move(item), 0.0, next_sequence_++};
    entry.key = order_.Key(entry.item);
    Link(entry);
    items_.emplace(attempt, std::move(entry));
  }

  /** Removes the attempt if it waits here. */
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
  const lane_load& Load(lane value) const {
    return loads_[static_cast<std::size_t>(value)];
  }

  // Order.

  /**
   * First item of `lanes` in order, among those for which
   * `eligible(lane, adapter)` holds; null if there is none.
   */
  template <class Eligible>
  const queued_item* Best(const lane_set& lanes, const Eligible& eligible,
                          core::time_point now) const {
    const entry_key* best = nullptr;
    double best_rank = 0.0;
    for (std::size_t i = 0; i < kLaneCount; ++i) {
      if (!lanes.Contains(static_cast<lane>(i))) continue;
      for (const auto& [adapter, group] : groups_[i]) {
        if (!eligible(static_cast<lane>(i), adapter)) continue;
        const entry_key& head = *group.begin();
        const double rank = head.key + order_.Penalty(Served(adapter, now));
        if (best == nullptr || rank < best_rank ||
            (rank == best_rank && head.sequence < best->sequence)) {
          best = &head;
          best_rank = rank;
        }
      }
    }
    return best == nullptr ? nullptr : Find(best->attempt);
  }

  /** Counts service (time of one batch place) for fairness. */
  void RecordService(const core::adapter_reference& adapter,
                     core::milliseconds time, core::time_point now) {
    served_.try_emplace(adapter, adapters::decayed_value(kFairnessHalfLife))
        .first->second.Add(static_cast<double>(time.count()), now);
  }

  // Views.

  /** Calls `visit(item)` for each waiting item, in no particular order. */
  template <class Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& entry : items_) visit(entry.second.item);
  }

  /** Calls `visit(item)` in key order within each adapter of the lanes. */
  template <class Visit>
  void ForEachOf(const lane_set& lanes, const Visit& visit) const {
    for (std::size_t i = 0; i < kLaneCount; ++i) {
      if (!lanes.Contains(static_cast<lane>(i))) continue;
      for (const auto& [adapter, group] : groups_[i]) {
        for (const entry_key& entry : group) visit(*Find(entry.attempt));
      }
    }
  }

  /** Whether anything in the lanes waits for the adapter. */
  bool WaitsIn(const lane_set& lanes,
               const core::adapter_reference& adapter) const {
    for (std::size_t i = 0; i < kLaneCount; ++i) {
      if (lanes.Contains(static_cast<lane>(i)) &&
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

  // Upkeep.

  /** Sets the stall mark of everything that waits for the adapter. */
  void MarkStalled(const core::adapter_reference& adapter,
                   const lane_set& lanes) {
    for (std::size_t i = 0; i < kLaneCount; ++i) {
      if (!lanes.Contains(static_cast<lane>(i))) continue;
      const auto group = groups_[i].find(adapter);
      if (group == groups_[i].end()) continue;
      for (const entry_key& entry : group->second) {
        items_.at(entry.attempt).item.stalled = true;
      }
    }
  }

  /** Sorts items into short and long again, by `is_long(item)`. */
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

  /** Forgets service so old that it no longer counts. */
  void PruneService(core::time_point now) {
    std::erase_if(
        served_, [&](const auto& entry) { return entry.second.At(now) < 1.0; });
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
  struct stored {
    queued_item item;
    double key = 0.0;
    std::uint64_t sequence = 0;
  };
  struct demand_times {
    std::multiset<core::time_point> urgent;
    std::multiset<core::time_point> may_wait;
  };
  using group_map = std::map<core::adapter_reference, std::set<entry_key>>;

  static std::size_t LaneIndex(const queued_item& item) {
    return static_cast<std::size_t>(LaneOf(item.work.priority, item.long_work));
  }
  static std::multiset<core::time_point>& TimesOf(demand_times& demand,
                                                  const queued_item& item) {
    return item.work.priority == core::priority_class::urgent ? demand.urgent
                                                              : demand.may_wait;
  }
  static adapters::load_demand DemandOf(const demand_times& times) {
    adapters::load_demand demand;
    demand.urgent = times.urgent.size();
    demand.may_wait = times.may_wait.size();
    if (!times.urgent.empty()) demand.oldest_urgent = *times.urgent.begin();
    if (!times.may_wait.empty()) {
      demand.oldest_may_wait = *times.may_wait.begin();
    }
    return demand;
  }

  void Link(const stored& entry) {
    const std::size_t index = LaneIndex(entry.item);
    const core::adapter_reference& adapter = entry.item.work.adapter;
    groups_[index][adapter].insert(
        {entry.key, entry.sequence, entry.item.work.attempt});
    ++loads_[index].count;
    loads_[index].tokens += entry.item.estimate.value;
    TimesOf(demand_[adapter], entry.item).insert(entry.item.submitted);
  }

  void Unlink(const stored& entry) {
    const std::size_t index = LaneIndex(entry.item);
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

  core::milliseconds Served(const core::adapter_reference& adapter,
                            core::time_point now) const {
    const auto found = served_.find(adapter);
    if (found == served_.end()) return core::milliseconds(0);
    return core::milliseconds(static_cast<std::int64_t>(found->second.At(now)));
  }

  /** Fairness looks back over about the length of a load swing. */
  static constexpr core::milliseconds kFairnessHalfLife{10'000};

  Order order_;
  std::uint64_t next_sequence_ = 0;
  std::unordered_map<core::attempt_id, stored> items_;
  std::array<group_map, kLaneCount> groups_;
  std::array<lane_load, kLaneCount> loads_ = {};
  std::unordered_map<core::adapter_reference, demand_times> demand_;
  std::unordered_map<core::adapter_reference, adapters::decayed_value> served_;
};

}  // namespace comfreyspring::admission

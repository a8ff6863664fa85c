#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/basic_engine_scheduler.h"

/** Definitions of basic_engine_scheduler: dispatch, loads and preemption. */
namespace comfreyspring::admission {

namespace internal {
/** An attempt that was preempted this often is left alone. */
inline constexpr int kMaximumPreemptions = 20;
/** Long work runs at least this long before it yields to short work. */
inline constexpr core::milliseconds kMinimumRun{500};
/** Time that a cancellation at the engine takes. */
inline constexpr core::milliseconds kCancelTime{50};
}  // namespace internal

// Scheduling.

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Schedule(core::time_point now,
                                                       actions& out) {
  if (!enabled_ || batch_limit_ == 0) return;
  while (running_.Size() < batch_limit_) {
    const queued_item* next = PickNext(now);
    if (next == nullptr) break;
    Dispatch(core::attempt_id(next->work.attempt), now, out);
  }
  MarkStalls(now);
  PlanLoads(now, out);
  Preempt(now, out);
}

template <queue_order Order, adapters::eviction_policy Eviction>
const queued_item* basic_engine_scheduler<Order, Eviction>::Best(
    const lane_set& lanes, core::time_point now) const {
  const bool long_slot_free = LongMayTakeSlot(now);
  return queue_.Best(
      lanes,
      [&](lane value, const core::adapter_reference& adapter) {
        if (!slots_.CanDispatch(adapter)) return false;
        return long_slot_free || !IsLong(value) || running_.RunsLong(adapter);
      },
      now);
}

template <queue_order Order, adapters::eviction_policy Eviction>
bool basic_engine_scheduler<Order, Eviction>::LongMayTakeSlot(
    core::time_point now) const {
  const std::size_t slots = slots_.Cache().SlotLimit();
  if (!Order::kSharesBatch || slots == 0) return true;
  return running_.LongAdapters() < shares_.LongSlotLimit(slots, now);
}

template <queue_order Order, adapters::eviction_policy Eviction>
lane_set basic_engine_scheduler<Order, Eviction>::OpenLanes(
    core::time_point now) const {
  if (!Order::kSharesBatch) return lane_set::All();
  const running_counts& counts = running_.Counts();
  const bool long_open = counts.Long() < shares_.LongLimit(batch_limit_, now);
  const bool firm_open =
      long_open &&
      counts.urgent_long < shares_.FirmLongLimit(batch_limit_, now);
  const bool soft_open =
      counts.Long() < shares_.SoftLongLimit(batch_limit_, now);
  lane_set lanes;
  lanes.Add(lane::urgent_short);
  if (firm_open) lanes.Add(lane::urgent_long);
  if (counts.MayWait() < shares_.MayWaitLimit(batch_limit_, now)) {
    lanes.Add(lane::may_wait_short);
    if (soft_open) lanes.Add(lane::may_wait_long);
  }
  return lanes;
}

template <queue_order Order, adapters::eviction_policy Eviction>
const queued_item* basic_engine_scheduler<Order, Eviction>::PickNext(
    core::time_point now) const {
  const lane_set open = OpenLanes(now);
  if (!Order::kSharesBatch) return Best(open, now);
  const auto keep = [&](std::initializer_list<lane> lanes) {
    lane_set kept;
    for (const lane value : lanes) {
      if (open.Contains(value)) kept.Add(value);
    }
    return kept;
  };
  const lane_set may_wait = keep({lane::may_wait_short, lane::may_wait_long});
  lane_set urgent = keep({lane::urgent_short, lane::urgent_long});
  const queued_item* deferrable = Best(may_wait, now);
  if (deferrable != nullptr && shares_.MayWaitIsDue(deferrable->estimate)) {
    return deferrable;
  }
  const lane_set blocked = lane_set().Add(lane::may_wait_long);
  if (deferrable == nullptr && !open.Contains(lane::may_wait_long)) {
    // Long deferrable work that is due gets the next place of long work.
    const queued_item* held = Best(blocked, now);
    if (held != nullptr && shares_.MayWaitIsDue(held->estimate)) {
      urgent = lane_set().Add(lane::urgent_short);
    }
  }
  const queued_item* first = Best(urgent, now);
  return first != nullptr ? first : deferrable;
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Dispatch(
    const core::attempt_id& attempt, core::time_point now, actions& out) {
  running_item running{.item = *queue_.Take(attempt), .dispatched = now};
  queued_item& item = running.item;
  running.pinned = slots_.Pin(item.work.adapter, now);
  ++counters_.dispatched;
  if (item.stalled) ++counters_.load_stalls;
  item.stalled = false;
  const std::size_t deferrable = queue_.Load(lane::may_wait_short).count +
                                 queue_.Load(lane::may_wait_long).count;
  const bool short_of_share =
      deferrable > 0 &&
      running_.Counts().MayWait() < batch_shares::MayWaitFloor(batch_limit_);
  shares_.OnDispatched(LaneOf(item.work.priority, item.long_work),
                       item.estimate, short_of_share);
  queue_.RecordService(item.work.adapter, estimator_.ServiceTime(item.estimate),
                       now);
  out.push_back(dispatch{attempt, item.delivered});
  running_.Add(std::move(running));
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::MarkStalls(core::time_point now) {
  if (running_.Size() >= batch_limit_) return;
  const lane_set open = OpenLanes(now);
  std::vector<core::adapter_reference> stalled;
  queue_.ForEachDemand(
      [&](const core::adapter_reference& adapter, const auto&) {
        if (!slots_.CanDispatch(adapter)) stalled.push_back(adapter);
      });
  for (const auto& adapter : stalled) queue_.MarkStalled(adapter, open);
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::PlanLoads(core::time_point now,
                                                        actions& out) {
  const auto release = [&](const core::adapter_reference& adapter) {
    return ReleaseTime(adapter, now);
  };
  const bool long_slot_free = LongMayTakeSlot(now);
  const lane_set short_lanes =
      lane_set().Add(lane::urgent_short).Add(lane::may_wait_short);
  const auto may_load = [&](const core::adapter_reference& adapter) {
    return long_slot_free || queue_.WaitsIn(short_lanes, adapter);
  };
  for (start_load& load : slots_.Plan(queue_, may_load, release, now)) {
    ++counters_.loads_started;
    if (load.evict) ++counters_.evictions;
    out.push_back(std::move(load));
  }
}

template <queue_order Order, adapters::eviction_policy Eviction>
std::size_t basic_engine_scheduler<Order, Eviction>::UrgentAtRisk(
    core::time_point now) const {
  std::vector<core::milliseconds> ends;
  for (const auto& [attempt, running] : running_.Items()) {
    ends.push_back(RemainingTime(running, estimator_, now));
  }
  std::sort(ends.begin(), ends.end());
  std::size_t position = 0;
  std::size_t at_risk = 0;
  // Preemption would not help work that the shares of the batch hold back.
  lane_set lanes = lane_set().Add(lane::urgent_short);
  if (OpenLanes(now).Contains(lane::urgent_long)) lanes.Add(lane::urgent_long);
  queue_.ForEachOf(lanes, [&](const queued_item& item) {
    if (!slots_.CanDispatch(item.work.adapter)) return;
    const auto start = ends[std::min(position++, ends.size() - 1)];
    const auto slack = core::ToMilliseconds(item.work.deadline - now) -
                       estimator_.ServiceTime(item.estimate);
    if (slack >= internal::kCancelTime && start > slack) ++at_risk;
  });
  return at_risk;
}

template <queue_order Order, adapters::eviction_policy Eviction>
std::size_t basic_engine_scheduler<Order, Eviction>::ShortUrgentWaiting()
    const {
  std::size_t waiting = 0;
  queue_.ForEachOf(lane_set().Add(lane::urgent_short),
                   [&](const queued_item& item) {
                     if (slots_.CanDispatch(item.work.adapter)) ++waiting;
                   });
  return waiting;
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Preempt(core::time_point now,
                                                      actions& out) {
  if (!Order::kSharesBatch || drain_limit_) return;
  if (running_.Size() < batch_limit_ || running_.Size() == 0) return;
  if (queue_.Load(lane::urgent_short).count +
          queue_.Load(lane::urgent_long).count ==
      0) {
    return;
  }
  // The longest remaining work would block its place for the longest time.
  std::vector<std::pair<core::milliseconds, core::attempt_id>> any;
  std::vector<std::pair<core::milliseconds, core::attempt_id>> settled_long;
  for (const auto& [attempt, running] : running_.Items()) {
    if (!IsPreemptible(running)) continue;
    any.emplace_back(RemainingTime(running, estimator_, now), attempt);
    if (running.item.long_work &&
        now - running.dispatched >= internal::kMinimumRun) {
      settled_long.push_back(any.back());
    }
  }
  if (any.empty()) return;
  const std::size_t underway = running_.Preempting();
  const std::size_t at_risk = UrgentAtRisk(now);
  PreemptSome(std::move(any), at_risk > underway ? at_risk - underway : 0, out);
  // The share of deferrable work keeps running, so that it makes progress.
  const std::size_t waiting = ShortUrgentWaiting();
  const std::size_t preempting = running_.Preempting();
  const std::size_t deferrable = running_.Counts().MayWait();
  const std::size_t kept =
      preempting + batch_shares::MayWaitFloor(batch_limit_);
  if (waiting <= preempting || deferrable <= kept) return;
  PreemptSome(std::move(settled_long),
              std::min(waiting - preempting, deferrable - kept), out);
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::PreemptSome(
    std::vector<std::pair<core::milliseconds, core::attempt_id>> candidates,
    std::size_t count, actions& out) {
  std::sort(candidates.rbegin(), candidates.rend());
  for (const auto& [remaining, attempt] : candidates) {
    if (count == 0) return;
    running_item* running = running_.Find(attempt);
    if (running->state != running_state::running) continue;
    running->state = running_state::preempting;
    ++counters_.preempted;
    out.push_back(preempt{attempt});
    --count;
  }
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Release(
    const running_item& running, core::time_point now) {
  if (running.pinned) slots_.Cache().Unpin(running.item.work.adapter, now);
}

}  // namespace comfreyspring::admission

#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/basic_engine_scheduler.h"

/** Definitions of basic_engine_scheduler: dispatch, loads and preemption. */
namespace comfreyspring::admission {

namespace internal {
/** An attempt that was preempted this often is not preempted again. */
inline constexpr int kMaximumPreemptions = 20;
/** Long work runs at least this long before short work may preempt it. */
inline constexpr core::milliseconds kMinimumRunTime{500};
/** Assumed duration of a cancellation at the engine. */
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
    const work_class_set& classes, core::time_point now) const {
  const bool long_slot_free = LongMayPinSlot(now);
  return queue_.Best(
      classes,
      [&](work_class value, const core::adapter_reference& adapter) {
        if (!slots_.CanDispatch(adapter)) return false;
        return long_slot_free || !IsLong(value) || running_.RunsLong(adapter);
      },
      now);
}

template <queue_order Order, adapters::eviction_policy Eviction>
bool basic_engine_scheduler<Order, Eviction>::LongMayPinSlot(
    core::time_point now) const {
  const std::size_t slots = slots_.Cache().SlotLimit();
  if (!Order::kSharesBatch || slots == 0) return true;
  return running_.LongAdapters() < shares_.LongSlotLimit(slots, now);
}

template <queue_order Order, adapters::eviction_policy Eviction>
work_class_set basic_engine_scheduler<Order, Eviction>::AdmissibleClasses(
    core::time_point now) const {
  if (!Order::kSharesBatch) return work_class_set::All();
  const running_counts& counts = running_.Counts();
  const bool long_open = counts.Long() < shares_.LongLimit(batch_limit_, now);
  const bool non_preemptible_open =
      long_open &&
      counts.urgent_long < shares_.NonPreemptibleLongLimit(batch_limit_, now);
  const bool preemptible_open =
      counts.Long() < shares_.PreemptibleLongLimit(batch_limit_, now);
  work_class_set classes;
  classes.Add(work_class::urgent_short);
  if (non_preemptible_open) classes.Add(work_class::urgent_long);
  if (counts.MayWait() < shares_.MayWaitLimit(batch_limit_, now)) {
    classes.Add(work_class::may_wait_short);
    if (preemptible_open) classes.Add(work_class::may_wait_long);
  }
  return classes;
}

template <queue_order Order, adapters::eviction_policy Eviction>
const queued_item* basic_engine_scheduler<Order, Eviction>::PickNext(
    core::time_point now) const {
  const work_class_set open = AdmissibleClasses(now);
  if (!Order::kSharesBatch) return Best(open, now);
  const auto admissible = [&](std::initializer_list<work_class> classes) {
    work_class_set result;
    for (const work_class value : classes) {
      if (open.Contains(value)) result.Add(value);
    }
    return result;
  };
  const work_class_set may_wait =
      admissible({work_class::may_wait_short, work_class::may_wait_long});
  work_class_set urgent =
      admissible({work_class::urgent_short, work_class::urgent_long});
  const queued_item* may_wait_item = Best(may_wait, now);
  if (may_wait_item != nullptr &&
      shares_.HasMayWaitCredit(may_wait_item->estimate)) {
    return may_wait_item;
  }
  const work_class_set blocked =
      work_class_set().Add(work_class::may_wait_long);
  if (may_wait_item == nullptr && !open.Contains(work_class::may_wait_long)) {
    // Long `may_wait` work with enough credit gets the next batch slot for
    // long work, so urgent long work has to wait.
    const queued_item* blocked_item = Best(blocked, now);
    if (blocked_item != nullptr &&
        shares_.HasMayWaitCredit(blocked_item->estimate)) {
      urgent = work_class_set().Add(work_class::urgent_short);
    }
  }
  const queued_item* urgent_item = Best(urgent, now);
  return urgent_item != nullptr ? urgent_item : may_wait_item;
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
  const std::size_t may_wait_queued =
      queue_.Load(work_class::may_wait_short).count +
      queue_.Load(work_class::may_wait_long).count;
  const bool below_may_wait_floor =
      may_wait_queued > 0 &&
      running_.Counts().MayWait() < batch_shares::MayWaitFloor(batch_limit_);
  shares_.OnDispatched(WorkClassOf(item.work.priority, item.long_work),
                       item.estimate, below_may_wait_floor);
  queue_.RecordService(item.work.adapter, estimator_.ServiceTime(item.estimate),
                       now);
  out.push_back(dispatch{attempt, item.delivered});
  running_.Add(std::move(running));
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::MarkStalls(core::time_point now) {
  if (running_.Size() >= batch_limit_) return;
  const work_class_set open = AdmissibleClasses(now);
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
  const bool long_slot_free = LongMayPinSlot(now);
  const work_class_set short_classes = work_class_set()
                                           .Add(work_class::urgent_short)
                                           .Add(work_class::may_wait_short);
  const auto may_load = [&](const core::adapter_reference& adapter) {
    return long_slot_free || queue_.WaitsIn(short_classes, adapter);
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
  // Preemption does not help work that is held back by the batch shares.
  work_class_set classes = work_class_set().Add(work_class::urgent_short);
  if (AdmissibleClasses(now).Contains(work_class::urgent_long))
    classes.Add(work_class::urgent_long);
  queue_.ForEachOf(classes, [&](const queued_item& item) {
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
  queue_.ForEachOf(work_class_set().Add(work_class::urgent_short),
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
  if (queue_.Load(work_class::urgent_short).count +
          queue_.Load(work_class::urgent_long).count ==
      0) {
    return;
  }
  // Attempts with the longest remaining time are preempted first, because they
  // would hold their batch slots the longest.
  std::vector<std::pair<core::milliseconds, core::attempt_id>> preemptible;
  std::vector<std::pair<core::milliseconds, core::attempt_id>> preemptible_long;
  for (const auto& [attempt, running] : running_.Items()) {
    if (!IsPreemptible(running)) continue;
    preemptible.emplace_back(RemainingTime(running, estimator_, now), attempt);
    if (running.item.long_work &&
        now - running.dispatched >= internal::kMinimumRunTime) {
      preemptible_long.push_back(preemptible.back());
    }
  }
  if (preemptible.empty()) return;
  const std::size_t unconfirmed = running_.Preempting();
  const std::size_t at_risk = UrgentAtRisk(now);
  PreemptLongest(std::move(preemptible),
                 at_risk > unconfirmed ? at_risk - unconfirmed : 0, out);
  // The minimum share of `may_wait` work keeps running, so that it makes
  // progress.
  const std::size_t waiting = ShortUrgentWaiting();
  const std::size_t preempting = running_.Preempting();
  const std::size_t may_wait_running = running_.Counts().MayWait();
  const std::size_t reserved =
      preempting + batch_shares::MayWaitFloor(batch_limit_);
  if (waiting <= preempting || may_wait_running <= reserved) return;
  PreemptLongest(std::move(preemptible_long),
                 std::min(waiting - preempting, may_wait_running - reserved),
                 out);
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::PreemptLongest(
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
void basic_engine_scheduler<Order, Eviction>::ReleasePin(
    const running_item& running, core::time_point now) {
  if (running.pinned) slots_.Cache().Unpin(running.item.work.adapter, now);
}

}  // namespace comfreyspring::admission

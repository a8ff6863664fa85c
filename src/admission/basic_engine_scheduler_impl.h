#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "admission/basic_engine_scheduler.h"

/** Definitions of basic_engine_scheduler; include where it is instantiated. */
namespace comfreyspring::admission {

namespace internal {
/** An attempt that was preempted this often is left alone. */
inline constexpr int kMaximumPreemptions = 20;
/** Long work runs at least this long before it yields to short work. */
inline constexpr core::milliseconds kMinimumRun{500};
inline constexpr int kMaximumMissing = 3;
/** Time that a cancellation at the engine takes. */
inline constexpr core::milliseconds kCancelTime{50};
inline constexpr core::milliseconds kMinimumRetryAfter{50};
inline constexpr core::milliseconds kMaximumRetryAfter{60'000};
inline constexpr core::milliseconds kUpkeepInterval{1'000};
/** Follows a load swing within seconds. */
inline constexpr core::milliseconds kArrivalHalfLife{3'000};
inline constexpr std::size_t kMaximumArrivals = 8192;
}  // namespace internal

template <queue_order Order, adapters::eviction_policy Eviction>
basic_engine_scheduler<Order, Eviction>::basic_engine_scheduler(
    scheduler_options options)
    : options_(options),
      random_(options.random_seed),
      slots_(options),
      last_tick_(options.started_at),
      last_upkeep_(options.started_at) {}

// Requests.

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnSubmit(const work_item& work,
                                                       core::time_point now)
    -> actions {
  actions out;
  if (queue_.Find(work.attempt) != nullptr ||
      running_.Find(work.attempt) != nullptr) {
    return out;
  }
  ++counters_.submitted;
  RecordArrival(work.adapter, now);
  queued_item item{.work = work, .submitted = now};
  item.estimate = estimator_.Estimate(work.adapter, work.expected_tokens);
  item.expected_service = estimator_.ServiceTime(item.estimate);
  item.long_work = estimator_.IsLong(item.estimate);
  estimator_.OnSubmitted(item.estimate);
  if (RefuseOnArrival(item, now, out)) return out;
  shares_.OnSubmitted(LaneOf(work.priority, item.long_work),
                      item.expected_service, now);
  queue_.Add(std::move(item));
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnWithdraw(
    const core::attempt_id& attempt, core::time_point now) -> actions {
  actions out;
  if (const auto item = queue_.Take(attempt)) {
    out.push_back(confirm_withdrawn{attempt, item->ran_before});
  } else if (running_item* running = running_.Find(attempt)) {
    if (running->state == running_state::running) {
      out.push_back(cancel_running{attempt});
    }
    running->state = running_state::withdrawing;
  }
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnFirstOutput(
    const core::attempt_id& attempt, core::time_point now) -> actions {
  running_item* running = running_.Find(attempt);
  if (running != nullptr && !running->first_output) {
    running->first_output = now;
    estimator_.OnFirstOutput(core::ToMilliseconds(now - running->dispatched));
  }
  return {};
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnEnded(
    const core::attempt_id& attempt, core::token_count produced,
    core::time_point now) -> actions {
  actions out;
  const auto running = running_.Take(attempt);
  if (!running) return out;
  Release(*running, now);
  const queued_item& item = running->item;
  estimator_.OnEnded(item.work.adapter, item.work.expected_tokens, produced);
  const core::token_count generated{
      std::max<std::int64_t>(0, produced.value - item.delivered.value)};
  const auto began = running->first_output.value_or(running->dispatched);
  if (generated.value > 0 || !running->first_output) {
    estimator_.OnGenerated(generated, core::ToMilliseconds(now - began));
  }
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnCancelConfirmed(
    const core::attempt_id& attempt, core::token_count delivered,
    core::time_point now) -> actions {
  actions out;
  auto running = running_.Take(attempt);
  if (!running) return out;
  Release(*running, now);
  if (running->state == running_state::preempting) {
    queued_item item = std::move(running->item);
    const std::int64_t more =
        std::max<std::int64_t>(0, delivered.value - item.delivered.value);
    item.delivered.value += more;
    item.estimate.value = std::max<std::int64_t>(1, item.estimate.value - more);
    item.ran_before = true;
    ++item.preemptions;
    Requeue(std::move(item), now);
  }
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnAdapterMissing(
    const core::attempt_id& attempt, core::time_point now) -> actions {
  actions out;
  auto running = running_.Take(attempt);
  if (!running) return out;
  Release(*running, now);
  queued_item& item = running->item;
  slots_.Cache().OnMissing(item.work.adapter);
  ++item.missing_adapter;
  if (running->state == running_state::withdrawing) {
    out.push_back(confirm_withdrawn{attempt, item.ran_before});
  } else if (!item.work.idempotent ||
             item.missing_adapter >= internal::kMaximumMissing) {
    Refuse(item, "adapter_missing", "The engine does not hold the adapter.",
           internal::kMinimumRetryAfter, out);
  } else {
    Requeue(std::move(item), now);
  }
  Schedule(now, out);
  return out;
}

// Loads.

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnLoadDone(
    const core::adapter_reference& adapter, core::milliseconds took,
    core::time_point now) -> actions {
  actions out;
  slots_.OnLoadDone(adapter, took, now);
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnLoadFailed(
    const core::adapter_reference& adapter, core::time_point now) -> actions {
  actions out;
  ++counters_.loads_failed;
  if (slots_.OnLoadFailed(adapter, now)) RefuseWaitingFor(adapter, now, out);
  Schedule(now, out);
  return out;
}

// Endpoint.

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnEngineState(
    const engine_limits& limits,
    const std::vector<core::adapter_reference>& resident, core::time_point now)
    -> actions {
  actions out;
  batch_limit_ = limits.batch_limit;
  slots_.Cache().SetSlotLimit(limits.adapter_slots);
  slots_.Cache().Reconcile(resident, now);
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnEngineRestart(
    core::time_point now) -> actions {
  actions out;
  running_.Clear();
  slots_.OnEngineRestart();
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::SetEnabled(bool enabled,
                                                         core::time_point now)
    -> actions {
  actions out;
  enabled_ = enabled;
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnDrain(core::time_point limit,
                                                      core::time_point now)
    -> actions {
  actions out;
  drain_limit_ = limit;
  RefuseLateForDrain(now, out);
  Schedule(now, out);
  return out;
}

template <queue_order Order, adapters::eviction_policy Eviction>
auto basic_engine_scheduler<Order, Eviction>::OnTick(core::time_point now)
    -> actions {
  actions out;
  const double elapsed =
      static_cast<double>(core::ToMilliseconds(now - last_tick_).count()) / 1e3;
  last_tick_ = now;
  // Averages over about a second.
  urgent_average_ +=
      (static_cast<double>(running_.Counts().Urgent()) - urgent_average_) *
      std::clamp(elapsed, 0.0, 1.0);
  RefuseExpired(now, out);
  if (drain_limit_) RefuseLateForDrain(now, out);
  if (now - last_upkeep_ >= internal::kUpkeepInterval) {
    last_upkeep_ = now;
    queue_.PruneService(now);
    const auto is_long = [this](const queued_item& item) {
      return estimator_.IsLong(item.estimate);
    };
    queue_.Reclassify(is_long);
    running_.Reclassify(is_long);
  }
  Schedule(now, out);
  return out;
}

// Admission.

template <queue_order Order, adapters::eviction_policy Eviction>
bool basic_engine_scheduler<Order, Eviction>::RefuseOnArrival(
    const queued_item& item, core::time_point now, actions& out) {
  const auto remaining = core::ToMilliseconds(item.work.deadline - now);
  if (drain_limit_) {
    Refuse(item, "draining", "The endpoint takes no new work.",
           internal::kMinimumRetryAfter, out);
    return true;
  }
  if (remaining.count() <= 0) {
    Refuse(item, "deadline_passed", "The deadline has passed.",
           core::milliseconds(0), out);
    return true;
  }
  const auto given_up = slots_.Loads().GivenUpFor(item.work.adapter, now);
  if (given_up.count() > 0) {
    Refuse(item, "adapter_unavailable", "Loads of the adapter have failed.",
           given_up, out);
    return true;
  }
  if (batch_limit_ > 0 && enabled_) {
    const auto wait = ExpectedWait(LaneOf(item.work.priority, item.long_work),
                                   View(now), estimator_);
    const auto load = slots_.LoadDelay(item.work.adapter, now);
    // Estimates of its own service are rough, so they count at most half.
    const auto allowed =
        remaining - std::min(item.expected_service, remaining / 2);
    const auto excess = std::max(wait - allowed, load - remaining);
    if ((estimator_.Known() && wait > allowed) || load > remaining) {
      Refuse(item, "expected_wait_exceeds_deadline",
             "Expected wait " + std::to_string(std::max(wait, load).count()) +
                 " ms exceeds " + std::to_string(remaining.count()) + " ms.",
             excess, out);
      return true;
    }
  }
  return !MakeRoom(item, now, out);
}

template <queue_order Order, adapters::eviction_policy Eviction>
bool basic_engine_scheduler<Order, Eviction>::MakeRoom(const queued_item& item,
                                                       core::time_point now,
                                                       actions& out) {
  if (queue_.Size() < options_.maximum_queue) return true;
  const auto retry =
      estimator_.ServiceTime(
          queue_.Size() / std::max<std::size_t>(1, batch_limit_), 0) +
      core::milliseconds(1'000);
  // The youngest deferrable item gives way to an urgent one.
  const queued_item* youngest = nullptr;
  if (Order::kSharesBatch &&
      item.work.priority == core::priority_class::urgent) {
    queue_.ForEachOf(
        lane_set().Add(lane::may_wait_short).Add(lane::may_wait_long),
        [&](const queued_item& candidate) {
          if (candidate.ran_before) return;
          if (youngest == nullptr ||
              candidate.submitted > youngest->submitted) {
            youngest = &candidate;
          }
        });
  }
  const std::string message = "The queue is full.";
  if (youngest == nullptr) {
    Refuse(item, "queue_full", message, retry, out);
    return false;
  }
  const auto displaced = queue_.Take(core::attempt_id(youngest->work.attempt));
  Refuse(*displaced, "queue_full", message, retry, out);
  (void)now;
  return true;
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Refuse(
    const queued_item& item, const std::string& reason,
    const std::string& message, core::milliseconds retry_after, actions& out) {
  ++counters_.refused;
  if (retry_after.count() > 0) {
    // Jitter keeps callers that were refused together from returning together.
    const double jitter = 1.0 + 0.2 * random_.NextUnit();
    retry_after = core::milliseconds(static_cast<std::int64_t>(
        jitter * static_cast<double>(retry_after.count())));
    retry_after = std::clamp(retry_after, internal::kMinimumRetryAfter,
                             internal::kMaximumRetryAfter);
  }
  out.push_back(
      refuse{item.work.attempt, reason, message, retry_after, item.ran_before});
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::RefuseExpired(
    core::time_point now, actions& out) {
  std::vector<core::attempt_id> expired;
  queue_.ForEach([&](const queued_item& item) {
    if (item.work.deadline <= now) expired.push_back(item.work.attempt);
  });
  std::sort(expired.begin(), expired.end());
  for (const core::attempt_id& attempt : expired) {
    Refuse(*queue_.Take(attempt), "deadline_passed",
           "The deadline passed in the queue.", core::milliseconds(0), out);
  }
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::RefuseWaitingFor(
    const core::adapter_reference& adapter, core::time_point now,
    actions& out) {
  std::vector<core::attempt_id> waiting;
  queue_.ForEach([&](const queued_item& item) {
    if (item.work.adapter == adapter) waiting.push_back(item.work.attempt);
  });
  std::sort(waiting.begin(), waiting.end());
  for (const core::attempt_id& attempt : waiting) {
    Refuse(*queue_.Take(attempt), "adapter_load_failed",
           "The adapter could not be loaded.",
           slots_.Loads().GivenUpFor(adapter, now), out);
  }
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::RefuseLateForDrain(
    core::time_point now, actions& out) {
  std::vector<const queued_item*> waiting;
  queue_.ForEach([&](const queued_item& item) { waiting.push_back(&item); });
  std::sort(waiting.begin(), waiting.end(),
            [](const queued_item* left, const queued_item* right) {
              return std::tuple(left->work.priority, left->submitted,
                                left->work.attempt) <
                     std::tuple(right->work.priority, right->submitted,
                                right->work.attempt);
            });
  const batch_view view = View(now);
  const bool room = running_.Size() < batch_limit_;
  const double places = std::max(1.0, static_cast<double>(batch_limit_));
  double ahead_ms = room ? 0.0 : static_cast<double>(view.next_release.count());
  std::vector<core::attempt_id> late;
  for (const queued_item* item : waiting) {
    const core::milliseconds start(static_cast<std::int64_t>(ahead_ms));
    if (now >= *drain_limit_ ||
        (estimator_.Known() && now + start > *drain_limit_)) {
      late.push_back(item->work.attempt);
      continue;
    }
    ahead_ms +=
        static_cast<double>(estimator_.ServiceTime(item->estimate).count()) /
        places;
  }
  for (const core::attempt_id& attempt : late) {
    Refuse(*queue_.Take(attempt), "draining",
           "It could not start before the endpoint leaves.",
           internal::kMinimumRetryAfter, out);
  }
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Requeue(queued_item item,
                                                      core::time_point now) {
  item.expected_service = estimator_.ServiceTime(item.estimate);
  item.long_work = estimator_.IsLong(item.estimate);
  shares_.OnSubmitted(LaneOf(item.work.priority, item.long_work),
                      item.expected_service, now);
  queue_.Add(std::move(item));
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::RecordArrival(
    const core::adapter_reference& adapter, core::time_point now) {
  if (arrivals_.size() >= internal::kMaximumArrivals) {
    std::erase_if(arrivals_, [&](const auto& entry) {
      return entry.second.At(now) < 0.05;
    });
  }
  arrivals_
      .try_emplace(adapter, adapters::decayed_value(internal::kArrivalHalfLife))
      .first->second.Add(1.0, now);
  if (slots_.Cache().SlotLimit() > 0) {
    slots_.Cache().RecordDemand(adapter, now);
  }
}

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
  return queue_.Best(
      lanes,
      [this](const core::adapter_reference& adapter) {
        return slots_.CanDispatch(adapter);
      },
      now);
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
  for (start_load& load : slots_.Plan(queue_, release, now)) {
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

// Estimates and state.

template <queue_order Order, adapters::eviction_policy Eviction>
bool basic_engine_scheduler<Order, Eviction>::IsPreemptible(
    const running_item& running) const {
  return running.state == running_state::running &&
         running.item.work.idempotent &&
         running.item.work.priority == core::priority_class::may_wait &&
         running.item.preemptions < internal::kMaximumPreemptions;
}

template <queue_order Order, adapters::eviction_policy Eviction>
batch_view basic_engine_scheduler<Order, Eviction>::View(
    core::time_point now) const {
  batch_view view{.batch_limit = batch_limit_,
                  .long_limit = shares_.LongLimit(batch_limit_, now),
                  .may_wait_limit = shares_.MayWaitLimit(batch_limit_, now),
                  .shares_batch = Order::kSharesBatch,
                  .running = running_.Counts(),
                  .urgent_average = urgent_average_};
  for (std::size_t i = 0; i < kLaneCount; ++i) {
    view.waiting[i] = queue_.Load(static_cast<lane>(i));
  }
  std::optional<core::milliseconds> next;
  for (const auto& [attempt, running] : running_.Items()) {
    const auto remaining = RemainingTime(running, estimator_, now);
    if (!next || remaining < *next) next = remaining;
    if (IsPreemptible(running)) ++view.preemptible;
  }
  view.next_release = next.value_or(core::milliseconds(0));
  return view;
}

template <queue_order Order, adapters::eviction_policy Eviction>
core::milliseconds basic_engine_scheduler<Order, Eviction>::ReleaseTime(
    const core::adapter_reference& adapter, core::time_point now) const {
  core::milliseconds longest{0};
  for (const auto& [attempt, running] : running_.Items()) {
    if (running.item.work.adapter != adapter) continue;
    longest = std::max(longest, RemainingTime(running, estimator_, now));
  }
  return longest;
}

template <queue_order Order, adapters::eviction_policy Eviction>
wire::endpoint_report basic_engine_scheduler<Order, Eviction>::Report(
    const core::adapter_reference& adapter, core::time_point now) const {
  wire::endpoint_report report;
  const auto count = [this](lane value) {
    return static_cast<std::int64_t>(queue_.Load(value).count);
  };
  report.running = static_cast<std::int64_t>(running_.Size());
  report.waiting_urgent = count(lane::urgent_short) + count(lane::urgent_long);
  report.waiting_may_wait =
      count(lane::may_wait_short) + count(lane::may_wait_long);
  report.expected_wait =
      ExpectedWait(lane::urgent_short, View(now), estimator_);
  report.batch_limit = static_cast<std::int64_t>(batch_limit_);
  report.resident = slots_.CanDispatch(adapter);
  const auto arrivals = arrivals_.find(adapter);
  if (arrivals != arrivals_.end()) {
    report.adapter_rate = arrivals->second.PerSecond(now);
  }
  return report;
}

template <queue_order Order, adapters::eviction_policy Eviction>
std::vector<slot_state> basic_engine_scheduler<Order, Eviction>::Slots() const {
  std::vector<slot_state> result;
  for (const adapters::adapter_slot& slot : slots_.Cache().Slots()) {
    result.push_back({slot.adapter, slot.pins, slot.loading});
  }
  return result;
}

}  // namespace comfreyspring::admission

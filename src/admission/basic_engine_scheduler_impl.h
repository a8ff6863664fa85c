#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/basic_engine_scheduler.h"
#include "admission/basic_engine_scheduler_admission.h"
#include "admission/basic_engine_scheduler_dispatch.h"

/**
 * Definitions of basic_engine_scheduler: events and state. Included only where
 * the template is instantiated.
 */
namespace comfreyspring::admission {

namespace internal {
inline constexpr int kMaximumAdapterMisses = 3;
inline constexpr core::milliseconds kMaintenanceInterval{1'000};
}  // namespace internal

template <queue_order Order, adapters::eviction_policy Eviction>
basic_engine_scheduler<Order, Eviction>::basic_engine_scheduler(
    scheduler_options options)
    : options_(options),
      random_(options.random_seed),
      slots_(options),
      last_tick_(options.started_at),
      last_maintenance_(options.started_at) {}

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
  shares_.OnSubmitted(WorkClassOf(work.priority, item.long_work),
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
  ReleasePin(*running, now);
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
  ReleasePin(*running, now);
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
  ReleasePin(*running, now);
  queued_item& item = running->item;
  slots_.Cache().OnMissing(item.work.adapter);
  ++item.adapter_misses;
  if (running->state == running_state::withdrawing) {
    out.push_back(confirm_withdrawn{attempt, item.ran_before});
  } else if (!item.work.idempotent ||
             item.adapter_misses >= internal::kMaximumAdapterMisses) {
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
  slots_.Cache().SetMayEvict(limits.may_evict);
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
  RefuseBeyondDrainLimit(now, out);
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
  // Exponential moving average with a time constant of about 1 s.
  mean_urgent_running_ +=
      (static_cast<double>(running_.Counts().Urgent()) - mean_urgent_running_) *
      std::clamp(elapsed, 0.0, 1.0);
  RefuseExpired(now, out);
  if (drain_limit_) RefuseBeyondDrainLimit(now, out);
  if (now - last_maintenance_ >= internal::kMaintenanceInterval) {
    last_maintenance_ = now;
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
batch_snapshot basic_engine_scheduler<Order, Eviction>::Snapshot(
    core::time_point now) const {
  batch_snapshot snapshot{
      .batch_limit = batch_limit_,
      .long_limit = shares_.LongLimit(batch_limit_, now),
      .may_wait_limit = shares_.MayWaitLimit(batch_limit_, now),
      .shares_batch = Order::kSharesBatch,
      .running = running_.Counts(),
      .mean_urgent_running = mean_urgent_running_};
  for (std::size_t i = 0; i < kWorkClassCount; ++i) {
    snapshot.waiting[i] = queue_.Load(static_cast<work_class>(i));
  }
  std::optional<core::milliseconds> next;
  for (const auto& [attempt, running] : running_.Items()) {
    const auto remaining = RemainingTime(running, estimator_, now);
    if (!next || remaining < *next) next = remaining;
    if (IsPreemptible(running)) ++snapshot.preemptible;
  }
  snapshot.next_release = next.value_or(core::milliseconds(0));
  return snapshot;
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
  const auto count = [this](work_class value) {
    return static_cast<std::int64_t>(queue_.Load(value).count);
  };
  report.running = static_cast<std::int64_t>(running_.Size());
  report.waiting_urgent =
      count(work_class::urgent_short) + count(work_class::urgent_long);
  report.waiting_may_wait =
      count(work_class::may_wait_short) + count(work_class::may_wait_long);
  report.expected_wait =
      ExpectedWait(work_class::urgent_short, Snapshot(now), estimator_);
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

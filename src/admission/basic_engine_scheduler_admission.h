#pragma once

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "admission/basic_engine_scheduler.h"

/** Definitions of basic_engine_scheduler: refusal and requeueing. */
namespace comfreyspring::admission {

namespace internal {
inline constexpr core::milliseconds kMinimumRetryAfter{50};
inline constexpr core::milliseconds kMaximumRetryAfter{60'000};
/** Short enough to follow a change of the load within seconds. */
inline constexpr core::milliseconds kArrivalHalfLife{3'000};
inline constexpr std::size_t kMaximumTrackedAdapters = 8192;
}  // namespace internal

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
  const auto load_backoff =
      slots_.Loads().RefusalDuration(item.work.adapter, now);
  if (load_backoff.count() > 0) {
    Refuse(item, "adapter_unavailable", "Loads of the adapter have failed.",
           load_backoff, out);
    return true;
  }
  if (batch_limit_ > 0 && enabled_) {
    const auto wait =
        ExpectedWait(WorkClassOf(item.work.priority, item.long_work),
                     Snapshot(now), estimator_);
    const auto load = slots_.LoadDelay(item.work.adapter, now);
    // The service time estimate is rough, so it takes up at most half of the
    // remaining time.
    const auto allowed =
        remaining - std::min(item.expected_service, remaining / 2);
    const auto excess = std::max(wait, load) - allowed;
    if ((estimator_.HasSamples() && wait > allowed) || load > allowed) {
      Refuse(item, "expected_wait_exceeds_deadline",
             "Expected wait " + std::to_string(std::max(wait, load).count()) +
                 " ms exceeds " + std::to_string(remaining.count()) + " ms.",
             excess, out);
      return true;
    }
  }
  return !MakeRoom(item, out);
}

template <queue_order Order, adapters::eviction_policy Eviction>
bool basic_engine_scheduler<Order, Eviction>::MakeRoom(const queued_item& item,
                                                       actions& out) {
  if (queue_.Size() < options_.maximum_queue) return true;
  const auto retry =
      estimator_.ServiceTime(
          queue_.Size() / std::max<std::size_t>(1, batch_limit_), 0) +
      core::milliseconds(1'000);
  // An urgent item displaces the most recently submitted `may_wait` item that
  // has not run yet.
  const queued_item* youngest = nullptr;
  if (Order::kSharesBatch &&
      item.work.priority == core::priority_class::urgent) {
    queue_.ForEachOf(work_class_set()
                         .Add(work_class::may_wait_short)
                         .Add(work_class::may_wait_long),
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
  return true;
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::Refuse(
    const queued_item& item, const std::string& reason,
    const std::string& message, core::milliseconds retry_after, actions& out) {
  ++counters_.refused;
  if (retry_after.count() > 0) {
    // The jitter prevents callers that were refused together from retrying
    // together.
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
           slots_.Loads().RefusalDuration(adapter, now), out);
  }
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::RefuseBeyondDrainLimit(
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
  const batch_snapshot snapshot = Snapshot(now);
  const bool room = running_.Size() < batch_limit_;
  const double concurrency = std::max(1.0, static_cast<double>(batch_limit_));
  double ahead_ms =
      room ? 0.0 : static_cast<double>(snapshot.next_release.count());
  std::vector<core::attempt_id> late;
  for (const queued_item* item : waiting) {
    const core::milliseconds start(static_cast<std::int64_t>(ahead_ms));
    if (now >= *drain_limit_ ||
        (estimator_.HasSamples() && now + start > *drain_limit_)) {
      late.push_back(item->work.attempt);
      continue;
    }
    ahead_ms +=
        static_cast<double>(estimator_.ServiceTime(item->estimate).count()) /
        concurrency;
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
  shares_.OnSubmitted(WorkClassOf(item.work.priority, item.long_work),
                      item.expected_service, now);
  queue_.Add(std::move(item));
}

template <queue_order Order, adapters::eviction_policy Eviction>
void basic_engine_scheduler<Order, Eviction>::RecordArrival(
    const core::adapter_reference& adapter, core::time_point now) {
  if (arrivals_.size() >= internal::kMaximumTrackedAdapters) {
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

}  // namespace comfreyspring::admission

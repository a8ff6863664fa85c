#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>

#include "admission/scheduler_types.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/** An attempt that waits, with what is known of its past. */
struct queued_item {
  work_item work;
  core::time_point submitted;
  /** Tokens that it still needs, bounded by what its adapter produces. */
  core::token_count estimate;
  /** Expected time at the endpoint when it was queued. */
  core::milliseconds expected_service{0};
  bool long_work = false;
  /** Tokens that earlier runs delivered. */
  core::token_count delivered;
  bool ran_before = false;
  int preemptions = 0;
  int missing_adapter = 0;
  /** The batch had room but the adapter was not loaded. */
  bool stalled = false;
};

/**
 * Order of a queue: `Key` is fixed while an item waits, `Penalty` is added for
 * the service that its adapter received lately (milliseconds of one batch
 * place). The lowest sum goes first. `kSharesBatch` tells whether classes and
 * long work are kept apart and have shares of the batch.
 */
template <class Order>
concept queue_order = requires(const Order& order, const queued_item& item,
                               core::milliseconds served) {
  { order.Key(item) } -> std::convertible_to<double>;
  { order.Penalty(served) } -> std::convertible_to<double>;
  { Order::kSharesBatch } -> std::convertible_to<bool>;
};

namespace internal {
inline double Milliseconds(core::time_point time) {
  return std::chrono::duration<double, std::milli>(time.time_since_epoch())
      .count();
}
}  // namespace internal

/**
 * Default: shortest expected work first. Each millisecond of waiting makes up
 * for one of expected service, so an item yields at most to those that arrive
 * within `kMaximumHeadStart` after it.
 */
struct shortest_expected_first {
  static constexpr bool kSharesBatch = true;
  static constexpr core::milliseconds kMaximumHeadStart{30'000};
  static constexpr core::milliseconds kMaximumPenalty{2'000};

  double Key(const queued_item& item) const {
    const auto head_start = std::min(item.expected_service, kMaximumHeadStart);
    return internal::Milliseconds(item.submitted) +
           static_cast<double>(head_start.count());
  }
  double Penalty(core::milliseconds served) const {
    // A tenth: popular adapters should be served more, but not without limit.
    return static_cast<double>(std::min(served / 10, kMaximumPenalty).count());
  }
};

/** Baseline: order of arrival; classes and length do not matter. */
struct fifo_order {
  static constexpr bool kSharesBatch = false;

  double Key(const queued_item& item) const {
    return internal::Milliseconds(item.submitted);
  }
  double Penalty(core::milliseconds) const { return 0.0; }
};

}  // namespace comfreyspring::admission

#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>

#include "admission/scheduler_types.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/** A queued attempt and its scheduling state. */
struct queued_item {
  work_item work;
  core::time_point submitted;
  /** Tokens that it still needs, as estimated by work_estimator. */
  core::token_count estimate;
  /** Expected service time at the endpoint, estimated when it was queued. */
  core::milliseconds expected_service{0};
  bool long_work = false;
  /** Tokens delivered by earlier runs. */
  core::token_count delivered;
  bool ran_before = false;
  int preemptions = 0;
  int adapter_misses = 0;
  /** The batch had a free slot but the adapter was not loaded. */
  bool stalled = false;
};

/**
 * Order of a queue. `Key` is constant while an item is queued; `Penalty` is
 * added for the service that the adapter received recently, in milliseconds of
 * one batch slot. The item with the lowest sum goes first. `kSharesBatch` tells
 * whether each work class is queued separately and has its own limit in the
 * batch.
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
 * Default: shortest expected service time first, with aging. Each millisecond
 * of waiting offsets one of expected service, so, apart from `Penalty`, an item
 * is overtaken only by items that arrive within `kMaximumHeadStart` after it.
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
    // Only a tenth, so that popular adapters still get more service than
    // others, within limits.
    return static_cast<double>(std::min(served / 10, kMaximumPenalty).count());
  }
};

/** Baseline: order of arrival, regardless of priority class and length. */
struct fifo_order {
  static constexpr bool kSharesBatch = false;

  double Key(const queued_item& item) const {
    return internal::Milliseconds(item.submitted);
  }
  double Penalty(core::milliseconds) const { return 0.0; }
};

}  // namespace comfreyspring::admission

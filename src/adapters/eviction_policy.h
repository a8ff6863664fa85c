#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace comfreyspring::adapters {

/** Usage statistics of a resident adapter, the input of eviction policies. */
struct adapter_usage {
  core::time_point last_used;
  std::uint64_t uses_since_load = 0;
  /** Decayed number of requests for the adapter; kept across evictions. */
  double frequency = 0.0;
  /** Moving average of the time its loads took. */
  core::milliseconds load_time{250};
  /** Requests that are queued for the adapter. */
  std::size_t waiting = 0;
};

/** Ranks adapters for eviction; the one with the lowest value goes first. */
template <class Policy>
concept eviction_policy = requires(const Policy& policy,
                                   const adapter_usage& usage,
                                   core::time_point now) {
  { policy.KeepValue(usage, now) } -> std::convertible_to<double>;
};

/**
 * Default: the load time that keeping the adapter is expected to save. Idle
 * time lowers the value; queued requests raise it.
 */
struct cost_aware_eviction {
  double KeepValue(const adapter_usage& usage, core::time_point now) const {
    const double idle_seconds = std::max(
        0.0, std::chrono::duration<double>(now - usage.last_used).count());
    const double demand =
        usage.frequency / (1.0 + idle_seconds / kIdleScaleSeconds) +
        kWaitingWeight * static_cast<double>(usage.waiting);
    return demand * static_cast<double>(usage.load_time.count());
  }

  /** Idle time after which the past frequency counts for half. */
  static constexpr double kIdleScaleSeconds = 60.0;
  /** A queued request is certain demand; past frequency is only a forecast. */
  static constexpr double kWaitingWeight = 100.0;
};

/** Baseline: least recently used. */
struct lru_eviction {
  double KeepValue(const adapter_usage& usage, core::time_point) const {
    return std::chrono::duration<double>(usage.last_used.time_since_epoch())
        .count();
  }
};

/** Baseline: least frequently used since it was loaded. */
struct lfu_eviction {
  double KeepValue(const adapter_usage& usage, core::time_point) const {
    return static_cast<double>(usage.uses_since_load);
  }
};

}  // namespace comfreyspring::adapters

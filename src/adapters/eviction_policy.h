#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace comfreyspring::adapters {

/** What an eviction policy may know of an adapter in a slot. */
struct adapter_usage {
  core::time_point last_used;
  std::uint64_t uses_since_load = 0;
  /** Requests for the adapter, decayed; survives its eviction. */
  double frequency = 0.0;
  /** Smoothed time of its loads. */
  core::milliseconds load_time{250};
  /** Requests that wait for the adapter now. */
  std::size_t waiting = 0;
};

/** Value of keeping an adapter; the lowest is evicted first. */
template <class Policy>
concept eviction_policy = requires(const Policy& policy,
                                   const adapter_usage& usage,
                                   core::time_point now) {
  { policy.KeepValue(usage, now) } -> std::convertible_to<double>;
};

/**
 * Default: the load time that keeping the adapter is expected to save, less
 * for adapters that have been idle, more for those that are waited for.
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

  /** Idle time after which the past frequency counts half. */
  static constexpr double kIdleScaleSeconds = 60.0;
  /** A waiting request is certain demand, unlike past frequency. */
  static constexpr double kWaitingWeight = 100.0;
};

/** Baseline: least recently used. */
struct lru_eviction {
  double KeepValue(const adapter_usage& usage, core::time_point) const {
    return std::chrono::duration<double>(usage.last_used.time_since_epoch())
        .count();
  }
};

/** Baseline: least frequently used since its load. */
struct lfu_eviction {
  double KeepValue(const adapter_usage& usage, core::time_point) const {
    return static_cast<double>(usage.uses_since_load);
  }
};

}  // namespace comfreyspring::adapters

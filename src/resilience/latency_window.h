#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/time.h"

namespace comfreyspring::resilience {

/** Quantile of the most recent latencies, recomputed every few samples. */
class latency_window {
 public:
  /**
   * @param capacity number of latest samples that are kept.
   * @param minimum samples needed before a value is available.
   * @param quantile in (0, 1).
   */
  latency_window(std::size_t capacity, std::size_t minimum, double quantile);

  void Add(core::microseconds latency);
  /** @returns nullopt until there are `minimum` samples. */
  std::optional<core::microseconds> Value() const { return value_; }

 private:
  std::size_t capacity_;
  std::size_t minimum_;
  double quantile_;
  std::size_t next_ = 0;
  std::size_t since_update_ = 0;
  std::vector<core::microseconds> samples_;
  std::optional<core::microseconds> value_;
};

}  // namespace comfreyspring::resilience

#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace comfreyspring::grants {

/**
 * Generates the fencing number of an engine's only sender of orders.
 *
 * The number is not persisted. It starts at the wall-clock time, so that a
 * restarted process normally has a higher one than its predecessor. It is
 * raised whenever the engine reports that it has seen a higher number, for
 * example after the clock was set back.
 */
class fencing_counter {
 public:
  explicit fencing_counter(core::wall_time started)
      : value_(core::UnixMilliseconds(started)) {}

  std::int64_t Value() const { return value_; }

  /** Raises the number after the engine has refused it as stale. */
  void OnStale(core::wall_time now) {
    value_ = std::max(value_, core::UnixMilliseconds(now)) + step_.count();
    step_ *= 2;
  }

 private:
  /** Clocks jump by seconds, so a few doublings of 10 s exceed any jump. */
  core::milliseconds step_{10'000};
  std::int64_t value_;
};

}  // namespace comfreyspring::grants

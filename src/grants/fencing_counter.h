#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace comfreyspring::grants {

/**
 * Fencing number of the only sender of orders to an engine. Nothing is stored:
 * a number starts from the wall clock, so that a later process has a higher
 * one, and rises when the engine says that it has seen a higher one, as after
 * a clock that was set back.
 */
class fencing_counter {
 public:
  explicit fencing_counter(core::wall_time started)
      : value_(core::UnixMilliseconds(started)) {}

  std::int64_t Value() const { return value_; }

  /** The engine has refused the number as too low. */
  void OnStale(core::wall_time now) {
    value_ = std::max(value_, core::UnixMilliseconds(now)) + step_.count();
    step_ *= 2;
  }

 private:
  /** Clocks jump by seconds; a few doublings exceed any jump. */
  core::milliseconds step_{10'000};
  std::int64_t value_;
};

}  // namespace comfreyspring::grants

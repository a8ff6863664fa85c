#pragma once

#include <chrono>
#include <cmath>
#include <numbers>

#include "core/time.h"

namespace comfreyspring::adapters {

/** Sum with exponential decay: each contribution halves every `half_life`. */
class decayed_value {
 public:
  explicit decayed_value(core::milliseconds half_life)
      : half_life_(half_life) {}

  void Add(double amount, core::time_point now) {
    value_ = At(now) + amount;
    updated_ = now;
  }

  /** The sum at `now`; not decayed if `now` is before the last update. */
  double At(core::time_point now) const {
    if (value_ == 0.0 || now <= updated_) return value_;
    return value_ * std::exp2(-Seconds(now - updated_) / Seconds(half_life_));
  }

  /** Estimated amount added per second, assuming a steady rate. */
  double PerSecond(core::time_point now) const {
    return At(now) * std::numbers::ln2 / Seconds(half_life_);
  }

 private:
  static double Seconds(core::microseconds duration) {
    return std::chrono::duration<double>(duration).count();
  }

  core::milliseconds half_life_;
  core::time_point updated_;
  double value_ = 0.0;
};

}  // namespace comfreyspring::adapters

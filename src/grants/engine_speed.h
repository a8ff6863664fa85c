#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/time.h"

namespace comfreyspring::grants {

/**
 * Share of its estimated time that an answer takes at least: an answer whose
 * estimate is longer than the time left by more than this cannot be in time.
 */
inline constexpr double kCertainShare = 0.7;

/**
 * Measures the time that one engine takes per output token.
 *
 * Load pattern that it handles: engines of one service differ in speed for
 * good, while each is also slowed down for fractions of a second now and then,
 * and by the prompts that it prefills. The estimate is the lower fifth of the
 * recent runs, weighted by age, so that a run that contains a stall counts as
 * one run however long the stall was. It changes only when the measurement has
 * moved by more than its noise, and is kept while no runs end.
 */
class engine_speed {
 public:
  /**
   * Age at which a run counts half. With 3 s, engines that differ by a factor
   * of 1.3 were taken to differ by more than 1.4 at 4 of 7,200 readings of a
   * replay, with this value at none.
   */
  static constexpr core::milliseconds kHalfLife{10000};

  /**
   * A run ended successfully.
   * @param tokens output tokens after the first output.
   * @param took time from the first output to the end.
   */
  void OnRunEnded(std::int64_t tokens, core::microseconds took,
                  core::time_point now);

  /** Time per output token in an undisturbed batch; 0 if unknown. */
  core::microseconds TokenTime() const { return token_time_; }

 private:
  struct sample {
    core::time_point at;
    double token_time_us = 0.0;
  };

  /** Requires at least one sample. */
  double Undisturbed(core::time_point now) const;

  std::deque<sample> samples_;
  core::microseconds token_time_{0};
};

}  // namespace comfreyspring::grants

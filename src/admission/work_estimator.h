#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/**
 * Estimates the output length and the service time of attempts from those that
 * have ended. Queue order, refusals and the split into short and long work use
 * the estimates; errors reduce efficiency but do not affect correctness.
 */
class work_estimator {
 public:
  // Learning.

  /** Adds a new attempt to the running median. */
  void OnSubmitted(core::token_count estimate);
  void OnFirstOutput(core::milliseconds after);
  /**
   * @param expected tokens that the caller announced.
   * @param produced tokens that the endpoint generated.
   */
  void OnEnded(const core::adapter_reference& adapter,
               core::token_count expected, core::token_count produced);
  /** @param took time since the first output, or since dispatch without one. */
  void OnGenerated(core::token_count tokens, core::milliseconds took);

  // Estimates.

  /** Announced tokens, scaled by the ratio that the adapter produced so far. */
  core::token_count Estimate(const core::adapter_reference& adapter,
                             core::token_count expected) const;
  /** Time at the endpoint from dispatch to end. */
  core::milliseconds ServiceTime(core::token_count tokens) const;
  /** Time of `count` consecutive attempts with `tokens` in total. */
  core::milliseconds ServiceTime(std::size_t count, std::int64_t tokens) const;
  /** True if longer than `kLongFactor` times the running median. */
  bool IsLong(core::token_count tokens) const;
  core::token_count Median() const { return median_; }
  /** False until an attempt has ended; until then, estimates are defaults. */
  bool HasSamples() const { return has_samples_; }

 private:
  static constexpr int kLongFactor = 4;

  std::vector<std::int64_t> recent_;
  std::size_t next_recent_ = 0;
  core::token_count median_;
  bool has_samples_ = false;
  double first_output_ms_ = 0.0;
  double token_ms_ = 10.0;
  std::unordered_map<core::adapter_reference, double> produced_ratio_;
};

}  // namespace comfreyspring::admission

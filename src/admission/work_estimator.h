#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/**
 * Learns from ended work how much an attempt really produces and how long the
 * endpoint takes for it. Feeds the order, the refusals and the split into
 * short and long work; errors cost efficiency, never correctness.
 */
class work_estimator {
 public:
  // Learning.

  /** A new attempt; counts for the running median. */
  void OnSubmitted(core::token_count estimate);
  void OnFirstOutput(core::milliseconds after);
  /** `expected` is what the caller announced, `produced` what came. */
  void OnEnded(const core::adapter_reference& adapter,
               core::token_count expected, core::token_count produced);
  /** Time of `tokens` after the first output, or of the whole attempt. */
  void OnGenerated(core::token_count tokens, core::milliseconds took);

  // Estimates.

  /** Announced tokens, scaled by the adapter's observed share of them. */
  core::token_count Estimate(const core::adapter_reference& adapter,
                             core::token_count expected) const;
  /** Time at the endpoint from dispatch to end. */
  core::milliseconds ServiceTime(core::token_count tokens) const;
  /** Time of `count` attempts with `tokens` in total, one after another. */
  core::milliseconds ServiceTime(std::size_t count, std::int64_t tokens) const;
  /** Longer than `kLongFactor` times the running median. */
  bool IsLong(core::token_count tokens) const;
  core::token_count Median() const { return median_; }
  /** False until an attempt has ended; estimates are defaults before. */
  bool Known() const { return known_; }

 private:
  static constexpr int kLongFactor = 4;

  std::vector<std::int64_t> recent_;
  std::size_t next_recent_ = 0;
  core::token_count median_;
  bool known_ = false;
  double first_output_ms_ = 0.0;
  double token_ms_ = 10.0;
  std::unordered_map<core::adapter_reference, double> produced_share_;
};

}  // namespace comfreyspring::admission

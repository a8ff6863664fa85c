#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::bench {

inline constexpr std::int64_t kShortTokens = 150;
inline constexpr std::int64_t kLongTokens = 2000;
/** Share of the deferrable requests that are long. */
inline constexpr double kLongShare = 0.02;
inline constexpr double kMeanUrgentTokens = kShortTokens;
inline constexpr double kMeanMayWaitTokens =
    kShortTokens + kLongShare * (kLongTokens - kShortTokens);

/** One request of a workload. */
struct job {
  core::microseconds at{0};
  int adapter = 0;
  core::priority_class priority = core::priority_class::urgent;
  std::int64_t tokens = 0;
  /** Token limit sent to the entry; higher than `tokens`. */
  std::int64_t expected_tokens = 0;
  core::milliseconds deadline{0};
  int entry = 0;
};

/** Part of a workload with constant request rates. */
struct phase {
  double seconds = 0.0;
  double urgent_per_second = 0.0;
  double may_wait_per_second = 0.0;
};

struct workload_options {
  std::uint64_t seed = 1;
  std::vector<phase> phases;
  int adapters = 3000;
  double zipf_exponent = 1.2;
  /** Interval at which a quarter of the popularity ranks change adapter. */
  double shift_seconds = 5.0;
  /** Share of the requests that go to one adapter during a burst. */
  double burst_share = 0.15;
  double burst_period_seconds = 4.0;
  double burst_seconds = 2.0;
  int entries = 3;
};

/** @returns jobs in order of arrival; the same seed gives the same jobs. */
std::vector<job> MakeWorkload(const workload_options& options);

}  // namespace comfreyspring::bench

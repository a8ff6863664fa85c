#pragma once

#include <algorithm>

namespace comfreyspring::placement {

/** A replica is skipped when its load reaches this multiple of the mean. */
inline constexpr double kLoadBound = 1.25;

/**
 * Load at which a replica is skipped.
 * @param floor lower bound of the result: at low load, a limit near zero would
 *     spread adapters over endpoints that are all nearly idle.
 */
inline double LoadLimit(double mean_load, double floor) {
  return std::max(kLoadBound * mean_load, floor);
}

}  // namespace comfreyspring::placement

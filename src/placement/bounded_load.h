#pragma once

#include <algorithm>

namespace comfreyspring::placement {

/** A home may hold this many times the mean load before it is skipped. */
inline constexpr double kLoadBound = 1.25;

/**
 * Largest load of a home that is not skipped.
 * @param floor load below which no home is skipped: at low load a bound near
 *     zero would scatter adapters over endpoints that are all nearly idle.
 */
inline double LoadLimit(double mean_load, double floor) {
  return std::max(kLoadBound * mean_load, floor);
}

}  // namespace comfreyspring::placement

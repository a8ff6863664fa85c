#pragma once

#include <cstdint>

#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::core {

/**
 * Spreads the times at which callers that were refused together return.
 * @returns `time` multiplied by a random factor in [lowest, highest).
 */
inline milliseconds WithJitter(milliseconds time, double lowest, double highest,
                               random_source& random) {
  const double factor = lowest + (highest - lowest) * random.NextUnit();
  return milliseconds(
      static_cast<std::int64_t>(factor * static_cast<double>(time.count())));
}

}  // namespace comfreyspring::core

#pragma once

#include <cstddef>
#include <vector>

#include "core/random_source.h"

namespace comfreyspring::bench {

/** Random ranks in [0, count) whose probability falls as 1/(rank+1)^s. */
class zipf_distribution {
 public:
  /** `count` must be positive. */
  zipf_distribution(std::size_t count, double exponent);

  std::size_t Next(core::random_source& random) const;

 private:
  std::vector<double> cumulative_;
};

}  // namespace comfreyspring::bench

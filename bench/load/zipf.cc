#include "bench/load/zipf.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace comfreyspring::bench {

zipf_distribution::zipf_distribution(std::size_t count, double exponent) {
  assert(count > 0);
  double sum = 0;
  for (std::size_t rank = 1; rank <= count; ++rank) {
    sum += std::pow(static_cast<double>(rank), -exponent);
    cumulative_.push_back(sum);
  }
}

std::size_t zipf_distribution::Next(core::random_source& random) const {
  const double target = random.NextUnit() * cumulative_.back();
  const auto found =
      std::upper_bound(cumulative_.begin(), cumulative_.end(), target);
  const auto rank = static_cast<std::size_t>(found - cumulative_.begin());
  return std::min(rank, cumulative_.size() - 1);
}

}  // namespace comfreyspring::bench

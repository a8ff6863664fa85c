#include "placement/subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hash.h"

namespace comfreyspring::placement {

std::vector<core::endpoint_id> DeterministicSubset(
    const core::process_id& process, std::vector<core::endpoint_id> endpoints,
    std::size_t size) {
  if (endpoints.size() > size) {
    const std::uint64_t seed = core::Hash64(process.Value());
    std::sort(
        endpoints.begin(), endpoints.end(),
        [seed](const auto& left, const auto& right) {
          const std::uint64_t left_weight = core::Hash64(left.Value(), seed);
          const std::uint64_t right_weight = core::Hash64(right.Value(), seed);
          if (left_weight != right_weight) {
            return left_weight > right_weight;
          }
          return left < right;
        });
    endpoints.resize(size);
  }
  std::sort(endpoints.begin(), endpoints.end());
  return endpoints;
}

}  // namespace comfreyspring::placement

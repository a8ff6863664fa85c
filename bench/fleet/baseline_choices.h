#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "core/random_source.h"
#include "placement/endpoint_choice.h"

namespace comfreyspring::bench {

/** Baseline: a random endpoint. */
class random_choice {
 public:
  static constexpr bool kAllMembers = true;
  std::size_t Choose(const std::vector<placement::candidate>& candidates,
                     core::random_source& random) {
    return random.NextBelow(candidates.size());
  }
};

/** Baseline: round robin over all endpoints. */
class round_robin_choice {
 public:
  static constexpr bool kAllMembers = true;
  std::size_t Choose(const std::vector<placement::candidate>& candidates,
                     core::random_source& /*random*/) {
    // Candidates are ranked differently for each adapter, so sort by member.
    std::vector<std::size_t> order(candidates.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return candidates[a].member < candidates[b].member;
    });
    return order[next_++ % order.size()];
  }

 private:
  std::size_t next_ = 0;
};

/** Baseline: the endpoint with the fewest requests in flight from this entry.
 */
class least_outstanding_choice {
 public:
  static constexpr bool kAllMembers = true;
  std::size_t Choose(const std::vector<placement::candidate>& candidates,
                     core::random_source& random) {
    const std::size_t start = random.NextBelow(candidates.size());
    std::size_t best = start;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      const std::size_t item = (start + i) % candidates.size();
      if (candidates[item].outstanding < candidates[best].outstanding) {
        best = item;
      }
    }
    return best;
  }
};

static_assert(placement::endpoint_choice<random_choice>);
static_assert(placement::endpoint_choice<round_robin_choice>);
static_assert(placement::endpoint_choice<least_outstanding_choice>);

}  // namespace comfreyspring::bench

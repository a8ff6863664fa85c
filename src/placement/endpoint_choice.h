#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::placement {

/** An endpoint that can take a request. Candidates are in rank order. */
struct candidate {
  /** Position in the member list of the picker. */
  std::uint32_t member = 0;
  bool replica = false;
  /** The load is below LoadLimit. */
  bool within_bound = true;
  /** Requests of this process that have not ended. */
  std::int64_t outstanding = 0;
  core::microseconds expected_wait{0};
  /** Expected delay in milliseconds, see endpoint_picker. */
  double cost = 0.0;
};

/**
 * A policy that chooses among candidates.
 *
 * `kAllMembers` tells whether the candidates are all usable members or only the
 * replicas and a few overflow ranks. `Choose` returns a position in the list,
 * which is never empty.
 */
template <class Choice>
concept endpoint_choice = std::default_initializable<Choice> &&
    requires(Choice choice, const std::vector<candidate>& candidates,
             core::random_source& random) {
  { Choice::kAllMembers } -> std::convertible_to<bool>;
  { choice.Choose(candidates, random) } -> std::same_as<std::size_t>;
};

/**
 * Chooses the cheapest replica within the load limit, else the first overflow
 * rank within the limit, else the cheapest candidate.
 */
class lowest_cost_choice {
 public:
  static constexpr bool kAllMembers = false;

  std::size_t Choose(const std::vector<candidate>& candidates,
                     core::random_source& /*random*/) {
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& left, const candidate& right) {
                           const int left_class = ClassOf(left);
                           const int right_class = ClassOf(right);
                           if (left_class != right_class)
                             return left_class < right_class;
                           // Overflow ranks are used in order, so that the
                           // overflow of an adapter is not spread out.
                           if (left_class == kOverflow) return false;
                           return left.cost < right.cost;
                         });
    return static_cast<std::size_t>(best - candidates.begin());
  }

 private:
  static constexpr int kReplica = 0;
  static constexpr int kOverflow = 1;
  static constexpr int kOverBound = 2;

  static int ClassOf(const candidate& item) {
    if (!item.within_bound) return kOverBound;
    return item.replica ? kReplica : kOverflow;
  }
};

static_assert(endpoint_choice<lowest_cost_choice>);

}  // namespace comfreyspring::placement

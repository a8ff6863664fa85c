#include "placement/rendezvous_ranks.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace comfreyspring::placement {

rendezvous_ranks::rendezvous_ranks(std::size_t cached_keys)
    : cache_(cached_keys) {}

void rendezvous_ranks::SetMembers(std::vector<core::endpoint_id> members,
                                  std::vector<int> tiers) {
  assert(tiers.empty() || tiers.size() == members.size());
  members_ = std::move(members);
  tiers_ = std::move(tiers);
  tiers_.resize(members_.size(), 0);
  cache_.Clear();
}

const std::vector<rendezvous_ranks::member_index>& rendezvous_ranks::Top(
    adapter_key key) {
  std::vector<member_index>& ranks = cache_[key];
  if (ranks.empty()) ranks = Compute(key, kCachedRanks);
  return ranks;
}

std::vector<rendezvous_ranks::member_index> rendezvous_ranks::All(
    adapter_key key) const {
  return Compute(key, members_.size());
}

std::vector<rendezvous_ranks::member_index> rendezvous_ranks::Compute(
    adapter_key key, std::size_t count) const {
  std::vector<std::pair<std::uint64_t, member_index>> weights;
  weights.reserve(members_.size());
  for (member_index i = 0; i < members_.size(); ++i) {
    weights.emplace_back(core::Hash64(members_[i].Value(), key), i);
  }
  count = std::min(count, weights.size());
  // Equal weights are ordered by name, so that the ranks do not depend on the
  // order of the member list.
  std::partial_sort(weights.begin(),
                    weights.begin() + static_cast<std::ptrdiff_t>(count),
                    weights.end(), [this](const auto& left, const auto& right) {
                      const int left_tier = tiers_[left.second];
                      const int right_tier = tiers_[right.second];
                      if (left_tier != right_tier)
                        return left_tier < right_tier;
                      if (left.first != right.first)
                        return left.first > right.first;
                      return members_[left.second] < members_[right.second];
                    });
  std::vector<member_index> ranks;
  ranks.reserve(count);
  for (std::size_t i = 0; i < count; ++i) ranks.push_back(weights[i].second);
  return ranks;
}

}  // namespace comfreyspring::placement

#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "placement/adapter_key.h"
#include "placement/lru_map.h"

namespace comfreyspring::placement {

/**
 * Members in descending order of their rendezvous weight for a key.
 *
 * The first ranks of recently used keys are cached: with 360 members, computing
 * them hashes 360 names, while a cached result takes a single lookup.
 */
class rendezvous_ranks {
 public:
  /** Position of a member in the list given to SetMembers. */
  using member_index = std::uint32_t;

  /** @param cached_keys capacity of the cache; about 150 bytes per key. */
  explicit rendezvous_ranks(std::size_t cached_keys = 16384);

  /**
   * Replaces the members and clears the cache.
   * @param tiers tier of each member; members of a lower tier rank before all
   *     members of a higher one. Empty if all have the same tier.
   */
  void SetMembers(std::vector<core::endpoint_id> members,
                  std::vector<int> tiers = {});
  const std::vector<core::endpoint_id>& Members() const { return members_; }

  /**
   * The first ranks of a key, at most kCachedRanks of them. The reference is
   * valid until the next call on this object.
   */
  const std::vector<member_index>& Top(adapter_key key);
  /** All ranks of a key; not cached. */
  std::vector<member_index> All(adapter_key key) const;

  static constexpr std::size_t kCachedRanks = 16;

 private:
  std::vector<member_index> Compute(adapter_key key, std::size_t count) const;

  std::vector<core::endpoint_id> members_;
  std::vector<int> tiers_;
  lru_map<adapter_key, std::vector<member_index>> cache_;
};

}  // namespace comfreyspring::placement

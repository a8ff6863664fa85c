#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "catalog/catalog_position.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/**
 * Which parts of the platform's history a process knows: everything up to a
 * position, and ranges after it that other processes have read.
 *
 * Batches of several processes take different ways and arrive in any order. A
 * range that begins after the position is kept until the changes before it are
 * known too, so that only changes that never arrive have to be read.
 *
 * All ranges are of the era of the position. Performs no I/O.
 */
class known_history {
 public:
  /** Further ranges are forgotten, so that they are read later. */
  static constexpr std::size_t kMaximumRanges = 64;

  /** Everything up to this position is known. */
  const catalog_position& Position() const { return position_; }
  /** Changes between the position and later ones are missing. */
  bool HasGap() const { return !ranges_.empty(); }

  /**
   * Everything up to `position` is known. What was known of another era does
   * not count any more.
   */
  void OnAllRead(const catalog_position& position);
  /**
   * The changes after revision `after`, up to `revision`, are known.
   * @param read_at when they were read from the platform.
   * @returns when the platform is known to have held nothing after the
   *     position; nullopt if the range says nothing about that.
   */
  std::optional<core::time_point> OnRange(std::int64_t after,
                                          std::int64_t revision,
                                          core::time_point read_at);

 private:
  struct range {
    std::int64_t revision = 0;
    core::time_point read_at;
  };

  catalog_position position_;
  /** By the revision before the first change; disjoint, not adjacent. */
  std::map<std::int64_t, range> ranges_;
};

}  // namespace comfreyspring::catalog

#pragma once

#include <compare>
#include <cstdint>

namespace comfreyspring::catalog {

/**
 * A position in the platform's history. A platform that is restored from a copy
 * begins a new era, in which revisions are used again: revisions alone can only
 * be compared within one era.
 */
struct catalog_position {
  /** 0 if unknown: older platforms and processes do not tell it. */
  std::int64_t era = 0;
  std::int64_t revision = 0;
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const catalog_position&,
                          const catalog_position&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

}  // namespace comfreyspring::catalog

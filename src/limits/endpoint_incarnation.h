#pragma once

#include <compare>
#include <cstdint>

#include "catalog/endpoint_record.h"

namespace comfreyspring::limits {

/**
 * One run of an endpoint. Includes the start time, since an instance id may be
 * reused by a later incarnation.
 */
struct endpoint_incarnation {
  catalog::instance_id instance;
  /** Unix milliseconds; 0 if unknown. */
  std::int64_t started_unix_ms = 0;
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const endpoint_incarnation&,
                          const endpoint_incarnation&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

inline endpoint_incarnation IncarnationOf(
    const catalog::endpoint_record& record) {
  return {record.instance, record.started_unix_ms};
}

}  // namespace comfreyspring::limits

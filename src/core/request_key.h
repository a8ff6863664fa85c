#pragma once

#include <compare>
#include <cstdint>

namespace comfreyspring::core {

/**
 * Identifies a request of a gateway to a sidecar by the gateway's link and its
 * number on that link.
 */
struct request_key {
  std::uint64_t link = 0;
  std::uint64_t number = 0;
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const request_key&, const request_key&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

}  // namespace comfreyspring::core

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyspring::core {

/** An IP address in numbers and a port. */
struct network_address {
  std::string ip;
  std::uint16_t port = 0;

  /** Parses `ip:port`. @throws invalid_value_error on anything else. */
  static network_address Parse(std::string_view text);
  std::string ToString() const { return ip + ':' + std::to_string(port); }

  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const network_address&,
                          const network_address&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

}  // namespace comfreyspring::core

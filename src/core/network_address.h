#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyspring::core {

/** A numeric IPv4 address and a port. */
struct network_address {
  std::string ip;
  std::uint16_t port = 0;

  /** Parses `ip:port`. @throws invalid_value_error if the text is malformed. */
  static network_address Parse(std::string_view text);
  std::string ToString() const { return ip + ':' + std::to_string(port); }

  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const network_address&,
                          const network_address&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

}  // namespace comfreyspring::core

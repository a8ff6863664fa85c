#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"

namespace comfreyspring::settings {

/** Thrown for a flag whose value is not allowed. */
class settings_error : public core::error {
 public:
  settings_error(const std::string& flag, const std::string& value,
                 const std::string& allowed);
};

/** An IPv4 or IPv6 address and a port. */
struct socket_address {
  std::string address;
  std::uint16_t port = 0;
};

// Each check throws settings_error, whose message contains the flag, its value
// and the allowed values.

void RequireText(const std::string& flag, const std::string& value);
void RequireRange(const std::string& flag, std::int64_t value,
                  std::int64_t minimum, std::int64_t maximum);
void RequireOneOf(const std::string& flag, const std::string& value,
                  const std::vector<std::string>& allowed);
/** Requires a numeric IPv4 or IPv6 address; host names are not resolved. */
void RequireIpAddress(const std::string& flag, const std::string& value);
/** Requires a URL that starts with `http://`, or none if `optional`. */
void RequireUrl(const std::string& flag, const std::string& value,
                bool optional = false);

/** Parses a comma-separated list of `ip:port`; the list may be empty. */
std::vector<socket_address> ParseAddresses(const std::string& flag,
                                           const std::string& value);

}  // namespace comfreyspring::settings

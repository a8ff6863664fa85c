#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"

namespace comfreyspring::settings {

/** A flag whose value is not allowed. */
class settings_error : public core::error {
 public:
  settings_error(const std::string& flag, const std::string& value,
                 const std::string& allowed);
};

/** An address of the form `ip:port`. */
struct socket_address {
  std::string address;
  std::uint16_t port = 0;
};

// Each check throws settings_error with the flag, the value and what is
// allowed.

void RequireText(const std::string& flag, const std::string& value);
void RequireRange(const std::string& flag, std::int64_t value,
                  std::int64_t minimum, std::int64_t maximum);
void RequireOneOf(const std::string& flag, const std::string& value,
                  const std::vector<std::string>& allowed);
/** An IPv4 or IPv6 address in numbers; names are not resolved. */
void RequireIpAddress(const std::string& flag, const std::string& value);
/** `http://` followed by an IP number; empty is allowed if `optional`. */
void RequireUrl(const std::string& flag, const std::string& value,
                bool optional = false);

/** Parses `ip:port,ip:port`; an empty text gives an empty list. */
std::vector<socket_address> ParseAddresses(const std::string& flag,
                                           const std::string& value);

}  // namespace comfreyspring::settings

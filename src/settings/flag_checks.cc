#include "settings/flag_checks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace comfreyspring::settings {
namespace {

constexpr std::int64_t kMaximumPort = 65535;

bool IsIpAddress(const std::string& value) {
  std::array<unsigned char, sizeof(in6_addr)> parsed = {};
  return inet_pton(AF_INET, value.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, value.c_str(), parsed.data()) == 1;
}

std::string Joined(const std::vector<std::string>& values) {
  std::string text;
  for (const std::string& value : values) {
    if (!text.empty()) text += ", ";
    text += value;
  }
  return text;
}

socket_address ParseAddress(const std::string& flag, const std::string& item) {
  const std::size_t colon = item.rfind(':');
  std::int64_t port = 0;
  if (colon != std::string::npos) {
    const char* last = item.data() + item.size();
    const auto [end, failure] =
        std::from_chars(item.data() + colon + 1, last, port);
    if (failure != std::errc() || end != last) port = 0;
  }
  const std::string address = item.substr(0, colon);
  if (!IsIpAddress(address) || port < 1 || port > kMaximumPort) {
    throw settings_error(flag, item,
                         "a list of ip:port, such as "
                         "10.0.0.1:7301,10.0.0.2:7301");
  }
  return {address, static_cast<std::uint16_t>(port)};
}

}  // namespace

settings_error::settings_error(const std::string& flag,
                               const std::string& value,
                               const std::string& allowed)
    : core::error("--" + flag + "='" + value +
                  "' is not allowed; allowed: " + allowed) {}

void RequireText(const std::string& flag, const std::string& value) {
  if (value.empty()) throw settings_error(flag, value, "a non-empty string");
}

void RequireRange(const std::string& flag, std::int64_t value,
                  std::int64_t minimum, std::int64_t maximum) {
  if (value >= minimum && value <= maximum) return;
  throw settings_error(
      flag, std::to_string(value),
      std::to_string(minimum) + " to " + std::to_string(maximum));
}

void RequireOneOf(const std::string& flag, const std::string& value,
                  const std::vector<std::string>& allowed) {
  if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
    return;
  }
  throw settings_error(flag, value, Joined(allowed));
}

void RequireIpAddress(const std::string& flag, const std::string& value) {
  if (!IsIpAddress(value)) {
    throw settings_error(flag, value, "a numeric IP address");
  }
}

void RequireUrl(const std::string& flag, const std::string& value,
                bool optional) {
  if (optional && value.empty()) return;
  const bool is_printable = std::all_of(
      value.begin(), value.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (is_printable && value.rfind("http://", 0) == 0 && value.size() > 7) {
    return;
  }
  throw settings_error(flag, value, "http://ip:port, with an optional path");
}

std::vector<socket_address> ParseAddresses(const std::string& flag,
                                           const std::string& value) {
  std::vector<socket_address> addresses;
  std::istringstream items(value);
  for (std::string item; std::getline(items, item, ',');) {
    if (!item.empty()) addresses.push_back(ParseAddress(flag, item));
  }
  return addresses;
}

}  // namespace comfreyspring::settings

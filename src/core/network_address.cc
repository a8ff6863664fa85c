#include "core/network_address.h"

#include <arpa/inet.h>

#include <charconv>

#include "core/error.h"

namespace comfreyspring::core {

network_address network_address::Parse(std::string_view text) {
  const auto fail = [&] {
    return invalid_value_error("\"" + std::string(text) +
                               "\" is not an address of the form ip:port");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) throw fail();
  network_address result{.ip = std::string(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), result.port);
  in_addr ignored{};
  if (error != std::errc() || end != port.data() + port.size() ||
      inet_pton(AF_INET, result.ip.c_str(), &ignored) != 1) {
    throw fail();
  }
  return result;
}

}  // namespace comfreyspring::core

#include "standins/json_exchange.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace comfreyspring::standins {

void RespondJson(const exchange_pointer& exchange, int status,
                 const nlohmann::json& body) {
  exchange->Respond(
      {status, {{"content-type", "application/json"}}, body.dump() + '\n'});
}

void RespondError(const exchange_pointer& exchange, int status,
                  const std::string& type) {
  RespondJson(exchange, status, {{"error", type}});
}

nlohmann::json ParseBody(const net::http_exchange& exchange) {
  constexpr bool kNoExceptions = false;
  nlohmann::json body =
      nlohmann::json::parse(exchange.Request().body, nullptr, kNoExceptions);
  return body.is_object() ? body : nlohmann::json();
}

std::size_t QueryNumber(const net::http_exchange& exchange,
                        const std::string& name) {
  const auto found = exchange.Request().query.find(name);
  if (found == exchange.Request().query.end()) return 0;
  const std::string& text = found->second;
  std::size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace comfreyspring::standins

#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "net/http_server.h"

namespace comfreyspring::standins {

using exchange_pointer = std::shared_ptr<net::http_exchange>;

/** Responds with a JSON document. */
void RespondJson(const exchange_pointer& exchange, int status,
                 const nlohmann::json& body);
/** Responds with `{"error": type}`. */
void RespondError(const exchange_pointer& exchange, int status,
                  const std::string& type);
/** Parses the request body; returns null if it is not a JSON object. */
nlohmann::json ParseBody(const net::http_exchange& exchange);
/** Value of a query parameter as a number; 0 if absent or not a number. */
std::size_t QueryNumber(const net::http_exchange& exchange,
                        const std::string& name);

}  // namespace comfreyspring::standins

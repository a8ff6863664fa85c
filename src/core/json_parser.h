#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "core/error.h"
#include "core/nesting.h"

namespace comfreyspring::core {

/**
 * Parses JSON from outside the process.
 * @returns a discarded value if the text is invalid or nested too deeply.
 */
inline nlohmann::json TryParseJson(std::string_view text) {
  if (!IsNestedWithin(text, kMaximumJsonDepth)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

/** @throws invalid_value_error if the text is invalid or nested too deeply. */
inline nlohmann::json ParseJson(std::string_view text) {
  if (!IsNestedWithin(text, kMaximumJsonDepth)) {
    throw invalid_value_error("JSON is nested more than " +
                              std::to_string(kMaximumJsonDepth) + " deep");
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& failure) {
    throw invalid_value_error(failure.what());
  }
}

}  // namespace comfreyspring::core

#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/nesting.h"
#include "core/unicode.h"

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

/**
 * Parses JSON of any depth.
 * @throws invalid_value_error if the text is invalid. The message names the
 *     position only: texts may contain keys of callers, and the library's
 *     message repeats a part of the text.
 */
inline nlohmann::json ParseDeepJson(std::string_view text) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& failure) {
    throw invalid_value_error("invalid JSON at byte " +
                              std::to_string(failure.byte));
  } catch (const nlohmann::json::exception&) {
    throw invalid_value_error("JSON with a number out of range");
  }
}

/**
 * Parses JSON of any depth, in whose strings U+FFFD stands for what is no text:
 * one such string must not hide all others.
 * @throws invalid_value_error if the text is invalid for any other reason.
 */
inline nlohmann::json ParseDeepJsonOfAnyText(std::string_view text) {
  try {
    return ParseDeepJson(text);
  } catch (const invalid_value_error&) {
    const std::string repaired = ReplaceInvalidUnicode(text);
    if (repaired == text) throw;
    return ParseDeepJson(repaired);
  }
}

/** @throws invalid_value_error if the text is invalid or nested too deeply. */
inline nlohmann::json ParseJson(std::string_view text) {
  if (!IsNestedWithin(text, kMaximumJsonDepth)) {
    throw invalid_value_error("JSON is nested more than " +
                              std::to_string(kMaximumJsonDepth) + " deep");
  }
  return ParseDeepJson(text);
}

}  // namespace comfreyspring::core

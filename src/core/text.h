#pragma once

#include <algorithm>
#include <cctype>
#include <string>

namespace comfreyspring::core {

/** @returns true for ASCII digits, whatever the locale. */
constexpr bool IsDigit(char c) { return c >= '0' && c <= '9'; }

/** @returns `text` with ASCII letters in lower case. */
inline std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

}  // namespace comfreyspring::core

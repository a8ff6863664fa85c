#include "core/unicode.h"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace comfreyspring::core {
namespace {

using utf8 = boost::locale::utf::utf_traits<char>;

constexpr std::size_t kEscapeSize = 6;
constexpr std::uint32_t kFirstHighSurrogate = 0xd800;
constexpr std::uint32_t kFirstLowSurrogate = 0xdc00;
constexpr std::uint32_t kLastLowSurrogate = 0xdfff;

/** @returns the code unit if the text begins with an escape such as `\u00e9`.
 */
std::optional<std::uint32_t> EscapedUnit(std::string_view text) {
  if (text.size() < kEscapeSize || !text.starts_with("\\u")) {
    return std::nullopt;
  }
  std::uint32_t unit = 0;
  const char* digits = text.data() + 2;
  const char* end = text.data() + kEscapeSize;
  const auto parsed = std::from_chars(digits, end, unit, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return unit;
}

bool IsSurrogate(std::uint32_t unit) {
  return unit >= kFirstHighSurrogate && unit <= kLastLowSurrogate;
}

bool IsPair(std::uint32_t first, const std::optional<std::uint32_t>& second) {
  return first < kFirstLowSurrogate && second &&
         *second >= kFirstLowSurrogate && *second <= kLastLowSurrogate;
}

}  // namespace

std::string ReplaceInvalidUnicode(std::string_view json_text) {
  std::string result;
  result.reserve(json_text.size());
  const auto keep = [&](std::size_t size) {
    result += json_text.substr(0, size);
    json_text.remove_prefix(std::min(size, json_text.size()));
  };
  const auto replace = [&](std::size_t size) {
    result += kReplacementCharacter;
    json_text.remove_prefix(size);
  };
  while (!json_text.empty()) {
    if (json_text.front() == '\\') {
      const auto unit = EscapedUnit(json_text);
      if (!unit) {
        keep(2);
      } else if (!IsSurrogate(*unit)) {
        keep(kEscapeSize);
      } else if (IsPair(*unit, EscapedUnit(json_text.substr(kEscapeSize)))) {
        keep(2 * kEscapeSize);
      } else {
        replace(kEscapeSize);
      }
      continue;
    }
    const char* next = json_text.data();
    const auto point = utf8::decode(next, json_text.data() + json_text.size());
    if (boost::locale::utf::is_valid_codepoint(point)) {
      keep(static_cast<std::size_t>(next - json_text.data()));
    } else {
      replace(1);
    }
  }
  return result;
}

}  // namespace comfreyspring::core

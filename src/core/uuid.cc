#include "core/uuid.h"

#include <array>
#include <cctype>
#include <cstdint>
#include <cstdio>

#include "core/error.h"

namespace comfreyspring::core {
namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
// The timestamp is the first 48 bits: 8 hex digits, a dash, 4 hex digits.
constexpr std::size_t kTimeTextLength = 13;

bool IsDashPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool HasUuidV7Form(std::string_view text) {
  if (text.size() != kTextLength) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto character = static_cast<unsigned char>(text[i]);
    const bool valid =
        IsDashPosition(i) ? character == '-' : std::isxdigit(character) != 0;
    if (!valid) return false;
  }
  const char variant = text[kVariantPosition];
  const bool rfc_variant = variant == '8' || variant == '9' ||
                           std::tolower(variant) == 'a' ||
                           std::tolower(variant) == 'b';
  return text[kVersionPosition] == '7' && rfc_variant;
}

}  // namespace

std::string MakeUuidV7(wall_time now, random_source& random) {
  const auto time = static_cast<std::uint64_t>(UnixMilliseconds(now));
  const std::uint64_t first = random.Next();
  const std::uint64_t second = random.Next();
  std::array<char, kTextLength + 1> text = {};
  std::snprintf(
      text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
      static_cast<unsigned long long>((time >> 16) & 0xffffffffULL),
      static_cast<unsigned long long>(time & 0xffffULL),
      static_cast<unsigned long long>(first & 0xfffULL),
      static_cast<unsigned long long>(0x8000ULL | ((first >> 12) & 0x3fffULL)),
      static_cast<unsigned long long>(second & 0xffffffffffffULL));
  return text.data();
}

wall_time UuidV7Time(std::string_view text) {
  if (!HasUuidV7Form(text)) {
    throw invalid_value_error("'" + std::string(text.substr(0, kTextLength)) +
                              "' is not a UUIDv7");
  }
  std::int64_t unix_ms = 0;
  for (const char character : text.substr(0, kTimeTextLength)) {
    if (character == '-') continue;
    const int digit = std::isdigit(static_cast<unsigned char>(character)) != 0
                          ? character - '0'
                          : std::tolower(character) - 'a' + 10;
    unix_ms = unix_ms * 16 + digit;
  }
  return WallTimeFromUnix(unix_ms);
}

}  // namespace comfreyspring::core

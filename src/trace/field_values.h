#pragma once

#include <charconv>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::trace {

// Text encoding of each field type. Decode throws core::invalid_value_error on
// malformed text. Both take the start of the trace because time points are
// stored relative to it.

inline std::string Encode(const std::string& value, core::time_point) {
  return value;
}
inline void Decode(const std::string& text, core::time_point,
                   std::string& value) {
  value = text;
}

template <class Tag>
std::string Encode(const core::strong_id<Tag>& value, core::time_point) {
  return value.Value();
}
template <class Tag>
void Decode(const std::string& text, core::time_point,
            core::strong_id<Tag>& value) {
  value = core::strong_id<Tag>(text);
}

inline std::string Encode(bool value, core::time_point) {
  return value ? "true" : "false";
}
inline void Decode(const std::string& text, core::time_point, bool& value) {
  if (text != "true" && text != "false") {
    throw core::invalid_value_error("expected true or false");
  }
  value = text == "true";
}

template <class Number>
requires(std::integral<Number> && !std::same_as<Number, bool>) std::string
    Encode(Number value, core::time_point) {
  return std::to_string(value);
}
template <class Number>
requires((std::integral<Number> && !std::same_as<Number, bool>) ||
         std::floating_point<Number>) void Decode(const std::string& text,
                                                  core::time_point,
                                                  Number& value) {
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || stop != end) {
    throw core::invalid_value_error("expected a number in range");
  }
}

/** Writes the shortest text that parses back to the same number. */
inline std::string Encode(double value, core::time_point) {
  char buffer[40];
  const auto [end, code] =
      std::to_chars(buffer, buffer + sizeof(buffer), value);
  return code == std::errc() ? std::string(buffer, end) : std::string("0");
}

template <class Rep, class Period>
std::string Encode(std::chrono::duration<Rep, Period> value, core::time_point) {
  return std::to_string(value.count());
}
template <class Rep, class Period>
void Decode(const std::string& text, core::time_point start,
            std::chrono::duration<Rep, Period>& value) {
  Rep count{};
  Decode(text, start, count);
  value = std::chrono::duration<Rep, Period>(count);
}

inline std::string Encode(core::time_point value, core::time_point start) {
  return std::to_string((value - start).count());
}
inline void Decode(const std::string& text, core::time_point start,
                   core::time_point& value) {
  core::microseconds since{};
  Decode(text, start, since);
  value = start + since;
}

inline std::string Encode(core::wall_time value, core::time_point) {
  return std::to_string(core::UnixMilliseconds(value));
}
inline void Decode(const std::string& text, core::time_point start,
                   core::wall_time& value) {
  std::int64_t unix_ms = 0;
  Decode(text, start, unix_ms);
  value = core::WallTimeFromUnix(unix_ms);
}

inline std::string Encode(core::token_count value, core::time_point) {
  return std::to_string(value.value);
}
inline void Decode(const std::string& text, core::time_point start,
                   core::token_count& value) {
  Decode(text, start, value.value);
}

inline std::string Encode(const core::adapter_reference& value,
                          core::time_point) {
  if (value == core::adapter_reference()) return "";
  return core::ToString(value);
}
inline void Decode(const std::string& text, core::time_point,
                   core::adapter_reference& value) {
  const std::size_t at = text.rfind('@');
  if (text.empty()) {
    value = {};
  } else if (at == std::string::npos) {
    throw core::invalid_value_error("expected adapter@version");
  } else {
    value = {core::adapter_id(text.substr(0, at)),
             core::version_id(text.substr(at + 1))};
  }
}

template <class Name>
requires(std::is_enum_v<Name>) std::string
    Encode(Name value, core::time_point) {
  return std::string(core::ToString(value));
}
inline void Decode(const std::string& text, core::time_point,
                   core::priority_class& value) {
  value = core::ParsePriorityClass(text);
}
inline void Decode(const std::string& text, core::time_point,
                   core::outcome& value) {
  value = core::ParseOutcome(text);
}
inline void Decode(const std::string& text, core::time_point,
                   core::request_kind& value) {
  value = core::ParseRequestKind(text);
}
inline void Decode(const std::string& text, core::time_point,
                   core::endpoint_kind& value) {
  value = core::ParseEndpointKind(text);
}

}  // namespace comfreyspring::trace

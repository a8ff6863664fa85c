#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace comfreyspring::trace {

/** A malformed trace; line and column numbers start at 1. */
class trace_error : public core::error {
 public:
  trace_error(std::size_t line, std::size_t column, const std::string& message)
      : core::error("line " + std::to_string(line) + ", column " +
                    std::to_string(column) + ": " + message),
        line_(line),
        column_(column) {}
  std::size_t Line() const { return line_; }
  /** Column in bytes. */
  std::size_t Column() const { return column_; }

 private:
  std::size_t line_;
  std::size_t column_;
};

struct trace_field {
  std::string key;
  std::string value;
  std::size_t column = 0;
};

/** A parsed line whose event type is not yet known. */
struct trace_line {
  std::size_t number = 0;
  /** Absent on the first line and on outcomes. */
  std::optional<std::int64_t> time_us;
  std::size_t name_column = 0;
  std::string name;
  std::vector<trace_field> fields;
};

/** @throws trace_error */
trace_line ParseTraceLine(std::string_view text, std::size_t number);

/** Inverse of ParseTraceLine; the result has no line terminator. */
std::string FormatTraceLine(const trace_line& line);

}  // namespace comfreyspring::trace

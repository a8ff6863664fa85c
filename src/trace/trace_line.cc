#include "trace/trace_line.h"

#include <algorithm>
#include <charconv>

#include "core/text.h"

namespace comfreyspring::trace {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || core::IsDigit(c) || c == '_';
}

bool IsPlain(char c) { return c > ' ' && c < '\x7f' && c != '"' && c != '\\'; }

class line_parser {
 public:
  line_parser(std::string_view text, std::size_t number)
      : text_(text), number_(number) {}

  trace_line Parse() {
    trace_line line;
    line.number = number_;
    if (!AtEnd() && core::IsDigit(text_[position_])) {
      line.time_us = ParseTime();
      ExpectSpace();
    }
    line.name_column = Column();
    line.name = ParseName(true);
    while (!AtEnd()) {
      ExpectSpace();
      line.fields.push_back(ParseField());
    }
    return line;
  }

 private:
  bool AtEnd() const { return position_ == text_.size(); }
  bool At(char c) const { return !AtEnd() && text_[position_] == c; }
  std::size_t Column() const { return position_ + 1; }

  [[noreturn]] void Fail(const std::string& message) const {
    throw trace_error(number_, Column(), message);
  }

  void ExpectSpace() {
    if (!At(' ')) Fail("expected a space");
    ++position_;
  }

  std::int64_t ParseTime() {
    std::int64_t value = 0;
    const char* begin = text_.data() + position_;
    const auto [end, code] =
        std::from_chars(begin, text_.data() + text_.size(), value);
    if (code != std::errc()) Fail("time is out of range");
    position_ += static_cast<std::size_t>(end - begin);
    return value;
  }

  std::string ParseName(bool dots) {
    const std::size_t begin = position_;
    while (!AtEnd() && (IsNameCharacter(text_[position_]) ||
                        (dots && text_[position_] == '.'))) {
      ++position_;
    }
    if (position_ == begin) Fail("expected a name made of a-z, 0-9 and _");
    return std::string(text_.substr(begin, position_ - begin));
  }

  trace_field ParseField() {
    trace_field field;
    field.column = Column();
    field.key = ParseName(false);
    if (!At('=')) {
      field.value = "true";
      return field;
    }
    ++position_;
    field.value = At('"') ? ParseQuoted() : ParseBare();
    return field;
  }

  std::string ParseBare() {
    const std::size_t begin = position_;
    while (!AtEnd() && IsPlain(text_[position_])) ++position_;
    if (position_ == begin) Fail("expected a value");
    if (!AtEnd() && !At(' ')) Fail("value must be quoted");
    return std::string(text_.substr(begin, position_ - begin));
  }

  std::string ParseQuoted() {
    std::string value;
    ++position_;
    while (!At('"')) {
      if (AtEnd()) Fail("unterminated quoted value");
      if (At('\\')) {
        value += ParseEscape();
      } else {
        value += text_[position_++];
      }
    }
    ++position_;
    return value;
  }

  char ParseEscape() {
    if (position_ + 1 == text_.size()) Fail("unterminated quoted value");
    const char kind = text_[position_ + 1];
    if (kind == 'x') return ParseHex();
    const std::size_t index = std::string_view("\\\"nrt").find(kind);
    if (index == std::string_view::npos) Fail("unknown escape");
    position_ += 2;
    return std::string_view("\\\"\n\r\t")[index];
  }

  char ParseHex() {
    unsigned value = 0;
    const std::string_view digits = text_.substr(position_ + 2, 2);
    const auto [end, code] = std::from_chars(
        digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || code != std::errc() ||
        end != digits.data() + digits.size()) {
      Fail("\\x needs two hexadecimal digits");
    }
    position_ += 4;
    return static_cast<char>(value);
  }

  std::string_view text_;
  std::size_t number_;
  std::size_t position_ = 0;
};

void AppendEscaped(char c, std::string& out) {
  const std::size_t index = std::string_view("\\\"\n\r\t").find(c);
  if (index != std::string_view::npos) {
    out += '\\';
    out += std::string_view("\\\"nrt")[index];
  } else if (c == ' ' || IsPlain(c)) {
    out += c;
  } else {
    const auto byte = static_cast<unsigned char>(c);
    out += "\\x";
    out += kHexDigits[byte / 16];
    out += kHexDigits[byte % 16];
  }
}

void AppendValue(const std::string& value, std::string& out) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    out += value;
    return;
  }
  out += '"';
  for (const char c : value) AppendEscaped(c, out);
  out += '"';
}

}  // namespace

trace_line ParseTraceLine(std::string_view text, std::size_t number) {
  return line_parser(text, number).Parse();
}

std::string FormatTraceLine(const trace_line& line) {
  std::string out;
  if (line.time_us) out += std::to_string(*line.time_us) + " ";
  out += line.name;
  for (const trace_field& field : line.fields) {
    out += " " + field.key + "=";
    AppendValue(field.value, out);
  }
  return out;
}

}  // namespace comfreyspring::trace

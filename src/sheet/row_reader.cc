#include "sheet/row_reader.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>

#include "config/validation.h"

namespace comfreyspring::sheet {
namespace {

/** Parses exactly `digits` digits at offset `at`; -1 if there are fewer. */
int ParseDigits(const std::string& text, std::size_t at, std::size_t digits) {
  if (at + digits > text.size()) return -1;
  int value = 0;
  for (std::size_t index = at; index < at + digits; ++index) {
    if (text[index] < '0' || text[index] > '9') return -1;
    value = value * 10 + (text[index] - '0');
  }
  return value;
}

bool HasTimeFormat(const std::string& text) {
  const bool has_seconds = text.size() == 20 && text[16] == ':';
  return (has_seconds || text.size() == 17) && text[4] == '-' &&
         text[7] == '-' && text[10] == 'T' && text[13] == ':' &&
         text.back() == 'Z';
}

}  // namespace

bool IsId(const std::string& text) {
  return !text.empty() && text.size() <= config::kMaximumIdBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return character > 0x20 && character != 0x7f && character != '@' &&
                  character != '/';
         });
}

std::optional<core::wall_time> ParseUtcTime(const std::string& text) {
  if (!HasTimeFormat(text)) return std::nullopt;
  const int hour = ParseDigits(text, 11, 2);
  const int minute = ParseDigits(text, 14, 2);
  const int second = text.size() == 20 ? ParseDigits(text, 17, 2) : 0;
  const int year = ParseDigits(text, 0, 4);
  const int month = ParseDigits(text, 5, 2);
  const int day = ParseDigits(text, 8, 2);
  if (hour < 0 || hour > 23 || minute < 0 || minute > 59 || second < 0 ||
      second > 59 || year < 1970 || month < 1 || day < 1) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date(
      std::chrono::year{year}, std::chrono::month{static_cast<unsigned>(month)},
      std::chrono::day{static_cast<unsigned>(day)});
  if (!date.ok()) return std::nullopt;
  const std::chrono::sys_days midnight = date;
  return core::wall_time(
      midnight.time_since_epoch() + std::chrono::hours(hour) +
      std::chrono::minutes(minute) + std::chrono::seconds(second));
}

std::string FormatUtcTime(core::wall_time time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss clock(
      std::chrono::floor<std::chrono::seconds>(time - days));
  char text[48];
  std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02dZ",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()));
  return text;
}

row_reader::row_reader(const csv_table& table, const csv_row& row,
                       std::vector<issue>& issues)
    : table_(table), row_(row), issues_(issues) {}

const std::string& row_reader::Text(const std::string& column) const {
  static const std::string kEmpty;
  const auto found =
      std::find(table_.header.begin(), table_.header.end(), column);
  if (found == table_.header.end()) return kEmpty;
  return row_.cells[static_cast<std::size_t>(found - table_.header.begin())];
}

std::string row_reader::Required(const std::string& column,
                                 const std::string& remedy) {
  const std::string& text = Text(column);
  if (text.empty()) AddError(column, "The cell is empty.", remedy);
  return text;
}

std::string row_reader::Id(const std::string& column,
                           const std::string& remedy) {
  std::string text = Required(column, remedy);
  if (!text.empty() && !IsId(text)) {
    AddError(column, "Invalid id.",
             "Use at most " + std::to_string(config::kMaximumIdBytes) +
                 " bytes without spaces, control characters, '@' or '/'.");
  }
  return text;
}

std::optional<std::int64_t> row_reader::Integer(const std::string& column,
                                                std::int64_t low,
                                                std::int64_t high) {
  const std::string& text = Text(column);
  if (text.empty()) return std::nullopt;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < low ||
      value > high) {
    AddError(column, "The value is not an integer in the allowed range.",
             "Use a number from " + std::to_string(low) + " to " +
                 std::to_string(high) + ".");
    return std::nullopt;
  }
  return value;
}

std::optional<bool> row_reader::YesNo(const std::string& column) {
  const std::string& text = Text(column);
  if (text.empty()) return std::nullopt;
  if (text == "yes") return true;
  if (text == "no") return false;
  AddError(column, "The value must be yes or no.", "Use yes or no.");
  return std::nullopt;
}

std::optional<core::priority_class> row_reader::Priority(
    const std::string& column) {
  const std::string& text = Text(column);
  if (text.empty()) return std::nullopt;
  try {
    return core::ParsePriorityClass(text);
  } catch (const core::error&) {
    AddError(column, "Unknown priority class.", "Use urgent or may_wait.");
    return std::nullopt;
  }
}

std::optional<core::wall_time> row_reader::Time(const std::string& column) {
  const std::string remedy = "Use a UTC time such as 2026-12-04T22:00:00Z.";
  const std::string text = Required(column, remedy);
  if (text.empty()) return std::nullopt;
  const auto time = ParseUtcTime(text);
  if (!time) AddError(column, "Invalid time.", remedy);
  return time;
}

void row_reader::RejectOtherColumns(const std::vector<std::string>& used) {
  for (std::size_t at = 0; at < table_.header.size(); ++at) {
    const std::string& column = table_.header[at];
    const bool is_used =
        std::find(used.begin(), used.end(), column) != used.end();
    if (is_used || row_.cells[at].empty()) continue;
    AddError(column, "The column does not apply to this type of row.",
             "Clear the cell.");
  }
}

void row_reader::AddError(const std::string& column, const std::string& problem,
                          const std::string& remedy) {
  issues_.push_back(
      {table_.file, row_.number, column, Text(column), problem, remedy});
}

}  // namespace comfreyspring::sheet

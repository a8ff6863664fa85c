#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "core/types.h"
#include "sheet/csv.h"
#include "sheet/issue.h"

namespace comfreyspring::sheet {

/**
 * Reads typed values from one row and collects issues. Functions that return
 * an optional return nullopt for an empty cell, and also for an invalid one,
 * which they report as an issue.
 */
class row_reader {
 public:
  row_reader(const csv_table& table, const csv_row& row,
             std::vector<issue>& issues);

  std::size_t RowNumber() const { return row_.number; }
  /** Text of a cell; empty if the file does not have the column. */
  const std::string& Text(const std::string& column) const;

  /** Same as Text, but reports an empty cell as an issue. */
  std::string Required(const std::string& column, const std::string& remedy);
  /** Required id, checked with IsId. */
  std::string Id(const std::string& column, const std::string& remedy);
  std::optional<std::int64_t> Integer(const std::string& column,
                                      std::int64_t low, std::int64_t high);
  std::optional<bool> YesNo(const std::string& column);
  std::optional<core::priority_class> Priority(const std::string& column);
  /** Required UTC time, in the format that ParseUtcTime accepts. */
  std::optional<core::wall_time> Time(const std::string& column);

  /** Reports every non-empty cell in a column that is not in `used`. */
  void RejectOtherColumns(const std::vector<std::string>& used);
  void AddError(const std::string& column, const std::string& problem,
                const std::string& remedy);

 private:
  const csv_table& table_;
  const csv_row& row_;
  std::vector<issue>& issues_;
};

/** Parses 2026-12-04T22:00:00Z, seconds optional; nullopt if invalid. */
std::optional<core::wall_time> ParseUtcTime(const std::string& text);

/** Formats a time as 2026-12-04T22:00:00Z. */
std::string FormatUtcTime(core::wall_time time);

/**
 * True if the text is a valid configuration id: 1 to kMaximumIdBytes bytes,
 * without space, control character, '@' and '/'.
 */
bool IsId(const std::string& text);

}  // namespace comfreyspring::sheet

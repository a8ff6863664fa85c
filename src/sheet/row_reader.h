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
 * Reads typed values from one row and collects what is wrong. Each reader
 * returns nullopt for an empty cell and, with an issue, for an unusable one.
 */
class row_reader {
 public:
  row_reader(const csv_table& table, const csv_row& row,
             std::vector<issue>& issues);

  std::size_t Row() const { return row_.number; }
  /** Text of a cell; empty if the file has no such column. */
  const std::string& Text(const std::string& column) const;

  /** As Text, with an issue if empty. */
  std::string Required(const std::string& column, const std::string& remedy);
  /** A required id: no space, control character, '@' or '/'. */
  std::string Id(const std::string& column, const std::string& remedy);
  std::optional<std::int64_t> Integer(const std::string& column,
                                      std::int64_t low, std::int64_t high);
  std::optional<bool> YesNo(const std::string& column);
  std::optional<core::priority_class> Priority(const std::string& column);
  /** Required, in the form 2026-12-04T22:00:00Z. */
  std::optional<core::wall_time> Time(const std::string& column);

  /** Reports every non-empty cell outside the given columns. */
  void RefuseOthers(const std::vector<std::string>& used);
  void Fail(const std::string& column, const std::string& problem,
            const std::string& remedy);

 private:
  const csv_table& table_;
  const csv_row& row_;
  std::vector<issue>& issues_;
};

/** Parses 2026-12-04T22:00:00Z, seconds optional; nullopt if not a time. */
std::optional<core::wall_time> ParseUtcTime(const std::string& text);

/** Renders a time in the form that ParseUtcTime reads. */
std::string FormatUtcTime(core::wall_time time);

/** True if the text can be an id of the configuration. */
bool IsId(const std::string& text);

}  // namespace comfreyspring::sheet

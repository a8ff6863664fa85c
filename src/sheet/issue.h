#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace comfreyspring::sheet {

/** Warnings do not keep a sheet from being compiled. */
enum class severity { error, warning };

/** Something in a file that needs the planner's attention. */
struct issue {
  std::string file;
  /** Row as a spreadsheet shows it; 0 if the whole file is meant. */
  std::size_t row = 0;
  /** Empty if the whole row is meant. */
  std::string column;
  std::string value;
  std::string problem;
  /** What to do about it. */
  std::string remedy;
  severity level = severity::error;
};

/**
 * Renders an issue in one line.
 *
 * Example: `sheet.csv row 7, column model, value 'bsae': error: no such model.
 * Remedy: use one of the model records.`
 */
std::string ToString(const issue& item);

/** True if at least one of the issues is an error. */
bool HasErrors(const std::vector<issue>& issues);

}  // namespace comfreyspring::sheet

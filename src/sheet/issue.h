#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace comfreyspring::sheet {

/** Errors prevent compilation; warnings do not. */
enum class severity { error, warning };

/** An error or warning about an input file. */
struct issue {
  std::string file;
  /** 1-based row number including the header; 0 for the whole file. */
  std::size_t row = 0;
  /** Empty if the issue concerns the whole row. */
  std::string column;
  std::string value;
  std::string problem;
  /** How to correct the input. */
  std::string remedy;
  severity level = severity::error;
};

/**
 * Formats an issue as one line.
 *
 * Example: `sheet.csv row 7, column model, value 'bsae': error: There is
 * no model with this name. Remedy: Correct the name.`
 */
std::string ToString(const issue& item);

/** True if at least one of the issues is an error. */
bool HasErrors(const std::vector<issue>& issues);

}  // namespace comfreyspring::sheet

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "sheet/issue.h"

namespace comfreyspring::sheet {

struct csv_row {
  /** As a spreadsheet counts: the header is row 1. */
  std::size_t number = 0;
  std::vector<std::string> cells;
};

struct csv_table {
  /** File name for messages. */
  std::string file;
  std::vector<std::string> header;
  /** Rows whose cell count fits the header; empty rows are left out. */
  std::vector<csv_row> rows;
};

/**
 * Parses RFC 4180 text in UTF-8; a byte order mark and CR LF or LF line ends
 * are accepted. Rows that cannot be used are left out with an issue each.
 */
csv_table ParseCsv(const std::string& file, std::string_view text,
                   std::vector<issue>& issues);

/** Quotes a cell if it needs it. */
std::string QuoteCsv(const std::string& cell);

/** True if the bytes are well-formed UTF-8. */
bool IsUtf8(std::string_view text);

}  // namespace comfreyspring::sheet

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "sheet/issue.h"

namespace comfreyspring::sheet {

struct csv_row {
  /** 1-based row number; the header is row 1. */
  std::size_t number = 0;
  std::vector<std::string> cells;
};

struct csv_table {
  /** File name used in messages. */
  std::string file;
  std::vector<std::string> header;
  /** Rows with as many cells as the header; empty rows are omitted. */
  std::vector<csv_row> rows;
};

/**
 * Parses RFC 4180 text in UTF-8; accepts a byte order mark and CR LF, CR or LF
 * line endings. Each malformed row is omitted and reported as an issue.
 */
csv_table ParseCsv(const std::string& file, std::string_view text,
                   std::vector<issue>& issues);

/** Quotes a cell if it contains a comma, a quote or a line break. */
std::string QuoteCsv(const std::string& cell);

/** True if the bytes are well-formed UTF-8. */
bool IsUtf8(std::string_view text);

}  // namespace comfreyspring::sheet

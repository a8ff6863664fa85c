#include "sheet/csv.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::sheet {
namespace {

bool IsContinuation(unsigned char byte) { return (byte & 0xc0) == 0x80; }

/** Bytes in the UTF-8 sequence at the start of `text`; 0 if malformed. */
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [text](std::size_t at) {
    return at < text.size() ? static_cast<unsigned char>(text[at])
                            : static_cast<unsigned char>(0);
  };
  const unsigned char lead = byte(0);
  if (lead < 0x80) return 1;
  if (lead >= 0xc2 && lead <= 0xdf) return IsContinuation(byte(1)) ? 2 : 0;
  if ((lead & 0xf0) == 0xe0) {
    const bool is_overlong = lead == 0xe0 && byte(1) < 0xa0;
    const bool is_surrogate = lead == 0xed && byte(1) > 0x9f;
    return IsContinuation(byte(1)) && IsContinuation(byte(2)) && !is_overlong &&
                   !is_surrogate
               ? 3
               : 0;
  }
  if (lead >= 0xf0 && lead <= 0xf4) {
    const bool is_overlong = lead == 0xf0 && byte(1) < 0x90;
    const bool is_too_large = lead == 0xf4 && byte(1) > 0x8f;
    return IsContinuation(byte(1)) && IsContinuation(byte(2)) &&
                   IsContinuation(byte(3)) && !is_overlong && !is_too_large
               ? 4
               : 0;
  }
  return 0;
}

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/** The cells of a row before validation against the header. */
struct raw_row {
  std::vector<std::string> cells;
  std::string error;
  /** The file ends inside a quoted cell. */
  bool is_unterminated = false;
};

/** Splits text into rows; continues after a malformed cell. */
class csv_parser {
 public:
  explicit csv_parser(std::string_view text) : text_(text) {}

  bool AtEnd() const { return at_ >= text_.size(); }

  raw_row ReadRow() {
    raw_row row;
    while (true) {
      row.cells.push_back(Trimmed(ReadCell(row)));
      if (AtEnd()) return row;
      const char separator = text_[at_++];
      if (separator == ',') continue;
      if (separator == '\r' && !AtEnd() && text_[at_] == '\n') ++at_;
      return row;
    }
  }

 private:
  bool AtSeparator() const {
    return AtEnd() || text_[at_] == ',' || text_[at_] == '\n' ||
           text_[at_] == '\r';
  }

  std::string ReadCell(raw_row& row) {
    if (!AtEnd() && text_[at_] == '"') return ReadQuoted(row);
    std::string cell;
    while (!AtSeparator()) {
      if (text_[at_] == '"')
        row.error = "An unquoted cell contains a double quote.";
      cell += text_[at_++];
    }
    return cell;
  }

  std::string ReadQuoted(raw_row& row) {
    std::string cell;
    ++at_;
    while (!AtEnd()) {
      const char character = text_[at_++];
      if (character != '"') {
        cell += character;
      } else if (!AtEnd() && text_[at_] == '"') {
        cell += text_[at_++];
      } else {
        ReadTrailingText(row, cell);
        return cell;
      }
    }
    row.error = "A quoted cell is not terminated before the end of the file.";
    row.is_unterminated = true;
    return cell;
  }

  void ReadTrailingText(raw_row& row, std::string& cell) {
    while (!AtSeparator()) {
      if (text_[at_] != ' ') {
        row.error = "Text follows the closing quote of a cell.";
      }
      cell += text_[at_++];
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

bool IsEmpty(const raw_row& row) {
  return row.error.empty() &&
         std::all_of(row.cells.begin(), row.cells.end(),
                     [](const std::string& cell) { return cell.empty(); });
}

void CheckHeader(const csv_table& table, std::vector<issue>& issues) {
  for (auto at = table.header.begin(); at != table.header.end(); ++at) {
    if (at->empty()) {
      issues.push_back({table.file, 1, "", "", "A column has no name.",
                        "Name the column or delete it."});
    } else if (std::find(table.header.begin(), at, *at) != at) {
      issues.push_back({table.file, 1, *at, *at, "Duplicate column name.",
                        "Delete or rename one of the columns."});
    }
  }
}

void AddRow(raw_row raw, std::size_t number, csv_table& table,
            std::vector<issue>& issues) {
  if (!raw.error.empty()) {
    issues.push_back({table.file, number, "", "", raw.error,
                      "Enclose the cell in double quotes and double each quote "
                      "inside it."});
    return;
  }
  if (std::any_of(raw.cells.begin(), raw.cells.end(),
                  [](const std::string& cell) { return !IsUtf8(cell); })) {
    issues.push_back({table.file, number, "", "", "The row is not valid UTF-8.",
                      "Export the sheet as CSV in UTF-8."});
    return;
  }
  if (table.header.empty()) {
    table.header = std::move(raw.cells);
    CheckHeader(table, issues);
    return;
  }
  if (raw.cells.size() != table.header.size()) {
    issues.push_back(
        {table.file, number, "", "",
         "The row has " + std::to_string(raw.cells.size()) +
             " cells; the header has " + std::to_string(table.header.size()) +
             ".",
         "Give the row as many cells as the header; quote cells that hold a "
         "comma."});
    return;
  }
  table.rows.push_back({number, std::move(raw.cells)});
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

csv_table ParseCsv(const std::string& file, std::string_view text,
                   std::vector<issue>& issues) {
  constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    text.remove_prefix(kByteOrderMark.size());
  }
  csv_table table;
  table.file = file;
  csv_parser rows(text);
  for (std::size_t number = 1; !rows.AtEnd(); ++number) {
    raw_row row = rows.ReadRow();
    if (IsEmpty(row)) continue;
    const bool is_header_malformed = table.header.empty() && !row.error.empty();
    AddRow(std::move(row), number, table, issues);
    // Without a header, every later row would report the same issue.
    if (is_header_malformed || table.header.empty()) return table;
  }
  if (table.header.empty()) {
    issues.push_back({file, 0, "", "", "The file is empty.",
                      "Export the sheet again, with its header row."});
  }
  return table;
}

std::string QuoteCsv(const std::string& cell) {
  if (cell.find_first_of(",\"\r\n") == std::string::npos) return cell;
  std::string quoted = "\"";
  for (const char character : cell) {
    if (character == '"') quoted += '"';
    quoted += character;
  }
  return quoted + '"';
}

}  // namespace comfreyspring::sheet

#include "sheet/issue.h"

#include <algorithm>

namespace comfreyspring::sheet {
namespace {

// An unterminated quote can make the rest of the file one value, so displayed
// values are truncated.
constexpr std::size_t kMaximumDisplayedBytes = 80;

std::string DisplayText(const std::string& value) {
  std::string text = value.substr(0, kMaximumDisplayedBytes);
  for (char& character : text) {
    if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f) {
      character = ' ';
    }
  }
  return value.size() > kMaximumDisplayedBytes ? text + "..." : text;
}

}  // namespace

std::string ToString(const issue& item) {
  std::string text = item.file;
  if (item.row > 0) text += " row " + std::to_string(item.row);
  if (!item.column.empty()) {
    text += ", column " + DisplayText(item.column) + ", value '" +
            DisplayText(item.value) + "'";
  }
  text += item.level == severity::error ? ": error: " : ": warning: ";
  return text + item.problem + " Remedy: " + item.remedy;
}

bool HasErrors(const std::vector<issue>& issues) {
  return std::any_of(issues.begin(), issues.end(), [](const issue& item) {
    return item.level == severity::error;
  });
}

}  // namespace comfreyspring::sheet

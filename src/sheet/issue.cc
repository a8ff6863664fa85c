#include "sheet/issue.h"

#include <algorithm>

namespace comfreyspring::sheet {
namespace {

// Longer values are cut, so that one broken quote cannot fill the screen.
constexpr std::size_t kShownValueBytes = 80;

std::string Shown(const std::string& value) {
  std::string text = value.substr(0, kShownValueBytes);
  for (char& letter : text) {
    if (static_cast<unsigned char>(letter) < 0x20 || letter == 0x7f) {
      letter = ' ';
    }
  }
  return value.size() > kShownValueBytes ? text + "..." : text;
}

}  // namespace

std::string ToString(const issue& item) {
  std::string text = item.file;
  if (item.row > 0) text += " row " + std::to_string(item.row);
  if (!item.column.empty()) {
    text += ", column " + Shown(item.column) + ", value '" + Shown(item.value) +
            "'";
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

#include "quarantine/crash_record.h"

#include <cstddef>

namespace comfreyspring::quarantine {

namespace {

/** Keeps a log line short; a batch may hold 64 requests. */
constexpr std::size_t kMaximumNamedParts = 32;

}  // namespace

std::string ToText(const std::vector<suspected_part>& parts) {
  std::string text;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const suspected_part& each = parts[i];
    if (i == kMaximumNamedParts) {
      return text + " and " + std::to_string(parts.size() - i) + " more";
    }
    if (!text.empty()) text += ' ';
    text += each.part.Value() + ':' + std::to_string(each.level);
    if (each.cleared) text += ":cleared";
  }
  return text;
}

}  // namespace comfreyspring::quarantine

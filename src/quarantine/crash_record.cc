#include "quarantine/crash_record.h"

namespace comfreyspring::quarantine {

std::string ToText(const std::vector<suspected_part>& parts) {
  std::string text;
  for (const suspected_part& each : parts) {
    if (!text.empty()) text += ' ';
    text += each.part.Value() + ':' + std::to_string(each.level);
    if (each.cleared) text += ":cleared";
  }
  return text;
}

}  // namespace comfreyspring::quarantine

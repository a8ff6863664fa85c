#include "limits/request_rate.h"

#include <array>
#include <cstdio>

namespace comfreyspring::limits {

std::string ToText(const std::optional<request_rate>& rate) {
  if (!rate) return {};
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", rate->PerSecond());
  return text.data();
}

}  // namespace comfreyspring::limits

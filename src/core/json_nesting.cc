#include "core/json_nesting.h"

namespace comfreyspring::core {

bool IsNestedWithin(std::string_view json_text, std::size_t depth) {
  std::size_t level = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < json_text.size(); ++at) {
    const char character = json_text[at];
    if (in_string) {
      if (character == '\\') ++at;
      if (character == '"') in_string = false;
      continue;
    }
    switch (character) {
      case '"':
        in_string = true;
        break;
      case '[':
      case '{':
        if (++level > depth) return false;
        break;
      case ']':
      case '}':
        if (level > 0) --level;
        break;
      default:
        break;
    }
  }
  return true;
}

}  // namespace comfreyspring::core

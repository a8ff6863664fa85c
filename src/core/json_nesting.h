#pragma once

#include <cstddef>
#include <string_view>

namespace comfreyspring::core {

/**
 * Whether arrays and objects in a JSON text are nested at most this deep. JSON
 * values are copied and printed recursively, so a value from outside that is
 * nested deeper could exhaust the stack. The text need not be valid.
 */
bool IsNestedWithin(std::string_view json_text, std::size_t depth);

/** Above the depth of every message and document of the system. */
inline constexpr std::size_t kMaximumJsonDepth = 64;

}  // namespace comfreyspring::core

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

/**
 * Whether a CBOR item is nested at most this deep and all its parts have
 * definite lengths, as in each frame between processes of the system. Decoders
 * recurse for each level and for each indefinite length.
 */
bool IsCborNestedWithin(std::string_view frame, std::size_t depth);

/** Above the depth of every document of the system and of its platform. */
inline constexpr std::size_t kMaximumJsonDepth = 64;
/** Above the depth of every frame. */
inline constexpr std::size_t kMaximumCborDepth = 16;

}  // namespace comfreyspring::core

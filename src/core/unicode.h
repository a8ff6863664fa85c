#pragma once

#include <string>
#include <string_view>

namespace comfreyspring::core {

/** U+FFFD, which stands for text that cannot be read. */
inline constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";

/**
 * Replaces what no string of a JSON text may hold by U+FFFD: bytes that are not
 * UTF-8, and escapes of surrogates without a partner. Peers whose strings are
 * bytes write either.
 */
std::string ReplaceInvalidUnicode(std::string_view json_text);

}  // namespace comfreyspring::core

#pragma once

#include <string>
#include <string_view>

#include "net/http_server.h"

namespace comfreyspring::net {

// Grammar of the heads of HTTP messages (RFC 9110, RFC 9112). Text that does
// not follow it may end its line, or be read in another way by another peer.

/** @returns the position of the first character that no token has, or npos. */
std::size_t FindNonToken(std::string_view text);
/** @returns the position of the first control character but tabs, or npos. */
std::size_t FindControl(std::string_view text);
/** @returns `text` without spaces and tabs at its ends. */
std::string_view TrimBlanks(std::string_view text);
/** @returns the byte for an error text, such as `0x0a`. */
std::string ByteText(char c);
/** @returns the name of a field for an error text; a long one is shortened. */
std::string_view Quoted(std::string_view name);

/**
 * Checks the head of a request that is received or sent.
 * @param target may be empty for the default of its URL.
 * @throws net_error with a text that contains no value of a field.
 */
void CheckRequestHead(std::string_view method, std::string_view target,
                      const header_map& headers);
/**
 * Checks the fields of a response that is sent.
 * @throws net_error with a text that contains no value of a field.
 */
void CheckResponseFields(const header_map& headers);

}  // namespace comfreyspring::net

#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "wire/messages.h"

namespace comfreyspring::wire {

/** Thrown for a frame that cannot be decoded into a message. */
class wire_error : public core::error {
 public:
  using core::error::error;
};

/** Maximum size of a frame that is sent or accepted on a link. */
inline constexpr std::size_t kMaximumFrameBytes = 2 * 1024 * 1024;

/** Encodes a message as one CBOR map. */
std::string Encode(const message& value);

/**
 * Decodes one frame.
 * @throws wire_error on malformed CBOR, an unknown type, or a missing or
 *     mistyped field. The error message names the message type and the field.
 */
message Decode(std::string_view frame);

}  // namespace comfreyspring::wire

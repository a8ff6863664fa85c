#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "wire/messages.h"

namespace comfreyspring::wire {

/** A frame that is not one of the known messages. */
class wire_error : public core::error {
 public:
  using core::error::error;
};

/** Largest frame that a link sends or accepts, in bytes. */
inline constexpr std::size_t kMaximumFrameBytes = 2 * 1024 * 1024;

/** Encodes a message as one CBOR map. */
std::string Encode(const message& value);

/**
 * Decodes one frame.
 * @throws wire_error on malformed CBOR, an unknown type, or a missing or
 *     mistyped field; the text names the type and the field.
 */
message Decode(std::string_view frame);

}  // namespace comfreyspring::wire

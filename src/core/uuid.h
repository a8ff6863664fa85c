#pragma once

#include <string>
#include <string_view>

#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::core {

/** Generates a UUIDv7 in its 36-character text form. */
std::string MakeUuidV7(wall_time now, random_source& random);

/**
 * Returns the creation time encoded in a UUIDv7.
 * @throws invalid_value_error if the text is not a valid UUIDv7.
 */
wall_time UuidV7Time(std::string_view text);

}  // namespace comfreyspring::core

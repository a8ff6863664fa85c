#pragma once

#include <string>
#include <string_view>

#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::core {

/** Makes a UUIDv7 in its 36-character text form. */
std::string MakeUuidV7(wall_time now, random_source& random);

/**
 * Creation time that a UUIDv7 carries.
 * @throws invalid_value_error if the text is not a UUIDv7 in text form.
 */
wall_time UuidV7Time(std::string_view text);

}  // namespace comfreyspring::core

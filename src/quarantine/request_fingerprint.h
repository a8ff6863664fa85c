#pragma once

#include <initializer_list>
#include <string_view>

#include "core/ids.h"

namespace comfreyspring::quarantine {

/**
 * Identifies requests that ask for the same, so that one that ends engines is
 * recognised when it comes again. It is a hash: what was asked for cannot be
 * read from it.
 *
 * A request takes part in the evidence like a part of its prompt that no other
 * request has. Ids of prompt parts contain no colon, so they differ.
 *
 * @param fields all that the answer depends on; their order matters.
 */
core::prompt_part_id RequestFingerprint(
    std::initializer_list<std::string_view> fields);

/** The id stands for a whole request. */
bool IsRequest(const core::prompt_part_id& suspect);

}  // namespace comfreyspring::quarantine

#pragma once

#include <vector>

#include "config/configuration.h"
#include "core/ids.h"

namespace comfreyspring::entry {

/**
 * The endpoints that an entry links to: every plain service, every engine of
 * its data centre, and the engines of other data centres; only a deterministic
 * subset of 8 of each other one if its own is a placement scope of its own.
 */
std::vector<core::endpoint_id> PlanLinks(
    const config::configuration& current, const core::process_id& process,
    const core::data_centre_id& data_centre);

}  // namespace comfreyspring::entry

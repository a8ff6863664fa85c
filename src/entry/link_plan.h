#pragma once

#include <vector>

#include "config/configuration.h"
#include "core/ids.h"

namespace comfreyspring::entry {

/**
 * Selects the endpoints that an entry connects to: every plain service, every
 * engine of its own data centre, and the engines of the other data centres. If
 * its own data centre has enough engines to place adapters locally, it connects
 * only to a deterministic subset of 8 engines in each other data centre.
 */
std::vector<core::endpoint_id> PlanLinks(
    const config::configuration& current, const core::process_id& process,
    const core::data_centre_id& data_centre);

}  // namespace comfreyspring::entry

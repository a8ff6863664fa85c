#pragma once

#include <cstddef>
#include <vector>

#include "core/ids.h"

namespace comfreyspring::placement {

/**
 * A data centre with at least this many engines of a model places adapters on
 * its own engines; smaller ones share the engines of the region. 24 engines are
 * enough for the replicas of an adapter, and an entry has links to all engines
 * of its own data centre.
 */
inline constexpr std::size_t kMinimumLocalEngines = 24;

/**
 * The endpoints of a remote data centre that a process connects to: the first
 * `size` by rendezvous hash of the process id, sorted by name. Adding or
 * removing one endpoint changes at most one member of the subset.
 */
std::vector<core::endpoint_id> DeterministicSubset(
    const core::process_id& process, std::vector<core::endpoint_id> endpoints,
    std::size_t size);

}  // namespace comfreyspring::placement

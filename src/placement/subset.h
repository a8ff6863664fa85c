#pragma once

#include <cstddef>
#include <vector>

#include "core/ids.h"

namespace comfreyspring::placement {

/** A data centre with this many engines of a model places adapters on its own;
 * smaller ones share the engines of the region. 24 hold an adapter's homes, and
 * the links of an entry reach all engines of its own data centre. */
inline constexpr std::size_t kMinimumLocalEngines = 24;

/**
 * The endpoints of a remote data centre that a process links to: the first
 * `size` by rendezvous hash of the process id, ascending by name. A change of
 * one endpoint changes at most one member.
 */
std::vector<core::endpoint_id> DeterministicSubset(
    const core::process_id& process, std::vector<core::endpoint_id> endpoints,
    std::size_t size);

}  // namespace comfreyspring::placement

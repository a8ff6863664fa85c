#pragma once

#include <cstddef>

#include "net/body_budget.h"
#include "settings/node_settings.h"

namespace comfreyspring::gateway {

/** What callers may use of a gateway's machine. */
struct caller_capacity {
  unsigned connections = 3000;
  /** Connections that are closed and not yet read by their callers. */
  std::size_t lingering_connections = 256;
  net::body_budget_limits bodies;
};

/** Divides a machine's memory and descriptors; defaults where not known. */
caller_capacity CapacityFor(const settings::node_settings& settings);

}  // namespace comfreyspring::gateway

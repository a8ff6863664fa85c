#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "catalog/route.h"
#include "core/random_source.h"
#include "core/time.h"
#include "gateway/endpoint_view.h"

namespace comfreyspring::gateway {

/** Who asks, for the choice of an endpoint. */
struct choice_request {
  catalog::adapter_name adapter;
  core::data_centre_id data_centre;
  /** Endpoints that are not to be chosen. */
  const std::set<catalog::instance_id>* excluded = nullptr;
  /** Gateways that send to the same endpoints. */
  std::size_t gateways = 1;
};

using endpoint_views = std::vector<const endpoint_view*>;

/** An engine, and why it was chosen. */
struct engine_choice {
  /** Null if no engine can serve. */
  const endpoint_view* view = nullptr;
  /**
   * Load up to which it was preferred to the others: beyond that, another one
   * would have been chosen. 0 if the others are as full.
   */
  double load_bound = 0.0;
};

/**
 * The engine to ask for a grant, or to send to if its agent is not there.
 *
 * An adapter has a home by rendezvous hashing, so that all gateways send its
 * requests to the same few engines and places and loads are not spent twice.
 * Load patterns: a popular adapter spreads to the next engine of its order
 * when those that hold it are clearly fuller than the others; engines whose
 * places are all in use, that fail more than their peers or are silent while
 * work is outstanding are left to the others.
 */
engine_choice ChooseEngine(const endpoint_views& engines,
                           const choice_request& request, core::time_point now);

/**
 * The plain endpoint with the shortest expected time: outstanding requests
 * times latency, with failing and silent endpoints behind.
 * @returns null if there is none.
 */
const endpoint_view* ChoosePlain(const endpoint_views& endpoints,
                                 const choice_request& request,
                                 core::random_source& random,
                                 core::time_point now);

}  // namespace comfreyspring::gateway

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "catalog/route.h"
#include "core/random_source.h"
#include "core/time.h"
#include "gateway/endpoint_view.h"
#include "gateway/engine_capacity.h"

namespace comfreyspring::gateway {

/** The request for which an endpoint is chosen. */
struct choice_request {
  catalog::adapter_name adapter;
  core::data_centre_id data_centre;
  /** Endpoints that must not be chosen. */
  const std::set<catalog::instance_id>* excluded = nullptr;
  /** Number of gateways that send to the same endpoints. */
  std::size_t gateways = 1;
  answer_size size;
  /** Time until the end of the answer is due; nothing if not considered. */
  std::optional<core::milliseconds> answer_due_in;
};

using endpoint_views = std::vector<const endpoint_view*>;

/** The chosen engine and the load bound that was applied. */
struct engine_choice {
  /** Null if no engine can serve the request. */
  const endpoint_view* view = nullptr;
  /**
   * Load up to which this engine is preferred to the others; 0 if the others
   * are as loaded.
   */
  double load_bound = 0.0;
  /** See `RelativeSpeeds`. */
  double relative_speed = 1.0;
  /** Estimated time to the end of the answer, if known. */
  std::optional<core::milliseconds> finish_in;
  /**
   * The engines differ in speed, so another one may finish what this one
   * cannot.
   */
  bool speeds_differ = false;
  /** There is none because the answer would end late at all of them. */
  bool cannot_finish = false;
};

/**
 * Chooses the engine to request a grant from, or to send to if its sidecar is
 * not connected.
 *
 * Rendezvous hashing orders the engines of each adapter, so that all gateways
 * send its requests to the same few engines and adapter slots and loads are not
 * spent twice. A popular adapter spreads to the next engine of its order when
 * those that hold it are clearly more loaded than the mean. Engines without a
 * free adapter slot, with more failures than their peers, or silent while
 * requests are outstanding are avoided.
 *
 * Where engines differ in speed (see `engine_capacity`), faster ones take more
 * load and more adapters, and an answer goes to an engine on which it is
 * expected to end in time, also if a slower one holds its adapter. Where they
 * do not differ, the length of the answer has no influence.
 */
engine_choice ChooseEngine(const endpoint_views& engines,
                           const choice_request& request, core::time_point now);

/**
 * Chooses the engine for prompts with a part that may end it: the first one in
 * rendezvous order whose sidecar lets such requests run one at a time, so that
 * all gateways use the same engine.
 * @returns null if there is none.
 */
const endpoint_view* ChooseIsolationEngine(const endpoint_views& engines,
                                           const choice_request& request,
                                           const core::prompt_part_id& part);

/**
 * Chooses the plain endpoint with the lowest expected time (outstanding
 * requests times latency). Failing and silent endpoints are penalised, and
 * rate-limited ones are left out until their next permit is due, unless there
 * are no others.
 * @returns null if there is none.
 */
const endpoint_view* ChoosePlainEndpoint(const endpoint_views& endpoints,
                                         const choice_request& request,
                                         core::random_source& random,
                                         core::time_point now);

}  // namespace comfreyspring::gateway

#pragma once

#include "catalog/route.h"
#include "core/time.h"

namespace comfreyspring::gateway {

/** How an attempt at an endpoint ended without a usable answer. */
enum class attempt_failure {
  /** Nothing of the request was sent. */
  not_sent,
  /** The endpoint states that it has not run the request. */
  not_run,
  /** It may have run: the connection broke or the answer is unusable. */
  unknown,
  /** It ran and failed. */
  failed,
  /** No output for too long; the call was cancelled. */
  stalled,
};

const char* ToString(attempt_failure failure);

/** Where a request stands when an attempt has failed. */
struct repeat_situation {
  attempt_failure failure = attempt_failure::unknown;
  bool answer_begun = false;
  /** Different endpoints to which something was sent. */
  int endpoints_used = 0;
  /** Attempts of any kind. */
  int attempts = 0;
  core::milliseconds time_left{0};
};

/** What to do with the request next. */
enum class repeat_decision {
  /** At any endpoint. */
  anywhere,
  /** Only at an endpoint that it was sent to before. */
  same_endpoint,
  /** Give the caller its final answer. */
  give_up,
};

/**
 * Whether a request may be tried again. A request that may have run is
 * repeated only if its route allows that; a request that surely has not run
 * is not bound by it, but by the number of endpoints of its route.
 */
repeat_decision DecideRepeat(const catalog::route& route,
                             const repeat_situation& situation);

/** Times that bound one request. */
struct request_patience {
  /** The caller leaves a stream that is silent for so long. */
  core::milliseconds caller_leaves{0};
  /** A grant after this, counted from the arrival, is of no use. */
  core::milliseconds longest_wait{0};
  /** An endpoint that is silent for so long is given up. */
  core::milliseconds stall{0};
};

request_patience PatienceFor(const catalog::route& route,
                             core::milliseconds time_limit);

}  // namespace comfreyspring::gateway

#pragma once

#include "catalog/route.h"
#include "core/time.h"

namespace comfreyspring::gateway {

/** How an attempt at an endpoint ended without a usable response. */
enum class attempt_failure {
  /** No part of the request was sent. */
  not_sent,
  /** The endpoint states that it has not run the request. */
  not_run,
  /**
   * The request may have run: the connection broke or the response is unusable.
   */
  unknown,
  /** The request ran and failed. */
  failed,
  /** No output within the stall timeout; the call was cancelled. */
  stalled,
};

const char* ToString(attempt_failure failure);

/** State of a request whose attempt has failed. */
struct retry_context {
  attempt_failure failure = attempt_failure::unknown;
  bool response_started = false;
  /** Number of different endpoints that the request was sent to. */
  int endpoints_used = 0;
  /** Number of attempts, including those that were not sent. */
  int attempts = 0;
  core::milliseconds time_left{0};
};

/** What to do with the request next. */
enum class retry_decision {
  /** Retry at any endpoint. */
  anywhere,
  /** Retry only at an endpoint that it was sent to before. */
  same_endpoint,
  /** Send the caller the final response. */
  give_up,
};

/**
 * Decides whether a request is retried. A request that may have run is retried
 * only if its route allows that. A request that has certainly not run is
 * limited only by attempts, time and the number of endpoints of its route.
 */
retry_decision DecideRetry(const catalog::route& route,
                           const retry_context& context);

/** Timeouts of one request. */
struct request_timeouts {
  /** The caller abandons a stream that is silent for this long. */
  core::milliseconds caller_idle_timeout{0};
  /**
   * Longest wait for a grant, from the arrival, after which the grant is
   * useless.
   */
  core::milliseconds maximum_grant_wait{0};
  /** Silence of an endpoint after which the attempt counts as stalled. */
  core::milliseconds stall_timeout{0};
};

request_timeouts TimeoutsFor(const catalog::route& route,
                             core::milliseconds time_limit);

}  // namespace comfreyspring::gateway

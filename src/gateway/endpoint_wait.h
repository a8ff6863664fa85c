#pragma once

#include <cstddef>

#include "core/time.h"

namespace comfreyspring::gateway {

/** A request for which no endpoint can be used at the moment. */
struct unplaced_request {
  /** Time since its arrival or its last output. */
  core::milliseconds waited{0};
  /** Longest useful wait, from `request_timeouts`. */
  core::milliseconds maximum_wait{0};
  /** An endpoint may have run it. */
  bool has_started = false;
  /** Engines of its service that may serve soon: not draining, no backoff. */
  std::size_t returning_endpoints = 0;
  /** Other requests that wait for an endpoint. */
  std::size_t waiting = 0;
};

/**
 * Decides whether a request waits for an engine instead of being refused.
 *
 * Load pattern: engines and gateways restart together. For some hundred
 * milliseconds engines load their model, and callers, whose connections broke,
 * all come back at once; a refusal would cost each its second attempt moments
 * before it could be served.
 */
inline bool MayAwaitEndpoint(const unplaced_request& request) {
  // An engine is ready again about 0.7 s after its start.
  constexpr core::milliseconds kMaximumEndpointWait{1000};
  // Bounds the memory and the burst when an endpoint appears.
  constexpr std::size_t kMaximumWaiting = 512;
  return !request.has_started && request.returning_endpoints > 0 &&
         request.waiting < kMaximumWaiting &&
         request.waited < kMaximumEndpointWait &&
         request.waited < request.maximum_wait;
}

}  // namespace comfreyspring::gateway

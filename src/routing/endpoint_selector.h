#pragma once

#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "routing/request_router.h"
#include "wire/messages.h"

namespace comfreyspring::routing {

/** Answer of a selector: an endpoint, or why there is none. */
struct selection {
  /** Empty if no endpoint was selected. */
  core::endpoint_id endpoint;
  /** True if endpoints exist, but the wait exceeds the deadline. */
  bool overloaded = false;
  core::milliseconds retry_after{0};
};

/** Chooses endpoints for a request_lifecycle and learns from its attempts. */
class endpoint_selector {
 public:
  virtual ~endpoint_selector() = default;

  /** Counts a new request. */
  virtual void OnRequest(const request_attributes& facts,
                         core::time_point now) = 0;
  /** @param excluded endpoints that were tried before. */
  virtual selection Select(const request_attributes& facts,
                           const std::vector<core::endpoint_id>& excluded,
                           bool hedge, core::time_point now) = 0;
  /** True if the endpoint may get new work now. */
  virtual bool IsAvailable(const core::endpoint_id& endpoint,
                           core::time_point now) const = 0;
  /** Time without a byte after which a request is hedged; nullopt: never. */
  virtual std::optional<core::microseconds> HedgeDelay(
      const request_attributes& facts) const = 0;

  virtual void OnSubmitted(const request_attributes& facts,
                           const core::endpoint_id& endpoint,
                           core::time_point now) = 0;
  virtual void OnAcknowledged(const request_attributes& facts,
                              const core::endpoint_id& endpoint) = 0;
  virtual void OnReport(const request_attributes& facts,
                        const core::endpoint_id& endpoint,
                        const wire::endpoint_report& report,
                        core::time_point now) = 0;
  /** @param unobstructed the adapter was loaded and the batch had a place. */
  virtual void OnFirstChunk(const request_attributes& facts,
                            const core::endpoint_id& endpoint,
                            core::microseconds since_submit, bool unobstructed,
                            core::time_point now) = 0;
  virtual void OnProgress(const request_attributes& facts,
                          const core::endpoint_id& endpoint,
                          core::microseconds per_chunk,
                          core::time_point now) = 0;
  /** A whole answer. @param served time since its first chunk or submit. */
  virtual void OnServed(const request_attributes& facts,
                        const core::endpoint_id& endpoint,
                        core::token_count tokens, core::microseconds served,
                        core::time_point now) = 0;
  virtual void OnEnded(const request_attributes& facts,
                       const core::endpoint_id& endpoint,
                       bool acknowledged) = 0;
  virtual void OnReplaced(const core::endpoint_id& endpoint) = 0;
  /** No acknowledgement came in time: prefer others until it is heard. */
  virtual void OnSuspected(const core::endpoint_id& endpoint,
                           core::time_point now) = 0;
  virtual void OnTick(core::time_point now) = 0;
};

}  // namespace comfreyspring::routing

#pragma once

#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "routing/request_router.h"
#include "wire/messages.h"

namespace comfreyspring::routing {

/** Result of a selection: an endpoint, or the reason why there is none. */
struct selection {
  /** Empty if no endpoint was selected. */
  core::endpoint_id endpoint;
  /** True if endpoints exist, but the wait exceeds the deadline. */
  bool overloaded = false;
  core::milliseconds retry_after{0};
};

/** Chooses endpoints for a request_lifecycle and observes its attempts. */
class endpoint_selector {
 public:
  virtual ~endpoint_selector() = default;

  /** Counts a new request. */
  virtual void OnRequest(const request_attributes& attributes,
                         core::time_point now) = 0;
  /** @param excluded endpoints that were tried before. */
  virtual selection Select(const request_attributes& attributes,
                           const std::vector<core::endpoint_id>& excluded,
                           bool hedge, core::time_point now) = 0;
  /** True if the endpoint may get new work now. */
  virtual bool IsAvailable(const core::endpoint_id& endpoint,
                           core::time_point now) const = 0;
  /** Time without output after which a request is hedged; nullopt for never. */
  virtual std::optional<core::microseconds> HedgeDelay(
      const request_attributes& attributes) const = 0;

  virtual void OnSubmitted(const request_attributes& attributes,
                           const core::endpoint_id& endpoint,
                           core::time_point now) = 0;
  virtual void OnAcknowledged(const request_attributes& attributes,
                              const core::endpoint_id& endpoint) = 0;
  virtual void OnReport(const request_attributes& attributes,
                        const core::endpoint_id& endpoint,
                        const wire::endpoint_report& report,
                        core::time_point now) = 0;
  /** @param uncontended the adapter was loaded and a batch slot was free. */
  virtual void OnFirstChunk(const request_attributes& attributes,
                            const core::endpoint_id& endpoint,
                            core::microseconds since_submit, bool uncontended,
                            core::time_point now) = 0;
  virtual void OnProgress(const request_attributes& attributes,
                          const core::endpoint_id& endpoint,
                          core::microseconds per_chunk,
                          core::time_point now) = 0;
  /**
   * The response is complete.
   * @param served time since its first chunk, or since the submit without one.
   */
  virtual void OnServed(const request_attributes& attributes,
                        const core::endpoint_id& endpoint,
                        core::token_count tokens, core::microseconds served,
                        core::time_point now) = 0;
  virtual void OnEnded(const request_attributes& attributes,
                       const core::endpoint_id& endpoint,
                       bool acknowledged) = 0;
  virtual void OnReplaced(const core::endpoint_id& endpoint) = 0;
  /**
   * An acknowledgement timed out: prefers other endpoints until a message from
   * this one arrives.
   */
  virtual void OnSuspected(const core::endpoint_id& endpoint,
                           core::time_point now) = 0;
  virtual void OnTick(core::time_point now) = 0;
};

}  // namespace comfreyspring::routing

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "core/ids.h"
#include "entry/request_context.h"
#include "membership/endpoint_directory.h"
#include "net/event_loop.h"
#include "routing/request_router.h"
#include "telemetry/metrics.h"
#include "trace/trace_writer.h"
#include "wire/messages.h"

namespace comfreyspring::entry {

/** How the request controller reaches agents. */
class agent_sender {
 public:
  virtual ~agent_sender() = default;
  /** @returns false if there is no open link to the endpoint. */
  virtual bool Send(const core::endpoint_id& endpoint,
                    const wire::message& message) = 0;
  virtual void Suspect(const core::endpoint_id& endpoint) = 0;
};

/**
 * Carries out what the router decides: sends attempts, assembles their
 * answers, and writes exactly one answer to each caller.
 */
class request_controller {
 public:
  /** @param trace records the router; nullptr: no recording. */
  request_controller(net::event_loop& loop, routing::router_options options,
                     const membership::endpoint_directory& directory,
                     agent_sender& sender, telemetry::metrics& metrics,
                     trace::trace_writer* trace = nullptr);
  ~request_controller();
  request_controller(const request_controller&) = delete;
  request_controller& operator=(const request_controller&) = delete;

  // Requests.

  /** Takes over a request that has passed the filter chain. */
  void Start(request_context context);

  // Events from agents.

  void OnMessage(const core::endpoint_id& endpoint,
                 const wire::message& message);
  /** The same agent instance is reachable again: continues its answers. */
  void OnResumed(const core::endpoint_id& endpoint);
  void OnEndpointLost(const core::endpoint_id& endpoint);

  // State.

  std::size_t OpenRequests() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

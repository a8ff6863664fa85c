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

/** Interface by which the request controller reaches agents. */
class agent_sender {
 public:
  virtual ~agent_sender() = default;
  /** @returns false if there is no open link to the endpoint. */
  virtual bool Send(const core::endpoint_id& endpoint,
                    const wire::message& message) = 0;
  /** Opens a new link to replace one that is suspected to be broken. */
  virtual void ReplaceLink(const core::endpoint_id& endpoint) = 0;
};

/**
 * Executes the actions of the router: submits attempts, assembles their output,
 * and writes exactly one response to each caller.
 */
class request_controller {
 public:
  /** @param trace records the router's events and actions; may be nullptr. */
  request_controller(net::event_loop& loop, routing::router_options options,
                     const membership::endpoint_directory& directory,
                     agent_sender& sender, telemetry::metrics& metrics,
                     trace::trace_writer* trace = nullptr);
  ~request_controller();
  request_controller(const request_controller&) = delete;
  request_controller& operator=(const request_controller&) = delete;

  // Requests.

  /** Starts a request that has passed the filter chain. */
  void StartRequest(request_context context);

  // Events from agents.

  void OnMessage(const core::endpoint_id& endpoint,
                 const wire::message& message);
  /** The same agent instance has reconnected; resumes its attempts. */
  void OnResumed(const core::endpoint_id& endpoint);
  void OnEndpointLost(const core::endpoint_id& endpoint);

  // State.

  std::size_t OpenRequestCount() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

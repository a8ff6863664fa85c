#pragma once

#include <string>
#include <vector>

#include "routing/request_router.h"
#include "trace/trace_writer.h"

namespace comfreyspring::trace {

/** Wraps a request_router and records its events and actions in a trace. */
class recording_router {
 public:
  using actions = std::vector<routing::router_action>;

  /** Begins the trace. Records nothing if `writer` is null. */
  recording_router(const routing::router_options& options,
                   const membership::endpoint_directory& directory,
                   trace_writer* writer, core::time_point now);
  recording_router(const recording_router&) = delete;
  recording_router& operator=(const recording_router&) = delete;

  // Events.

  actions OnRequest(const routing::request_attributes& attributes,
                    core::time_point now);
  actions OnCallerGone(const core::request_id& request, core::time_point now);
  actions OnAccepted(const core::attempt_id& attempt,
                     const wire::endpoint_report& report, core::time_point now);
  actions OnFirstChunk(const core::attempt_id& attempt, core::time_point now);
  void OnProgress(const core::attempt_id& attempt, std::uint64_t chunks,
                  core::time_point now);
  actions OnFinished(const wire::finished& message, core::time_point now);
  actions OnRefused(const wire::refused& message, core::time_point now);
  actions OnWithdrawn(const wire::withdrawn& message, core::time_point now);
  actions OnBrokenAnswer(const core::attempt_id& attempt,
                         const std::string& reason, core::time_point now,
                         bool output_valid = false);
  actions OnNothingToContinue(const core::attempt_id& attempt,
                              core::time_point now);
  void DisallowContinuation(const core::request_id& request,
                            core::time_point now);
  actions OnNotSent(const core::attempt_id& attempt, core::time_point now);
  actions OnEndpointLost(const core::endpoint_id& endpoint,
                         core::time_point now);
  actions OnTick(core::time_point now);

  // State.

  std::size_t OpenRequests() const { return router_.OpenRequests(); }
  const routing::router_counters& Counters() const {
    return router_.Counters();
  }
  std::vector<routing::endpoint_load> Loads() const { return router_.Loads(); }

 private:
  actions Record(actions list);

  routing::request_router router_;
  trace_writer* writer_;
};

}  // namespace comfreyspring::trace

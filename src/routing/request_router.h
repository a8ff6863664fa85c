#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"
#include "core/types.h"
#include "membership/endpoint_directory.h"
#include "wire/messages.h"

namespace comfreyspring::routing {

/** The attributes of a request that routing depends on. */
struct request_attributes {
  core::request_id request;
  core::request_kind kind = core::request_kind::completion;
  core::model_id model;
  core::adapter_reference adapter;
  core::service_id service;
  core::priority_class priority = core::priority_class::urgent;
  /** If false, at most one attempt is sent. */
  bool idempotent = true;
  core::token_count expected_tokens;
  core::time_point deadline;
  /** Owner of a non-repeatable call; the only endpoint it is sent to. */
  std::optional<core::endpoint_id> home;
  /** Hash of the prompt prefix; 0 if unknown. */
  std::uint64_t prefix_hash = 0;
};

/** Send this attempt to the endpoint. */
struct submit_attempt {
  core::request_id request;
  core::attempt_id attempt;
  core::endpoint_id endpoint;
  bool hedge = false;
  /** The attempt continues the output that the caller already has. */
  bool continuation = false;
};
/** Ask the endpoint to cancel the attempt; its output is discarded. */
struct withdraw_attempt {
  core::attempt_id attempt;
  core::endpoint_id endpoint;
};
/**
 * Use the output of this attempt as the response from now on. After a
 * continuation it is appended to the output of the earlier attempt.
 */
struct select_attempt {
  core::request_id request;
  core::attempt_id attempt;
};
/** The selected attempt has succeeded; the router has erased the request. */
struct complete_request {
  core::request_id request;
  core::attempt_id attempt;
};
/** Final result of a failed request; the router has erased the request. */
struct fail_request {
  core::request_id request;
  core::outcome outcome = core::outcome::not_run;
  /** Fixed short name: `overloaded`, `no_endpoint`, `deadline_exceeded`,
   * `home_unreachable`, `outcome_unknown`, `stream_interrupted`, or the
   * reason that the agent reported. */
  std::string reason;
  std::string message;
  /** 0 if a retry does not help. */
  core::milliseconds retry_after{0};
};
/** An acknowledgement of this endpoint timed out; open a new link. */
struct suspect_link {
  core::endpoint_id endpoint;
};
using router_action =
    std::variant<submit_attempt, withdraw_attempt, select_attempt,
                 complete_request, fail_request, suspect_link>;

struct router_options {
  core::data_centre_id own_data_centre;
  core::milliseconds acknowledge_limit{300};
  std::size_t maximum_requests = 20000;
  std::uint64_t random_seed = 1;
};

/** Counters since the start, for metrics and state dumps. */
struct router_counters {
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  std::uint64_t continuations = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedges_won = 0;
  std::uint64_t refused_overload = 0;
  std::uint64_t late_frames_dropped = 0;
};

/** Load and score of one endpoint, for the state dump. */
struct endpoint_load {
  core::endpoint_id endpoint;
  std::int64_t outstanding = 0;
  /** Time per unit of work relative to the median of the peers. */
  double slowness = 1.0;
  bool ejected = false;
};

/**
 * Routes the requests of an entry: chooses endpoints and decides on attempts,
 * retries, hedges, withdrawals and the final result. A pure state machine:
 * takes typed events and returns typed actions, and performs no I/O.
 */
class request_router {
 public:
  /** `directory` must outlive the router. */
  request_router(router_options options,
                 const membership::endpoint_directory& directory);
  ~request_router();
  request_router(const request_router&) = delete;
  request_router& operator=(const request_router&) = delete;

  // Events from the caller's side.

  std::vector<router_action> OnRequest(const request_attributes& attributes,
                                       core::time_point now);
  std::vector<router_action> OnCallerGone(const core::request_id& request,
                                          core::time_point now);

  // Events from the agents.

  std::vector<router_action> OnAccepted(const core::attempt_id& attempt,
                                        const wire::endpoint_report& report,
                                        core::time_point now);
  std::vector<router_action> OnFirstChunk(const core::attempt_id& attempt,
                                          core::time_point now);
  /**
   * Reports the number of chunks received so far. Optional; about every 8
   * chunks is enough. Reveals a slow endpoint long before its responses end.
   */
  void OnProgress(const core::attempt_id& attempt, std::uint64_t chunks,
                  core::time_point now);
  /** The complete response has arrived and passed all checks. */
  std::vector<router_action> OnFinished(const wire::finished& message,
                                        core::time_point now);
  std::vector<router_action> OnRefused(const wire::refused& message,
                                       core::time_point now);
  std::vector<router_action> OnWithdrawn(const wire::withdrawn& message,
                                         core::time_point now);
  /**
   * A stream check failed (gap, checksum, wrong adapter).
   * @param output_valid true if the output so far is valid, so that another
   *     attempt may continue it.
   */
  std::vector<router_action> OnBrokenAnswer(const core::attempt_id& attempt,
                                            const std::string& reason,
                                            core::time_point now,
                                            bool output_valid = false);
  /** A continuation was not sent: the output so far is already complete. */
  std::vector<router_action> OnNothingToContinue(
      const core::attempt_id& attempt, core::time_point now);
  /** The output so far is too long to be continued by another attempt. */
  void DisallowContinuation(const core::request_id& request);
  /** The submit was never written because the link was not open. */
  std::vector<router_action> OnNotSent(const core::attempt_id& attempt,
                                       core::time_point now);
  /** The agent process has ended or was replaced by a new instance. */
  std::vector<router_action> OnEndpointLost(const core::endpoint_id& endpoint,
                                            core::time_point now);

  // Time.

  /**
   * Handles deadlines, hedges and acknowledgement timeouts. Must be called
   * every 10 to 50 ms.
   */
  std::vector<router_action> OnTick(core::time_point now);

  // State.

  std::size_t OpenRequests() const;
  const router_counters& Counters() const;
  std::vector<endpoint_load> Loads() const;
  /** Current replicas of the adapter, in rank order. */
  std::vector<core::endpoint_id> ReplicasOf(
      const core::model_id& model,
      const core::adapter_reference& adapter) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::routing

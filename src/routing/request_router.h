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

/** What routing needs to know of a request. */
struct request_attributes {
  core::request_id request;
  core::request_kind kind = core::request_kind::completion;
  core::model_id model;
  core::adapter_reference adapter;
  core::service_id service;
  core::priority_class priority = core::priority_class::urgent;
  /** False: at most one attempt is ever sent. */
  bool idempotent = true;
  core::token_count expected_tokens;
  core::time_point deadline;
  /** Owner of a non-repeatable call; the only endpoint it may go to. */
  std::optional<core::endpoint_id> home;
  /** Hash of the start of the prompt; 0 if unknown. */
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
/** Ask the endpoint to give the attempt up; its output is dropped. */
struct withdraw_attempt {
  core::attempt_id attempt;
  core::endpoint_id endpoint;
};
/**
 * From now on the output of this attempt is the answer of the request. After a
 * continuation it is appended to the output of the earlier attempt.
 */
struct select_attempt {
  core::request_id request;
  core::attempt_id attempt;
};
/** The selected attempt has ended well; the request is forgotten. */
struct complete_request {
  core::request_id request;
  core::attempt_id attempt;
};
/** Final answer for a request that is given up; the request is forgotten. */
struct fail_request {
  core::request_id request;
  core::outcome outcome = core::outcome::not_run;
  /** Fixed short name: `overloaded`, `no_endpoint`, `deadline_exceeded`,
   * `home_unreachable`, `outcome_unknown`, `stream_interrupted`, or the
   * reason that the agent gave. */
  std::string reason;
  std::string message;
  /** 0 if asking again does not help. */
  core::milliseconds retry_after{0};
};
/** The link of this endpoint did not acknowledge in time; open a new one. */
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

/** Counters for metrics and dumps, since the start. */
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
 * Life of every request at an entry: choice of endpoint, attempts, retries,
 * hedges, withdrawals and the final answer. Pure: typed events in, typed
 * actions out.
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

  std::vector<router_action> OnRequest(const request_attributes& facts,
                                       core::time_point now);
  std::vector<router_action> OnCallerGone(const core::request_id& request,
                                          core::time_point now);

  // Events from the agents.

  std::vector<router_action> OnAccepted(const core::attempt_id& attempt,
                                        const wire::endpoint_report& report,
                                        core::time_point now);
  /** First chunk of an attempt. */
  std::vector<router_action> OnFirstChunk(const core::attempt_id& attempt,
                                          core::time_point now);
  /**
   * Chunks received so far. Optional; every 8 chunks or so is enough. Shows a
   * slow endpoint long before its answers end.
   */
  void OnProgress(const core::attempt_id& attempt, std::uint64_t chunks,
                  core::time_point now);
  /** The whole answer has arrived and was checked. */
  std::vector<router_action> OnFinished(const wire::finished& message,
                                        core::time_point now);
  std::vector<router_action> OnRefused(const wire::refused& message,
                                       core::time_point now);
  std::vector<router_action> OnWithdrawn(const wire::withdrawn& message,
                                         core::time_point now);
  /**
   * Stream checks failed (gap, checksum, wrong adapter).
   * @param output_valid the failure casts no doubt on the output so far, so
   * that another attempt may continue it.
   */
  std::vector<router_action> OnBrokenAnswer(const core::attempt_id& attempt,
                                            const std::string& reason,
                                            core::time_point now,
                                            bool output_valid = false);
  /** A continuation was not sent: the output so far is the whole answer. */
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

  /** Deadlines, hedges, acknowledgements. Call every 10 to 50 ms. */
  std::vector<router_action> OnTick(core::time_point now);

  // State.

  std::size_t OpenRequests() const;
  const router_counters& Counters() const;
  std::vector<endpoint_load> Loads() const;
  /** Homes that the adapter has at present, in rank order. */
  std::vector<core::endpoint_id> HomesOf(
      const core::model_id& model,
      const core::adapter_reference& adapter) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::routing

#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "admission/scheduler_types.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/** One run of an attempt at the endpoint. */
struct run_request {
  std::shared_ptr<const wire::submit> request;
  /** Output of earlier runs that was already passed on; this run continues
   * after it. */
  std::string delivered_text;
  core::token_count delivered_tokens;
  /** Index of this run among the runs of the attempt, from 0. */
  int run_index = 0;
};

/** Result of a run whose response arrived completely. */
struct run_result {
  int status = 200;
  std::string content_type;
  /** Body of a service call; empty for a completion. */
  std::string body;
  /** Tokens produced by all runs of the attempt. */
  core::token_count tokens;
};

/** Why a run ended without a complete response. */
struct run_failure {
  core::outcome outcome = core::outcome::unknown;
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
};

/**
 * Receives the events of an endpoint. Each run ends with exactly one of
 * OnCompleted, OnReleased, OnCancelled or OnAdapterMissing, or with
 * OnEndpointRestart.
 */
class endpoint_listener {
 public:
  virtual ~endpoint_listener() = default;

  // Runs.

  virtual void OnOutput(const core::attempt_id& attempt,
                        const std::string& data) = 0;
  virtual void OnCompleted(const core::attempt_id& attempt,
                           const run_result& result) = 0;
  /** The response cannot be completed; the endpoint may still be processing the
   * run. */
  virtual void OnFailed(const core::attempt_id& attempt,
                        const run_failure& failure) = 0;
  /** Follows OnFailed when the endpoint no longer holds anything of the run. */
  virtual void OnReleased(const core::attempt_id& attempt) = 0;
  /** The endpoint has confirmed a cancel. */
  virtual void OnCancelled(const core::attempt_id& attempt) = 0;
  /**
   * The endpoint does not have the adapter loaded that the queue assumes; no
   * output was passed on.
   * @param ran whether the endpoint processed any part of the run.
   */
  virtual void OnAdapterMissing(const core::attempt_id& attempt, bool ran) = 0;

  // Loads.

  virtual void OnLoadDone(const core::adapter_reference& adapter,
                          core::milliseconds took) = 0;
  virtual void OnLoadFailed(const core::adapter_reference& adapter) = 0;

  // Endpoint.

  virtual void OnEndpointState(
      const admission::engine_limits& limits,
      const std::vector<core::adapter_reference>& resident) = 0;
  /** The endpoint restarted and lost its adapters and all runs. */
  virtual void OnEndpointRestart() = 0;
  /** `IsUp` or `IsReady` has changed. */
  virtual void OnEndpointAvailability() = 0;
};

/** Sends commands to the endpoint of this agent. */
class endpoint_runner {
 public:
  virtual ~endpoint_runner() = default;

  /** Sets the receiver of events; call once before Begin. */
  virtual void SetListener(endpoint_listener& listener) = 0;
  /** Starts monitoring the endpoint. */
  virtual void Begin() = 0;

  virtual void Run(run_request run) = 0;
  virtual void Cancel(const core::attempt_id& attempt) = 0;
  virtual void Load(const core::adapter_reference& adapter,
                    const std::optional<core::adapter_reference>& evict) = 0;
  /** Makes IsReady false until the endpoint's state has been read again. */
  virtual void Revalidate() = 0;

  /** The endpoint responds and this agent has control of it. */
  virtual bool IsUp() const = 0;
  /** Up, and its state has been read since the last Revalidate. */
  virtual bool IsReady() const = 0;
  virtual nlohmann::json ToJson() const = 0;
};

}  // namespace comfreyspring::agent

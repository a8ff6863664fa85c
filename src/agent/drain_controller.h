#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "net/event_loop.h"

namespace comfreyspring::agent {

/** Effects of a drain on the rest of the agent. */
struct drain_callbacks {
  /** Notifies every entry that this agent is leaving. */
  std::function<void()> announce_leaving;
  /** Stops accepting new work; queued work must start before the deadline. */
  std::function<void(core::time_point deadline)> begin_drain;
  /** Refuses all attempts that are still open. */
  std::function<void()> abort_all;
  /** True if no attempt is open and all responses have been written. */
  std::function<bool()> is_idle;
  /** Ends the process. */
  std::function<void()> on_finished;
};

/**
 * Graceful shutdown on SIGTERM or at a planned stop in the configuration:
 * announces it, accepts no new work, and waits for open work up to a timeout.
 */
class drain_controller {
 public:
  drain_controller(net::event_loop& loop, core::endpoint_id own_endpoint,
                   core::seconds default_timeout, drain_callbacks callbacks);
  ~drain_controller();
  drain_controller(const drain_controller&) = delete;
  drain_controller& operator=(const drain_controller&) = delete;

  /** Handles SIGTERM and SIGINT; a second signal ends the process at once. */
  void OnTerminate();
  /** Starts a drain when a planned stop of this endpoint begins. */
  void OnConfiguration(std::shared_ptr<const config::configuration> current);

  bool IsDraining() const { return draining_; }
  nlohmann::json ToJson() const;

 private:
  void Begin(const std::string& reason, core::seconds timeout);
  void Check();
  void CheckPlannedStops();
  void Finish();

  net::event_loop& loop_;
  core::endpoint_id own_endpoint_;
  core::seconds default_timeout_;
  drain_callbacks callbacks_;
  std::shared_ptr<const config::configuration> current_;
  net::timer_id timer_ = 0;
  bool draining_ = false;
  bool aborted_all_ = false;
  bool finished_ = false;
  std::string reason_;
  core::time_point started_at_;
  core::time_point deadline_;
};

}  // namespace comfreyspring::agent

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

/** What a drain does to the rest of the agent. */
struct drain_callbacks {
  /** Tells every entry that this agent is leaving. */
  std::function<void()> announce_leaving;
  /** Takes no new work; queued work must start before the limit. */
  std::function<void(core::time_point deadline)> begin_drain;
  /** Answers what is still open. */
  std::function<void()> abort_all;
  /** True if nothing is open and every answer has left. */
  std::function<bool()> is_idle;
  /** Ends the process. */
  std::function<void()> on_finished;
};

/**
 * Graceful end on SIGTERM or on a planned stop of the sheet: announces it,
 * takes no new work, and waits for open work up to a limit.
 */
class drain_controller {
 public:
  drain_controller(net::event_loop& loop, core::endpoint_id own_endpoint,
                   core::seconds default_timeout, drain_callbacks callbacks);
  ~drain_controller();
  drain_controller(const drain_controller&) = delete;
  drain_controller& operator=(const drain_controller&) = delete;

  /** SIGTERM; a second one ends the process at once. */
  void OnTerminate();
  /** Obeys the planned stops of this endpoint. */
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

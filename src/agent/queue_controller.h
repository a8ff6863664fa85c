#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "agent/attempt_register.h"
#include "agent/endpoint_runner.h"
#include "agent/entry_instance.h"
#include "agent/ledger_controller.h"
#include "agent/response_channel.h"
#include "net/event_loop.h"
#include "telemetry/metrics.h"
#include "trace/trace_writer.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

struct queue_options {
  core::endpoint_kind kind = core::endpoint_kind::engine;
  std::uint64_t random_seed = 1;
  std::size_t maximum_queue = 4096;
  register_options attempts;
  /** Receives the trace of the scheduler's decisions; nullptr: no trace. */
  trace::trace_writer* trace = nullptr;
};

/**
 * Manages the life cycle of every attempt at this agent: executes the
 * scheduler's actions at the endpoint and answers each attempt exactly once.
 */
class queue_controller : public endpoint_listener {
 public:
  /** The referenced objects must outlive the controller. */
  queue_controller(net::event_loop& loop, queue_options options,
                   endpoint_runner& runner, ledger_controller& ledger,
                   response_channel& responses, telemetry::metrics& metrics);
  ~queue_controller() override;

  // Messages from entries.

  void OnSubmit(const entry_instance& entry, const wire::submit& message);
  void OnWithdraw(const entry_instance& entry, const wire::withdraw& message);
  void OnResume(const entry_instance& entry, const wire::resume& message);
  /** The entry was without a link for too long, or a newer instance replaced
   * it. */
  void OnEntryLost(const entry_instance& entry);

  // Process events.

  /** Nothing is dispatched while this is false, which it is after a pause of
   * the process until current messages from entries arrive again. */
  void SetVerified(bool verified);
  /** Accepts no new work; queued work that cannot start before the deadline is
   * refused. */
  void BeginDrain(core::time_point deadline);
  /** Refuses all open attempts with the given reason. */
  void AbortAll(const std::string& reason);

  // State.

  bool IsIdle() const;
  wire::endpoint_report Report(const core::adapter_reference& adapter) const;
  nlohmann::json ToJson() const;
  /** Updates the gauges in the metrics. */
  void UpdateMetrics();

  // endpoint_listener.

  void OnOutput(const core::attempt_id& attempt,
                const std::string& data) override;
  void OnCompleted(const core::attempt_id& attempt,
                   const run_result& result) override;
  void OnFailed(const core::attempt_id& attempt,
                const run_failure& failure) override;
  void OnReleased(const core::attempt_id& attempt) override;
  void OnCancelled(const core::attempt_id& attempt) override;
  void OnAdapterMissing(const core::attempt_id& attempt, bool ran) override;
  void OnLoadDone(const core::adapter_reference& adapter,
                  core::milliseconds took) override;
  void OnLoadFailed(const core::adapter_reference& adapter) override;
  void OnEndpointState(
      const admission::engine_limits& limits,
      const std::vector<core::adapter_reference>& resident) override;
  void OnEndpointRestart() override;
  void OnEndpointAvailability() override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent

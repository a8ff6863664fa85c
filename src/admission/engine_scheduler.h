#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "admission/scheduler_types.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "wire/messages.h"

namespace comfreyspring::admission {

/**
 * Schedules the requests and the adapter loads of one endpoint. A pure state
 * machine: takes typed events and returns typed actions, and performs no I/O.
 * For a plain service (`adapter_slots` is 0) every item can be dispatched
 * without an adapter.
 */
class engine_scheduler {
 public:
  explicit engine_scheduler(scheduler_options options);
  ~engine_scheduler();
  engine_scheduler(const engine_scheduler&) = delete;
  engine_scheduler& operator=(const engine_scheduler&) = delete;

  // Requests.

  std::vector<scheduler_action> OnSubmit(const work_item& item,
                                         core::time_point now);
  std::vector<scheduler_action> OnWithdraw(const core::attempt_id& attempt,
                                           core::time_point now);
  /** The first output of a dispatched attempt has arrived. */
  std::vector<scheduler_action> OnFirstOutput(const core::attempt_id& attempt,
                                              core::time_point now);
  /** The endpoint has ended the attempt; its adapter is unpinned. */
  std::vector<scheduler_action> OnEnded(const core::attempt_id& attempt,
                                        core::token_count produced,
                                        core::time_point now);
  /** The endpoint has confirmed a preemption or a cancellation. */
  std::vector<scheduler_action> OnCancelConfirmed(
      const core::attempt_id& attempt, core::token_count delivered,
      core::time_point now);
  /** The engine reported that the adapter is not resident; nothing ran. */
  std::vector<scheduler_action> OnAdapterMissing(
      const core::attempt_id& attempt, core::time_point now);

  // Loads.

  std::vector<scheduler_action> OnLoadDone(
      const core::adapter_reference& adapter, core::milliseconds took,
      core::time_point now);
  std::vector<scheduler_action> OnLoadFailed(
      const core::adapter_reference& adapter, core::time_point now);

  // Endpoint.

  /** Reconciles the adapter slots with those that the engine reports. */
  std::vector<scheduler_action> OnEngineState(
      const engine_limits& limits,
      const std::vector<core::adapter_reference>& resident,
      core::time_point now);
  /**
   * The engine has restarted and holds no adapters. The caller has already
   * ended the running attempts.
   */
  std::vector<scheduler_action> OnEngineRestart(core::time_point now);
  /**
   * While disabled, nothing is dispatched or loaded (endpoint down or not yet
   * verified).
   */
  std::vector<scheduler_action> SetEnabled(bool enabled, core::time_point now);
  /**
   * Refuses new items from now on, and queued items that cannot start before
   * `limit`.
   */
  std::vector<scheduler_action> OnDrain(core::time_point limit,
                                        core::time_point now);
  /**
   * Handles expired deadlines, the drain limit, load retries after backoff and
   * reclassification. Must be called every 10 to 50 ms.
   */
  std::vector<scheduler_action> OnTick(core::time_point now);

  // State.

  /** Load fields of a report; the agent sets `draining` and `endpoint_up`. */
  wire::endpoint_report Report(const core::adapter_reference& adapter,
                               core::time_point now) const;
  std::size_t Running() const;
  std::size_t Waiting() const;
  const scheduler_counters& Counters() const;
  /** Adapters that hold a slot, with their pin counts, for the state dump. */
  using slot_state = admission::slot_state;
  std::vector<slot_state> Slots() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::admission

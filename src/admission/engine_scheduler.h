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
 * Queue, adapter slots and loads of one endpoint. Pure: typed events in,
 * typed actions out. For a plain service (`adapter_slots` 0) every item is
 * dispatchable without an adapter.
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
  /** The endpoint has ended the attempt; releases its pin. */
  std::vector<scheduler_action> OnEnded(const core::attempt_id& attempt,
                                        core::token_count produced,
                                        core::time_point now);
  /** The endpoint has confirmed a preemption or a cancel. */
  std::vector<scheduler_action> OnCancelConfirmed(
      const core::attempt_id& attempt, core::token_count delivered,
      core::time_point now);
  /** The engine said that the adapter is not resident; nothing ran. */
  std::vector<scheduler_action> OnAdapterMissing(
      const core::attempt_id& attempt, core::time_point now);

  // Loads.

  std::vector<scheduler_action> OnLoadDone(
      const core::adapter_reference& adapter, core::milliseconds took,
      core::time_point now);
  std::vector<scheduler_action> OnLoadFailed(
      const core::adapter_reference& adapter, core::time_point now);

  // Endpoint.

  /** Reconciles with what the engine really holds. */
  std::vector<scheduler_action> OnEngineState(
      const engine_limits& limits,
      const std::vector<core::adapter_reference>& resident,
      core::time_point now);
  /** The engine lost everything; running attempts were ended by the caller. */
  std::vector<scheduler_action> OnEngineRestart(core::time_point now);
  /** False: nothing is dispatched or loaded (endpoint down, unverified). */
  std::vector<scheduler_action> SetEnabled(bool enabled, core::time_point now);
  /** From now on new items are refused; queued ones that cannot start before
   * `limit` are given back. */
  std::vector<scheduler_action> OnDrain(core::time_point limit,
                                        core::time_point now);
  /** Aging, expiry, backoff ends, retries of loads. Call every 10 to 50 ms. */
  std::vector<scheduler_action> OnTick(core::time_point now);

  // State.

  /** Load fields of a report; `draining` and `endpoint_up` are the agent's. */
  wire::endpoint_report Report(const core::adapter_reference& adapter,
                               core::time_point now) const;
  std::size_t Running() const;
  std::size_t Waiting() const;
  const scheduler_counters& Counters() const;
  /** Adapters that hold a slot with their pin counts, for the dump. */
  using slot_state = admission::slot_state;
  std::vector<slot_state> Slots() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::admission

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "wire/messages.h"

namespace comfreyspring::admission {

/** What the scheduler needs to know of an attempt. */
struct work_item {
  core::attempt_id attempt;
  core::request_kind kind = core::request_kind::completion;
  core::adapter_reference adapter;
  core::priority_class priority = core::priority_class::urgent;
  core::token_count expected_tokens;
  core::time_point deadline;
  /** False: never preempted and never sent twice. */
  bool idempotent = true;
};

/** Order the engine to load, after unloading `evict` if it is set. */
struct start_load {
  core::adapter_reference adapter;
  std::optional<core::adapter_reference> evict;
};
/** Send the attempt to the endpoint now; its adapter is pinned. */
struct dispatch {
  core::attempt_id attempt;
  /** Tokens already delivered before a preemption; 0 at first. */
  core::token_count resume_from;
};
/** Cancel at the engine; the attempt goes back into the queue. */
struct preempt {
  core::attempt_id attempt;
};
/** Cancel at the engine because the attempt was withdrawn. */
struct cancel_running {
  core::attempt_id attempt;
};
/** Give the attempt back; it has not run. */
struct refuse {
  core::attempt_id attempt;
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
};
/** A withdrawn attempt was still queued: it has not run. */
struct confirm_withdrawn {
  core::attempt_id attempt;
};
using scheduler_action =
    std::variant<start_load, dispatch, preempt, cancel_running, refuse,
                 confirm_withdrawn>;

/** What the endpoint can hold, from its /status. */
struct engine_limits {
  std::size_t adapter_slots = 0;
  std::size_t batch_limit = 0;
};

struct scheduler_options {
  core::time_point started_at;
  std::uint64_t random_seed = 1;
  std::size_t maximum_queue = 4096;
  /** Time that one load takes when the weight store is not congested. */
  core::milliseconds uncongested_load_time{250};
};

struct scheduler_counters {
  std::uint64_t submitted = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  std::uint64_t preempted = 0;
  std::uint64_t loads_started = 0;
  std::uint64_t loads_failed = 0;
  /** Dispatches that had to wait for a load of their adapter. */
  std::uint64_t load_stalls = 0;
  std::uint64_t evictions = 0;
};

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
  struct slot_state {
    core::adapter_reference adapter;
    int pins = 0;
    bool loading = false;
  };
  std::vector<slot_state> Slots() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::admission

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::admission {

/** The attributes of an attempt that scheduling depends on. */
struct work_item {
  core::attempt_id attempt;
  core::request_kind kind = core::request_kind::completion;
  core::adapter_reference adapter;
  core::priority_class priority = core::priority_class::urgent;
  core::token_count expected_tokens;
  core::time_point deadline;
  /** If false, the attempt is never preempted and never sent twice. */
  bool idempotent = true;
};

/** Load the adapter, after unloading `evict` if it is set. */
struct start_load {
  core::adapter_reference adapter;
  std::optional<core::adapter_reference> evict;
};
/** Send the attempt to the endpoint now; its adapter is pinned. */
struct dispatch {
  core::attempt_id attempt;
  /** Tokens delivered before a preemption; 0 on the first dispatch. */
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
/** Refuse the attempt; it has not run unless `ran_before` is set. */
struct refuse {
  core::attempt_id attempt;
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
  /** True if it ran in part before a preemption, which excludes `not_run`. */
  bool ran_before = false;
};
/** Confirm the withdrawal of an attempt that was not running. */
struct confirm_withdrawn {
  core::attempt_id attempt;
  /** True if it ran in part before a preemption, which excludes `not_run`. */
  bool ran_before = false;
};
using scheduler_action =
    std::variant<start_load, dispatch, preempt, cancel_running, refuse,
                 confirm_withdrawn>;

/** Capacity of the endpoint, from its /status. */
struct engine_limits {
  std::size_t adapter_slots = 0;
  std::size_t batch_limit = 0;
  /** False while runs of another agent may use any resident adapter. */
  bool may_evict = true;
};

struct scheduler_options {
  core::time_point started_at;
  std::uint64_t random_seed = 1;
  std::size_t maximum_queue = 4096;
  /** Duration of one load while the weight store is not congested. */
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

/** An adapter that holds a slot, for the state dump. */
struct slot_state {
  core::adapter_reference adapter;
  int pins = 0;
  bool loading = false;
};

}  // namespace comfreyspring::admission

#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "admission/scheduler_types.h"
#include "trace/field_codec.h"
#include "trace/router_format.h"

namespace comfreyspring::trace {

// Event types of the scheduler that are defined only for traces.

struct scheduler_withdraw {
  core::attempt_id attempt;
};
struct scheduler_first_output {
  core::attempt_id attempt;
};
struct scheduler_ended {
  core::attempt_id attempt;
  core::token_count produced;
};
struct scheduler_cancel_confirmed {
  core::attempt_id attempt;
  core::token_count delivered;
};
struct scheduler_adapter_missing {
  core::attempt_id attempt;
};
struct scheduler_load_done {
  core::adapter_reference adapter;
  core::milliseconds took{0};
};
struct scheduler_load_failed {
  core::adapter_reference adapter;
};
struct scheduler_engine_state {
  admission::engine_limits limits;
  std::vector<core::adapter_reference> resident;
};
struct scheduler_engine_restart {};
struct scheduler_enabled {
  bool enabled = true;
};
struct scheduler_drain {
  core::time_point limit;
};
struct scheduler_tick {};

/** The subject `scheduler`: engine_scheduler of one endpoint. */
struct scheduler_subject {
  static constexpr std::string_view kName = "scheduler";
  using event = std::variant<
      admission::scheduler_options, admission::work_item, scheduler_withdraw,
      scheduler_first_output, scheduler_ended, scheduler_cancel_confirmed,
      scheduler_adapter_missing, scheduler_load_done, scheduler_load_failed,
      scheduler_engine_state, scheduler_engine_restart, scheduler_enabled,
      scheduler_drain, scheduler_tick, end_of_recording>;
  using action = admission::scheduler_action;
};

template <>
struct item_format<admission::scheduler_options> {
  static constexpr std::string_view kName = "options";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("started_us", self.started_at);
    visit("seed", self.random_seed);
    visit("maximum_queue", self.maximum_queue);
    visit("uncongested_load_ms", self.uncongested_load_time);
  }
};

template <>
struct item_format<admission::work_item> {
  static constexpr std::string_view kName = "submit";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit.Required("deadline_us", self.deadline);
    visit("kind", self.kind);
    visit("adapter", self.adapter);
    visit("priority", self.priority);
    visit("expected_tokens", self.expected_tokens);
    visit("idempotent", self.idempotent);
  }
};

template <>
struct item_format<scheduler_withdraw> {
  static constexpr std::string_view kName = "withdraw";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<scheduler_first_output> {
  static constexpr std::string_view kName = "first_output";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<scheduler_ended> {
  static constexpr std::string_view kName = "ended";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("produced", self.produced);
  }
};

template <>
struct item_format<scheduler_cancel_confirmed> {
  static constexpr std::string_view kName = "cancel_confirmed";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("delivered", self.delivered);
  }
};

template <>
struct item_format<scheduler_adapter_missing> {
  static constexpr std::string_view kName = "adapter_missing";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<scheduler_load_done> {
  static constexpr std::string_view kName = "load_done";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("adapter", self.adapter);
    visit("took_ms", self.took);
  }
};

template <>
struct item_format<scheduler_load_failed> {
  static constexpr std::string_view kName = "load_failed";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("adapter", self.adapter);
  }
};

template <>
struct item_format<scheduler_engine_state> {
  static constexpr std::string_view kName = "engine_state";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("adapter_slots", self.limits.adapter_slots);
    visit.Required("batch_limit", self.limits.batch_limit);
    visit("may_evict", self.limits.may_evict);
    visit("resident", self.resident);
  }
};

template <>
struct item_format<scheduler_engine_restart> {
  static constexpr std::string_view kName = "engine_restart";
  template <class Self, class Visitor>
  static void Fields(Self&, Visitor&) {}
};

template <>
struct item_format<scheduler_enabled> {
  static constexpr std::string_view kName = "set_enabled";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("enabled", self.enabled);
  }
};

template <>
struct item_format<scheduler_drain> {
  static constexpr std::string_view kName = "drain";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("limit_us", self.limit);
  }
};

template <>
struct item_format<scheduler_tick> {
  static constexpr std::string_view kName = "tick";
  template <class Self, class Visitor>
  static void Fields(Self&, Visitor&) {}
};

// Actions.

template <>
struct item_format<admission::start_load> {
  static constexpr std::string_view kName = "action.load";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("adapter", self.adapter);
    visit("evict", self.evict);
  }
};

template <>
struct item_format<admission::dispatch> {
  static constexpr std::string_view kName = "action.dispatch";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("resume_from", self.resume_from);
  }
};

template <>
struct item_format<admission::preempt> {
  static constexpr std::string_view kName = "action.preempt";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<admission::cancel_running> {
  static constexpr std::string_view kName = "action.cancel";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<admission::refuse> {
  static constexpr std::string_view kName = "action.refuse";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit.Required("reason", self.reason);
    visit("message", self.message);
    visit("retry_after_ms", self.retry_after);
    visit("ran_before", self.ran_before);
  }
};

template <>
struct item_format<admission::confirm_withdrawn> {
  static constexpr std::string_view kName = "action.withdrawn";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("ran_before", self.ran_before);
  }
};

}  // namespace comfreyspring::trace

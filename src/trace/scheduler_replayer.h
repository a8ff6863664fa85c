#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/engine_scheduler.h"
#include "trace/outcome_assertion.h"
#include "trace/scheduler_format.h"

namespace comfreyspring::trace {

/** Replays recorded events into a new scheduler. */
class scheduler_replayer {
 public:
  using subject = scheduler_subject;

  /** The first event must be the options. */
  std::vector<admission::scheduler_action> Apply(
      const scheduler_subject::event& event, core::time_point now);
  /** @returns why the outcome is not met, or empty if it is met.
   * @throws core::error if it does not apply to a scheduler. */
  std::string Check(const outcome_assertion& assertion) const;

 private:
  using actions = std::vector<admission::scheduler_action>;
  struct attempt_history {
    std::size_t dispatches = 0;
    /** 1-based index of the action that first dispatched the attempt. */
    std::size_t first_dispatch = 0;
    std::optional<admission::refuse> refusal;
  };

  actions ApplyEvent(const admission::scheduler_options& event,
                     core::time_point now);
  actions ApplyEvent(const admission::work_item& event, core::time_point now);
  actions ApplyEvent(const scheduler_withdraw& event, core::time_point now);
  actions ApplyEvent(const scheduler_first_output& event, core::time_point now);
  actions ApplyEvent(const scheduler_ended& event, core::time_point now);
  actions ApplyEvent(const scheduler_cancel_confirmed& event,
                     core::time_point now);
  actions ApplyEvent(const scheduler_adapter_missing& event,
                     core::time_point now);
  actions ApplyEvent(const scheduler_load_done& event, core::time_point now);
  actions ApplyEvent(const scheduler_load_failed& event, core::time_point now);
  actions ApplyEvent(const scheduler_engine_state& event, core::time_point now);
  actions ApplyEvent(const scheduler_engine_restart& event,
                     core::time_point now);
  actions ApplyEvent(const scheduler_enabled& event, core::time_point now);
  actions ApplyEvent(const scheduler_drain& event, core::time_point now);
  actions ApplyEvent(const scheduler_tick& event, core::time_point now);
  actions ApplyEvent(const end_of_recording& event, core::time_point now);

  void RecordAction(const admission::scheduler_action& action);
  std::string CheckAttempt(const outcome_assertion& assertion) const;
  std::string CheckRefused(const outcome_assertion& assertion,
                           const attempt_history& history) const;
  std::string CheckAdapter(const outcome_assertion& assertion) const;

  std::unique_ptr<admission::engine_scheduler> scheduler_;
  std::size_t actions_ = 0;
  std::unordered_map<core::attempt_id, attempt_history> attempts_;
  std::map<core::adapter_reference, std::size_t> loads_;
  std::set<core::adapter_reference> evicted_;
};

}  // namespace comfreyspring::trace

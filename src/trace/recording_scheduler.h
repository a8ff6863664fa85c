#pragma once

#include <cstddef>
#include <vector>

#include "admission/engine_scheduler.h"
#include "trace/trace_writer.h"

namespace comfreyspring::trace {

/** An engine_scheduler that records its events and actions; same interface. */
class recording_scheduler {
 public:
  using actions = std::vector<admission::scheduler_action>;

  /** Begins the trace. Records nothing if `writer` is null. */
  recording_scheduler(const admission::scheduler_options& options,
                      trace_writer* writer);
  recording_scheduler(const recording_scheduler&) = delete;
  recording_scheduler& operator=(const recording_scheduler&) = delete;

  // Events.

  actions OnSubmit(const admission::work_item& item, core::time_point now);
  actions OnWithdraw(const core::attempt_id& attempt, core::time_point now);
  actions OnFirstOutput(const core::attempt_id& attempt, core::time_point now);
  actions OnEnded(const core::attempt_id& attempt, core::token_count produced,
                  core::time_point now);
  actions OnCancelConfirmed(const core::attempt_id& attempt,
                            core::token_count delivered, core::time_point now);
  actions OnAdapterMissing(const core::attempt_id& attempt,
                           core::time_point now);
  actions OnLoadDone(const core::adapter_reference& adapter,
                     core::milliseconds took, core::time_point now);
  actions OnLoadFailed(const core::adapter_reference& adapter,
                       core::time_point now);
  actions OnEngineState(const admission::engine_limits& limits,
                        const std::vector<core::adapter_reference>& resident,
                        core::time_point now);
  actions OnEngineRestart(core::time_point now);
  actions SetEnabled(bool enabled, core::time_point now);
  actions OnDrain(core::time_point limit, core::time_point now);
  actions OnTick(core::time_point now);

  // State.

  const admission::engine_scheduler& Scheduler() const { return scheduler_; }

  wire::endpoint_report Report(const core::adapter_reference& adapter,
                               core::time_point now) const {
    return scheduler_.Report(adapter, now);
  }

 private:
  actions Record(actions list);

  admission::engine_scheduler scheduler_;
  trace_writer* writer_;
};

}  // namespace comfreyspring::trace

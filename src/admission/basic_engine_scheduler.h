#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "adapters/decayed_value.h"
#include "adapters/eviction_policy.h"
#include "admission/batch_shares.h"
#include "admission/queue_order.h"
#include "admission/request_queue.h"
#include "admission/running_table.h"
#include "admission/scheduler_types.h"
#include "admission/slot_planner.h"
#include "admission/wait_estimator.h"
#include "admission/work_estimator.h"
#include "core/random_source.h"
#include "wire/messages.h"

namespace comfreyspring::admission {

/**
 * Scheduler of one endpoint, parameterized by queue order and eviction policy.
 * `engine_scheduler` is the default configuration and documents the events. The
 * definitions are in basic_engine_scheduler_impl.h; they are instantiated only
 * for the default and for the baselines of the benchmarks.
 */
template <queue_order Order, adapters::eviction_policy Eviction>
class basic_engine_scheduler {
 public:
  explicit basic_engine_scheduler(scheduler_options options);
  basic_engine_scheduler(const basic_engine_scheduler&) = delete;
  basic_engine_scheduler& operator=(const basic_engine_scheduler&) = delete;

  using actions = std::vector<scheduler_action>;

  // Requests.

  actions OnSubmit(const work_item& work, core::time_point now);
  actions OnWithdraw(const core::attempt_id& attempt, core::time_point now);
  actions OnFirstOutput(const core::attempt_id& attempt, core::time_point now);
  actions OnEnded(const core::attempt_id& attempt, core::token_count produced,
                  core::time_point now);
  actions OnCancelConfirmed(const core::attempt_id& attempt,
                            core::token_count delivered, core::time_point now);
  actions OnAdapterMissing(const core::attempt_id& attempt,
                           core::time_point now);

  // Loads.

  actions OnLoadDone(const core::adapter_reference& adapter,
                     core::milliseconds took, core::time_point now);
  actions OnLoadFailed(const core::adapter_reference& adapter,
                       core::time_point now);

  // Endpoint.

  actions OnEngineState(const engine_limits& limits,
                        const std::vector<core::adapter_reference>& resident,
                        core::time_point now);
  actions OnEngineRestart(core::time_point now);
  actions SetEnabled(bool enabled, core::time_point now);
  actions OnDrain(core::time_point limit, core::time_point now);
  actions OnTick(core::time_point now);

  // State.

  wire::endpoint_report Report(const core::adapter_reference& adapter,
                               core::time_point now) const;
  std::size_t Running() const { return running_.Size(); }
  std::size_t Waiting() const { return queue_.Size(); }
  const scheduler_counters& Counters() const { return counters_; }
  std::vector<slot_state> Slots() const;

 private:
  // Admission.
  bool RefuseOnArrival(const queued_item& item, core::time_point now,
                       actions& out);
  bool MakeRoom(const queued_item& item, actions& out);
  void Refuse(const queued_item& item, const std::string& reason,
              const std::string& message, core::milliseconds retry_after,
              actions& out);
  void RefuseExpired(core::time_point now, actions& out);
  void RefuseWaitingFor(const core::adapter_reference& adapter,
                        core::time_point now, actions& out);
  void RefuseBeyondDrainLimit(core::time_point now, actions& out);
  void Requeue(queued_item item, core::time_point now);
  void RecordArrival(const core::adapter_reference& adapter,
                     core::time_point now);

  // Scheduling.
  void Schedule(core::time_point now, actions& out);
  const queued_item* PickNext(core::time_point now) const;
  const queued_item* Best(const work_class_set& classes,
                          core::time_point now) const;
  work_class_set AdmissibleClasses(core::time_point now) const;
  bool LongMayPinSlot(core::time_point now) const;
  void Dispatch(const core::attempt_id& attempt, core::time_point now,
                actions& out);
  void MarkStalls(core::time_point now);
  void PlanLoads(core::time_point now, actions& out);
  void Preempt(core::time_point now, actions& out);
  void PreemptLongest(
      std::vector<std::pair<core::milliseconds, core::attempt_id>> candidates,
      std::size_t count, actions& out);
  std::size_t UrgentAtRisk(core::time_point now) const;
  std::size_t ShortUrgentWaiting() const;
  void ReleasePin(const running_item& running, core::time_point now);

  // Estimates.
  batch_snapshot Snapshot(core::time_point now) const;
  core::milliseconds ReleaseTime(const core::adapter_reference& adapter,
                                 core::time_point now) const;
  bool IsPreemptible(const running_item& running) const;

  scheduler_options options_;
  core::random_source random_;
  request_queue<Order> queue_;
  running_table running_;
  slot_planner<Eviction> slots_;
  batch_shares shares_;
  work_estimator estimator_;
  scheduler_counters counters_;
  std::size_t batch_limit_ = 0;
  bool enabled_ = true;
  std::optional<core::time_point> drain_limit_;
  double mean_urgent_running_ = 0.0;
  core::time_point last_tick_;
  core::time_point last_maintenance_;
  std::unordered_map<core::adapter_reference, adapters::decayed_value>
      arrivals_;
};

}  // namespace comfreyspring::admission

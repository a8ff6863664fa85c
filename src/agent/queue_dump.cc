#include "agent/queue_dump.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace comfreyspring::agent {

using nlohmann::json;

namespace {

constexpr std::size_t kMaximumListed = 200;

json DumpCounters(const admission::scheduler_counters& counters) {
  return {{"submitted", counters.submitted},
          {"dispatched", counters.dispatched},
          {"refused", counters.refused},
          {"preempted", counters.preempted},
          {"loads_started", counters.loads_started},
          {"loads_failed", counters.loads_failed},
          {"load_stalls", counters.load_stalls},
          {"evictions", counters.evictions}};
}

}  // namespace

json DumpQueue(
    const admission::engine_scheduler& scheduler,
    const wire::endpoint_report& report,
    const std::unordered_map<core::attempt_id, attempt_state>& attempts,
    core::time_point now) {
  json open = json::array();
  for (const auto& [attempt, state] : attempts) {
    if (open.size() >= kMaximumListed) break;
    open.push_back({{"attempt", attempt.Value()},
                    {"adapter", core::ToString(state.request->adapter)},
                    {"priority", core::ToString(state.request->priority)},
                    {"phase", ToString(state.phase)},
                    {"delivered_tokens", state.delivered_tokens.value},
                    {"age_ms", MillisecondsBetween(state.received, now)}});
  }
  json slots = json::array();
  for (const auto& slot : scheduler.Slots()) {
    slots.push_back({{"adapter", core::ToString(slot.adapter)},
                     {"pins", slot.pins},
                     {"loading", slot.loading}});
  }
  return {{"waiting", scheduler.Waiting()},
          {"waiting_urgent", report.waiting_urgent},
          {"waiting_may_wait", report.waiting_may_wait},
          {"running", scheduler.Running()},
          {"batch_limit", report.batch_limit},
          {"expected_wait_ms", report.expected_wait.count()},
          {"draining", report.draining},
          {"endpoint_up", report.endpoint_up},
          {"open_attempts", attempts.size()},
          {"attempts", std::move(open)},
          {"slots", std::move(slots)},
          {"counters", DumpCounters(scheduler.Counters())}};
}

void SetQueueGauges(const admission::engine_scheduler& scheduler,
                    const wire::endpoint_report& report,
                    telemetry::metrics& metrics) {
  const admission::scheduler_counters& counters = scheduler.Counters();
  const auto set = [&metrics](const std::string& name, auto value) {
    metrics.SetGauge(name, static_cast<double>(value));
  };
  set("agent_running", report.running);
  set("agent_waiting{class=\"urgent\"}", report.waiting_urgent);
  set("agent_waiting{class=\"may_wait\"}", report.waiting_may_wait);
  set("agent_expected_wait_ms", report.expected_wait.count());
  set("agent_endpoint_up", report.endpoint_up ? 1 : 0);
  set("agent_loads_started", counters.loads_started);
  set("agent_loads_failed", counters.loads_failed);
  set("agent_load_stalls", counters.load_stalls);
  set("agent_evictions", counters.evictions);
}

}  // namespace comfreyspring::agent

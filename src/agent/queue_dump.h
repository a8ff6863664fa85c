#pragma once

#include <nlohmann/json_fwd.hpp>
#include <unordered_map>

#include "admission/engine_scheduler.h"
#include "agent/attempt_state.h"
#include "core/ids.h"
#include "core/time.h"
#include "telemetry/metrics.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/** Queue, running attempts and adapter slots for the state dump; lists at most
 * 200 attempts. */
nlohmann::json DumpQueue(
    const admission::engine_scheduler& scheduler,
    const wire::endpoint_report& report,
    const std::unordered_map<core::attempt_id, attempt_state>& attempts,
    core::time_point now);

/** Sets the gauges of the queue and of adapter loads. */
void SetQueueGauges(const admission::engine_scheduler& scheduler,
                    const wire::endpoint_report& report,
                    telemetry::metrics& metrics);

}  // namespace comfreyspring::agent

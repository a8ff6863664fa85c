#include "agent/attempt_responder.h"

#include <glog/logging.h>

namespace comfreyspring::agent {

attempt_responder::attempt_responder(net::event_loop& loop,
                                     response_channel& channel,
                                     telemetry::metrics& metrics)
    : loop_(loop), channel_(channel), metrics_(metrics) {}

void attempt_responder::Accept(const core::attempt_id& attempt,
                               const wire::endpoint_report& report) {
  channel_.Notify(attempt, wire::accepted{attempt, report});
}

void attempt_responder::Refuse(const core::attempt_id& attempt,
                               const run_failure& failure,
                               const wire::endpoint_report& report) {
  if (!IsOpen(attempt)) return;
  LOG(INFO) << "agent.queue: Refused attempt " << attempt << " as "
            << core::ToString(failure.outcome) << ", " << failure.reason << ": "
            << failure.message;
  metrics_.Count("agent_refused_total{reason=\"" + failure.reason + "\"}");
  wire::refused message;
  message.attempt = attempt;
  message.outcome = failure.outcome;
  message.reason = failure.reason;
  message.message = failure.message;
  message.retry_after = failure.retry_after;
  message.report = report;
  channel_.End(attempt, message, loop_.Now());
}

void attempt_responder::ConfirmWithdrawn(const core::attempt_id& attempt,
                                         core::outcome outcome) {
  if (!IsOpen(attempt)) return;
  metrics_.Count("agent_withdrawn_total");
  channel_.End(attempt, wire::withdrawn{attempt, outcome}, loop_.Now());
}

void attempt_responder::Finish(const core::attempt_id& attempt,
                               const run_result& result,
                               const core::adapter_reference& adapter,
                               const wire::endpoint_report& report) {
  if (!IsOpen(attempt)) return;
  metrics_.Count("agent_finished_total");
  channel_.Write(attempt, result.body);
  wire::finished message;
  message.attempt = attempt;
  message.adapter = adapter;
  message.status = result.status;
  message.content_type = result.content_type;
  message.tokens = result.tokens;
  message.report = report;
  channel_.End(attempt, message, loop_.Now());
}

bool attempt_responder::IsOpen(const core::attempt_id& attempt) const {
  return channel_.IsKnown(attempt) && !channel_.HasEnded(attempt);
}

}  // namespace comfreyspring::agent

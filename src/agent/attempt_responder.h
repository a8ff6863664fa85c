#pragma once

#include "agent/endpoint_runner.h"
#include "agent/response_channel.h"
#include "core/ids.h"
#include "core/types.h"
#include "net/event_loop.h"
#include "telemetry/metrics.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * Answers attempts. A final message for an attempt that already has one is
 * ignored, so that every attempt is answered exactly once.
 */
class attempt_responder {
 public:
  attempt_responder(net::event_loop& loop, response_channel& channel,
                    telemetry::metrics& metrics);

  void Accept(const core::attempt_id& attempt,
              const wire::endpoint_report& report);
  void Refuse(const core::attempt_id& attempt, const run_failure& failure,
              const wire::endpoint_report& report);
  void ConfirmWithdrawn(const core::attempt_id& attempt, core::outcome outcome);
  /** Sends the body, if there is one, and the `finished` message. */
  void Finish(const core::attempt_id& attempt, const run_result& result,
              const core::adapter_reference& adapter,
              const wire::endpoint_report& report);

  /** True if the attempt is known and has no final message yet. */
  bool IsOpen(const core::attempt_id& attempt) const;
  response_channel& Channel() { return channel_; }
  const response_channel& Channel() const { return channel_; }

 private:
  net::event_loop& loop_;
  response_channel& channel_;
  telemetry::metrics& metrics_;
};

}  // namespace comfreyspring::agent

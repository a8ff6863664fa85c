#pragma once

#include <cstdint>
#include <functional>

#include "grants/messages.h"
#include "net/event_loop.h"
#include "quotas/quota_table.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace comfreyspring::sidecar {

/**
 * Answers the gateways' asks for the quotas of the tenants that they chose this
 * sidecar to count. Costs nothing while there are none.
 */
class quota_counter {
 public:
  /** Sends a message over a link. Ignored if the link is closed. */
  using sender =
      std::function<void(std::uint64_t link, const grants::message& value)>;

  /** The referenced objects must outlive the counter. */
  quota_counter(net::event_loop& loop, sender send, telemetry::event_log& log,
                telemetry::metrics& metrics);
  ~quota_counter();
  quota_counter(const quota_counter&) = delete;
  quota_counter& operator=(const quota_counter&) = delete;

  void OnAsk(std::uint64_t link, const grants::quota_ask& ask);
  void OnLinkLost(std::uint64_t link) { table_.OnLinkLost(link); }
  void UpdateMetrics();

 private:
  void Answer(const quotas::quota_table::decisions& decisions);
  /** Serves waiting asks again soon. */
  void ScheduleTick();

  net::event_loop& loop_;
  sender send_;
  telemetry::event_log& log_;
  telemetry::metrics& metrics_;
  quotas::quota_table table_;
  net::timer_id tick_timer_ = 0;
};

}  // namespace comfreyspring::sidecar

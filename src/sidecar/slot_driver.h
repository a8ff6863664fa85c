#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "grants/messages.h"
#include "net/event_loop.h"
#include "overload/slot_queue.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace comfreyspring::sidecar {

/**
 * Drives the slot queue of the plain services that gateways ask this sidecar
 * for: passes it their messages and sends its decisions.
 */
class slot_driver {
 public:
  /** Sends a message over a link. Ignored if the link is closed. */
  using sender =
      std::function<void(std::uint64_t link, const grants::message& value)>;

  /** The referenced objects must outlive the driver. */
  slot_driver(net::event_loop& loop, sender send, telemetry::event_log& log,
              telemetry::metrics& metrics);
  ~slot_driver();
  slot_driver(const slot_driver&) = delete;
  slot_driver& operator=(const slot_driver&) = delete;

  /** @returns false if the message is not about slots. */
  bool OnMessage(std::uint64_t link, const grants::message& value);
  void OnLinkLost(std::uint64_t link);
  void Stop();

  void UpdateMetrics();
  /** Logs one line for each endpoint whose slots are given here. */
  void LogState();

 private:
  /** Most sidecars are never asked for slots and need no timers for them. */
  void StartTimers();
  void OnAsk(std::uint64_t link, const grants::slot_ask& ask);
  void Perform(const overload::slot_queue::actions& actions);
  /** Logs endpoints whose allowed number has changed. */
  void LogChanges();

  net::event_loop& loop_;
  sender send_;
  telemetry::event_log& log_;
  telemetry::metrics& metrics_;
  overload::slot_queue queue_;
  /** What was logged last for each endpoint. */
  std::map<limits::endpoint_incarnation, std::size_t> logged_;
  net::timer_id tick_timer_ = 0;
  net::timer_id change_timer_ = 0;
};

}  // namespace comfreyspring::sidecar

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "grants/fencing_counter.h"
#include "grants/grant_scheduler.h"
#include "grants/messages.h"
#include "grants/permit_table.h"
#include "net/event_loop.h"
#include "quarantine/crash_evidence.h"
#include "sidecar/crash_watch.h"
#include "sidecar/engine_port.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace comfreyspring::sidecar {

struct scheduler_driver_options {
  core::process_id node;
  /**
   * Interval between two reads of the engine's state. Reads from the same VM
   * are not charged.
   */
  core::milliseconds state_period{100};
  /** Interval while an order is in progress or the engine does not respond. */
  core::milliseconds urgent_state_period{30};
  core::milliseconds state_timeout{400};
  core::milliseconds order_timeout{1000};
  /** The engine counts as down if it has not responded for this long. */
  core::milliseconds down_after{500};
  grants::grant_options grants;
};

/**
 * Drives the scheduler of one engine: passes it state reports and messages of
 * gateways, sends its orders to the engine and its decisions to the gateways.
 */
class scheduler_driver {
 public:
  /** Sends a message over a link. Ignored if the link is closed. */
  using sender =
      std::function<void(std::uint64_t link, const grants::message& value)>;
  using broadcaster = std::function<void(const grants::message& value)>;

  /**
   * The referenced objects must outlive the driver.
   * @param send_to_all sends to all gateways.
   */
  scheduler_driver(net::event_loop& loop, engine_port& engine,
                   scheduler_driver_options options, sender send,
                   broadcaster send_to_all, telemetry::event_log& log,
                   telemetry::metrics& metrics);
  ~scheduler_driver();
  scheduler_driver(const scheduler_driver&) = delete;
  scheduler_driver& operator=(const scheduler_driver&) = delete;

  /** Called when gateways should get the engine's status soon. */
  void OnStatusChange(std::function<void()> callback) {
    on_status_change_ = std::move(callback);
  }
  void Start();
  void OnMessage(std::uint64_t link, const grants::message& value);
  /**
   * A gateway has linked: tells it the limits that are counted here, and the
   * crashes of engines.
   */
  void OnGatewayLinked(std::uint64_t link);
  void OnLinkLost(std::uint64_t link);
  void OnPaused(core::milliseconds length);
  void Stop();

  const grants::grant_scheduler& Scheduler() const { return scheduler_; }
  grants::engine_status Status() const;
  void UpdateMetrics();
  /** Logs one line with the engine's state and the scheduler's estimates. */
  void LogState();

 private:
  void Perform(grants::grant_scheduler::actions actions);
  void PerformOrder(const grants::engine_order& order);
  void SendOrder(const grants::engine_order& order);
  void ReadState();
  /** Reads the state without waiting for the next period. */
  void ReadStateNow();
  void OnState(const state_reading& reading, core::time_point requested_at);
  void OnRunEnded(std::uint64_t link, const grants::run_ended& ended);
  void Perform(const crash_watch::findings& found);
  /** Adds to the evidence; passes on to the gateways what is new. */
  void OnCrash(const quarantine::crash_record& record, std::string_view origin);
  void OnPermitRequest(std::uint64_t link,
                       const grants::permit_request& request);
  void OnLimitObserved(std::uint64_t link,
                       const grants::limit_observed& observed);
  /** Logs a change of the engine's limit and passes it on. */
  void NoteLimitChange(const std::optional<limits::request_rate>& before,
                       std::string_view origin);
  void LogUnreadableLimit(const limits::limit_announcement& limit);
  void ScheduleRead();
  void OnRequest(std::uint64_t link, const grants::grant_request& request);

  net::event_loop& loop_;
  engine_port& engine_;
  scheduler_driver_options options_;
  sender send_;
  broadcaster send_to_all_;
  telemetry::event_log& log_;
  telemetry::metrics& metrics_;
  grants::grant_scheduler scheduler_;
  grants::permit_table permits_;
  grants::fencing_counter fencing_;
  crash_watch watch_;
  /** Crashes of all engines, kept for gateways that link later. */
  quarantine::crash_evidence evidence_;
  bool read_in_progress_ = false;
  bool reads_again_ = false;
  std::int64_t engine_started_ms_ = 0;
  bool reported_limit_is_unreadable_ = false;
  std::function<void()> on_status_change_;
  core::time_point last_answer_at_;
  bool engine_reachable_ = false;
  bool order_in_flight_ = false;
  net::timer_id read_timer_ = 0;
  net::timer_id tick_timer_ = 0;
  net::timer_id evidence_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreyspring::sidecar

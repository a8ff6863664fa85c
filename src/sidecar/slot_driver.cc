#include "sidecar/slot_driver.h"

#include <utility>
#include <variant>

#include "core/overloaded.h"

namespace comfreyspring::sidecar {
namespace {

/** Resolution of deadlines and pauses. */
constexpr core::milliseconds kTickPeriod{20};
/** Changes in between are not logged: an endpoint may have several a second. */
constexpr core::milliseconds kChangePeriod{1000};

grants::refusal_reason ReasonOf(overload::slot_refusal_reason reason) {
  using overload::slot_refusal_reason;
  switch (reason) {
    case slot_refusal_reason::wait_expired:
      return grants::refusal_reason::wait_expired;
    case slot_refusal_reason::stopping:
      return grants::refusal_reason::stopping;
    case slot_refusal_reason::wait_too_long:
    case slot_refusal_reason::queue_full:
      return grants::refusal_reason::wait_too_long;
  }
  return grants::refusal_reason::wait_too_long;
}

}  // namespace

slot_driver::slot_driver(net::event_loop& loop, sender send,
                         telemetry::event_log& log, telemetry::metrics& metrics)
    : loop_(loop), send_(std::move(send)), log_(log), metrics_(metrics) {}

void slot_driver::StartTimers() {
  if (tick_timer_ != 0) return;
  tick_timer_ = loop_.SchedulePeriodic(
      kTickPeriod, [this] { Perform(queue_.OnTick(loop_.Now())); });
  change_timer_ =
      loop_.SchedulePeriodic(kChangePeriod, [this] { LogChanges(); });
}

slot_driver::~slot_driver() {
  loop_.Cancel(tick_timer_);
  loop_.Cancel(change_timer_);
}

bool slot_driver::OnMessage(std::uint64_t link, const grants::message& value) {
  if (const auto* ask = std::get_if<grants::slot_ask>(&value)) {
    OnAsk(link, *ask);
    return true;
  }
  if (const auto* released = std::get_if<grants::slot_released>(&value)) {
    metrics_.Count("sidecar_slot_results_total{result=\"" +
                   std::string(ToString(released->result)) + "\"}");
    const core::request_key key{link, released->number};
    Perform(released->result == overload::slot_result::unused
                ? queue_.OnWithdrawn(key, loop_.Now())
                : queue_.OnReleased(key, released->result, loop_.Now()));
    return true;
  }
  return false;
}

void slot_driver::OnAsk(std::uint64_t link, const grants::slot_ask& ask) {
  const auto now = loop_.Now();
  metrics_.Count("sidecar_slot_asks_total");
  StartTimers();
  Perform(queue_.OnRequest({.key = {link, ask.number},
                            .service = ask.service,
                            .priority = ask.priority,
                            .answer_due = now + ask.answer_due_in,
                            .deadline = now + ask.deadline_in,
                            .maximum_retry_after = ask.maximum_retry_after,
                            .candidates = ask.candidates},
                           now));
  if (queue_.IsWaiting({link, ask.number})) {
    send_(link, grants::grant_queued{ask.number});
  }
}

void slot_driver::OnLinkLost(std::uint64_t link) {
  Perform(queue_.OnLinkLost(link, loop_.Now()));
}

void slot_driver::Stop() { Perform(queue_.OnStopping(loop_.Now())); }

void slot_driver::Perform(const overload::slot_queue::actions& actions) {
  for (const auto& action : actions) {
    std::visit(
        core::overloaded{
            [&](const overload::slot_permit& permit) {
              metrics_.Observe("sidecar_slot_wait_ms",
                               static_cast<double>(permit.waited.count()));
              send_(permit.key.link,
                    grants::slot_issued{permit.key.number, permit.candidate});
            },
            [&](const overload::slot_refusal& refusal) {
              metrics_.Count("sidecar_slot_refusals_total{reason=\"" +
                             std::string(ToString(refusal.reason)) + "\"}");
              send_(refusal.key.link,
                    grants::grant_refused{
                        refusal.key.number, ReasonOf(refusal.reason),
                        refusal.retry_after, refusal.expected_wait});
            }},
        action);
  }
}

void slot_driver::LogChanges() {
  std::map<limits::endpoint_incarnation, std::size_t> current;
  for (const auto& load : queue_.Endpoints(loop_.Now())) {
    current[load.endpoint] = load.allowed;
    const auto before = logged_.find(load.endpoint);
    if (before != logged_.end() && before->second == load.allowed) continue;
    log_.SystemEvent("slot_capacity")
        .Add("instance", load.endpoint.instance.Value())
        .Add("service", load.service.Value())
        .Add("before",
             before == logged_.end() ? std::size_t{0} : before->second)
        .Add("allowed", load.allowed)
        .Add("slots", load.slots)
        .Add("run_time_ms", load.run_time.count())
        .Add("failed_percent",
             static_cast<std::int64_t>(100.0 * load.failure_share))
        .Add("paused", load.is_paused);
  }
  logged_ = std::move(current);
}

void slot_driver::LogState() {
  for (const auto& load : queue_.Endpoints(loop_.Now())) {
    log_.SystemEvent("slot_state")
        .Add("instance", load.endpoint.instance.Value())
        .Add("running", load.running)
        .Add("allowed", load.allowed)
        .Add("waiting", queue_.Waiting())
        .Add("run_time_ms", load.run_time.count());
  }
}

void slot_driver::UpdateMetrics() {
  metrics_.SetGauge("sidecar_slots_running",
                    static_cast<double>(queue_.Running()));
  metrics_.SetGauge("sidecar_slots_waiting",
                    static_cast<double>(queue_.Waiting()));
  std::size_t allowed = 0;
  for (const auto& load : queue_.Endpoints(loop_.Now())) {
    allowed += load.allowed;
  }
  metrics_.SetGauge("sidecar_slots_allowed", static_cast<double>(allowed));
}

}  // namespace comfreyspring::sidecar

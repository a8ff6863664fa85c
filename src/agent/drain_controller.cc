#include "agent/drain_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::agent {

namespace {

constexpr core::milliseconds kCheckPeriod{50};
// Submits that were sent before the announcement arrived still receive a
// refusal.
constexpr core::milliseconds kMinimumDrainTime{500};
// Time after the deadline in which the last responses can be written.
constexpr core::milliseconds kFlushTimeout{1000};

}  // namespace

drain_controller::drain_controller(net::event_loop& loop,
                                   core::endpoint_id own_endpoint,
                                   core::seconds default_timeout,
                                   drain_callbacks callbacks)
    : loop_(loop),
      own_endpoint_(std::move(own_endpoint)),
      default_timeout_(default_timeout),
      callbacks_(std::move(callbacks)) {
  timer_ = loop_.SchedulePeriodic(kCheckPeriod, [this] { Check(); });
}

drain_controller::~drain_controller() { loop_.Cancel(timer_); }

void drain_controller::OnTerminate() {
  if (!draining_) {
    Begin("SIGTERM", default_timeout_);
    return;
  }
  callbacks_.abort_all();
  Finish();
}

void drain_controller::OnConfiguration(
    std::shared_ptr<const config::configuration> current) {
  current_ = std::move(current);
  CheckPlannedStops();
}

void drain_controller::CheckPlannedStops() {
  if (draining_ || current_ == nullptr) return;
  const core::wall_time now = loop_.WallNow();
  for (const config::planned_stop& stop : current_->stops) {
    if (stop.endpoint != own_endpoint_) continue;
    if (stop.starts_at > now || stop.ends_at <= now) continue;
    Begin("planned stop", stop.drain);
    return;
  }
}

void drain_controller::Begin(const std::string& reason, core::seconds timeout) {
  draining_ = true;
  reason_ = reason;
  started_at_ = loop_.Now();
  deadline_ =
      started_at_ + std::max<core::milliseconds>(timeout, kMinimumDrainTime);
  LOG(INFO) << "agent.drain: Draining for " << reason << ", at most "
            << timeout.count() << " s.";
  callbacks_.announce_leaving();
  callbacks_.begin_drain(deadline_);
}

void drain_controller::Check() {
  if (finished_) return;
  if (!draining_) {
    CheckPlannedStops();
    return;
  }
  const core::time_point now = loop_.Now();
  if (now - started_at_ < kMinimumDrainTime) return;
  if (callbacks_.is_idle()) {
    LOG(INFO) << "agent.drain: All open work has finished.";
    Finish();
    return;
  }
  if (now >= deadline_ && !std::exchange(aborted_all_, true)) {
    LOG(WARNING) << "agent.drain: Drain timed out; aborting open work.";
    callbacks_.abort_all();
  }
  if (now >= deadline_ + kFlushTimeout) Finish();
}

void drain_controller::Finish() {
  if (std::exchange(finished_, true)) return;
  callbacks_.on_finished();
}

nlohmann::json drain_controller::ToJson() const {
  nlohmann::json dump = {{"draining", draining_}};
  if (draining_) {
    dump["reason"] = reason_;
    dump["remaining_ms"] =
        core::ToMilliseconds(deadline_ - loop_.Now()).count();
  }
  return dump;
}

}  // namespace comfreyspring::agent

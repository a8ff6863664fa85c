#include "placement/load_estimate.h"

#include <algorithm>

namespace comfreyspring::placement {
namespace {

// Engines have few adapter slots; more keys than this are never resident.
constexpr std::size_t kResidentKeys = 32;
// Requests of other processes evict adapters without notice, so an old
// observation is unreliable.
constexpr core::seconds kMaximumResidencyAge{20};
// Assumed until the first report that has a batch limit.
constexpr double kDefaultBatchLimit = 16.0;

}  // namespace

load_estimate::load_estimate() : resident_(kResidentKeys) {}

void load_estimate::OnSubmitted(adapter_key key, core::time_point now) {
  ++outstanding_;
  ++unacknowledged_;
  resident_[key] = now;
}

void load_estimate::OnAcknowledged() {
  unacknowledged_ = std::max<std::int64_t>(0, unacknowledged_ - 1);
}

void load_estimate::OnEnded(bool acknowledged) {
  // An attempt may outlive the state of an endpoint that was removed from the
  // configuration and added again.
  outstanding_ = std::max<std::int64_t>(0, outstanding_ - 1);
  if (!acknowledged) OnAcknowledged();
}

void load_estimate::OnReport(const wire::endpoint_report& report,
                             core::time_point now) {
  if (report_ && now < reported_at_) return;
  report_ = report;
  reported_at_ = now;
}

void load_estimate::OnResidency(adapter_key key, bool resident,
                                core::time_point now) {
  if (resident) {
    resident_[key] = now;
  } else {
    resident_.Erase(key);
  }
}

void load_estimate::OnReplaced() {
  report_.reset();
  resident_.Clear();
}

double load_estimate::BatchLimit() const {
  if (!report_ || report_->batch_limit <= 0) return kDefaultBatchLimit;
  return static_cast<double>(report_->batch_limit);
}

double load_estimate::Occupancy(core::priority_class priority) const {
  if (!report_) return static_cast<double>(outstanding_);
  std::int64_t reported = report_->running + report_->waiting_urgent;
  if (priority == core::priority_class::may_wait) {
    reported += report_->waiting_may_wait;
  }
  return static_cast<double>(reported + unacknowledged_);
}

core::microseconds load_estimate::ExpectedWait(core::priority_class priority,
                                               core::microseconds service_time,
                                               core::time_point now) const {
  const double limit = BatchLimit();
  double free_slots = limit;
  core::microseconds wait{0};
  auto queued = static_cast<double>(unacknowledged_);
  if (report_) {
    // The reported wait has shrunk since, as the queue was processed.
    wait = std::max(core::microseconds(0),
                    report_->expected_wait - (now - reported_at_));
    const std::int64_t ahead = report_->running + report_->waiting_urgent;
    free_slots = std::max(0.0, limit - static_cast<double>(ahead));
    if (priority == core::priority_class::may_wait) {
      queued += static_cast<double>(report_->waiting_may_wait);
    }
  }
  const double excess = std::max(0.0, queued - free_slots);
  const double extra =
      excess / limit * static_cast<double>(service_time.count());
  return wait + core::microseconds(static_cast<std::int64_t>(extra));
}

bool load_estimate::ProbablyResident(adapter_key key,
                                     core::time_point now) const {
  const core::time_point* seen = resident_.Peek(key);
  return seen != nullptr && now - *seen <= kMaximumResidencyAge;
}

}  // namespace comfreyspring::placement

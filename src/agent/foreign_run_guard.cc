#include "agent/foreign_run_guard.h"

#include <algorithm>

namespace comfreyspring::agent {
namespace {

/** A run starts and ends at the engine slightly earlier or later than here. */
constexpr core::milliseconds kCountingMargin{200};
/** Load reports are newer than this; older run counts are dropped. */
constexpr core::seconds kRunHistory{30};

}  // namespace

void foreign_run_guard::OnControlAcquired(core::time_point now) {
  control_acquired_at_ = now;
  may_evict_ = false;
}

void foreign_run_guard::OnControlLost() {
  control_acquired_at_.reset();
  may_evict_ = false;
}

void foreign_run_guard::OnOwnRuns(std::int64_t runs, core::time_point now) {
  own_runs_.push_back({now, runs});
  while (own_runs_.size() > 1 && own_runs_[1].since < now - kRunHistory) {
    own_runs_.pop_front();
  }
}

void foreign_run_guard::OnLoadReport(std::int64_t runs,
                                     core::time_point taken_at) {
  if (may_evict_ || !control_acquired_at_) return;
  if (taken_at < *control_acquired_at_ + settle_time_) return;
  may_evict_ = runs <= MinimumOwnRunsAround(taken_at);
}

std::int64_t foreign_run_guard::MinimumOwnRunsAround(
    core::time_point time) const {
  const core::time_point begin = time - kCountingMargin;
  const core::time_point end = time + kCountingMargin;
  std::optional<std::int64_t> minimum;
  std::int64_t before = 0;
  for (const run_count& count : own_runs_) {
    if (count.since > end) break;
    if (count.since <= begin) {
      before = count.runs;
      continue;
    }
    minimum = std::min(minimum.value_or(count.runs), count.runs);
  }
  return std::min(minimum.value_or(before), before);
}

}  // namespace comfreyspring::agent

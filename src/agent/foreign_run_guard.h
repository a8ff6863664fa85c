#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"

namespace comfreyspring::agent {

/**
 * Decides whether adapters may be evicted although another agent may have
 * started runs on the engine before this one took control: only after a load
 * report, taken since then, that counts no run but own ones. Pure.
 */
class foreign_run_guard {
 public:
  /** @param settle_time how long the former agent may go on after control was
   *     taken, because it has not noticed yet. */
  explicit foreign_run_guard(core::milliseconds settle_time)
      : settle_time_(settle_time) {}

  // Events.

  /** The engine has accepted a command with a new fencing number. */
  void OnControlAcquired(core::time_point now);
  /** Control has to be taken anew; blocks until then. */
  void OnControlLost();
  /** Own runs at the engine from now on. */
  void OnOwnRuns(std::int64_t runs, core::time_point now);
  /** Runs at the engine, as a report of time `taken_at` counts them. */
  void OnLoadReport(std::int64_t runs, core::time_point taken_at);

  // Decision.

  bool MayEvict() const { return may_evict_; }

 private:
  struct run_count {
    core::time_point since;
    std::int64_t runs = 0;
  };
  std::int64_t MinimumOwnRunsAround(core::time_point time) const;

  core::milliseconds settle_time_;
  std::optional<core::time_point> control_acquired_at_;
  std::deque<run_count> own_runs_;
  bool may_evict_ = false;
};

}  // namespace comfreyspring::agent

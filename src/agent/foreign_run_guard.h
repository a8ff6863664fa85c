#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"

namespace comfreyspring::agent {

/**
 * Blocks the eviction of adapters while runs of another agent may use them.
 * Such an agent may have started runs before this one took control of the
 * engine, so eviction is allowed only after a load report, taken since then,
 * that counts no runs but those of this agent. Performs no I/O.
 */
class foreign_run_guard {
 public:
  /** @param settle_time how long the previous agent may continue after control
   * was acquired, until it notices. */
  explicit foreign_run_guard(core::milliseconds settle_time)
      : settle_time_(settle_time) {}

  // Events.

  /** The engine has accepted a command with the current fencing number. */
  void OnControlAcquired(core::time_point now);
  /** Control has to be acquired again; eviction is blocked until then. */
  void OnControlLost();
  /** Number of runs of this agent at the engine from `now` on. */
  void OnOwnRuns(std::int64_t runs, core::time_point now);
  /** Number of all runs at the engine in a load report of time `taken_at`. */
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

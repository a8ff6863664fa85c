#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/random_source.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::adapters {

/** Queued requests for one adapter that is not loaded, by priority class. */
struct load_demand {
  std::size_t urgent = 0;
  std::size_t may_wait = 0;
  /** Submission time of the oldest queued request of each class. */
  core::time_point oldest_urgent;
  core::time_point oldest_may_wait;
};

struct load_scheduler_options {
  /** Load time without congestion of the weight store. */
  core::milliseconds uncongested_load_time{250};
  std::uint64_t random_seed = 1;
  /** Consecutive failed loads after which queued requests are refused. */
  int maximum_load_failures = 3;
};

/**
 * Decides which adapter is loaded next and when. Keeps one entry per adapter,
 * so that all requests for an adapter share one load.
 *
 * The only sign of congestion in the shared weight store is the duration of
 * this engine's own loads, so the number of concurrent loads is limited by an
 * AIMD window: it grows by one per window of loads at normal speed and halves
 * when a load takes much longer. A window below 1 spaces single loads apart.
 */
class load_scheduler {
 public:
  explicit load_scheduler(load_scheduler_options options);

  // Demand.

  /** Replaces the demand for an adapter; empty demand removes the entry. */
  void SetDemand(const core::adapter_reference& adapter,
                 const load_demand& demand);
  void ClearDemand() { demand_.clear(); }

  // Loads.

  /**
   * The adapter to load now, if a load may start: urgent demand first, then
   * the longest wait.
   */
  std::optional<core::adapter_reference> Next(core::time_point now) const;
  void OnStarted(const core::adapter_reference& adapter, core::time_point now);
  void OnDone(const core::adapter_reference& adapter, core::milliseconds took,
              core::time_point now);
  /**
   * Schedules a retry with backoff.
   *
   * @returns true if the requests that wait for the adapter must be refused.
   */
  bool OnFailed(const core::adapter_reference& adapter, core::time_point now);
  /** The engine has lost its loads in flight. Backoff times are kept. */
  void OnEngineRestart();

  // State.

  /**
   * Time for which requests for the adapter are refused because its loads
   * failed `maximum_load_failures` times; 0 if they are not refused.
   */
  core::milliseconds RefusalDuration(const core::adapter_reference& adapter,
                                     core::time_point now) const;
  /** Expected time until the adapter would be loaded. */
  core::milliseconds ExpectedDelay(const core::adapter_reference& adapter,
                                   core::time_point now) const;
  std::size_t InFlight() const { return in_flight_.size(); }
  /** Permitted concurrent loads; below 1, loads per uncongested load time. */
  double Window() const { return window_; }

 private:
  struct failures {
    int count = 0;
    core::time_point retry_at;
  };

  bool MayStartLoad(core::time_point now) const;
  bool IsCandidate(const core::adapter_reference& adapter,
                   core::time_point now) const;
  core::milliseconds Backoff(int failed);
  void AdjustWindow(core::milliseconds took, core::time_point now);

  load_scheduler_options options_;
  core::random_source random_;
  double window_ = 1.0;
  core::milliseconds smoothed_time_;
  /**
   * Moving average of the time between load starts while other adapters were
   * waiting, whether for slots or because of pacing.
   */
  core::milliseconds smoothed_interval_{0};
  bool other_demand_at_last_start_ = false;
  core::time_point last_started_;
  core::time_point last_decrease_;
  std::unordered_map<core::adapter_reference, load_demand> demand_;
  std::unordered_map<core::adapter_reference, core::time_point> in_flight_;
  std::unordered_map<core::adapter_reference, failures> failures_;
};

}  // namespace comfreyspring::adapters

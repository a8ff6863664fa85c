#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/random_source.h"
#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::adapters {

/** All requests that wait for one adapter that is not loaded. */
struct load_demand {
  std::size_t urgent = 0;
  std::size_t may_wait = 0;
  /** Submission of the oldest waiting request of each class. */
  core::time_point oldest_urgent;
  core::time_point oldest_may_wait;
};

struct load_scheduler_options {
  core::milliseconds uncongested_load_time{250};
  std::uint64_t random_seed = 1;
  /** Failed loads of an adapter until its waiting requests are given up. */
  int maximum_tries = 3;
};

/**
 * Decides which adapter is loaded next and when. One entry per adapter, so
 * that all requests for it wait for the same load.
 *
 * Congestion of the shared weight store shows only in the time of own loads.
 * The window of concurrent loads grows by one per window of loads that took
 * the normal time and halves when a load took much longer. Below 1 it spaces
 * single loads apart.
 */
class load_scheduler {
 public:
  explicit load_scheduler(load_scheduler_options options);

  // Demand.

  /** Replaces the demand for an adapter; a demand of none removes it. */
  void SetDemand(const core::adapter_reference& adapter,
                 const load_demand& demand);
  void ClearDemand() { demand_.clear(); }

  // Loads.

  /** The adapter to load now: urgent first, then the longest wait. */
  std::optional<core::adapter_reference> Next(core::time_point now) const;
  void OnStarted(const core::adapter_reference& adapter, core::time_point now);
  void OnDone(const core::adapter_reference& adapter, core::milliseconds took,
              core::time_point now);
  /** True if the requests that wait for the adapter must be given up. */
  bool OnFailed(const core::adapter_reference& adapter, core::time_point now);
  /** The engine has lost its loads in flight. Backoff stays in force. */
  void OnEngineRestart();

  // State.

  /** Time during which no load of an adapter that was given up is tried. */
  core::milliseconds GivenUpFor(const core::adapter_reference& adapter,
                                core::time_point now) const;
  /** Expected time until the adapter would be loaded. */
  core::milliseconds ExpectedDelay(const core::adapter_reference& adapter,
                                   core::time_point now) const;
  std::size_t InFlight() const { return in_flight_.size(); }
  /** Permitted concurrent loads; below 1, loads a normal load time. */
  double Window() const { return window_; }

 private:
  struct failures {
    int count = 0;
    core::time_point retry_at;
  };

  bool HasRoom(core::time_point now) const;
  bool IsCandidate(const core::adapter_reference& adapter,
                   core::time_point now) const;
  core::milliseconds Backoff(int failed);
  void AdjustWindow(core::milliseconds took, core::time_point now);

  load_scheduler_options options_;
  core::random_source random_;
  double window_ = 1.0;
  core::milliseconds smoothed_time_;
  /** Time between starts while other demand was waiting: slots or pacing. */
  core::milliseconds smoothed_interval_{0};
  bool others_waited_ = false;
  core::time_point last_started_;
  core::time_point last_decrease_;
  std::unordered_map<core::adapter_reference, load_demand> demand_;
  std::unordered_map<core::adapter_reference, core::time_point> in_flight_;
  std::unordered_map<core::adapter_reference, failures> failures_;
};

}  // namespace comfreyspring::adapters

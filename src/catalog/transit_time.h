#pragma once

#include <optional>

#include "catalog/catalog_source.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/**
 * Measures how long batches take from one sender, beyond the shortest time of
 * the recent ones. The clocks of two processes cannot be compared, but the
 * difference between them is the same for all batches.
 *
 * Load pattern that it handles: large frames fill the queues of a slow link, so
 * that a batch arrives long after its age was measured. A queue that lasts for
 * longer than the window goes unnoticed. Performs no I/O.
 */
class transit_time {
 public:
  /** Adds the delay of a batch that has just arrived to its ages. */
  void AddTo(change_batch& batch, core::time_point now);

 private:
  using duration = core::time_point::duration;

  /** Clocks drift by less than 15 ms in this time. */
  static constexpr core::milliseconds kWindow{30'000};

  /** Smallest difference between the clocks in this window and the last one. */
  std::optional<duration> smallest_;
  std::optional<duration> smallest_before_;
  core::time_point window_began_;
};

}  // namespace comfreyspring::catalog

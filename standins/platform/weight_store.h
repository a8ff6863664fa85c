#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time.h"

namespace comfreyspring::standins {

using transfer_id = std::uint64_t;

/**
 * Models transfer times of the weight store. A transfer takes
 * `full_speed_duration` while at most `full_speed_transfers` are in progress;
 * beyond that, all transfers share the capacity equally.
 */
class weight_store {
 public:
  explicit weight_store(
      core::milliseconds full_speed_duration = core::milliseconds(250),
      std::size_t full_speed_transfers = 8);

  transfer_id Begin(core::time_point now);
  /** Ends a transfer and gives its share of the capacity to the others. */
  void Cancel(transfer_id transfer, core::time_point now);
  /** Removes and returns the transfers that are complete at `now`. */
  std::vector<transfer_id> TakeComplete(core::time_point now);
  /** Time of the next completion if no transfer begins or ends before it. */
  std::optional<core::time_point> NextCompletion() const;
  std::size_t InTransit() const { return remaining_us_.size(); }

 private:
  void Advance(core::time_point now);
  /** Ratio of the current transfer time to that at full speed; at least 1. */
  double Slowdown() const;

  double full_speed_duration_us_;
  double full_speed_transfers_;
  core::time_point advanced_to_;
  transfer_id next_id_ = 1;
  /** Remaining time of each transfer at full speed, in microseconds. */
  std::map<transfer_id, double> remaining_us_;
};

}  // namespace comfreyspring::standins

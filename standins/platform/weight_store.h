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
 * Timing of the weight store: a transfer takes `full_speed` while at most
 * `full_speed_limit` are under way; beyond that all share the capacity.
 */
class weight_store {
 public:
  explicit weight_store(core::milliseconds full_speed = core::milliseconds(250),
                        std::size_t full_speed_limit = 8);

  transfer_id Begin(core::time_point now);
  /** The reader has gone; its share goes to the others. */
  void Cancel(transfer_id transfer, core::time_point now);
  /** Removes and returns the transfers that are complete by now. */
  std::vector<transfer_id> TakeComplete(core::time_point now);
  /** When the next transfer completes if none begins or ends before. */
  std::optional<core::time_point> NextCompletion() const;
  std::size_t InTransit() const { return remaining_.size(); }

 private:
  void Advance(core::time_point now);
  /** Factor by which transfers are slower than at full speed. */
  double Slowdown() const;

  double full_speed_us_;
  double limit_;
  core::time_point advanced_to_;
  transfer_id next_ = 1;
  /** Time left at full speed, in microseconds. */
  std::map<transfer_id, double> remaining_;
};

}  // namespace comfreyspring::standins

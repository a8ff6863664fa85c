#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "bench/fleet/event_queue.h"
#include "core/time.h"

namespace comfreyspring::bench {

/**
 * Simulated weight store shared by all engines. A load takes 250 ms while at
 * most 8 loads are in flight, and proportionally longer with more.
 */
class weight_store {
 public:
  /** `events` must outlive the store. */
  explicit weight_store(event_queue& events) : events_(events) {}

  /** Starts a load; `done` receives its duration. */
  void Load(std::function<void(core::milliseconds)> done);
  std::uint64_t Loads() const { return started_count_; }

 private:
  struct transfer {
    double remaining_ms = 0.0;
    core::time_point started;
    std::function<void(core::milliseconds)> done;
  };

  /** Speed of each transfer as a fraction of full speed. */
  double RelativeSpeed() const;
  /** Updates the remaining time of all transfers to the current time. */
  void AdvanceTransfers();
  void ScheduleNext();
  void FinishDue();

  event_queue& events_;
  std::map<std::uint64_t, transfer> transfers_;
  std::uint64_t started_count_ = 0;
  std::uint64_t revision_ = 0;
  core::time_point advanced_to_;
};

}  // namespace comfreyspring::bench

#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "admission/batch_shares.h"
#include "admission/request_queue.h"
#include "admission/running_table.h"
#include "admission/work_estimator.h"
#include "core/time.h"

namespace comfreyspring::admission {

/** What the expected wait for a place in the batch depends on. */
struct batch_view {
  std::size_t batch_limit = 0;
  std::size_t long_limit = 0;
  std::size_t may_wait_limit = 0;
  /** Classes and long work have shares; otherwise all wait in one line. */
  bool shares_batch = true;
  std::array<lane_load, kLaneCount> waiting = {};
  running_counts running;
  /** Places that preemption could free for urgent work. */
  std::size_t preemptible = 0;
  /** Time until the first running attempt ends. */
  core::milliseconds next_release{0};
  /** Places that urgent work has held lately. */
  double urgent_average = 0.0;
};

/** Expected wait of a new attempt of this lane until it gets a place. */
core::milliseconds ExpectedWait(lane value, const batch_view& view,
                                const work_estimator& estimator);

/** Expected time until a running attempt ends, at least a millisecond. */
core::milliseconds RemainingTime(const running_item& running,
                                 const work_estimator& estimator,
                                 core::time_point now);

}  // namespace comfreyspring::admission

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

/** State that the expected wait for a batch slot depends on. */
struct batch_snapshot {
  std::size_t batch_limit = 0;
  std::size_t long_limit = 0;
  std::size_t may_wait_limit = 0;
  /** True if each work class has its own limit; false for a single queue. */
  bool shares_batch = true;
  std::array<work_class_load, kWorkClassCount> waiting = {};
  running_counts running;
  /** Batch slots that preemption could free for urgent work. */
  std::size_t preemptible = 0;
  /** Expected time until the first running attempt ends. */
  core::milliseconds next_release{0};
  /** Recent mean number of batch slots that urgent work holds. */
  double mean_urgent_running = 0.0;
};

/** Expected time until a new attempt of this class gets a batch slot. */
core::milliseconds ExpectedWait(work_class value,
                                const batch_snapshot& snapshot,
                                const work_estimator& estimator);

/** Expected time until a running attempt ends, at least 1 ms. */
core::milliseconds RemainingTime(const running_item& running,
                                 const work_estimator& estimator,
                                 core::time_point now);

}  // namespace comfreyspring::admission

#pragma once

#include <cstddef>

#include "core/time.h"

namespace comfreyspring::net {

/**
 * Divides the time in which a loop reads responses among the calls of a client.
 * A call that reads little is never held back. Calls that read more share a
 * budget for each period, so that peers that send as fast as they are read,
 * however many there are, leave the loop time for other work.
 */
class read_pacer {
 public:
  /** What one call may still read of its own. */
  class usage {
   public:
    usage();

   private:
    friend class read_pacer;
    std::size_t allowance_;
    core::time_point refilled_at_;
  };

  /**
   * Counts `bytes` if the call may read them in this period.
   * @returns the time until the next period if it may not; zero if it may.
   */
  core::milliseconds Take(usage& call, std::size_t bytes, core::time_point now);

 private:
  core::time_point period_;
  std::size_t shared_left_ = 0;
};

}  // namespace comfreyspring::net

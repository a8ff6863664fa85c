#pragma once

#include <cstddef>
#include <deque>

#include "core/time.h"

namespace comfreyspring::gateway {

struct repeat_limits {
  /** Repeats in a window: this share of the requests in it ... */
  double share = 0.2;
  /** ... and this many more, over all gateways ... */
  double extra = 0.0;
  /** ... in any window of this length. */
  core::milliseconds window{10'000};
};

/**
 * Bounds how often requests to one service are sent again, over all gateways
 * without a message between them: each keeps to the share of its own requests
 * and to its part of the extra number.
 *
 * Answers the load pattern in which failing endpoints would multiply the load.
 */
class repeat_budget {
 public:
  explicit repeat_budget(repeat_limits limits);

  void OnRequest(core::time_point now);
  /** Takes one repeat. @param gateways number that share the extra. */
  bool TryTake(std::size_t gateways, core::time_point now);
  /** Repeats that could be taken now. */
  double Left(std::size_t gateways, core::time_point now);

 private:
  struct bucket {
    core::time_point start;
    int requests = 0;
    int repeats = 0;
  };

  bucket& Current(core::time_point now);

  repeat_limits limits_;
  std::deque<bucket> buckets_;
};

}  // namespace comfreyspring::gateway

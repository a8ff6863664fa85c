#pragma once

#include <cstddef>
#include <deque>

#include "core/time.h"

namespace comfreyspring::gateway {

struct retry_limits {
  /** Retries in a window are limited to this share of its requests ... */
  double share = 0.2;
  /** ... plus this number, shared by all gateways. */
  double extra = 0.0;
  /** Length of the sliding window. */
  core::milliseconds window{10'000};
};

/**
 * Limits how often requests to one service are retried, over all gateways but
 * without communication between them: each gateway stays within the share of
 * its own requests plus its part of the extra retries.
 *
 * Prevents retries from multiplying the load on failing endpoints.
 */
class retry_budget {
 public:
  explicit retry_budget(retry_limits limits);

  void OnRequest(core::time_point now);
  /**
   * Takes one retry from the budget.
   * @param gateways number of gateways that share the extra retries.
   * @returns false if the budget is used up.
   */
  bool TryTake(std::size_t gateways, core::time_point now);
  /** Retries that could be taken now. */
  double Available(std::size_t gateways, core::time_point now);

 private:
  struct bucket {
    core::time_point start;
    int requests = 0;
    int retries = 0;
  };

  bucket& Current(core::time_point now);

  retry_limits limits_;
  std::deque<bucket> buckets_;
};

}  // namespace comfreyspring::gateway

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "placement/adapter_key.h"
#include "placement/lru_map.h"

namespace comfreyspring::placement {

struct replica_options {
  /**
   * Averaging window of this process's request rate; bounds the delay before
   * the number of replicas rises.
   */
  core::milliseconds rate_window{500};
  core::milliseconds scale_down_interval{30000};
  /** Time for which a reported rate is used. */
  core::milliseconds report_lifetime{3000};
  /** Fraction of a replica's capacity that one adapter may use. */
  double target_utilization = 0.6;
  /**
   * The number of replicas falls only while the demand is below this fraction
   * of the next lower target.
   */
  double scale_down_threshold = 0.7;
  std::size_t maximum_adapters = 16384;
};

/**
 * Controls the number of replicas of each adapter. It rises as soon as the
 * demand needs it and falls by one per interval, so that load fluctuations do
 * not cause adapters to be reloaded.
 */
class replica_controller {
 public:
  explicit replica_controller(replica_options options = {});

  /** Counts one request of this process. */
  void OnRequest(adapter_key key, core::time_point now);
  /** @param rate requests per second that the endpoint gets for the adapter. */
  void OnReportedRate(adapter_key key, const core::endpoint_id& endpoint,
                      double rate, core::time_point now);
  /**
   * Updates and returns the number of replicas, from 1 to `members`.
   * @param capacity requests per second that one replica can serve.
   */
  std::size_t UpdateReplicaCount(adapter_key key, double capacity,
                                 std::size_t members, core::time_point now);
  /** Last result of UpdateReplicaCount; 1 if the adapter is unknown. */
  std::size_t LastReplicaCount(adapter_key key) const;
  /** Number of adapters with state. */
  std::size_t size() const { return adapters_.size(); }

 private:
  struct reported_rate {
    core::endpoint_id endpoint;
    double rate = 0.0;
    core::time_point at;
  };
  struct adapter_state {
    double own_count = 0.0;
    core::time_point counted_at;
    std::vector<reported_rate> reported;
    std::size_t replica_count = 1;
    core::time_point changed_at;
  };

  double Decay(core::microseconds elapsed) const;
  double Demand(adapter_state& state, core::time_point now) const;

  replica_options options_;
  lru_map<adapter_key, adapter_state> adapters_;
};

}  // namespace comfreyspring::placement

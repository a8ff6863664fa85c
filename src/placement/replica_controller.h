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
  /** Window of the own request rate; bounds the delay of a step up. */
  core::milliseconds rate_window{500};
  core::milliseconds step_down_interval{30000};
  /** A reported rate counts for this long. */
  core::milliseconds report_age{3000};
  /** Share of one home's capacity that one adapter may use. */
  double target_fill = 0.6;
  /** Demand must be below this share of the next lower target to step down. */
  double step_down_fill = 0.7;
  std::size_t maximum_adapters = 16384;
};

/**
 * Number of homes of each adapter. Rises as soon as the demand needs it and
 * falls by one step per interval, so that a swing does not reload adapters.
 */
class replica_controller {
 public:
  explicit replica_controller(replica_options options = {});

  /** Counts one request of this process. */
  void OnRequest(adapter_key key, core::time_point now);
  /** Rate (requests a second) that an endpoint receives for the adapter. */
  void OnReportedRate(adapter_key key, const core::endpoint_id& endpoint,
                      double rate, core::time_point now);
  /**
   * Number of homes, at least 1 and at most `members`.
   * @param capacity requests a second that one home can serve.
   */
  std::size_t Homes(adapter_key key, double capacity, std::size_t members,
                    core::time_point now);
  /** Last result of Homes; 1 if unknown. */
  std::size_t LastHomes(adapter_key key) const;
  /** Adapters with kept state. */
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
    std::size_t homes = 1;
    core::time_point changed_at;
  };

  double Decay(core::microseconds elapsed) const;
  double Demand(adapter_state& state, core::time_point now) const;

  replica_options options_;
  lru_map<adapter_key, adapter_state> adapters_;
};

}  // namespace comfreyspring::placement

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::resilience {

struct slow_endpoint_options {
  /** Latest samples that are kept for each endpoint. */
  std::size_t window = 7;
  /** Samples needed to evaluate an endpoint that is not on probation. */
  std::size_t minimum_samples = 5;
  /** Ratio to the median of the peers above which an endpoint is ejected. */
  double eject_ratio = 2.5;
  /** Maximum share of the peers that is ejected or on probation at once. */
  double maximum_ejected_share = 0.25;
  /** Duration of the first ejection; doubles each time probation fails. */
  core::milliseconds first_ejection{2000};
  core::milliseconds longest_ejection{30000};
  /** Samples needed at each step of probation before it is evaluated. */
  std::size_t samples_per_step = 4;
};

/**
 * Outlier detection by latency: ejects endpoints that are slower than their
 * peers, then reinstates them in steps (10%, 25%, 50%, 100% of normal traffic).
 *
 * One detector serves one group of peers: the engines of a model or the
 * endpoints of a service.
 */
class slow_endpoint_detector {
 public:
  explicit slow_endpoint_detector(slow_endpoint_options options = {});

  /** Replaces the group; peers that remain in it keep their state. */
  void SetPeers(const std::vector<core::endpoint_id>& peers);
  /** Records the time per unit of work of one completed request. */
  void OnSample(const core::endpoint_id& endpoint, double time_per_unit,
                core::time_point now);
  /** Resets the endpoint, since a new process serves it. */
  void OnReplaced(const core::endpoint_id& endpoint);
  /** Ejects slow endpoints and moves others through probation. */
  void OnTick(core::time_point now);

  /** Share of normal traffic that the endpoint may get, 0 to 1. */
  double ShareOf(const core::endpoint_id& endpoint) const;
  /** Ratio of the endpoint's median to that of its peers; 1 if unknown. */
  double SlownessOf(const core::endpoint_id& endpoint) const;
  /** Number of endpoints that are ejected or on probation. */
  std::size_t EjectedCount() const;

 private:
  struct peer_state {
    std::deque<double> samples;
    double slowness = 1.0;
    /** 0 if ejected, then the probation steps; the last is normal traffic. */
    std::size_t step = 0;
    core::milliseconds ejection{0};
    core::time_point probe_at;
  };

  void UpdateStep(peer_state& peer, core::time_point now);
  void Eject(peer_state& peer, core::time_point now);
  void UpdateSlowness();
  std::size_t MaximumEjected() const;

  slow_endpoint_options options_;
  std::map<core::endpoint_id, peer_state> peers_;
};

}  // namespace comfreyspring::resilience

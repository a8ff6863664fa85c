#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::resilience {

struct slow_endpoint_options {
  std::size_t window = 7;
  std::size_t minimum_samples = 5;
  /** Multiple of the peers' median above which an endpoint is ejected. */
  double eject_ratio = 2.5;
  /** Largest share of the peers that is ejected or on probation at once. */
  double maximum_ejected_share = 0.25;
  /** Time without work before the first probe; doubles on each failure. */
  core::milliseconds first_ejection{2000};
  core::milliseconds longest_ejection{30000};
  /** Good samples that each step of the return needs. */
  std::size_t samples_per_step = 4;
};

/**
 * Finds endpoints that are slower than their peers and returns them in steps
 * (10%, 25%, 50%, 100% of normal work).
 *
 * One detector watches one group of peers: the engines of a model or the
 * endpoints of a service.
 */
class slow_endpoint_detector {
 public:
  explicit slow_endpoint_detector(slow_endpoint_options options = {});

  /** Replaces the peers; the state of those that remain is kept. */
  void SetPeers(const std::vector<core::endpoint_id>& peers);
  /** Time per unit of work of one finished request. */
  void OnSample(const core::endpoint_id& endpoint, double time_per_unit,
                core::time_point now);
  /** A new process serves the endpoint: old samples no longer apply. */
  void OnReplaced(const core::endpoint_id& endpoint);
  /** Ejects, probes and reinstates. */
  void OnTick(core::time_point now);

  /** Share of normal work that the endpoint may get, 0 to 1. */
  double ShareOf(const core::endpoint_id& endpoint) const;
  /** Median relative to the peers' median; 1 if unknown. */
  double SlownessOf(const core::endpoint_id& endpoint) const;
  /** Endpoints whose share is below 1. */
  std::size_t Ejected() const;

 private:
  struct peer_state {
    std::deque<double> samples;
    double slowness = 1.0;
    /** Index into the steps of the return; the last one is normal work. */
    std::size_t step = 0;
    core::milliseconds ejection{0};
    core::time_point probe_at;
  };

  void Judge(peer_state& peer, core::time_point now);
  void Eject(peer_state& peer, core::time_point now);
  void UpdateSlowness();
  std::size_t MaximumEjected() const;

  slow_endpoint_options options_;
  std::map<core::endpoint_id, peer_state> peers_;
};

}  // namespace comfreyspring::resilience

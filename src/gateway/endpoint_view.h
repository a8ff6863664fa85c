#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "adapters/decayed_value.h"
#include "catalog/endpoint_record.h"
#include "core/time.h"
#include "grants/grant_types.h"

namespace comfreyspring::gateway {

/** Statistics of recent attempts at an endpoint, as seen by this gateway. */
class endpoint_results {
 public:
  /**
   * Short, so that a change in an endpoint's behaviour shows within seconds.
   */
  static constexpr core::milliseconds kHalfLife{3000};

  void OnSent(core::time_point now) {
    if (outstanding_++ == 0) silent_since_ = now;
  }
  /** Headers or an event arrived. */
  void OnProgress(core::time_point now) { silent_since_ = now; }
  void OnEnded(bool succeeded, core::time_point now) {
    --outstanding_;
    silent_since_ = now;
    (succeeded ? succeeded_ : failed_).Add(1.0, now);
  }
  /** The attempt ended for a reason that does not reflect on the endpoint. */
  void OnCancelled() { --outstanding_; }
  /**
   * Time until the first event of a stream, or until the whole response of any
   * other call.
   */
  void OnLatency(core::milliseconds latency, core::time_point now) {
    latency_sum_.Add(static_cast<double>(latency.count()), now);
    latency_count_.Add(1.0, now);
  }

  int Outstanding() const { return outstanding_; }
  /**
   * Share of failed attempts. A prior of successes keeps it low while there are
   * few results.
   */
  double FailureShare(core::time_point now) const {
    const double failed = failed_.At(now);
    return failed / (succeeded_.At(now) + failed + kPriorSuccesses);
  }
  /** Mean latency; nothing if there were too few recent attempts. */
  std::optional<double> LatencyMs(core::time_point now) const {
    const double count = latency_count_.At(now);
    if (count < 0.5) return std::nullopt;
    return latency_sum_.At(now) / count;
  }
  /** Time since the last sign of progress while requests are outstanding. */
  core::milliseconds Silence(core::time_point now) const {
    if (outstanding_ <= 0) return core::milliseconds(0);
    return core::ToMilliseconds(now - silent_since_);
  }

 private:
  static constexpr double kPriorSuccesses = 2.0;

  int outstanding_ = 0;
  core::time_point silent_since_;
  adapters::decayed_value succeeded_{kHalfLife};
  adapters::decayed_value failed_{kHalfLife};
  adapters::decayed_value latency_sum_{kHalfLife};
  adapters::decayed_value latency_count_{kHalfLife};
};

/** State of one endpoint as known to this gateway. */
struct endpoint_view {
  catalog::endpoint_record record;
  endpoint_results results;
  /**
   * A rate-limited endpoint is not expected to have a permit for this gateway
   * before this time.
   */
  core::time_point next_permit_at;
  /** Its latest response names a limit that cannot be read. */
  bool limit_is_unreadable = false;

  // For model engines.

  /**
   * The link to the engine's sidecar is open and a status has been received.
   */
  bool has_sidecar = false;
  grants::engine_status status;
  /** Adapters that the engine held according to its latest report. */
  std::set<catalog::adapter_name> adapters;
  /** Grants requested since the latest status. */
  std::size_t grants_requested_since_status = 0;
};

}  // namespace comfreyspring::gateway

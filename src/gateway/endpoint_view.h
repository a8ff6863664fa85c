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

/** Results of an endpoint's recent attempts, as this gateway saw them. */
class endpoint_results {
 public:
  /** Half of the weight is in the last seconds: a swing shows at once. */
  static constexpr core::milliseconds kHalfLife{3000};

  void OnSent(core::time_point now) {
    if (outstanding_++ == 0) waiting_since_ = now;
  }
  /** Headers or an event arrived. */
  void OnSign(core::time_point now) { waiting_since_ = now; }
  void OnEnded(bool good, core::time_point now) {
    --outstanding_;
    waiting_since_ = now;
    (good ? good_ : bad_).Add(1.0, now);
  }
  /** Ended for a reason that says nothing of the endpoint. */
  void OnDropped() { --outstanding_; }
  /** Time until the first sign of an answer. */
  void OnLatency(core::milliseconds latency, core::time_point now) {
    latency_sum_.Add(static_cast<double>(latency.count()), now);
    latency_count_.Add(1.0, now);
  }

  int Outstanding() const { return outstanding_; }
  /** Share of failed attempts; few results count as good ones. */
  double FailureShare(core::time_point now) const {
    const double bad = bad_.At(now);
    return bad / (good_.At(now) + bad + kAssumedGood);
  }
  /** Mean time to the first sign of an answer, if there were any lately. */
  std::optional<double> LatencyMs(core::time_point now) const {
    const double count = latency_count_.At(now);
    if (count < 0.5) return std::nullopt;
    return latency_sum_.At(now) / count;
  }
  /** Time without any sign while something is outstanding. */
  core::milliseconds Silence(core::time_point now) const {
    if (outstanding_ <= 0) return core::milliseconds(0);
    return core::ToMilliseconds(now - waiting_since_);
  }

 private:
  static constexpr double kAssumedGood = 2.0;

  int outstanding_ = 0;
  core::time_point waiting_since_;
  adapters::decayed_value good_{kHalfLife};
  adapters::decayed_value bad_{kHalfLife};
  adapters::decayed_value latency_sum_{kHalfLife};
  adapters::decayed_value latency_count_{kHalfLife};
};

/** What a gateway believes of one endpoint. */
struct endpoint_view {
  catalog::endpoint_record record;
  endpoint_results results;

  // Model engines.

  /** The agent of the engine is connected and heard. */
  bool has_sidecar = false;
  grants::engine_status status;
  /** Adapters that the engine held when it was last heard of. */
  std::set<catalog::adapter_name> adapters;
  /** Grants asked for since the last status. */
  std::size_t asked_since_status = 0;
};

}  // namespace comfreyspring::gateway

#pragma once

#include "core/time.h"
#include "limits/request_rate.h"

namespace comfreyspring::limits {

/**
 * Counts requests against a rate. Normally starts empty, since nothing is known
 * of the requests before.
 */
class token_bucket {
 public:
  /** Tokens that a slow bucket holds at most. */
  static constexpr double kBurst = 2.0;
  /** Longest wait that is reported. */
  static constexpr core::milliseconds kMaximumWait{10'000'000};

  explicit token_bucket(double burst = kBurst, double tokens = 0.0)
      : burst_(burst), tokens_(tokens) {}

  /** Keeps the tokens, as far as they fit. */
  void SetRate(request_rate rate, core::time_point now);
  /** @returns false if no token is available. */
  bool TryTake(core::time_point now);
  /** Returns a token whose request was not sent. */
  void Return(core::time_point now);

  double Available(core::time_point now) const;
  /** Time until this many tokens could have been taken, one after another. */
  core::milliseconds TimeUntil(double count, core::time_point now) const;

 private:
  double Capacity() const;
  void Refill(core::time_point now);

  double burst_;
  request_rate rate_;
  double tokens_;
  core::time_point refilled_at_;
};

}  // namespace comfreyspring::limits

#pragma once

namespace comfreyspring::resilience {

/**
 * Token bucket that limits extra attempts (retries, hedges) to a share of the
 * requests.
 *
 * Over any period, at most `share` times the requests plus `burst` are granted.
 */
class ratio_budget {
 public:
  /**
   * @param share extra attempts per request.
   * @param burst capacity of the bucket, which starts full.
   */
  ratio_budget(double share, double burst);

  /** Counts one original request and refills the bucket by `share`. */
  void OnRequest();
  /** Takes one token. @returns false if there is none. */
  bool TryTake();
  /** True if the next TryTake() would succeed. */
  bool Available() const { return tokens_ >= 1.0; }

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace comfreyspring::resilience

#pragma once

namespace comfreyspring::resilience {

/**
 * Bounds extra work (retries, hedges) to a share of the requests.
 *
 * Over any period at most `share` times the requests plus `burst` are granted.
 */
class ratio_budget {
 public:
  /** @param burst number that may be granted at once after a quiet time. */
  ratio_budget(double share, double burst);

  /** Counts one request of a caller. */
  void OnRequest();
  /** @returns true and takes one unit if the budget allows it. */
  bool TryTake();
  /** True if the next TryTake would succeed. */
  bool Available() const { return tokens_ >= 1.0; }

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace comfreyspring::resilience

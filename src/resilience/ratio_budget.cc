#include "resilience/ratio_budget.h"

#include <algorithm>
#include <cassert>

namespace comfreyspring::resilience {

ratio_budget::ratio_budget(double share, double burst)
    : share_(share), burst_(burst), tokens_(burst) {
  assert(share >= 0.0 && burst >= 0.0);
}

void ratio_budget::OnRequest() { tokens_ = std::min(burst_, tokens_ + share_); }

bool ratio_budget::TryTake() {
  if (!Available()) return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace comfreyspring::resilience

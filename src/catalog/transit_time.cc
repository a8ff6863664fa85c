#include "catalog/transit_time.h"

#include <algorithm>

namespace comfreyspring::catalog {

void transit_time::AddTo(change_batch& batch, core::time_point now) {
  if (!batch.sent_at) return;
  const duration difference = now.time_since_epoch() - *batch.sent_at;
  if (smallest_ && now - window_began_ >= kWindow) {
    smallest_before_ = smallest_;
    smallest_.reset();
  }
  if (!smallest_) window_began_ = now;
  smallest_ = std::min(smallest_.value_or(difference), difference);
  const auto base = std::min(*smallest_, smallest_before_.value_or(difference));
  const auto delay = core::ToMilliseconds(difference - base);
  batch.age += delay;
  if (batch.last_outage) batch.last_outage->ended_ago += delay;
}

}  // namespace comfreyspring::catalog

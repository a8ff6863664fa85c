#include "limits/limit_record.h"

#include <algorithm>

namespace comfreyspring::limits {

std::string_view ToString(limit_change change) {
  switch (change) {
    case limit_change::none:
      return "none";
    case limit_change::heard:
      return "heard";
    case limit_change::changed:
      return "changed";
    case limit_change::ended:
      return "ended";
  }
  return "unknown";
}

limit_change limit_record::OnNamed(request_rate rate,
                                   const response_interval& generated) {
  if (ended_by_ && generated.latest < *ended_by_) return limit_change::none;
  if (!rate_) {
    rate_ = rate;
    last_named_ = generated;
    return limit_change::heard;
  }
  if (*rate_ == rate) {
    last_named_.earliest = std::max(last_named_.earliest, generated.earliest);
    last_named_.latest = std::max(last_named_.latest, generated.latest);
    return limit_change::none;
  }
  const bool is_older = generated.latest < last_named_.earliest;
  const bool is_newer = generated.earliest >= last_named_.latest;
  if (is_older || (!is_newer && rate > *rate_)) return limit_change::none;
  rate_ = rate;
  last_named_ = generated;
  return limit_change::changed;
}

limit_change limit_record::OnNotNamed(const response_interval& generated) {
  if (rate_ && generated.earliest < last_named_.latest) {
    return limit_change::none;
  }
  ended_by_ =
      std::max(ended_by_.value_or(generated.earliest), generated.earliest);
  if (!rate_) return limit_change::none;
  rate_.reset();
  return limit_change::ended;
}

limit_change limit_record::Adopt(const std::optional<request_rate>& rate,
                                 core::time_point now) {
  if (rate == rate_) return limit_change::none;
  if (!rate) {
    last_named_.latest = std::min(last_named_.latest, now);
    return OnNotNamed({now, now});
  }
  const bool was_known = rate_.has_value();
  rate_ = rate;
  last_named_ = {now, now};
  return was_known ? limit_change::changed : limit_change::heard;
}

}  // namespace comfreyspring::limits

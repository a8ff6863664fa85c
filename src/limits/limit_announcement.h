#pragma once

#include <optional>

#include "limits/request_rate.h"

namespace comfreyspring::limits {

/** What one response of an endpoint says about its request rate limit. */
struct limit_announcement {
  /** The response names a limit ... */
  bool present = false;
  /** ... of this rate; nothing if the value is not readable. */
  std::optional<request_rate> rate;
};

}  // namespace comfreyspring::limits

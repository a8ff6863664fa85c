#include "gateway/caller_limits.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::gateway {
namespace {

/**
 * Limits `value`. A value that is not positive gets the default, since it may
 * not cut off callers.
 */
template <class Value>
Value Bounded(const char* name, Value value, Value lowest, Value highest,
              Value standard, std::vector<std::string>& corrected) {
  const Value wanted = value > Value{} ? value : standard;
  const Value bounded = std::clamp(wanted, lowest, highest);
  if (bounded != value) corrected.emplace_back(name);
  return bounded;
}

bool AreWithin(const net::http_server_limits& limits,
               const net::http_server_limits& wider) {
  return limits.maximum_header_bytes <= wider.maximum_header_bytes &&
         limits.maximum_body_bytes <= wider.maximum_body_bytes &&
         limits.header_timeout <= wider.header_timeout &&
         limits.idle_timeout <= wider.idle_timeout;
}

}  // namespace

caller_limits::caller_limits(const net::http_server_limits& initial,
                             const caller_limit_bounds& bounds,
                             core::milliseconds overlap)
    : bounds_(bounds), overlap_(overlap), current_(initial) {}

std::vector<std::string> caller_limits::Adopt(
    const catalog::client_limits& limits, core::time_point now) {
  const catalog::client_limits standard;
  std::vector<std::string> corrected;
  const net::http_server_limits next{
      .maximum_header_bytes = Bounded<std::size_t>(
          "header_bytes", limits.header_bytes, 1, bounds_.maximum_header_bytes,
          standard.header_bytes, corrected),
      .maximum_body_bytes = Bounded<std::size_t>(
          "body_bytes", limits.body_bytes, 1, bounds_.maximum_body_bytes,
          standard.body_bytes, corrected),
      .header_timeout = Bounded(
          "header_timeout", limits.header_timeout, bounds_.minimum_timeout,
          bounds_.maximum_timeout, standard.header_timeout, corrected),
      .idle_timeout =
          Bounded("idle_timeout", limits.idle_timeout, bounds_.minimum_timeout,
                  bounds_.maximum_timeout, standard.idle_timeout, corrected)};
  // No caller has been told of the limits before the first configuration.
  if (!std::exchange(is_initial_, false)) {
    // What is replaced now remains longer than what was replaced earlier.
    std::erase_if(replaced_, [this](const replaced& each) {
      return AreWithin(each.limits, current_);
    });
    const auto ends_at = now + overlap_;
    replaced_.push_back({.limits = current_,
                         .ends_at = ends_at,
                         .idle_ends_at = ends_at + current_.idle_timeout});
  }
  current_ = next;
  return corrected;
}

net::http_server_limits caller_limits::At(core::time_point now) {
  std::erase_if(replaced_, [now](const replaced& each) {
    return now >= each.idle_ends_at;
  });
  net::http_server_limits result = current_;
  for (const replaced& each : replaced_) {
    result.idle_timeout =
        std::max(result.idle_timeout, each.limits.idle_timeout);
    if (now >= each.ends_at) continue;
    result.maximum_header_bytes =
        std::max(result.maximum_header_bytes, each.limits.maximum_header_bytes);
    result.maximum_body_bytes =
        std::max(result.maximum_body_bytes, each.limits.maximum_body_bytes);
    result.header_timeout =
        std::max(result.header_timeout, each.limits.header_timeout);
  }
  return result;
}

std::optional<core::time_point> caller_limits::NextChange(
    core::time_point now) const {
  std::optional<core::time_point> next;
  for (const replaced& each : replaced_) {
    const auto change = each.ends_at > now ? each.ends_at : each.idle_ends_at;
    next = std::min(next.value_or(change), change);
  }
  return next;
}

}  // namespace comfreyspring::gateway

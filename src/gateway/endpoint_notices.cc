#include "gateway/endpoint_notices.h"

#include <algorithm>

namespace comfreyspring::gateway {
namespace {

/** A draining endpoint is gone long before this time. */
constexpr core::milliseconds kDrainingRetention{600'000};
/** An endpoint that is in use names its limit far more often. */
constexpr core::milliseconds kLimitRetention{600'000};
/** Allowance for clocks that run at different rates. */
constexpr core::milliseconds kBackoffMargin{50};

using limits::IncarnationOf;

}  // namespace

bool endpoint_notices::OnDraining(const catalog::endpoint_record& record,
                                  core::time_point now) {
  return draining_since_.try_emplace(IncarnationOf(record), now).second;
}

core::milliseconds endpoint_notices::OnBackoff(
    const catalog::endpoint_record& record,
    std::optional<core::milliseconds> requested, core::time_point now) {
  const auto backoff = std::clamp(requested.value_or(kDefaultBackoff),
                                  core::milliseconds(0), kMaximumBackoff) +
                       kBackoffMargin;
  auto& until = backoff_until_[IncarnationOf(record)];
  until = std::max(until, now + backoff);
  return backoff;
}

limits::limit_change endpoint_notices::OnLimit(
    const catalog::endpoint_record& record,
    const limits::limit_announcement& announcement,
    const limits::response_interval& generated) {
  if (announcement.present) {
    if (!announcement.rate) return limits::limit_change::none;
    return limits_[IncarnationOf(record)].OnNamed(*announcement.rate,
                                                  generated);
  }
  const auto found = limits_.find(IncarnationOf(record));
  if (found == limits_.end()) return limits::limit_change::none;
  return found->second.OnNotNamed(generated);
}

limits::limit_change endpoint_notices::OnLimitDecided(
    const catalog::endpoint_record& record,
    const std::optional<limits::request_rate>& rate, core::time_point now) {
  if (!rate && !LimitOf(record)) return limits::limit_change::none;
  return limits_[IncarnationOf(record)].Adopt(rate, now);
}

std::optional<limits::request_rate> endpoint_notices::LimitOf(
    const catalog::endpoint_record& record) const {
  if (limits_.empty()) return std::nullopt;
  const auto found = limits_.find(IncarnationOf(record));
  return found == limits_.end() ? std::nullopt : found->second.Rate();
}

bool endpoint_notices::IsDraining(
    const catalog::endpoint_record& record) const {
  return !draining_since_.empty() &&
         draining_since_.count(IncarnationOf(record)) > 0;
}

core::milliseconds endpoint_notices::BackoffLeft(
    const catalog::endpoint_record& record, core::time_point now) const {
  if (backoff_until_.empty()) return core::milliseconds(0);
  const auto found = backoff_until_.find(IncarnationOf(record));
  if (found == backoff_until_.end() || found->second <= now) {
    return core::milliseconds(0);
  }
  return std::chrono::ceil<core::milliseconds>(found->second - now);
}

void endpoint_notices::OnTick(core::time_point now) {
  std::erase_if(draining_since_, [&](const auto& entry) {
    return now - entry.second > kDrainingRetention;
  });
  std::erase_if(backoff_until_,
                [&](const auto& entry) { return entry.second <= now; });
  std::erase_if(limits_, [&](const auto& entry) {
    return now - entry.second.LastNamed().latest > kLimitRetention;
  });
}

}  // namespace comfreyspring::gateway

#include "gateway/endpoint_notices.h"

#include <algorithm>

namespace comfreyspring::gateway {
namespace {

/** A draining endpoint is gone long before this time. */
constexpr core::milliseconds kLeavingKept{600'000};
/** Allowance for clocks that run at different rates. */
constexpr core::milliseconds kRefusalMargin{50};

}  // namespace

bool endpoint_notices::OnLeaving(const catalog::endpoint_record& record,
                                 core::time_point now) {
  return leaving_since_.try_emplace(Of(record), now).second;
}

core::milliseconds endpoint_notices::OnRefusal(
    const catalog::endpoint_record& record,
    std::optional<core::milliseconds> length, core::time_point now) {
  const auto counted = std::clamp(length.value_or(kAssumedRefusal),
                                  core::milliseconds(0), kLongestRefusal) +
                       kRefusalMargin;
  auto& until = refuses_until_[Of(record)];
  until = std::max(until, now + counted);
  return counted;
}

bool endpoint_notices::IsLeaving(const catalog::endpoint_record& record) const {
  return !leaving_since_.empty() && leaving_since_.count(Of(record)) > 0;
}

core::milliseconds endpoint_notices::RefusesFor(
    const catalog::endpoint_record& record, core::time_point now) const {
  if (refuses_until_.empty()) return core::milliseconds(0);
  const auto found = refuses_until_.find(Of(record));
  if (found == refuses_until_.end() || found->second <= now) {
    return core::milliseconds(0);
  }
  return std::chrono::ceil<core::milliseconds>(found->second - now);
}

void endpoint_notices::OnTick(core::time_point now) {
  std::erase_if(leaving_since_, [&](const auto& entry) {
    return now - entry.second > kLeavingKept;
  });
  std::erase_if(refuses_until_,
                [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace comfreyspring::gateway

#include "admission/batch_shares.h"

#include <algorithm>

namespace comfreyspring::admission {
namespace {

constexpr core::milliseconds kRecent{3'000};
/** Share of the batch that `may_wait` work gets over time, at least. */
constexpr double kMayWaitShare = 0.05;
/** Unused credit does not grow into a later burst of deferrable work. */
constexpr double kMaximumCredit = 20'000.0;

bool IsUrgent(lane value) {
  return value == lane::urgent_short || value == lane::urgent_long;
}
bool IsShort(lane value) {
  return value == lane::urgent_short || value == lane::may_wait_short;
}

}  // namespace

void batch_shares::OnSubmitted(lane value, core::time_point now) {
  if (IsShort(value)) {
    seen_short_ = true;
    last_short_ = now;
  }
  if (IsUrgent(value)) {
    seen_urgent_ = true;
    last_urgent_ = now;
  }
}

void batch_shares::OnDispatched(lane value, core::token_count tokens,
                                bool may_wait_waits) {
  const auto amount = static_cast<double>(tokens.value);
  if (!IsUrgent(value)) {
    may_wait_credit_ = std::max(0.0, may_wait_credit_ - amount);
  } else if (may_wait_waits) {
    may_wait_credit_ =
        std::min(kMaximumCredit, may_wait_credit_ + amount * kMayWaitShare /
                                                        (1.0 - kMayWaitShare));
  } else {
    may_wait_credit_ = 0.0;
  }
}

bool batch_shares::ShortDemandIsRecent(core::time_point now) const {
  return seen_short_ && now - last_short_ < kRecent;
}

bool batch_shares::UrgentDemandIsRecent(core::time_point now) const {
  return seen_urgent_ && now - last_urgent_ < kRecent;
}

std::size_t batch_shares::LongLimit(std::size_t batch_limit,
                                    core::time_point now) const {
  if (!ShortDemandIsRecent(now)) return batch_limit;
  return std::max<std::size_t>(1, batch_limit / 2);
}

std::size_t batch_shares::MayWaitLimit(std::size_t batch_limit,
                                       core::time_point now) const {
  if (!UrgentDemandIsRecent(now)) return batch_limit;
  const std::size_t reserve = (batch_limit + 3) / 4;
  return std::max<std::size_t>(1, batch_limit - reserve);
}

bool batch_shares::MayWaitIsDue(core::token_count tokens) const {
  return may_wait_credit_ >=
         std::min(static_cast<double>(tokens.value), kMaximumCredit);
}

}  // namespace comfreyspring::admission

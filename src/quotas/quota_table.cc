#include "quotas/quota_table.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::quotas {
namespace {

/** Interval between two searches for unused entries. */
constexpr core::seconds kCleanupPeriod{10};
/**
 * A lease may be this late: waiting requests are served at ticks, and gateways
 * still wait for an answer.
 */
constexpr core::milliseconds kTickTolerance{20};

}  // namespace

void quota_table::SetLimit(entry& target, const quota_limit& limit,
                           core::time_point now) {
  target.limit = limit;
  target.primary.tokens.SetLimit(limit.rate, limit.burst, now);
  target.fallback.tokens.SetLimit(limit.rate * kFallbackShare,
                                  limit.burst * kFallbackShare, now);
}

quota_table::decisions quota_table::OnRequest(const lease_request& wanted,
                                              core::time_point now) {
  ForgetUnused(now);
  const auto [position, is_new] = entries_.try_emplace(wanted.tenant);
  entry& target = position->second;
  target.used_at = now;
  if (is_new) {
    SetLimit(target, wanted.limit, now);
    const double initial = std::min(wanted.limit.burst * kInitialShare,
                                    wanted.limit.rate * kInitialSeconds);
    target.primary.tokens.Fill(initial);
    target.fallback.tokens.Fill(initial * kFallbackShare);
  } else if (wanted.limit.version > target.limit.version) {
    SetLimit(target, wanted.limit, now);
  }
  lane& chosen =
      wanted.role == quota_role::primary ? target.primary : target.fallback;
  decisions out;
  if (wanted.minimum == 0) {
    const std::int64_t granted =
        chosen.waiting.empty() ? chosen.tokens.Take(0, wanted.amount, now) : 0;
    out.push_back({.link = wanted.link,
                   .number = wanted.number,
                   .tenant = wanted.tenant,
                   .granted = granted});
    return out;
  }
  const auto place =
      std::find_if(chosen.waiting.begin(), chosen.waiting.end(),
                   [&](const waiting_request& each) {
                     return each.request.priority > wanted.priority;
                   });
  auto ahead = static_cast<double>(wanted.minimum);
  for (auto each = chosen.waiting.begin(); each != place; ++each) {
    ahead += static_cast<double>(each->request.minimum);
  }
  // A full bucket also serves what is larger than the burst.
  const bool is_first = place == chosen.waiting.begin();
  const auto wait = chosen.tokens.TimeUntil(
      is_first ? std::min(ahead, chosen.tokens.Capacity()) : ahead, now);
  if (now + wait > wanted.deadline ||
      !chosen.tokens.CanEverTake(wanted.minimum)) {
    out.push_back({.link = wanted.link,
                   .number = wanted.number,
                   .tenant = wanted.tenant,
                   .retry_after = wait});
    return out;
  }
  chosen.waiting.insert(place, {wanted, now});
  Serve(chosen, now, out);
  return out;
}

void quota_table::Serve(lane& target, core::time_point now, decisions& out) {
  const auto answer = [&](const waiting_request& each, std::int64_t granted,
                          core::milliseconds retry_after) {
    out.push_back({.link = each.request.link,
                   .number = each.request.number,
                   .tenant = each.request.tenant,
                   .granted = granted,
                   .retry_after = retry_after,
                   .waited = core::ToMilliseconds(now - each.arrived)});
  };
  auto next = target.waiting.begin();
  for (; next != target.waiting.end(); ++next) {
    if (now > next->request.deadline + kTickTolerance) break;
    // Amounts beyond the minimum are given only if nobody waits for them.
    const bool is_last = std::next(next) == target.waiting.end();
    const std::int64_t granted = target.tokens.Take(
        next->request.minimum,
        is_last ? next->request.amount : next->request.minimum, now);
    if (granted == 0) break;
    answer(*next, granted, core::milliseconds(0));
  }
  target.waiting.erase(target.waiting.begin(), next);
  // Urgent requests that arrived later have taken the place of these.
  double ahead = 0.0;
  std::vector<waiting_request> kept;
  for (auto& each : target.waiting) {
    const auto needed = static_cast<double>(each.request.minimum);
    const auto wait = kept.empty()
                          ? core::milliseconds(0)
                          : target.tokens.TimeUntil(ahead + needed, now);
    if (now + wait > each.request.deadline + kTickTolerance) {
      answer(each, 0, target.tokens.TimeUntil(ahead + needed, now));
    } else {
      ahead += needed;
      kept.push_back(std::move(each));
    }
  }
  target.waiting = std::move(kept);
}

quota_table::decisions quota_table::OnTick(core::time_point now) {
  decisions out;
  for (auto& [tenant, target] : entries_) {
    if (!target.primary.waiting.empty()) Serve(target.primary, now, out);
    if (!target.fallback.waiting.empty()) Serve(target.fallback, now, out);
  }
  return out;
}

void quota_table::OnLinkLost(std::uint64_t link) {
  const auto is_lost = [&](const waiting_request& each) {
    return each.request.link == link;
  };
  for (auto& [tenant, target] : entries_) {
    std::erase_if(target.primary.waiting, is_lost);
    std::erase_if(target.fallback.waiting, is_lost);
  }
}

void quota_table::ForgetUnused(core::time_point now) {
  if (now - cleaned_at_ < kCleanupPeriod) return;
  cleaned_at_ = now;
  std::erase_if(entries_, [&](const auto& each) {
    return now - each.second.used_at > kRetention &&
           each.second.primary.waiting.empty() &&
           each.second.fallback.waiting.empty();
  });
}

std::size_t quota_table::Waiting() const {
  std::size_t count = 0;
  for (const auto& [tenant, target] : entries_) {
    count += target.primary.waiting.size() + target.fallback.waiting.size();
  }
  return count;
}

std::optional<quota_limit> quota_table::LimitOf(
    const core::tenant_id& tenant) const {
  const auto found = entries_.find(tenant);
  if (found == entries_.end()) return std::nullopt;
  return found->second.limit;
}

}  // namespace comfreyspring::quotas

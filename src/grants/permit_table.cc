#include "grants/permit_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyspring::grants {
namespace {

/** An endpoint without requests for this long is forgotten. */
constexpr core::milliseconds kEntryRetention{60'000};
/** Longer than a response takes. */
constexpr core::milliseconds kIssuedRetention{60'000};

}  // namespace

double permit_table::Share(permit_role role) {
  return role == permit_role::primary ? 1.0 : kFallbackShare;
}

void permit_table::SetRates(entry& target, core::time_point now) {
  const auto& limit = target.limit.Rate();
  if (!limit) return;
  const double rate = std::max(*limit, limits::kProbeRate).PerSecond();
  for (const permit_role role : {permit_role::primary, permit_role::fallback}) {
    target.Lane(role).tokens.SetRate(limits::request_rate(rate * Share(role)),
                                     now);
  }
}

std::size_t permit_table::CountAhead(const lane& queue, const permit& wanted) {
  return static_cast<std::size_t>(std::count_if(
      queue.waiting.begin(), queue.waiting.end(),
      [&](const permit& other) { return other.priority <= wanted.priority; }));
}

permit_table::actions permit_table::OnRequest(const permit& wanted,
                                              core::time_point now) {
  actions out;
  if (stopping_) {
    out.push_back(refusal{wanted.key, refusal_reason::stopping});
    return out;
  }
  entry& target = entries_[wanted.endpoint];
  target.used_at = now;
  if (target.limit.IsNew()) {
    target.limit.OnNamed(wanted.rate, {.latest = now});
    SetRates(target, now);
  }
  if (!target.limit.Rate()) {
    Issue(wanted, now, out);
    return out;
  }
  lane& queue = target.Lane(wanted.role);
  const auto ahead = static_cast<double>(CountAhead(queue, wanted));
  const auto wait = queue.tokens.TimeUntil(ahead + 1.0, now);
  if (now + wait > wanted.deadline) {
    Refuse(wanted, queue, target.limit.Rate()->PerSecond() * Share(wanted.role),
           now, out);
    return out;
  }
  queue.waiting.push_back(wanted);
  Serve(target, wanted.role, now, out);
  return out;
}

void permit_table::Issue(const permit& wanted, core::time_point now,
                         actions& out) {
  issued_[wanted.key] = {wanted.endpoint, wanted.role, now};
  out.push_back(grant{.key = wanted.key});
}

void permit_table::Refuse(const permit& wanted, lane& queue, double rate,
                          core::time_point now, actions& out) {
  const auto ahead = static_cast<double>(CountAhead(queue, wanted));
  auto due = std::max(now + queue.tokens.TimeUntil(ahead + 1.0, now),
                      queue.next_return_at);
  const auto longest = std::clamp(wanted.maximum_retry_after,
                                  kMinimumRetryAfter, kMaximumRetryAfter);
  if (due <= now + kMaximumRetryAfter) {
    const double interval_ms =
        1e3 / std::max(rate, limits::kProbeRate.PerSecond());
    queue.next_return_at = due + core::milliseconds(std::llround(interval_ms));
  } else {
    // Beyond the schedule, retries are spread at random.
    due = now + core::milliseconds(std::llround(
                    (0.75 + 0.25 * random_.NextUnit()) *
                    static_cast<double>(kMaximumRetryAfter.count())));
  }
  const auto wait = core::ToMilliseconds(due - now);
  out.push_back(refusal{wanted.key, refusal_reason::rate_limited,
                        std::clamp(wait, kMinimumRetryAfter, longest), wait});
}

void permit_table::Serve(entry& target, permit_role role, core::time_point now,
                         actions& out) {
  lane& queue = target.Lane(role);
  while (!queue.waiting.empty()) {
    const auto next =
        std::min_element(queue.waiting.begin(), queue.waiting.end(),
                         [](const permit& left, const permit& right) {
                           return left.priority < right.priority;
                         });
    if (target.limit.Rate() && !queue.tokens.TryTake(now)) return;
    Issue(*next, now, out);
    queue.waiting.erase(next);
  }
}

permit_table::actions permit_table::OnWithdrawn(const request_key& key,
                                                core::time_point now) {
  actions out;
  for (auto& [endpoint, target] : entries_) {
    for (lane* queue : {&target.primary, &target.fallback}) {
      std::erase_if(queue->waiting,
                    [&](const permit& each) { return each.key == key; });
    }
  }
  const auto issued = issued_.find(key);
  if (issued == issued_.end()) return out;
  const auto target = entries_.find(issued->second.endpoint);
  if (target != entries_.end()) {
    target->second.Lane(issued->second.role).tokens.Return(now);
    Serve(target->second, issued->second.role, now, out);
  }
  issued_.erase(issued);
  return out;
}

void permit_table::OnLinkLost(std::uint64_t link) {
  for (auto& [endpoint, target] : entries_) {
    for (lane* queue : {&target.primary, &target.fallback}) {
      std::erase_if(queue->waiting,
                    [&](const permit& each) { return each.key.link == link; });
    }
  }
  std::erase_if(issued_,
                [&](const auto& each) { return each.first.link == link; });
}

limits::limit_change permit_table::OnLimitObserved(
    const limit_observation& observation, core::time_point now) {
  limits::response_interval generated{
      .latest = std::min(observation.response_received, now)};
  if (observation.request) {
    const auto issued = issued_.find(*observation.request);
    if (issued != issued_.end()) generated.earliest = issued->second.at;
  }
  if (observation.rate) {
    entry& target = entries_[observation.endpoint];
    target.used_at = now;
    const auto change = target.limit.OnNamed(*observation.rate, generated);
    if (change != limits::limit_change::none) SetRates(target, now);
    return change;
  }
  const auto target = entries_.find(observation.endpoint);
  // A response of unknown age says nothing about the present.
  const bool is_dated = generated.earliest != core::time_point();
  if (target == entries_.end() || !is_dated) return limits::limit_change::none;
  return target->second.limit.OnNotNamed(generated);
}

permit_table::actions permit_table::OnStopping(core::time_point now) {
  actions out;
  stopping_ = true;
  for (auto& [endpoint, target] : entries_) {
    target.used_at = now;
    for (lane* queue : {&target.primary, &target.fallback}) {
      for (const permit& each : std::exchange(queue->waiting, {})) {
        out.push_back(refusal{each.key, refusal_reason::stopping});
      }
    }
  }
  return out;
}

permit_table::actions permit_table::OnTick(core::time_point now) {
  actions out;
  for (auto& [endpoint, target] : entries_) {
    for (const permit_role role :
         {permit_role::primary, permit_role::fallback}) {
      lane& queue = target.Lane(role);
      Serve(target, role, now, out);
      // A lower limit may leave no time for those that wait.
      std::vector<permit> expired;
      std::erase_if(queue.waiting, [&](const permit& each) {
        if (each.deadline > now) return false;
        expired.push_back(each);
        return true;
      });
      for (const permit& each : expired) {
        Refuse(each, queue, target.limit.Rate()->PerSecond() * Share(role), now,
               out);
      }
    }
  }
  std::erase_if(entries_, [&](const auto& each) {
    return now - each.second.used_at > kEntryRetention;
  });
  std::erase_if(issued_, [&](const auto& each) {
    return now - each.second.at > kIssuedRetention;
  });
  return out;
}

bool permit_table::IsWaiting(const request_key& key) const {
  const auto waits_in = [&](const lane& queue) {
    return std::any_of(queue.waiting.begin(), queue.waiting.end(),
                       [&](const permit& each) { return each.key == key; });
  };
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& each) {
    return waits_in(each.second.primary) || waits_in(each.second.fallback);
  });
}

std::optional<limits::request_rate> permit_table::LimitOf(
    const limits::endpoint_incarnation& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() ? std::nullopt : found->second.limit.Rate();
}

std::vector<permit_table::known_limit> permit_table::Limits() const {
  std::vector<known_limit> known;
  for (const auto& [endpoint, target] : entries_) {
    if (target.limit.Rate()) known.push_back({endpoint, *target.limit.Rate()});
  }
  return known;
}

std::size_t permit_table::Waiting() const {
  std::size_t count = 0;
  for (const auto& [endpoint, target] : entries_) {
    count += target.primary.waiting.size() + target.fallback.waiting.size();
  }
  return count;
}

}  // namespace comfreyspring::grants

#include "quotas/quota_account.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::quotas {
namespace {

/** Leases that end within this do not count as held for requests to come. */
constexpr core::milliseconds kRenewalTime{100};
/** Time whose unused local share is kept, in seconds. */
constexpr double kLocalSeconds = 1.0;

}  // namespace

// Leases.

std::int64_t quota_account::Held(core::time_point now) const {
  std::int64_t held = 0;
  for (const lease& each : leases_) {
    if (each.end > now) held += each.amount;
  }
  return held;
}

void quota_account::Expire(core::time_point now) {
  while (!leases_.empty() && leases_.front().end <= now) leases_.pop_front();
  std::erase_if(asks_, [&](const auto& each) {
    return each.first != in_flight_ && each.second.sent_at + kLeaseTime <= now;
  });
  std::erase_if(avoided_until_,
                [&](const auto& each) { return each.second <= now; });
}

void quota_account::AddLease(std::int64_t amount, core::time_point end) {
  const auto place =
      std::find_if(leases_.begin(), leases_.end(),
                   [&](const lease& each) { return each.end > end; });
  leases_.insert(place, {amount, end});
}

void quota_account::Return(std::int64_t amount, core::time_point lease_end,
                           core::time_point now) {
  // A later use could fall into a window in which it was not counted.
  if (lease_end > now) AddLease(amount, lease_end);
}

bool quota_account::TryCharge(const charge& wanted, core::time_point now,
                              actions& out) {
  if (Held(now) < wanted.amount) return false;
  std::int64_t left = wanted.amount;
  core::time_point end = now;
  while (left > 0) {
    lease& first = leases_.front();
    const std::int64_t taken = std::min(left, first.amount);
    // What is returned ends with the lease that ends first.
    if (end == now) end = first.end;
    left -= taken;
    first.amount -= taken;
    if (first.amount == 0) leases_.pop_front();
  }
  used_.Add(wanted.amount, now);
  out.emplace_back(admit_charge{.number = wanted.number, .lease_end = end});
  return true;
}

std::int64_t quota_account::AheadAmount(core::time_point now) const {
  const auto used = used_.LastSecond(now);
  if (used.count < kAheadCount) return 0;
  return used.amount * kAheadTime / core::milliseconds(1000);
}

// Requests.

quota_account::actions quota_account::Charge(const charge& wanted,
                                             const quota_limit& limit,
                                             const counting_sidecars& sidecars,
                                             core::time_point now) {
  actions out;
  if (limit.version >= limit_.version) limit_ = limit;
  Expire(now);
  if (waiting_.empty() && TryCharge(wanted, now, out)) {
    AskIfNeeded(sidecars, now, out);
    return out;
  }
  if (now < refused_until_ && wanted.amount >= refused_amount_) {
    out.emplace_back(
        refuse_charge{.number = wanted.number, .retry_after = refused_retry_});
    return out;
  }
  const auto place = std::find_if(
      waiting_.begin(), waiting_.end(), [&](const waiting_charge& each) {
        return each.wanted.priority > wanted.priority;
      });
  waiting_.insert(place, {wanted, now});
  AskIfNeeded(sidecars, now, out);
  return out;
}

void quota_account::ServeWaiting(core::time_point now, actions& out) {
  while (!waiting_.empty() && TryCharge(waiting_.front().wanted, now, out)) {
    waiting_.pop_front();
  }
}

// Asks.

bool quota_account::IsAvoided(const std::string& ip,
                              core::time_point now) const {
  const auto found = avoided_until_.find(ip);
  return found != avoided_until_.end() && now < found->second;
}

void quota_account::AskIfNeeded(const counting_sidecars& sidecars,
                                core::time_point now, actions& out) {
  if (in_flight_) return;
  const std::int64_t ahead = AheadAmount(now);
  const bool is_ahead = waiting_.empty();
  if (is_ahead && (ahead == 0 || now < ahead_not_before_ ||
                   Held(now + kRenewalTime) >= ahead)) {
    return;
  }
  const bool asks_primary =
      !sidecars.primary.empty() && !IsAvoided(sidecars.primary, now);
  const bool asks_fallback = !asks_primary && !sidecars.fallback.empty() &&
                             !IsAvoided(sidecars.fallback, now);
  if (!asks_primary && !asks_fallback) {
    DecideLocally(sidecars.gateways, now, out);
    return;
  }
  send_ask sent{
      .sidecar = asks_primary ? sidecars.primary : sidecars.fallback,
      .role = asks_primary ? quota_role::primary : quota_role::fallback,
      .number = ++last_number_,
      .amount = ahead};
  if (!is_ahead) {
    const waiting_charge& first = waiting_.front();
    sent.minimum = first.wanted.amount;
    sent.priority = first.wanted.priority;
    sent.deadline_in = std::max(
        core::ToMilliseconds(first.arrived + kMaximumWait - now), kMinimumWait);
    for (const auto& each : waiting_) sent.amount += each.wanted.amount;
  }
  in_flight_ = sent.number;
  asks_[sent.number] = {.sidecar = sent.sidecar,
                        .sent_at = now,
                        .due = now + kAskTimeout,
                        .minimum = sent.minimum,
                        .is_ahead = is_ahead};
  out.emplace_back(std::move(sent));
}

quota_account::actions quota_account::OnAnswer(
    std::uint64_t number, std::int64_t granted, core::milliseconds retry_after,
    const counting_sidecars& sidecars, core::time_point now) {
  actions out;
  const auto found = asks_.find(number);
  // An answer after the lease time is of no use.
  if (found == asks_.end()) return out;
  const ask answered = std::move(found->second);
  asks_.erase(found);
  const bool was_in_flight = in_flight_ == number;
  if (was_in_flight) in_flight_.reset();
  Expire(now);
  avoided_until_.erase(answered.sidecar);
  const core::time_point end = answered.sent_at + kLeaseTime;
  if (granted > 0 && end > now) AddLease(granted, end);
  ServeWaiting(now, out);
  if (granted == 0 && was_in_flight) OnRefused(answered, retry_after, now, out);
  if (!answered.is_ahead) RefuseOverdue(retry_after, now, out);
  AskIfNeeded(sidecars, now, out);
  return out;
}

void quota_account::OnRefused(const ask& refused,
                              core::milliseconds retry_after,
                              core::time_point now, actions& out) {
  if (refused.is_ahead) {
    ahead_not_before_ = now + kMaximumHold;
    return;
  }
  refused_until_ = now + std::clamp(retry_after - kMaximumWait,
                                    core::milliseconds(0), kMaximumHold);
  refused_amount_ = refused.minimum;
  refused_retry_ = retry_after;
  std::erase_if(waiting_, [&](const waiting_charge& each) {
    if (each.wanted.amount < refused.minimum) return false;
    out.emplace_back(refuse_charge{.number = each.wanted.number,
                                   .retry_after = retry_after});
    return true;
  });
}

void quota_account::RefuseOverdue(core::milliseconds retry_after,
                                  core::time_point now, actions& out) {
  std::erase_if(waiting_, [&](const waiting_charge& each) {
    if (now - each.arrived < kMaximumWait) return false;
    out.emplace_back(
        refuse_charge{.number = each.wanted.number,
                      .retry_after = std::max(retry_after, kMaximumWait)});
    return true;
  });
}

quota_account::actions quota_account::OnTick(const counting_sidecars& sidecars,
                                             core::time_point now) {
  actions out;
  Expire(now);
  if (in_flight_) {
    const ask& asked = asks_.at(*in_flight_);
    if (now < asked.due) return out;
    // The sidecar may be frozen, or the path to it broken.
    avoided_until_[asked.sidecar] = now + kAvoidance;
    out.emplace_back(note_timeout{asked.sidecar});
    in_flight_.reset();
  }
  ServeWaiting(now, out);
  AskIfNeeded(sidecars, now, out);
  return out;
}

void quota_account::OnPaused(core::time_point now) {
  if (in_flight_) asks_.at(*in_flight_).due = now + kAskTimeout;
}

quota_account::actions quota_account::OnSidecarLost(
    const std::string& ip, const counting_sidecars& sidecars,
    core::time_point now) {
  actions out;
  avoided_until_.erase(ip);
  if (!in_flight_ || asks_.at(*in_flight_).sidecar != ip) return out;
  asks_.erase(*in_flight_);
  in_flight_.reset();
  Expire(now);
  AskIfNeeded(sidecars, now, out);
  return out;
}

void quota_account::DecideLocally(std::size_t gateways, core::time_point now,
                                  actions& out) {
  const double rate = limit_.rate * kLocalShare /
                      static_cast<double>(std::max<std::size_t>(gateways, 1));
  local_.SetLimit(rate, rate * kLocalSeconds, now);
  for (const auto& [each, arrived] : std::exchange(waiting_, {})) {
    if (local_.Take(each.amount, each.amount, now) > 0) {
      used_.Add(each.amount, now);
      out.emplace_back(admit_charge{.number = each.number,
                                    .lease_end = now,
                                    .source = decision_source::local_share});
    } else {
      out.emplace_back(refuse_charge{.number = each.number,
                                     .retry_after = local_.TimeUntil(
                                         static_cast<double>(each.amount), now),
                                     .source = decision_source::local_share});
    }
  }
}

std::optional<core::time_point> quota_account::NextDue() const {
  if (!in_flight_) return std::nullopt;
  return asks_.at(*in_flight_).due;
}

}  // namespace comfreyspring::quotas

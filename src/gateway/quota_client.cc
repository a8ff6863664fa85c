#include "gateway/quota_client.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <utility>

#include "core/jitter.h"
#include "core/overloaded.h"

namespace comfreyspring::gateway {
namespace {

/** Period in which the reported numbers of gateways are compared. */
constexpr core::seconds kGatewayCountPeriod{10};
/**
 * Bounds of the time after which refused callers are told to return. A tenant
 * over its rate stays so for longer than the counting sidecar's queue.
 */
constexpr core::milliseconds kMinimumRetryAfter{500};
constexpr core::milliseconds kMaximumRetryAfter{10'000};
/** Refusals of one tenant are logged together for this long. */
constexpr core::milliseconds kRefusalLogPeriod{1000};
/** Far above any request; keeps sums within an integer. */
constexpr std::int64_t kMaximumTokens = 1'000'000'000;
/**
 * Time between a timeout and its effect. A slow VM runs the timer before it
 * reads an answer that has arrived in time.
 */
constexpr core::milliseconds kReadTime{2};

}  // namespace

quota_client::quota_client(net::event_loop& loop, telemetry::event_log& log,
                           telemetry::metrics& metrics,
                           core::random_source random)
    : loop_(loop), log_(log), metrics_(metrics), random_(random) {}

quota_client::~quota_client() {
  *alive_ = false;
  loop_.Cancel(timer_);
}

std::int64_t quota_client::AmountOf(const catalog::tenant_quota& quota,
                                    const request_metadata& request) {
  if (quota.counted_in == catalog::tenant_quota::unit::requests) return 1;
  if (!request.names_tokens) return std::llround(quota.plain_tokens);
  return std::clamp<std::int64_t>(request.prompt_tokens, 0, kMaximumTokens) +
         std::clamp<std::int64_t>(request.maximum_output_tokens, 0,
                                  kMaximumTokens);
}

// Requests.

void quota_client::Charge(const catalog::tenant& tenant,
                          std::int64_t configuration,
                          const request_metadata& request, int priority,
                          decision_callback on_decision) {
  if (configuration > configuration_) {
    configuration_ = configuration;
    RemoveUnused(configuration);
  }
  entry& target = entries_[tenant.id];
  target.tenant = tenant.id;
  target.configuration = configuration;
  target.limit = {.rate = tenant.quota.rate,
                  .burst = tenant.quota.burst,
                  .version = configuration};
  const std::uint64_t number = ++last_number_;
  const std::int64_t amount = AmountOf(tenant.quota, request);
  pending_[number] = {.tenant = tenant.id,
                      .amount = amount,
                      .arrived = loop_.Now(),
                      .on_decision = std::move(on_decision)};
  Perform(target,
          target.account.Charge(
              {.number = number, .amount = amount, .priority = priority},
              target.limit, SidecarsOf(target), loop_.Now()));
}

void quota_client::RemoveUnused(std::int64_t configuration) {
  std::erase_if(entries_, [&](const auto& each) {
    return each.second.configuration + 1 < configuration &&
           each.second.account.Waiting() == 0 &&
           !each.second.account.NextDue() &&
           each.second.account.Held(loop_.Now()) == 0;
  });
}

quota_client::pending_charge quota_client::Take(std::uint64_t number) {
  const auto found = pending_.find(number);
  pending_charge taken = std::move(found->second);
  pending_.erase(found);
  return taken;
}

void quota_client::Perform(entry& target,
                           const quotas::quota_account::actions& actions) {
  for (const auto& action : actions) {
    std::visit(
        core::overloaded{
            [&](const quotas::admit_charge& admit) { Admit(target, admit); },
            [&](const quotas::refuse_charge& refuse) {
              Refuse(target, refuse);
            },
            [&](const quotas::send_ask& ask) { Send(target, ask); },
            [&](const quotas::note_timeout& timeout) {
              metrics_.Count("gateway_quota_ask_timeouts_total");
              log_.SystemEvent("quota_ask_timeout")
                  .Add("tenant", target.tenant.Value())
                  .Add("sidecar", timeout.sidecar);
            }},
        action);
  }
}

void quota_client::Admit(entry& target, const quotas::admit_charge& admitted) {
  const pending_charge request = Take(admitted.number);
  ++target.admitted;
  metrics_.Count(admitted.source == quotas::decision_source::lease
                     ? "gateway_quota_admitted_total{source=\"lease\"}"
                     : "gateway_quota_admitted_total{source=\"local_share\"}");
  metrics_.Observe(
      "gateway_quota_wait_ms",
      std::chrono::duration<double, std::milli>(loop_.Now() - request.arrived)
          .count());
  request.on_decision(
      {.is_admitted = true,
       .on_not_run = [this, still_alive = alive_, tenant = request.tenant,
                      amount = request.amount, end = admitted.lease_end] {
         if (!*still_alive) return;
         const auto found = entries_.find(tenant);
         if (found == entries_.end()) return;
         found->second.account.Return(amount, end, loop_.Now());
       }});
}

void quota_client::Refuse(entry& target, const quotas::refuse_charge& refused) {
  const pending_charge request = Take(refused.number);
  ++target.refused;
  metrics_.Count(refused.source == quotas::decision_source::lease
                     ? "gateway_quota_refused_total{source=\"lease\"}"
                     : "gateway_quota_refused_total{source=\"local_share\"}");
  LogRefusals(target, refused);
  const auto shortest =
      std::clamp(refused.retry_after, kMinimumRetryAfter, kMaximumRetryAfter);
  request.on_decision(
      {.retry_after = core::WithJitter(shortest, 1.0, 1.5, random_)});
}

void quota_client::LogRefusals(entry& target,
                               const quotas::refuse_charge& last) {
  const auto now = loop_.Now();
  if (now - target.logged_at < kRefusalLogPeriod) return;
  target.logged_at = now;
  log_.SystemEvent("quota_refusals")
      .Add("tenant", target.tenant.Value())
      .Add("refused", std::exchange(target.refused, 0))
      .Add("admitted", std::exchange(target.admitted, 0))
      .Add("source", last.source == quotas::decision_source::lease
                         ? "lease"
                         : "local_share")
      .Add("retry_after_ms", last.retry_after.count())
      .Add("per_s", static_cast<std::int64_t>(target.limit.rate))
      .Add("configuration", target.limit.version);
}

// Sidecars.

quotas::counting_sidecars quota_client::SidecarsOf(entry& target) const {
  quotas::counting_sidecars result{.gateways = GatewayCount()};
  if (links_ == nullptr) return result;
  if (target.targets_version != links_->TargetsVersion()) {
    target.targets_version = links_->TargetsVersion();
    std::tie(target.first, target.second) =
        links_->FirstTargets(target.tenant.Value());
  }
  if (links_->IsOpen(target.first)) result.primary = target.first;
  if (links_->IsOpen(target.second)) result.fallback = target.second;
  return result;
}

std::size_t quota_client::GatewayCount() const {
  const std::size_t known = std::max(gateways_, earlier_gateways_);
  return known > 0 ? known : kAssumedGateways;
}

void quota_client::Send(const entry& target, const quotas::send_ask& ask) {
  const bool is_fallback = ask.role == quotas::quota_role::fallback;
  metrics_.Count(is_fallback ? "gateway_quota_asks_total{role=\"fallback\"}"
                             : "gateway_quota_asks_total{role=\"primary\"}");
  // What is not sent times out like an ask that is lost on the way.
  links_->Send(ask.sidecar,
               grants::quota_ask{.number = ask.number,
                                 .tenant = target.tenant,
                                 .amount = ask.amount,
                                 .minimum = ask.minimum,
                                 .rate = target.limit.rate,
                                 .burst = target.limit.burst,
                                 .configuration = target.limit.version,
                                 .priority = ask.priority,
                                 .is_fallback = is_fallback,
                                 .deadline_in = ask.deadline_in});
  ArmTimer();
}

void quota_client::OnSidecarMessage(const grants::message& value) {
  if (const auto* answer = std::get_if<grants::quota_answer>(&value)) {
    OnAnswer(*answer);
  } else if (const auto* report = std::get_if<grants::status_report>(&value)) {
    const auto now = loop_.Now();
    if (now - gateways_since_ > kGatewayCountPeriod) {
      gateways_since_ = now;
      earlier_gateways_ = std::exchange(gateways_, 0);
    }
    gateways_ = std::max(gateways_, report->status.gateways);
  }
}

void quota_client::OnAnswer(const grants::quota_answer& answer) {
  const auto found = entries_.find(answer.tenant);
  if (found == entries_.end()) return;
  entry& target = found->second;
  Perform(target, target.account.OnAnswer(answer.number, answer.granted,
                                          answer.retry_after,
                                          SidecarsOf(target), loop_.Now()));
}

void quota_client::OnSidecarLost(const std::string& ip) {
  for (auto& [tenant, target] : entries_) {
    Perform(target,
            target.account.OnSidecarLost(ip, SidecarsOf(target), loop_.Now()));
  }
}

// Timeouts.

void quota_client::ArmTimer() {
  if (timer_ != 0) return;
  std::optional<core::time_point> next;
  for (const auto& [tenant, target] : entries_) {
    const auto due = target.account.NextDue();
    if (due && (!next || *due < *next)) next = due;
  }
  if (!next) return;
  const auto delay = std::chrono::ceil<core::milliseconds>(*next - loop_.Now());
  timer_ = loop_.Schedule(std::max(delay, core::milliseconds(1)), [this] {
    timer_ = 0;
    OnTimer();
  });
}

void quota_client::OnTimer() {
  timer_ = loop_.Schedule(kReadTime, [this] {
    timer_ = 0;
    CheckTimeouts();
  });
}

void quota_client::OnPaused() {
  for (auto& [tenant, target] : entries_) target.account.OnPaused(loop_.Now());
}

void quota_client::CheckTimeouts() {
  const auto now = loop_.Now();
  for (auto& [tenant, target] : entries_) {
    const auto due = target.account.NextDue();
    if (!due || now < *due) continue;
    Perform(target, target.account.OnTick(SidecarsOf(target), now));
  }
  ArmTimer();
}

std::string quota_client::Dump() const {
  nlohmann::json tenants = nlohmann::json::array();
  for (const auto& [tenant, target] : entries_) {
    tenants.push_back({{"tenant", tenant.Value()},
                       {"per_s", target.limit.rate},
                       {"burst", target.limit.burst},
                       {"configuration", target.limit.version},
                       {"held", target.account.Held(loop_.Now())},
                       {"waiting", target.account.Waiting()},
                       {"primary", target.first},
                       {"fallback", target.second}});
  }
  return nlohmann::json{{"gateways", GatewayCount()},
                        {"tenants", std::move(tenants)}}
      .dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace comfreyspring::gateway

#include "sidecar/quota_counter.h"

#include <utility>

namespace comfreyspring::sidecar {
namespace {

/** Resolution at which waiting asks are served. */
constexpr core::milliseconds kTickPeriod{10};

}  // namespace

quota_counter::quota_counter(net::event_loop& loop, sender send,
                             telemetry::event_log& log,
                             telemetry::metrics& metrics)
    : loop_(loop), send_(std::move(send)), log_(log), metrics_(metrics) {}

quota_counter::~quota_counter() { loop_.Cancel(tick_timer_); }

void quota_counter::OnAsk(std::uint64_t link, const grants::quota_ask& ask) {
  const auto now = loop_.Now();
  metrics_.Count("sidecar_quota_asks_total");
  const auto before = table_.LimitOf(ask.tenant);
  const auto decisions =
      table_.OnRequest({.link = link,
                        .number = ask.number,
                        .tenant = ask.tenant,
                        .role = ask.is_fallback ? quotas::quota_role::fallback
                                                : quotas::quota_role::primary,
                        .limit = {.rate = ask.rate,
                                  .burst = ask.burst,
                                  .version = ask.configuration},
                        .minimum = ask.minimum,
                        .amount = ask.amount,
                        .priority = ask.priority,
                        .deadline = now + ask.deadline_in},
                       now);
  const auto after = table_.LimitOf(ask.tenant);
  if (!before || before->rate != after->rate || before->burst != after->burst) {
    log_.SystemEvent("tenant_quota")
        .Add("tenant", ask.tenant.Value())
        .Add("change", before ? "changed" : "begun")
        .Add("is_fallback", ask.is_fallback)
        .Add("configuration", after->version)
        .Add("per_s", static_cast<std::int64_t>(after->rate))
        .Add("burst", static_cast<std::int64_t>(after->burst));
  }
  Answer(decisions);
  if (table_.Waiting() > 0) ScheduleTick();
}

void quota_counter::Answer(const quotas::quota_table::decisions& decisions) {
  for (const auto& each : decisions) {
    if (each.granted == 0) metrics_.Count("sidecar_quota_refusals_total");
    metrics_.Observe("sidecar_quota_wait_ms",
                     static_cast<double>(each.waited.count()));
    send_(each.link, grants::quota_answer{.number = each.number,
                                          .tenant = each.tenant,
                                          .granted = each.granted,
                                          .retry_after = each.retry_after});
  }
}

void quota_counter::ScheduleTick() {
  if (tick_timer_ != 0) return;
  tick_timer_ = loop_.Schedule(kTickPeriod, [this] {
    tick_timer_ = 0;
    Answer(table_.OnTick(loop_.Now()));
    if (table_.Waiting() > 0) ScheduleTick();
  });
}

void quota_counter::UpdateMetrics() {
  metrics_.SetGauge("sidecar_counted_tenants",
                    static_cast<double>(table_.TenantCount()));
  metrics_.SetGauge("sidecar_quota_asks_waiting",
                    static_cast<double>(table_.Waiting()));
}

}  // namespace comfreyspring::sidecar

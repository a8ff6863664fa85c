#include "gateway/caller_admission.h"

#include <utility>

#include "core/jitter.h"

namespace comfreyspring::gateway {
namespace {

/** The store usually is back within seconds; another gateway may reach it. */
constexpr core::milliseconds kRetryAfterUnconfirmed{1000};

}  // namespace

caller_admission::caller_admission(const settings::node_settings& settings,
                                   const catalog::catalog_follower& follower,
                                   quota_client& quotas,
                                   telemetry::metrics& metrics,
                                   core::random_source random)
    : follower_(follower),
      quotas_(quotas),
      metrics_(metrics),
      random_(random),
      guard_({.strict = settings.strict_revocation,
              .bound = settings.revocation_bound}) {}

caller_admission::~caller_admission() = default;

const tenants::key_directory& caller_admission::Keys() {
  if (table_ != follower_.Routes() || !keys_) {
    table_ = follower_.Routes();
    keys_.emplace(table_->Content());
  }
  return *keys_;
}

void caller_admission::Admit(const request_metadata& request,
                             const catalog::route& route,
                             const decision_callback& on_decision) {
  const tenants::key_directory& keys = Keys();
  if (!keys.RequiresKeys()) {
    on_decision({});
    return;
  }
  if (route.is_public) {
    on_decision({.caller = {.tenant = core::tenant_id()}});
    return;
  }
  if (!guard_.MayRelyOnKeys(follower_.Age())) {
    metrics_.Count("gateway_keys_unconfirmed_total");
    on_decision(
        {.refusal = local_reply{
             .status = 503,
             .type = "keys_unconfirmed",
             .message = "API keys cannot be confirmed at the moment; the "
                        "request has not run.",
             .retry_after = core::WithJitter(kRetryAfterUnconfirmed, 0.75, 1.25,
                                             random_)}});
    return;
  }
  const catalog::tenant* tenant = keys.Find(request.api_key);
  if (tenant == nullptr) {
    metrics_.Count("gateway_unknown_keys_total");
    on_decision({.refusal = UnknownKeyReply()});
    return;
  }
  admitted_caller caller{.tenant = tenant->id,
                         .priority = tenant->priority,
                         .api_key = request.api_key};
  if (!tenant->quota.IsLimited()) {
    on_decision({.caller = std::move(caller)});
    return;
  }
  ChargeQuota(request, *tenant, tenant->priority.value_or(route.priority),
              std::move(caller), on_decision);
}

void caller_admission::ChargeQuota(const request_metadata& request,
                                   const catalog::tenant& tenant, int priority,
                                   admitted_caller caller,
                                   const decision_callback& on_decision) {
  quotas_.Charge(
      tenant, table_->Version(), request, priority,
      [this, caller = std::move(caller),
       on_decision](const quota_decision& decision) {
        if (!decision.is_admitted) {
          on_decision({.refusal = local_reply{
                           .status = 429,
                           .type = "quota_exceeded",
                           .message = "The tenant's quota is used up; the "
                                      "request has not run.",
                           .retry_after = decision.retry_after}});
          return;
        }
        admitted_caller admitted = caller;
        admitted.on_not_run = decision.on_not_run;
        // The key may have been removed while the request waited.
        if (!IsStillAdmitted(admitted)) {
          admitted.on_not_run();
          on_decision({.refusal = UnknownKeyReply()});
          return;
        }
        on_decision({.caller = std::move(admitted)});
      });
}

bool caller_admission::IsStillAdmitted(const admitted_caller& caller) {
  return caller.api_key.empty() || Keys().Find(caller.api_key) != nullptr ||
         !Keys().RequiresKeys();
}

local_reply caller_admission::UnknownKeyReply() {
  return {.status = 401,
          .type = "unknown_key",
          .message = "The request has no valid API key; it has not run."};
}

}  // namespace comfreyspring::gateway

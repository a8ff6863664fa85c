#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "catalog/catalog_follower.h"
#include "core/random_source.h"
#include "gateway/quota_client.h"
#include "gateway/traffic_protocol.h"
#include "settings/node_settings.h"
#include "telemetry/metrics.h"
#include "tenants/key_directory.h"
#include "tenants/revocation_guard.h"

namespace comfreyspring::gateway {

/** The caller of an admitted request. */
struct admitted_caller {
  /** See `forward_fields::tenant`. */
  std::optional<core::tenant_id> tenant;
  /** Replaces the priority of the route. */
  std::optional<int> priority;
  /** Empty unless the route requires a key. */
  std::string api_key;
  /**
   * Called once if the request certainly has not run, so that it does not count
   * against the tenant's quota. May be null.
   */
  std::function<void()> on_not_run;
};

/** Either a caller or the reply that refuses it. */
struct admission_decision {
  admitted_caller caller;
  std::optional<local_reply> refusal;
};

/**
 * Decides which callers' requests are served: checks API keys and quotas of
 * tenants. Without tenants in the configuration every request is admitted
 * unchanged.
 */
class caller_admission {
 public:
  using decision_callback = std::function<void(admission_decision)>;

  /** The referenced objects must outlive the admission. */
  caller_admission(const settings::node_settings& settings,
                   const catalog::catalog_follower& follower,
                   quota_client& quotas, telemetry::metrics& metrics,
                   core::random_source random);
  ~caller_admission();
  caller_admission(const caller_admission&) = delete;
  caller_admission& operator=(const caller_admission&) = delete;

  /**
   * Calls `on_decision` once, possibly before it returns.
   * @param route of the configuration in force.
   */
  void Admit(const request_metadata& request, const catalog::route& route,
             const decision_callback& on_decision);

  /**
   * Whether the configuration in force still admits a caller whose request has
   * not been sent to an endpoint.
   */
  bool IsStillAdmitted(const admitted_caller& caller);

  /** Reply to a caller with an unknown key. */
  static local_reply UnknownKeyReply();

 private:
  const tenants::key_directory& Keys();
  void ChargeQuota(const request_metadata& request,
                   const catalog::tenant& tenant, int priority,
                   admitted_caller caller,
                   const decision_callback& on_decision);

  const catalog::catalog_follower& follower_;
  quota_client& quotas_;
  telemetry::metrics& metrics_;
  core::random_source random_;
  tenants::revocation_guard guard_;
  /** Owns the configuration of `keys_`. */
  std::shared_ptr<const catalog::route_table> table_;
  std::optional<tenants::key_directory> keys_;
};

}  // namespace comfreyspring::gateway

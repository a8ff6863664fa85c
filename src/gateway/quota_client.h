#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "catalog/route.h"
#include "core/random_source.h"
#include "gateway/sidecar_links.h"
#include "gateway/traffic_protocol.h"
#include "grants/messages.h"
#include "net/event_loop.h"
#include "quotas/quota_account.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace comfreyspring::gateway {

/** Whether a request is within the quota of its tenant. */
struct quota_decision {
  bool is_admitted = false;
  /** Set for refused requests. */
  core::milliseconds retry_after{0};
  /** Call once if the request certainly has not run. Null if refused. */
  std::function<void()> on_not_run;
};

/**
 * Charges requests to the quotas of their tenants: owns the accounts, asks the
 * sidecars that count the tenants, and handles answers, timeouts and lost
 * links. Without limited tenants it sends nothing and has no timer.
 */
class quota_client {
 public:
  using decision_callback = std::function<void(const quota_decision&)>;

  /** The referenced objects must outlive the client. */
  quota_client(net::event_loop& loop, telemetry::event_log& log,
               telemetry::metrics& metrics, core::random_source random);
  ~quota_client();
  quota_client(const quota_client&) = delete;
  quota_client& operator=(const quota_client&) = delete;

  /** @param links must outlive the client's last call. */
  void SetLinks(sidecar_links& links) { links_ = &links; }

  /**
   * Calls `on_decision` once, possibly before it returns, unless the client is
   * destroyed first.
   * @param tenant has a limited quota.
   * @param configuration version of the configuration that contains it.
   * @param priority 0 is the most urgent.
   */
  void Charge(const catalog::tenant& tenant, std::int64_t configuration,
              const request_metadata& request, int priority,
              decision_callback on_decision);

  /** Ignores messages that do not concern quotas. */
  void OnSidecarMessage(const grants::message& value);
  void OnSidecarLost(const std::string& ip);
  /** The process was suspended. */
  void OnPaused();

  /** State of all accounts for operators, as JSON. */
  std::string Dump() const;

  /** Units that a request counts. */
  static std::int64_t AmountOf(const catalog::tenant_quota& quota,
                               const request_metadata& request);

 private:
  struct pending_charge {
    core::tenant_id tenant;
    std::int64_t amount = 0;
    core::time_point arrived;
    decision_callback on_decision;
  };
  struct entry {
    core::tenant_id tenant;
    quotas::quota_account account;
    quotas::quota_limit limit;
    /** The two sidecars that count the tenant, of this version of the list. */
    std::string first;
    std::string second;
    std::uint64_t targets_version = 0;
    std::int64_t configuration = 0;
    /** Since the last log line about refusals. */
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    core::time_point logged_at;
  };

  quotas::counting_sidecars SidecarsOf(entry& target) const;
  void Perform(entry& target, const quotas::quota_account::actions& actions);
  void Admit(entry& target, const quotas::admit_charge& admitted);
  void Refuse(entry& target, const quotas::refuse_charge& refused);
  void Send(const entry& target, const quotas::send_ask& ask);
  void OnAnswer(const grants::quota_answer& answer);
  pending_charge Take(std::uint64_t number);
  void LogRefusals(entry& target, const quotas::refuse_charge& last);
  /** Removes accounts of tenants that the configuration has dropped. */
  void RemoveUnused(std::int64_t configuration);
  void ArmTimer();
  /** Handles timeouts once the loop has read what has already arrived. */
  void OnTimer();
  void CheckTimeouts();
  std::size_t GatewayCount() const;

  net::event_loop& loop_;
  telemetry::event_log& log_;
  telemetry::metrics& metrics_;
  core::random_source random_;
  sidecar_links* links_ = nullptr;
  std::map<core::tenant_id, entry> entries_;
  std::map<std::uint64_t, pending_charge> pending_;
  std::uint64_t last_number_ = 0;
  std::int64_t configuration_ = 0;
  net::timer_id timer_ = 0;
  /** Highest number of gateways that sidecars report, of two periods. */
  std::size_t gateways_ = 0;
  std::size_t earlier_gateways_ = 0;
  core::time_point gateways_since_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreyspring::gateway

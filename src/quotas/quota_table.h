#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "quotas/quota_bucket.h"
#include "quotas/quota_limit.h"

namespace comfreyspring::quotas {

/** A gateway wants to lease an amount for the requests of a tenant. */
struct lease_request {
  /** Link to the gateway, and the number that the gateway gave. */
  std::uint64_t link = 0;
  std::uint64_t number = 0;
  core::tenant_id tenant;
  quota_role role = quota_role::primary;
  quota_limit limit;
  /**
   * Less than this is of no use to the gateway. 0: for requests to come; never
   * waits, and is only given what is not needed for others.
   */
  std::int64_t minimum = 0;
  std::int64_t amount = 0;
  /** 0 is the most urgent. */
  int priority = 0;
  /** A lease after this time is of no use to the gateway. */
  core::time_point deadline;
};

/** The answer to a lease request. */
struct lease_decision {
  std::uint64_t link = 0;
  std::uint64_t number = 0;
  core::tenant_id tenant;
  /** 0: refused. */
  std::int64_t granted = 0;
  /** Refused: the minimum would be available after this time. */
  core::milliseconds retry_after{0};
  core::milliseconds waited{0};
};

/**
 * Counts what tenants use over all gateways, on the sidecar that the gateways
 * chose for the tenant.
 *
 * Load pattern: a tenant that sends several times its rate through all gateways
 * at once. Requests that can be served in time wait in the order of their
 * priority, then arrival; all others are refused immediately. A tenant within
 * its quota is granted what it asks for, whichever gateways it uses.
 */
class quota_table {
 public:
  using decisions = std::vector<lease_decision>;

  /** Share of the burst that a tenant begins with. */
  static constexpr double kInitialShare = 0.5;
  /**
   * The initial amount is at most the rate times this. What the previous table
   * gave is unknown, so a large burst might otherwise be given out twice.
   */
  static constexpr double kInitialSeconds = 1.0;
  /** Tenants without requests are forgotten after this time. */
  static constexpr core::seconds kRetention{600};

  decisions OnRequest(const lease_request& wanted, core::time_point now);
  void OnLinkLost(std::uint64_t link);
  /** Call every 5 to 20 ms while there are waiting requests. */
  decisions OnTick(core::time_point now);

  std::size_t Waiting() const;
  std::size_t TenantCount() const { return entries_.size(); }
  /** @returns nothing for a tenant that is not counted here. */
  std::optional<quota_limit> LimitOf(const core::tenant_id& tenant) const;

 private:
  struct waiting_request {
    lease_request request;
    core::time_point arrived;
  };
  struct lane {
    quota_bucket tokens;
    /** In the order in which they are served. */
    std::vector<waiting_request> waiting;
  };
  struct entry {
    quota_limit limit;
    lane primary;
    lane fallback;
    core::time_point used_at;
  };

  static void SetLimit(entry& target, const quota_limit& limit,
                       core::time_point now);
  static void Serve(lane& target, core::time_point now, decisions& out);
  void ForgetUnused(core::time_point now);

  std::map<core::tenant_id, entry> entries_;
  core::time_point cleaned_at_;
};

}  // namespace comfreyspring::quotas

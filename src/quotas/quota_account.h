#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "quotas/quota_bucket.h"
#include "quotas/quota_limit.h"
#include "quotas/recent_use.h"

namespace comfreyspring::quotas {

/** A request that is to be charged to the tenant's quota. */
struct charge {
  std::uint64_t number = 0;
  std::int64_t amount = 0;
  /** 0 is the most urgent. */
  int priority = 0;
};

/** What can be reached of the sidecars that count the tenant. */
struct counting_sidecars {
  /** Empty if there is no open link to it. */
  std::string primary;
  std::string fallback;
  /** Number of gateways among which the local share is divided. */
  std::size_t gateways = 1;
};

/** Who has admitted or refused a request. */
enum class decision_source { lease, local_share };

struct admit_charge {
  std::uint64_t number = 0;
  /** What does not run counts again until this time. */
  core::time_point lease_end;
  decision_source source = decision_source::lease;
};
struct refuse_charge {
  std::uint64_t number = 0;
  core::milliseconds retry_after{0};
  decision_source source = decision_source::lease;
};
struct send_ask {
  std::string sidecar;
  quota_role role = quota_role::primary;
  std::uint64_t number = 0;
  /** 0: the amount is for requests to come. */
  std::int64_t minimum = 0;
  std::int64_t amount = 0;
  int priority = 0;
  core::milliseconds deadline_in{0};
};
/** A sidecar has not answered in time. */
struct note_timeout {
  std::string sidecar;
};
using account_action =
    std::variant<admit_charge, refuse_charge, send_ask, note_timeout>;

/**
 * What a gateway may admit of one tenant.
 *
 * Holds leases of a counting sidecar. A request is charged to them at once if
 * they suffice; otherwise it waits for an answer of the sidecar. One ask is in
 * flight at a time. While requests come often enough that a lease would be used
 * before it ends, the account asks ahead, so that requests do not wait; the
 * sidecar gives that only while the tenant is not near its limit.
 *
 * Load pattern: a tenant whose requests are spread unevenly over many gateways,
 * some with few requests a second (each is worth a round trip, nothing is held
 * back from other gateways) and some with many (none should wait); and a tenant
 * that sends several times its rate: refused without an ask each.
 */
class quota_account {
 public:
  using actions = std::vector<account_action>;

  /**
   * Leases end this long after they were asked for. Bounds what gateways hold
   * back from each other, and what is used later than it was counted.
   */
  static constexpr core::milliseconds kLeaseTime{500};
  /** An ask that is not answered within this goes to the next sidecar. */
  static constexpr core::milliseconds kAskTimeout{100};
  /** A request is refused if its lease is not due within this. */
  static constexpr core::milliseconds kMaximumWait{60};
  /** Part of it that is left to a request that has waited for another ask. */
  static constexpr core::milliseconds kMinimumWait{20};
  /** A sidecar that has not answered is not asked for this long. */
  static constexpr core::milliseconds kAvoidance{1000};
  /** For this long after a refusal, requests are refused without an ask. */
  static constexpr core::milliseconds kMaximumHold{100};
  /**
   * Amounts are asked ahead for the use of this time: half of a lease, so that
   * the rest of a lease that is not used as expected is small.
   */
  static constexpr core::milliseconds kAheadTime{250};
  /**
   * Requests in the last second from which on amounts are asked ahead. With 7
   * in a second, a lease ends unused with a probability of 3%.
   */
  static constexpr std::int64_t kAheadCount = 7;

  // Events.

  actions Charge(const charge& wanted, const quota_limit& limit,
                 const counting_sidecars& sidecars, core::time_point now);
  /** @param granted 0 if the ask was refused. */
  actions OnAnswer(std::uint64_t number, std::int64_t granted,
                   core::milliseconds retry_after,
                   const counting_sidecars& sidecars, core::time_point now);
  /** The link to a sidecar was lost; `sidecars` does not contain it. */
  actions OnSidecarLost(const std::string& ip,
                        const counting_sidecars& sidecars,
                        core::time_point now);
  /** The process was suspended; answers may still have to be read. */
  void OnPaused(core::time_point now);
  /** Call at `NextDue`. */
  actions OnTick(const counting_sidecars& sidecars, core::time_point now);
  /** A request that was admitted with this lease end has not run. */
  void Return(std::int64_t amount, core::time_point lease_end,
              core::time_point now);

  // State.

  /** When the ask in flight times out. */
  std::optional<core::time_point> NextDue() const;
  std::size_t Waiting() const { return waiting_.size(); }
  /** Amount that can be charged without an ask. */
  std::int64_t Held(core::time_point now) const;

 private:
  struct lease {
    std::int64_t amount = 0;
    core::time_point end;
  };
  struct waiting_charge {
    charge wanted;
    core::time_point arrived;
  };
  struct ask {
    std::string sidecar;
    core::time_point sent_at;
    core::time_point due;
    std::int64_t minimum = 0;
    bool is_ahead = false;
  };

  void AddLease(std::int64_t amount, core::time_point end);
  /** @returns false if the leases do not suffice. */
  bool TryCharge(const charge& wanted, core::time_point now, actions& out);
  void ServeWaiting(core::time_point now, actions& out);
  /** Refuses what has waited too long and was not served by an answer. */
  void RefuseOverdue(core::milliseconds retry_after, core::time_point now,
                     actions& out);
  void OnRefused(const ask& refused, core::milliseconds retry_after,
                 core::time_point now, actions& out);
  void AskIfNeeded(const counting_sidecars& sidecars, core::time_point now,
                   actions& out);
  void DecideLocally(std::size_t gateways, core::time_point now, actions& out);
  /** Amount that should be held for the requests to come. */
  std::int64_t AheadAmount(core::time_point now) const;
  bool IsAvoided(const std::string& ip, core::time_point now) const;
  void Expire(core::time_point now);

  quota_limit limit_;
  /** In the order of their end. */
  std::deque<lease> leases_;
  /** In the order of priority, then arrival. */
  std::deque<waiting_charge> waiting_;
  /** Asks whose answers may still arrive. */
  std::map<std::uint64_t, ask> asks_;
  std::optional<std::uint64_t> in_flight_;
  std::uint64_t last_number_ = 0;
  std::map<std::string, core::time_point> avoided_until_;
  core::time_point refused_until_;
  /** The refusal holds for requests of at least this amount. */
  std::int64_t refused_amount_ = 0;
  core::milliseconds refused_retry_{0};
  core::time_point ahead_not_before_;
  recent_use used_;
  quota_bucket local_;
};

}  // namespace comfreyspring::quotas

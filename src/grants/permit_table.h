#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "grants/grant_types.h"
#include "limits/limit_record.h"
#include "limits/token_bucket.h"

namespace comfreyspring::grants {

/**
 * Role in which an agent counts the requests of an endpoint other than its own
 * engine. The fallback serves gateways that do not reach the primary.
 */
enum class permit_role { primary, fallback };

/** A gateway wants to send one request to an endpoint that limits its rate. */
struct permit {
  request_key key;
  limits::endpoint_incarnation endpoint;
  permit_role role = permit_role::primary;
  /** The limit as far as the gateway knows. */
  limits::request_rate rate;
  /** 0 is the most urgent. */
  int priority = 0;
  /** A permit after this time is useless to the gateway. */
  core::time_point deadline;
  /** A refused caller that retries does so within this time. */
  core::milliseconds maximum_retry_after{0};
};

/**
 * Counts the requests of rate-limited endpoints that have no agent of their
 * own, or whose agent is lost. All gateways request their permits at the same
 * agents, so the count holds over all of them without shared state.
 *
 * The primary gives permits at the rate of the limit, the fallback at
 * `kFallbackShare` of it, so that both together stay within the tolerance of
 * the limit while gateways disagree on which agents can be reached.
 *
 * Load pattern: more requests than the limits allow, from many gateways at a
 * time. Requests that cannot be permitted in time are refused immediately, with
 * retry times that follow each other at the rate of the limit.
 */
class permit_table {
 public:
  using actions = std::vector<grant_action>;

  /** Share of the limit that a fallback permits. */
  static constexpr double kFallbackShare = 0.3;

  explicit permit_table(std::uint64_t random_seed) : random_(random_seed) {}

  // Events.

  actions OnRequest(const permit& wanted, core::time_point now);
  /** The gateway has not sent the request and will not send it. */
  actions OnWithdrawn(const request_key& key, core::time_point now);
  void OnLinkLost(std::uint64_t link);
  /** A gateway has received a response of the endpoint. */
  limits::limit_change OnLimitObserved(const limit_observation& observation,
                                       core::time_point now);
  /** Refuses all waiting and future requests. */
  actions OnStopping(core::time_point now);
  /** Call every 10 to 50 ms. */
  actions OnTick(core::time_point now);

  // State.

  bool IsWaiting(const request_key& key) const;
  std::optional<limits::request_rate> LimitOf(
      const limits::endpoint_incarnation& endpoint) const;
  struct known_limit {
    limits::endpoint_incarnation endpoint;
    limits::request_rate rate;
  };
  std::vector<known_limit> Limits() const;
  std::size_t Waiting() const;

 private:
  /** The permits that are given in one role. */
  struct lane {
    explicit lane(double burst) : tokens(burst) {}

    limits::token_bucket tokens;
    std::vector<permit> waiting;
    /** Time that the next refused caller is told to retry at. */
    core::time_point next_return_at;
  };
  struct entry {
    limits::limit_record limit;
    lane primary{limits::token_bucket::kBurst};
    lane fallback{1.0};
    core::time_point used_at;

    lane& Lane(permit_role role) {
      return role == permit_role::primary ? primary : fallback;
    }
  };
  struct issued_permit {
    limits::endpoint_incarnation endpoint;
    permit_role role = permit_role::primary;
    core::time_point at;
  };

  static double Share(permit_role role);
  static void SetRates(entry& target, core::time_point now);
  static std::size_t CountAhead(const lane& queue, const permit& wanted);
  void Issue(const permit& wanted, core::time_point now, actions& out);
  void Refuse(const permit& wanted, lane& queue, double rate,
              core::time_point now, actions& out);
  void Serve(entry& target, permit_role role, core::time_point now,
             actions& out);

  core::random_source random_;
  std::map<limits::endpoint_incarnation, entry> entries_;
  /** Permits whose responses may still date an observation. */
  std::map<request_key, issued_permit> issued_;
  bool stopping_ = false;
};

}  // namespace comfreyspring::grants

#pragma once

#include <map>
#include <optional>

#include "catalog/endpoint_record.h"
#include "core/time.h"
#include "limits/endpoint_incarnation.h"
#include "limits/limit_announcement.h"
#include "limits/limit_record.h"

namespace comfreyspring::gateway {

/**
 * Notices that endpoints have sent in their responses: drain, backoff and
 * request rate limit. Pure:
 * depends only on the notices and the time passed in.
 *
 * Notices outlive the catalog's entries: an endpoint that has announced its
 * drain is still draining when its entry returns after an outage of the
 * platform.
 */
class endpoint_notices {
 public:
  /** Upper limit for the backoff that an endpoint can ask for. */
  static constexpr core::milliseconds kMaximumBackoff{300'000};
  /** Backoff if the endpoint gives no readable time. */
  static constexpr core::milliseconds kDefaultBackoff{1000};

  /**
   * Records a response in which this incarnation announces its drain.
   * @returns false if that was known.
   */
  bool OnDraining(const catalog::endpoint_record& record, core::time_point now);
  /**
   * Records that the endpoint wants no requests from this gateway for this
   * time.
   * @returns the backoff that is applied: limited, plus a safety margin.
   */
  core::milliseconds OnBackoff(const catalog::endpoint_record& record,
                               std::optional<core::milliseconds> requested,
                               core::time_point now);

  /**
   * Applies what a response says about the limit of this incarnation. An
   * unreadable limit changes nothing.
   * @param generated when the endpoint generated the response.
   */
  limits::limit_change OnLimit(const catalog::endpoint_record& record,
                               const limits::limit_announcement& announcement,
                               const limits::response_interval& generated);

  /**
   * Adopts the limit of the sidecar that counts the requests of this
   * incarnation; nothing: there is none.
   */
  limits::limit_change OnLimitDecided(
      const catalog::endpoint_record& record,
      const std::optional<limits::request_rate>& rate, core::time_point now);

  bool IsDraining(const catalog::endpoint_record& record) const;
  /** Time until the endpoint may be sent requests again; 0 if it may now. */
  core::milliseconds BackoffLeft(const catalog::endpoint_record& record,
                                 core::time_point now) const;
  /** The limit in force, as far as this gateway knows. */
  std::optional<limits::request_rate> LimitOf(
      const catalog::endpoint_record& record) const;
  /** Removes expired notices. Call every few seconds. */
  void OnTick(core::time_point now);

 private:
  std::map<limits::endpoint_incarnation, core::time_point> draining_since_;
  std::map<limits::endpoint_incarnation, core::time_point> backoff_until_;
  std::map<limits::endpoint_incarnation, limits::limit_record> limits_;
};

}  // namespace comfreyspring::gateway

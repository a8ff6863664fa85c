#pragma once

#include <optional>
#include <string_view>

#include "core/time.h"
#include "limits/request_rate.h"

namespace comfreyspring::limits {

/** The endpoint generated a response at some time from `earliest` to `latest`.
 */
struct response_interval {
  core::time_point earliest;
  core::time_point latest;
};

enum class limit_change { none, heard, changed, ended };

std::string_view ToString(limit_change change);

/**
 * The limit in force at one incarnation of an endpoint, from responses that may
 * overtake each other.
 *
 * A limit ends, or is raised, only by a response that was certainly generated
 * after the last one that named it. If the order cannot be told, the lower
 * limit holds.
 */
class limit_record {
 public:
  limit_change OnNamed(request_rate rate, const response_interval& generated);
  /** A response that names no limit. */
  limit_change OnNotNamed(const response_interval& generated);

  /**
   * Replaces what is known by the decision of the process that counts the
   * requests of the endpoint.
   */
  limit_change Adopt(const std::optional<request_rate>& rate,
                     core::time_point now);

  const std::optional<request_rate>& Rate() const { return rate_; }
  /** Nothing is known of a limit, not even that it has ended. */
  bool IsNew() const { return !rate_ && !ended_by_; }
  /** Generation of the newest response that named the limit in force. */
  const response_interval& LastNamed() const { return last_named_; }

 private:
  std::optional<request_rate> rate_;
  response_interval last_named_;
  /** Every limit that was named before this time has ended. */
  std::optional<core::time_point> ended_by_;
};

}  // namespace comfreyspring::limits

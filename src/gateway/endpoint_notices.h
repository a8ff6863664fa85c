#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "catalog/endpoint_record.h"
#include "core/time.h"

namespace comfreyspring::gateway {

/**
 * What endpoints have asked of this gateway in their answers. Pure: notices and
 * the time in, decisions out.
 *
 * It outlives the catalog's entries: an endpoint that has said that it leaves
 * still leaves when an outage of the platform brings its entry back.
 */
class endpoint_notices {
 public:
  /** Longest time for which an endpoint can turn this gateway away. */
  static constexpr core::milliseconds kLongestRefusal{300'000};
  /** For an endpoint that gives no readable time. */
  static constexpr core::milliseconds kAssumedRefusal{1000};

  /**
   * An answer of this incarnation says that it leaves.
   * @returns false if that was known.
   */
  bool OnLeaving(const catalog::endpoint_record& record, core::time_point now);
  /**
   * The endpoint wants nothing from this gateway for this long.
   * @returns the time that counts: bounded, and with a margin at its end.
   */
  core::milliseconds OnRefusal(const catalog::endpoint_record& record,
                               std::optional<core::milliseconds> length,
                               core::time_point now);

  bool IsLeaving(const catalog::endpoint_record& record) const;
  /** Time until the endpoint may be sent requests again; 0 if it may now. */
  core::milliseconds RefusesFor(const catalog::endpoint_record& record,
                                core::time_point now) const;
  /** Forgets what is long over. Call every few seconds. */
  void OnTick(core::time_point now);

 private:
  /** An instance id may be used again by a later incarnation. */
  struct incarnation {
    catalog::instance_id instance;
    std::int64_t started_unix_ms = 0;
    // clang-tidy 14 mistakes the compiler's own comparison with 0 for a
    // pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto operator<=>(const incarnation&, const incarnation&) = default;
    // NOLINTEND(modernize-use-nullptr)
  };

  static incarnation Of(const catalog::endpoint_record& record) {
    return {record.instance, record.started_unix_ms};
  }

  std::map<incarnation, core::time_point> leaving_since_;
  std::map<incarnation, core::time_point> refuses_until_;
};

}  // namespace comfreyspring::gateway

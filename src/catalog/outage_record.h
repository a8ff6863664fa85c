#pragma once

#include <optional>

#include "catalog/catalog_position.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** The end of an outage of the platform, as reported between processes. */
struct reported_outage {
  /** Position in the platform's history of the first read after the outage. */
  catalog_position position;
  /** Time since that read. */
  core::milliseconds ended_ago{0};
};

/**
 * Keeps the time of the last outage of the platform, from this process's reads
 * and the reports of other processes. Performs no I/O.
 *
 * Load pattern that it handles: many processes notice the end of the same
 * outage at different times and report it to each other. The end is defined by
 * the first successful read of any process, so that repeated reports do not
 * move it.
 */
class outage_record {
 public:
  struct outage {
    /**
     * Time of the first failed read, or of the last contact with the platform.
     */
    core::time_point began;
    core::time_point ended;
    /** See reported_outage. */
    catalog_position position;
  };

  /**
   * @param minimum_duration shorter unavailability does not count as an outage.
   */
  explicit outage_record(core::milliseconds minimum_duration);

  /**
   * A read has succeeded after failed ones.
   * @param failing_since time of the first failed read. The time since the last
   *     success is not used, because a read that hangs does not imply an
   *     outage: new reads succeed if the platform is available.
   * @returns true if the failures count as an outage.
   */
  bool OnReconnected(core::time_point failing_since,
                     const catalog_position& position, core::time_point now);
  /**
   * Another process has reported an outage.
   * @param last_contact when this process last knew the state of the platform.
   * @param maximum_contact_gap longest regular time between two contacts.
   * @returns true if the record has changed.
   */
  bool OnReported(const reported_outage& reported,
                  core::time_point last_contact,
                  core::milliseconds maximum_contact_gap, core::time_point now);
  /**
   * The platform was restored from a copy, so that entries may be missing
   * however short the outage was.
   * @param position position in the new era.
   * @param last_contact when this process last knew the state of the platform.
   * @returns false if the outage of this restoration is already recorded.
   */
  bool OnRestored(const catalog_position& position,
                  core::time_point last_contact, core::time_point ended);
  /**
   * So many entries were removed at once that an unnoticed outage is assumed.
   * @param known_before position in the history before the removals.
   * @returns false if a recorded outage that ended within `reregistration_time`
   *     explains the removals.
   */
  bool OnMassRemoval(const catalog_position& known_before,
                     core::milliseconds reregistration_time,
                     core::time_point now);

  const std::optional<outage>& Last() const { return last_; }
  /** @returns nullopt if the last outage ended longer than `age_limit` ago. */
  std::optional<reported_outage> ToReport(core::milliseconds age_limit,
                                          core::time_point now) const;

 private:
  core::milliseconds minimum_duration_;
  std::optional<outage> last_;
};

struct removal_grace_limits {
  /**
   * Healthy endpoints are listed again within this time after an outage: 2 s
   * for their registration and the pause of a reader.
   */
  core::milliseconds reregistration_time{2400};
  /**
   * An endpoint whose entry was removed must be out of use within this time.
   */
  core::milliseconds removal_bound{2000};
};

/**
 * Returns the time until which an endpoint with a removed entry stays in use.
 *
 * Load pattern that it handles: an outage of the platform removes the entries
 * of healthy endpoints, and taking all of them out of use would interrupt
 * service. Endpoints that have left after the platform's recovery must still be
 * out of use within the bound.
 *
 * @param removed_at position in the platform's history at or before which the
 *     entry was removed.
 * @param listed_at when the entry was last known to be listed.
 * @returns a time in the past if the endpoint must not be used any more.
 */
core::time_point UsableUntil(const std::optional<outage_record::outage>& last,
                             const catalog_position& removed_at,
                             core::time_point listed_at,
                             const removal_grace_limits& limits);

}  // namespace comfreyspring::catalog

#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace comfreyspring::catalog {

/** The end of an outage of the platform, as one process tells another. */
struct reported_outage {
  /** Position in the platform's history at the first read after it. */
  std::int64_t revision = 0;
  /** Time since that read. */
  core::milliseconds ended_ago{0};
};

/**
 * When the platform was last away. Pure: own reads and what other processes
 * tell in, the last outage out.
 *
 * Load pattern that it answers: many processes learn of the same return at
 * different times, and each tells the others. The return is dated by the first
 * read that succeeded, whoever made it, so that hearing of it again changes
 * nothing.
 */
class outage_record {
 public:
  struct outage {
    /** The first read failed then, or the platform was last heard of. */
    core::time_point began;
    core::time_point ended;
    /** As in reported_outage. */
    std::int64_t revision = 0;
  };

  /** @param minimum_duration time without the platform that counts as an
   * outage. */
  explicit outage_record(core::milliseconds minimum_duration);

  /**
   * A read has succeeded again after one that had not.
   * @param failing_since when the first read failed: reads that hung say
   *     little of the platform, fresh ones are answered when it is well.
   * @returns whether that was an outage.
   */
  bool OnReconnected(core::time_point failing_since, std::int64_t revision,
                     core::time_point now);
  /**
   * Another process tells of an outage.
   * @param last_contact when this process last knew the platform's state.
   * @param maximum_contact_gap longest time between two contacts while all goes
   * well.
   * @returns whether that changed the record.
   */
  bool OnReported(const reported_outage& reported,
                  core::time_point last_contact,
                  core::milliseconds maximum_contact_gap, core::time_point now);
  /**
   * Entries were removed as in an outage, which nobody has noticed.
   * @param known_before position in the history before they were removed.
   * @returns whether that is news: an outage that ended within
   * `reregistration_time` explains them.
   */
  bool OnMassRemoval(std::int64_t known_before,
                     core::milliseconds reregistration_time,
                     core::time_point now);

  const std::optional<outage>& Last() const { return last_; }
  /** @returns nothing if the outage ended longer than `age_limit` ago. */
  std::optional<reported_outage> ToReport(core::milliseconds age_limit,
                                          core::time_point now) const;

 private:
  core::milliseconds minimum_duration_;
  std::optional<outage> last_;
};

struct removal_grace_limits {
  /**
   * After an outage of the platform living endpoints are listed again within
   * this time: 2 s for their registration, and a reader's pause.
   */
  core::milliseconds reregistration_time{2400};
  /** An endpoint whose entry is removed is out of use within this time. */
  core::milliseconds removal_bound{2000};
};

/**
 * Until when an endpoint is used whose entry is missing. Pure.
 *
 * Load pattern that it answers: an outage of the platform removes entries of
 * endpoints that live, which would all be missed at once; others have left
 * since the platform's return, and must be out of use within the bound.
 *
 * @param removed_at position in the platform's history at which, or before
 *     which, the entry was removed.
 * @param listed_at when the entry was last known to be listed.
 * @returns a time that is over if the endpoint must not be used any more.
 */
core::time_point UsableUntil(const std::optional<outage_record::outage>& last,
                             std::int64_t removed_at,
                             core::time_point listed_at,
                             const removal_grace_limits& limits);

}  // namespace comfreyspring::catalog

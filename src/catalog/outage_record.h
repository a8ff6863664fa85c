#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace comfreyspring::catalog {

/** The end of an outage of the platform, as one process tells another. */
struct told_outage {
  /** Position in the platform's history at the first read after it. */
  std::int64_t revision = 0;
  /** Time since that read. */
  core::milliseconds ended{0};
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
    /** An answer was missing since then. */
    core::time_point began;
    core::time_point ended;
    /** As in told_outage. */
    std::int64_t revision = 0;
  };

  /** @param shortest time without the platform that counts as an outage. */
  explicit outage_record(core::milliseconds shortest);

  /**
   * A read has succeeded again after one that had not.
   * @param missing_since when the answer was due that did not come.
   * @returns whether that was an outage.
   */
  bool OnRegained(core::time_point missing_since, std::int64_t revision,
                  core::time_point now);
  /**
   * Another process tells of an outage.
   * @param last_contact when this process last knew the platform's state.
   * @param usual_gap longest time between two contacts while all goes well.
   * @returns whether that changed the record.
   */
  bool OnTold(const told_outage& told, core::time_point last_contact,
              core::milliseconds usual_gap, core::time_point now);
  /** Entries were removed as in an outage, which nobody has noticed. */
  void OnUnnoticed(std::int64_t revision, core::time_point now);

  const std::optional<outage>& Last() const { return last_; }
  /** @returns nothing if the outage ended longer than `age_limit` ago. */
  std::optional<told_outage> ToTell(core::milliseconds age_limit,
                                    core::time_point now) const;

 private:
  core::milliseconds shortest_;
  std::optional<outage> last_;
};

}  // namespace comfreyspring::catalog

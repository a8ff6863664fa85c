#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "catalog/catalog_position.h"
#include "catalog/endpoint_record.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** A change in the state of an endpoint as known to this process. */
struct endpoint_change {
  enum class kind { added, updated, leaving, lapsed, returned, gone };
  kind what = kind::added;
  endpoint_record record;
  /** For a lapsed entry: time for which the endpoint stays in use. */
  std::optional<core::milliseconds> usable_for;
};

std::string_view ToString(endpoint_change::kind kind);

/** Determines whether an endpoint stays in use after its entry was removed. */
struct removal_grace {
  /** An endpoint whose entry may have lapsed stays in use until this time. */
  core::time_point usable_until;
  /**
   * Position of the end of the last outage. An entry written after it belongs
   * to an endpoint that has registered again since the outage, so its removal
   * means that the endpoint has left.
   */
  catalog_position outage_position;
  /** Position in the history at or before which the entry was removed. */
  catalog_position removal_position;
  /** When the entry was last known to be listed. */
  core::time_point listed_at;
};

/**
 * Endpoints as listed by the platform.
 *
 * While the platform is available, the removal of an entry means that the
 * endpoint has left or failed. During an outage of the platform, entries of
 * healthy endpoints lapse. These endpoints stay in use for a grace period,
 * within which healthy ones register again.
 */
class endpoint_table {
 public:
  using changes = std::vector<endpoint_change>;

  /** An entry and the position of its last change. */
  struct listed_entry {
    endpoint_record record;
    catalog_position position;
  };

  /** Replaces all entries. */
  changes OnSnapshot(const std::vector<listed_entry>& entries,
                     const removal_grace& grace, core::time_point now);
  /** A heartbeat that changes nothing but the loaded models is not reported. */
  changes OnRecord(const listed_entry& listed);
  changes OnRemoved(const instance_id& instance, const removal_grace& grace,
                    core::time_point now);
  /**
   * More is known of the outage: shortens grace periods that it shortens.
   * @param usable_until end of the grace period of a removal.
   */
  void ShortenGrace(const std::function<core::time_point(const removal_grace&)>&
                        usable_until);
  /** Ends grace periods. Call about every 100 ms. */
  changes OnTick(core::time_point now);

  /** Calls `visit` for each endpoint that accepts new requests. */
  void ForEachUsable(
      const std::function<void(const endpoint_record&)>& visit) const;
  /** @returns null unless the endpoint accepts new requests. */
  const endpoint_record* FindUsable(const instance_id& instance) const;
  /**
   * Time since the entry of a usable endpoint lapsed; nullopt if it is listed.
   */
  std::optional<core::milliseconds> LapsedFor(const instance_id& instance,
                                              core::time_point now) const;
  std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    endpoint_record record;
    catalog_position position;
    /** Set while the entry is missing. */
    std::optional<removal_grace> grace;
    core::time_point removed_at;
  };

  void Remove(std::map<instance_id, entry>::iterator position,
              const removal_grace& grace, core::time_point now, changes& out);

  std::map<instance_id, entry> entries_;
};

}  // namespace comfreyspring::catalog

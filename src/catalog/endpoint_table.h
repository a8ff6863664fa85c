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
  /**
   * Position in the history up to which this process knew it before it heard of
   * the removal. An endpoint that was registered after it and is removed again
   * has left: entries that an outage removes were registered before.
   */
  std::optional<catalog_position> known_before;
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

  /**
   * Replaces all entries. Entries of an earlier era that are missing were lost
   * with their history, unless they are registered again.
   */
  changes OnSnapshot(const std::vector<listed_entry>& entries,
                     const removal_grace& grace, core::time_point now);
  /** A heartbeat that changes nothing but the loaded models is not reported. */
  changes OnRecord(const listed_entry& listed, core::time_point now);
  changes OnRemoved(const instance_id& instance, const removal_grace& grace,
                    core::time_point now);
  /**
   * The platform was restored from a copy before `read`, a position in the new
   * era. Entries up to it may be older than what is known here.
   */
  void OnRestored(const catalog_position& read);
  /**
   * More is known of the outage: shortens grace periods that it shortens.
   * @param usable_until end of the grace period of a removal.
   */
  void ShortenGrace(const std::function<core::time_point(const removal_grace&)>&
                        usable_until);
  /**
   * Ends grace periods. Call about every 100 ms.
   * @param can_register false while the platform is unavailable: endpoints
   *     whose entries lapsed in an outage stay in use.
   */
  changes OnTick(core::time_point now, bool can_register = true);

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
  /** It is listed or lapsed. */
  bool IsKnown(const instance_id& instance) const {
    return entries_.count(instance) > 0;
  }

 private:
  struct entry {
    endpoint_record record;
    catalog_position position;
    /** Of the change by which it was added, or returned after a lapse. */
    catalog_position registered_at;
    /** Set while the entry is missing. */
    std::optional<removal_grace> grace;
    core::time_point removed_at;
  };

  using entry_map = std::map<instance_id, entry>;
  /** The last known run of an endpoint that is not in use any more. */
  struct departed_endpoint {
    endpoint_record record;
    /** Entries at or before this position do not show that it lives. */
    catalog_position position;
    core::time_point at;
  };

  void Remove(entry_map::iterator removed, const removal_grace& grace,
              core::time_point now, changes& out);
  /** Ends the use of an endpoint. @returns the next entry. */
  entry_map::iterator Depart(entry_map::iterator gone,
                             const catalog_position& position,
                             core::time_point now, changes& out);
  /** The entry may have been written before the platform was restored. */
  bool MayBeRestored(const catalog_position& position) const;
  /** The endpoint has departed and the entry does not show that it is back. */
  bool HasDeparted(const listed_entry& listed) const;
  /**
   * An address belongs to the endpoint that was started last.
   * @returns false if it belongs to an endpoint of another service.
   */
  bool TakeAddress(const listed_entry& listed, core::time_point now,
                   changes& out);

  entry_map entries_;
  std::map<instance_id, departed_endpoint> departed_;
  /** Lowest known position in the current era. */
  catalog_position restored_by_;
};

}  // namespace comfreyspring::catalog

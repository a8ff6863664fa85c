#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "catalog/endpoint_record.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** A change of what this process believes of an endpoint. */
struct endpoint_change {
  enum class kind { added, updated, leaving, lapsed, returned, gone };
  kind what = kind::added;
  endpoint_record record;
  /** Of a lapsed entry: time for which the endpoint stays in use. */
  std::optional<core::milliseconds> usable_for;
};

std::string_view ToString(endpoint_change::kind kind);

/** What it means that an entry is missing. */
struct removal_grace {
  /** Until then an endpoint whose entry may have lapsed stays in use. */
  core::time_point usable_until;
  /**
   * Endpoints that have written their entry since this position were there
   * after the outage: they have left.
   */
  std::int64_t outage_revision = 0;
};

/**
 * Endpoints as the platform lists them.
 *
 * An entry that disappears while the platform is well means that its endpoint
 * has left or died. After an outage of the platform entries are missing whose
 * endpoints live: they stay in use for a while, in which living endpoints
 * register again.
 */
class endpoint_table {
 public:
  using changes = std::vector<endpoint_change>;

  /** An entry and the position of its last change in the history. */
  struct listed_entry {
    endpoint_record record;
    std::int64_t revision = 0;
  };

  /** Replaces the whole view. */
  changes OnSnapshot(const std::vector<listed_entry>& entries,
                     const removal_grace& grace, core::time_point now);
  /** A heartbeat with nothing new but the models held is no change. */
  changes OnRecord(const listed_entry& listed);
  changes OnRemoved(const instance_id& instance, const removal_grace& grace,
                    core::time_point now);
  /** Ends grace periods. Call about every 100 ms. */
  changes OnTick(core::time_point now);

  /** Calls `visit` for each endpoint that may get new work. */
  void ForEachUsable(
      const std::function<void(const endpoint_record&)>& visit) const;
  /** @returns null unless the endpoint may get new work. */
  const endpoint_record* FindUsable(const instance_id& instance) const;
  /** Time since the entry of a usable endpoint lapsed, if it has. */
  std::optional<core::milliseconds> LapsedFor(const instance_id& instance,
                                              core::time_point now) const;
  std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    endpoint_record record;
    std::int64_t revision = 0;
    /** Set while an entry that may have lapsed is kept. */
    std::optional<core::time_point> usable_until;
    core::time_point removed_at;
  };

  void Remove(std::map<instance_id, entry>::iterator position,
              const removal_grace& grace, core::time_point now, changes& out);

  std::map<instance_id, entry> entries_;
};

}  // namespace comfreyspring::catalog

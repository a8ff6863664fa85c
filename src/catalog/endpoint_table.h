#pragma once

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

/**
 * Endpoints as the platform lists them.
 *
 * An entry that disappears while the platform is well means that its endpoint
 * has left or died. After an outage of the platform entries are missing whose
 * endpoints live: they are kept for a grace period in which living endpoints
 * register again.
 */
class endpoint_table {
 public:
  /** @param lapse_grace how long an entry that an outage removed is kept. */
  explicit endpoint_table(core::milliseconds lapse_grace);

  using changes = std::vector<endpoint_change>;

  /**
   * Replaces the whole view.
   * @param after_outage the platform could not be read just before.
   */
  changes OnSnapshot(const std::vector<endpoint_record>& records,
                     bool after_outage, core::time_point now);
  /** A heartbeat with nothing new but the models held is no change. */
  changes OnRecord(const endpoint_record& record, core::time_point now);
  /** @param after_outage as for OnSnapshot. */
  changes OnRemoved(const instance_id& instance, bool after_outage,
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
    /** Set while an entry that an outage removed is kept. */
    std::optional<core::time_point> lapses_at;
    core::time_point removed_at;
  };

  void Remove(std::map<instance_id, entry>::iterator position,
              bool after_outage, core::time_point now, changes& out);

  core::milliseconds lapse_grace_;
  std::map<instance_id, entry> entries_;
};

}  // namespace comfreyspring::catalog

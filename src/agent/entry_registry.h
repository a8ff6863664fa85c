#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "agent/entry_instance.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * What entries need to know of each other to share the reading of the
 * platform: which entries of a data centre are alive, and how long ago one of
 * all connected entries has read the configuration service. Entries have no
 * links to each other, so agents pass this on. Pure.
 */
class entry_registry {
 public:
  // Events.

  void OnHello(const entry_instance& entry,
               const core::data_centre_id& data_centre, core::time_point now);
  void OnHeartbeat(const entry_instance& entry, const wire::heartbeat& message,
                   core::time_point now);
  void OnEntryLost(const entry_instance& entry);

  // Queries.

  /** Fills the fields of a reply that this entry has asked for. */
  void FillReply(const entry_instance& entry, wire::heartbeat_reply& reply,
                 core::time_point now) const;

 private:
  struct known_entry {
    core::data_centre_id data_centre;
    core::time_point last_heard;
  };

  std::map<entry_instance, known_entry> entries_;
  /** Latest time at which the service is known to have answered an entry. */
  std::optional<core::time_point> last_service_read_;
};

}  // namespace comfreyspring::agent

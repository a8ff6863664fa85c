#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "agent/entry_instance.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * State that entries need of each other to share the polling of the platform:
 * which entries of a data centre are alive, and how long ago any connected
 * entry last read the configuration service. Entries have no links to each
 * other, so agents relay it in heartbeat replies. Performs no I/O.
 */
class entry_tracker {
 public:
  // Events.

  void OnHello(const entry_instance& entry,
               const core::data_centre_id& data_centre, core::time_point now);
  void OnHeartbeat(const entry_instance& entry, const wire::heartbeat& message,
                   core::time_point now);
  void OnLost(const entry_instance& entry);

  // Queries.

  /** Fills in the fields of a reply that the entry requested with
   * `wants_readers`. */
  void FillReply(const entry_instance& entry, wire::heartbeat_reply& reply,
                 core::time_point now) const;

 private:
  struct known_entry {
    core::data_centre_id data_centre;
    core::time_point last_heard;
  };

  std::map<entry_instance, known_entry> entries_;
  /** Latest time at which the configuration service is known to have answered
   * an entry. */
  std::optional<core::time_point> service_read_;
};

}  // namespace comfreyspring::agent

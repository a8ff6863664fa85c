#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "agent/entry_address.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * What entries need to know of each other to share the reading of the
 * platform: which entries of a data centre are alive, and how long ago one of
 * all connected entries has read the configuration service. Entries have no
 * links to each other, so agents pass this on. Pure.
 */
class reader_relay {
 public:
  // Events.

  void OnHello(const entry_address& entry,
               const core::data_centre_id& data_centre, core::time_point now);
  void OnHeartbeat(const entry_address& entry, const wire::heartbeat& message,
                   core::time_point now);
  void OnLost(const entry_address& entry);

  // Queries.

  /** Fills the fields of a reply that this entry has asked for. */
  void Fill(const entry_address& entry, wire::heartbeat_reply& reply,
            core::time_point now) const;

 private:
  struct known_entry {
    core::data_centre_id data_centre;
    core::time_point last_heard;
  };

  std::map<entry_address, known_entry> entries_;
  /** Latest time at which the service is known to have answered an entry. */
  std::optional<core::time_point> service_read_;
};

}  // namespace comfreyspring::agent

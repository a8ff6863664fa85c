#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::ledger {

/** Highest rendezvous weight among the members; empty id if there are none. */
core::endpoint_id HomeInEpoch(const config::ownership_epoch& epoch,
                              const core::idempotency_key& key);

/**
 * Knows from when on the former owners of a key can no longer run it. Pure.
 *
 * A former owner has handed over when it has reported a configuration at least
 * as great as the first one in which the epoch was seen here, or when its VM is
 * gone. A report counts only for the instance that made it: a restarted process
 * may start with an older configuration.
 */
class handover_tracker {
 public:
  explicit handover_tracker(core::endpoint_id own_endpoint);
  ~handover_tracker();
  handover_tracker(const handover_tracker&) = delete;
  handover_tracker& operator=(const handover_tracker&) = delete;

  // Events.

  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  void OnPeerVersions(const wire::peer_versions& message, core::wall_time now);
  void OnVmGone(const core::vm_id& vm, core::wall_time now);

  // Queries.

  /**
   * Moment from which no former owner can run the key under an older epoch;
   * wall_time::min() if only this endpoint has owned it.
   * @returns nullopt if a former owner has not handed over.
   */
  std::optional<core::wall_time> CompleteSince(
      const config::service_record& service, std::int64_t epoch,
      const core::idempotency_key& key) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::ledger

#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::ledger {

/** Member with the greatest rendezvous weight; empty id without members. */
core::endpoint_id OwnerInEpoch(const config::ownership_epoch& epoch,
                               const core::idempotency_key& key);

/**
 * Longest time from the creation of a version report by an agent to its arrival
 * at another agent. An entry does not forward the version of an agent that has
 * been silent for 9 s: three heartbeat periods of 1 s, 3 s until the link is
 * closed and 3 s until the endpoint counts as lost.
 */
constexpr core::milliseconds kMaximumReportAge{12000};

/**
 * Determines from which time on the former owners of a key can no longer run
 * it, and whether the configuration of this process is recent enough to accept
 * keys. Performs no I/O and reads no clock.
 *
 * A restarted process may receive an older configuration than its predecessor.
 * Two rules that rely on overlapping majorities keep it from running keys that
 * have a new owner:
 * - It accepts no key of an epoch until a majority of the members (itself
 *   included) has reported a version since its start, and no member reports a
 *   newer version than its own.
 * - The handover from a member of an earlier epoch is complete when a majority
 *   of the members of that epoch has reported at least the first configuration
 *   version with the new epoch, and the former owner reports such a version at
 *   least 2 * kMaximumReportAge later or its VM has been removed. A process
 *   that replaces the former owner's process then receives a report with the
 *   newer version before it accepts keys. The former owner's report counts only
 *   for the instance that sent it.
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
  void OnVmRemoved(const core::vm_id& vm, core::wall_time now);

  // Queries.

  /**
   * True once a majority of the members of the epoch has reported to this
   * object, none of them with a newer version than its own at that time.
   */
  bool OwnershipConfirmed(const core::service_id& service,
                          std::int64_t epoch) const;

  /**
   * Time from which no former owner can run the key under an older epoch;
   * wall_time::min() if only this endpoint has owned it.
   * @returns nullopt if the handover from a former owner is incomplete.
   */
  std::optional<core::wall_time> HandoverCompletedAt(
      const config::service_record& service, std::int64_t epoch,
      const core::idempotency_key& key) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::ledger

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
 * Longest time from the making of a version report by an agent to its arrival
 * at another. An entry passes on no version of an agent that was silent for
 * 9 s: three heartbeats, 3 s to the drop of the link, 3 s to its loss.
 */
constexpr core::milliseconds kMaximumReportAge{12000};

/**
 * Knows from when on the former owners of a key can no longer run it, and
 * whether this process may trust its own configuration. Pure.
 *
 * A restarted process may learn an older configuration than its predecessor.
 * Two rules with a common majority keep it from running keys of a new owner:
 * - It accepts nothing under an epoch before a majority of the members
 *   (itself included) was heard since its start, none of them ahead of it.
 * - An epoch is handed over by an earlier one when a majority of the earlier
 *   members has reported a configuration at least as great as the first one
 *   with the epoch, and the former owner reports one twice the maximum age of
 *   a report later; or its VM is gone. A process that succeeds the former
 *   owner's then hears of the greater version first. The report counts only
 *   for the instance that made it.
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
   * True once a majority of the members of the epoch was heard in the life of
   * this object, none of them with a greater version than its own at that time.
   */
  bool OwnershipConfirmed(const core::service_id& service,
                          std::int64_t epoch) const;

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

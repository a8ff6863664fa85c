#pragma once

#include <optional>
#include <vector>

#include "catalog/backlog_age.h"
#include "catalog/catalog_source.h"
#include "core/time.h"

namespace comfreyspring::sidecar {

/**
 * Relays catalog changes read by some gateways to all gateways. Performs no
 * I/O: takes batches and the time, returns batches.
 *
 * Changes are relayed immediately. Reads without changes only confirm the
 * current state. Several gateways read, so their confirmations are merged and
 * relayed periodically.
 */
class catalog_relay {
 public:
  /** @param confirmation_period time between two batches without changes. */
  explicit catalog_relay(core::milliseconds confirmation_period);

  using batches = std::vector<catalog::change_batch>;

  /**
   * Handles a batch read by a gateway. The first batch of a later era is
   * relayed at once, so that all gateways learn of the era; batches of earlier
   * eras are dropped.
   * @returns the batches to send to all gateways.
   */
  batches OnBatch(const catalog::change_batch& batch, core::time_point now);
  /** The process was suspended. Batches received now may have been delayed. */
  void OnPaused(core::milliseconds length, core::time_point now) {
    backlog_.OnPaused(length, now);
  }
  /**
   * Call about every 100 ms.
   * @returns the batches to send to all gateways.
   */
  batches OnTick(core::time_point now);

 private:
  /** A batch that has not been relayed yet. */
  struct pending_batch {
    catalog::change_batch content;
    core::time_point read_at;
    /** End of the last outage in the content. */
    core::time_point outage_ended;
  };

  void Flush(core::time_point now, batches& out);

  core::milliseconds period_;
  /** Everything up to this position has been relayed or is pending. */
  catalog::catalog_position known_;
  std::optional<pending_batch> pending_;
  core::time_point flushed_at_;
  catalog::backlog_age backlog_;
};

}  // namespace comfreyspring::sidecar

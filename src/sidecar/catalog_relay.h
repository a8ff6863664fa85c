#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catalog/backlog_age.h"
#include "catalog/catalog_source.h"
#include "core/time.h"

namespace comfreyspring::sidecar {

/**
 * Passes on to all gateways what some of them have read of the catalog. Pure:
 * batches and the time in, batches out.
 *
 * Changes go out at once. Reads that found none only confirm what is known;
 * they are gathered for a while, because several gateways read.
 */
class catalog_relay {
 public:
  /** @param confirmation_period between two batches without changes. */
  explicit catalog_relay(core::milliseconds confirmation_period);

  using batches = std::vector<catalog::change_batch>;

  /** A gateway has read the catalog. @returns what goes to all gateways. */
  batches OnBatch(const catalog::change_batch& batch, core::time_point now);
  /** The process was paused; batches that come now may have waited. */
  void OnPaused(core::milliseconds length, core::time_point now) {
    backlog_.OnPaused(length, now);
  }
  /** Call about each 100 ms. @returns as OnBatch. */
  batches OnTick(core::time_point now);

 private:
  /** What was read and not passed on. */
  struct pending_batch {
    catalog::change_batch content;
    core::time_point read_at;
    /** Of the last outage in the content. */
    core::time_point outage_ended;
  };

  void Flush(core::time_point now, batches& out);

  core::milliseconds period_;
  /** Everything up to here was passed on, or is pending. */
  std::int64_t known_revision_ = 0;
  std::optional<pending_batch> pending_;
  core::time_point flushed_at_;
  catalog::backlog_age backlog_;
};

}  // namespace comfreyspring::sidecar

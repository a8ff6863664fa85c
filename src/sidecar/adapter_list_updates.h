#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "catalog/route.h"
#include "core/time.h"
#include "grants/messages.h"

namespace comfreyspring::sidecar {

/**
 * What one gateway has been told of the engine's adapters. Performs no I/O.
 *
 * Load pattern: adapters change several times a second while demand shifts, and
 * every gateway is told. Whole lists made up half of the bytes between
 * processes, so only what has changed is sent, and the whole list now and then.
 */
class adapter_list_updates {
 public:
  /**
   * The whole list is repeated after this time: a gateway may have removed an
   * adapter after a response of the engine that was out of date.
   */
  static constexpr core::milliseconds kWholeListPeriod{5000};

  /** Chooses which adapters the report contains. */
  void Complete(grants::status_report& report, core::time_point now);

 private:
  std::optional<std::uint64_t> sent_revision_;
  std::set<catalog::adapter_name> sent_;
  core::time_point whole_list_at_;
};

}  // namespace comfreyspring::sidecar

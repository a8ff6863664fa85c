#pragma once

#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::config {

/** Entries of a data centre that watch the configuration service. */
constexpr std::size_t kReadersPerDataCentre = 2;
/** An entry without confirmation for this long reads the service itself. */
constexpr core::seconds kConfirmationLimit{20};
/** Spread of fallback reads, so that all entries do not read at once. */
constexpr core::seconds kFallbackSpread{5};

/**
 * Decides whether this entry reads the configuration service. Pure: live
 * entries, confirmations and the time in, a decision out.
 */
class reader_selection {
 public:
  reader_selection(core::process_id self, core::data_centre_id data_centre,
                   core::random_source random);

  // Events.

  /** The live entries of the own data centre; may leave out the own one. */
  void OnLiveEntries(std::vector<core::process_id> entries);
  /** A peer or the service has confirmed the version in force. */
  void OnConfirmation(core::time_point now);
  /** An own read has failed; the next fallback read waits its turn. */
  void OnReadFailed(core::time_point now);

  // Decisions.

  /** Whether the entry is one of the 2 that keep a watch open. */
  bool IsWatcher() const;
  /** Whether the entry may read now: a watcher, or without confirmation. */
  bool ShouldRead(core::time_point now);

 private:
  void ScheduleFallback(core::time_point now, core::milliseconds delay);

  core::process_id self_;
  core::data_centre_id data_centre_;
  core::random_source random_;
  bool is_watcher_ = true;
  /** Set with the first event that carries the time. */
  std::optional<core::time_point> fallback_at_;
};

/** The entries that rank first for this data centre, best first; at most 2. */
std::vector<core::process_id> SelectReaders(
    const core::data_centre_id& data_centre,
    std::vector<core::process_id> entries);

}  // namespace comfreyspring::config

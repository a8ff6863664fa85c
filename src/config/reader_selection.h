#pragma once

#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::config {

/** Number of entries per data centre that watch the configuration service. */
constexpr std::size_t kReadersPerDataCentre = 2;
/** Without confirmation for this long, any entry reads the service itself. */
constexpr core::seconds kConfirmationLimit{20};
/**
 * Maximum jitter of fallback reads, so that entries do not all read at once.
 * Also the minimum delay of a fallback read after a failed read.
 */
constexpr core::seconds kFallbackJitter{5};

/**
 * Decides whether this entry reads the configuration service. Does no I/O: the
 * caller reports the live entries, confirmations and failed reads.
 */
class reader_selection {
 public:
  reader_selection(core::process_id self, core::data_centre_id data_centre,
                   core::random_source random);

  // Events.

  /** Live entries of this data centre; this entry itself may be omitted. */
  void OnLiveEntries(std::vector<core::process_id> entries);
  /** A peer or the service has confirmed the version in force as current. */
  void OnConfirmation(core::time_point now);
  /** A read by this entry failed; the next fallback read is in 5 to 10 s. */
  void OnReadFailed(core::time_point now);

  // Decisions.

  /** Whether this entry is one of the 2 that keep a watch open. */
  bool IsWatcher() const;
  /** True for a watcher, and once the wait for a confirmation has expired. */
  bool ShouldRead(core::time_point now);

 private:
  /** Schedules the fallback read after `delay` and a random jitter. */
  void ScheduleFallback(core::time_point now, core::milliseconds delay);

  core::process_id self_;
  core::data_centre_id data_centre_;
  core::random_source random_;
  bool is_watcher_ = true;
  /** Time of the next fallback read; empty until the first call with a time. */
  std::optional<core::time_point> fallback_at_;
};

/**
 * Ranks the entries by rendezvous hashing with the data centre as the key.
 * @returns the highest-ranked entries, best first; at most 2.
 */
std::vector<core::process_id> SelectReaders(
    const core::data_centre_id& data_centre,
    std::vector<core::process_id> entries);

}  // namespace comfreyspring::config

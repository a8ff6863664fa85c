#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace comfreyspring::standins {

/**
 * Counts calls against the platform's call budget. In `PeakSecond`, a waiting
 * watch also counts as one call in each further second that it waits.
 */
class call_counter {
 public:
  void Count(const std::string& kind, core::time_point now);
  void OnWatchBegins(core::time_point now);
  void OnWatchEnds(core::time_point now);

  const std::map<std::string, std::int64_t>& ByKind() const { return by_kind_; }
  std::int64_t Total() const;
  std::int64_t WaitingWatches() const { return waiting_watches_; }
  /** Highest count in any one second so far. */
  std::int64_t PeakSecond() const { return peak_second_count_; }

 private:
  void Advance(core::time_point now);

  std::map<std::string, std::int64_t> by_kind_;
  std::int64_t waiting_watches_ = 0;
  std::int64_t current_second_ = 0;
  /** Calls in the current second plus the watches waiting at its start. */
  std::int64_t current_second_count_ = 0;
  std::int64_t peak_second_count_ = 0;
};

}  // namespace comfreyspring::standins

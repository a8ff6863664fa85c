#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace comfreyspring::standins {

/**
 * Counts calls against the platform's budget: each call is one, and so is
 * each watch that waits during a second.
 */
class call_counter {
 public:
  /** Counts a call of this kind. */
  void Count(const std::string& kind, core::time_point now);
  void OnWatchBegins(core::time_point now);
  void OnWatchEnds(core::time_point now);

  const std::map<std::string, std::int64_t>& ByKind() const { return by_kind_; }
  std::int64_t Total() const;
  std::int64_t WaitingWatches() const { return waiting_; }
  /** Greatest count of any whole second so far. */
  std::int64_t PeakSecond() const { return peak_; }

 private:
  void Advance(core::time_point now);

  std::map<std::string, std::int64_t> by_kind_;
  std::int64_t waiting_ = 0;
  std::int64_t second_ = 0;
  /** Calls, and watches that already waited, in the present second. */
  std::int64_t in_second_ = 0;
  std::int64_t peak_ = 0;
};

}  // namespace comfreyspring::standins

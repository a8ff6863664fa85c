#pragma once

#include "core/time.h"

namespace comfreyspring::catalog {

/**
 * How much older messages are than they say when they have waited for a
 * process that was paused. Pure: a pause and the time in, an age out.
 */
class backlog_age {
 public:
  /** The process goes on at `now`, after a pause of this length. */
  void OnPaused(core::milliseconds length, core::time_point now) {
    length_ = length;
    resumed_at_ = now;
  }
  /** @returns the longest time for which a message read now has waited. */
  core::milliseconds At(core::time_point now) const {
    return now - resumed_at_ < kReadTime ? length_ : core::milliseconds(0);
  }

 private:
  /** What came in during a pause is read within this time after it. */
  static constexpr core::milliseconds kReadTime{100};

  core::milliseconds length_{0};
  core::time_point resumed_at_;
};

}  // namespace comfreyspring::catalog

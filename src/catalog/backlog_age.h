#pragma once

#include "core/time.h"

namespace comfreyspring::catalog {

/**
 * Additional age of messages that were queued while the process was suspended.
 * Performs no I/O.
 */
class backlog_age {
 public:
  /** The process was resumed at `now` after a suspension of this length. */
  void OnPaused(core::milliseconds length, core::time_point now) {
    length_ = length;
    resumed_at_ = now;
  }
  /**
   * @returns the longest time for which a message read now may have been
   *     queued.
   */
  core::milliseconds At(core::time_point now) const {
    return now - resumed_at_ < kReadTime ? length_ : core::milliseconds(0);
  }

 private:
  /** Messages queued during a suspension are read within this time after it. */
  static constexpr core::milliseconds kReadTime{100};

  core::milliseconds length_{0};
  core::time_point resumed_at_;
};

}  // namespace comfreyspring::catalog

#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace comfreyspring::net {

/**
 * Notices when a link has last received bytes. A frame counts while it arrives,
 * since a large one may take longer than the silence that ends a link.
 */
class receive_watch {
 public:
  /** A frame has arrived. */
  void Restart(core::time_point now) { received_at_ = now; }
  /**
   * The process was suspended or busy for this long, until now, which does not
   * count as silence. The silence before it does: a busy process would else
   * notice none.
   */
  void OnPaused(core::milliseconds length, core::time_point now) {
    received_at_ = std::min(received_at_ + length, now);
  }
  /**
   * Call more often than the shortest silence that matters.
   * @param received_bytes all bytes that the link has received so far.
   */
  void OnTick(std::uint64_t received_bytes, core::time_point now) {
    if (received_bytes == received_bytes_) return;
    received_bytes_ = received_bytes;
    received_at_ = now;
  }
  core::time_point ReceivedAt() const { return received_at_; }

 private:
  std::uint64_t received_bytes_ = 0;
  core::time_point received_at_;
};

}  // namespace comfreyspring::net

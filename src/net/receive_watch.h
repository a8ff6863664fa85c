#pragma once

#include <cstdint>

#include "core/time.h"

namespace comfreyspring::net {

/**
 * Notices when a link has last received bytes. A frame counts while it arrives,
 * since a large one may take longer than the silence that ends a link.
 */
class receive_watch {
 public:
  /** A frame has arrived, or the time until now does not count as silence. */
  void Restart(core::time_point now) { received_at_ = now; }
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

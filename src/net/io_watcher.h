#pragma once

#include <functional>
#include <memory>

#include "net/event_loop.h"

namespace comfreyspring::net {

/** Events of a descriptor to watch. */
enum class io_interest { read, write, read_write };

/**
 * Registration of one descriptor with the loop's reactor. It may be destroyed
 * inside its own callback, and must be destroyed before the descriptor is
 * closed.
 */
class io_watcher {
 public:
  struct callbacks {
    std::function<void()> on_readable;
    std::function<void()> on_writable;
  };

  /** @throws net_error if the reactor refuses the descriptor. */
  io_watcher(event_loop& loop, int descriptor, io_interest interest,
             callbacks handlers);
  ~io_watcher();
  io_watcher(const io_watcher&) = delete;
  io_watcher& operator=(const io_watcher&) = delete;

  void SetInterest(io_interest interest);

 private:
  class handler;
  class descriptor_handler;
  std::shared_ptr<handler> handler_;
  /** Owned by the loop, which keeps it after the watcher is destroyed. */
  descriptor_handler* registration_;
  io_interest interest_;
};

}  // namespace comfreyspring::net

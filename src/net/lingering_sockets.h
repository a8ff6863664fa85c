#pragma once

#include <cstddef>
#include <list>
#include <optional>

#include "core/time.h"
#include "net/io_watcher.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {

/**
 * Connections that are closed for sending, and read and discarded until their
 * peers close them. Closing a socket with unread bytes, or one whose peer goes
 * on sending, would reset the connection and discard what the peer has not
 * received of the last response.
 */
class lingering_sockets {
 public:
  struct limits {
    core::milliseconds maximum_time{0};
    /** Bytes that are discarded on one connection. */
    std::size_t maximum_bytes = 0;
    /** With more sockets than this, the oldest is closed. */
    std::size_t maximum_sockets = 0;
  };

  lingering_sockets(event_loop& loop, const limits& bounds);
  ~lingering_sockets();
  lingering_sockets(const lingering_sockets&) = delete;
  lingering_sockets& operator=(const lingering_sockets&) = delete;

  /**
   * Keeps the connection of a descriptor, which the caller closes. Does nothing
   * if the connection is idle or the peer has closed it already.
   */
  void Add(int descriptor);
  /**
   * Blocks until the peers have received what was sent, but no longer than
   * `limit`. For the end of the process.
   */
  void Flush(core::milliseconds limit);
  std::size_t Count() const { return sockets_.size(); }

 private:
  struct entry {
    tcp_socket socket;
    core::time_point ends_at;
    std::size_t discarded = 0;
    std::optional<io_watcher> watcher;
  };
  using position = std::list<entry>::iterator;

  void Read(position each);
  /** @returns false if the connection has ended or exceeds its bound. */
  bool Discard(entry& each) const;
  void ScheduleExpiry();

  event_loop& loop_;
  limits limits_;
  /** The oldest first. */
  std::list<entry> sockets_;
  timer_id expiry_timer_ = 0;
};

}  // namespace comfreyspring::net

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {

/** A websocket connection that carries binary frames. */
class frame_link {
 public:
  virtual ~frame_link() = default;
  /**
   * Queues a frame; ignored after the link was closed.
   * @returns false if the link is closed.
   */
  virtual bool Send(std::string frame) = 0;
  /** Closes without waiting for the peer; no callback follows. */
  virtual void Close() = 0;
  virtual bool IsOpen() const = 0;
  /** Bytes queued and not yet taken by the socket. */
  virtual std::size_t PendingBytes() const = 0;
  /** Bytes sent and received, with websocket framing, since the start. */
  virtual std::uint64_t SentBytes() const = 0;
  virtual std::uint64_t ReceivedBytes() const = 0;
  /** Address and port of the peer, for logs. */
  virtual std::string PeerName() const = 0;
};

struct frame_link_callbacks {
  /** Handshake complete; frames can be sent. */
  std::function<void()> on_open;
  std::function<void(std::string_view frame)> on_frame;
  /** Called once when the link ends for any reason other than a local Close. */
  std::function<void(const std::string& reason)> on_closed;
  /** Optional; called before on_closed if the connection was refused
   * (ECONNREFUSED), because no process listens on the port. */
  std::function<void()> on_refused = {};
};

struct frame_link_options {
  std::size_t maximum_frame_bytes = 2 * 1024 * 1024;
  /** Limit for TCP connect plus websocket handshake. */
  core::milliseconds handshake_timeout{1000};
  /** A link with more queued bytes than this is closed as stalled. */
  std::size_t maximum_pending_bytes = 16 * 1024 * 1024;
};

/**
 * Opens a link; the result is not open until `on_open`. A failure to connect
 * arrives through `on_closed`.
 */
std::shared_ptr<frame_link> ConnectFrameLink(event_loop& loop,
                                             const std::string& address,
                                             std::uint16_t port,
                                             frame_link_options options,
                                             frame_link_callbacks callbacks);

/** Accepts links; without SO_REUSEPORT, so one port has one listener. */
class frame_listener {
 public:
  /** Called for each accepted link; returns the callbacks for it. */
  using accept_handler = std::function<frame_link_callbacks(
      const std::shared_ptr<frame_link>& link)>;

  /** @throws net_error if the address cannot be bound. */
  frame_listener(event_loop& loop, const std::string& address,
                 std::uint16_t port, frame_link_options options,
                 std::size_t maximum_links, accept_handler on_accept);
  /** Accepts from a listening socket. */
  frame_listener(event_loop& loop, tcp_socket listener,
                 frame_link_options options, std::size_t maximum_links,
                 accept_handler on_accept);
  ~frame_listener();
  frame_listener(const frame_listener&) = delete;
  frame_listener& operator=(const frame_listener&) = delete;

  std::uint16_t Port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::net

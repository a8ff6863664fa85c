#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace comfreyspring::net {

/**
 * Websocket protocol state of one connection, without any I/O: it consumes
 * received bytes and produces bytes to send and frames. This header and its
 * source are C++17 because of websocketpp.
 */
class websocket_session {
 public:
  struct callbacks {
    /** Bytes for the peer; called inside the methods below. */
    std::function<void(const char* data, std::size_t size)> on_output;
    /** The handshake is complete. */
    std::function<void()> on_open;
    /** A binary message; the view is valid during the call. */
    std::function<void(std::string_view frame)> on_frame;
  };

  /** Creates the server side. */
  static std::unique_ptr<websocket_session> MakeServer(
      std::size_t maximum_frame_bytes, callbacks handlers);
  /**
   * Creates the client side and starts its handshake.
   * @returns null if the address does not give a valid URL.
   */
  static std::unique_ptr<websocket_session> MakeClient(
      const std::string& address, std::uint16_t port,
      std::size_t maximum_frame_bytes, callbacks handlers);

  virtual ~websocket_session() = default;

  /**
   * Handles bytes from the peer.
   * @returns false once the session is closed, by either side or by a
   * protocol error; see CloseReason.
   */
  virtual bool Receive(const char* data, std::size_t size) = 0;
  /** Sends a binary message. @returns false if the session is not open. */
  virtual bool Send(const std::string& frame) = 0;
  /** Sends the close frame of a normal end. */
  virtual void Close() = 0;
  virtual bool IsOpen() const = 0;
  virtual std::string CloseReason() const = 0;
};

}  // namespace comfreyspring::net

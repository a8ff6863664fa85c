#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/frame_link.h"
#include "net/io_watcher.h"
#include "net/response_head.h"
#include "net/tcp_socket.h"
#include "net/websocket/websocket_session.h"

namespace comfreyspring::net {

/** A frame link over one TCP connection, for either side. */
class websocket_link final
    : public frame_link,
      public std::enable_shared_from_this<websocket_link> {
 public:
  websocket_link(event_loop& loop, frame_link_options options);
  ~websocket_link() override;
  websocket_link(const websocket_link&) = delete;
  websocket_link& operator=(const websocket_link&) = delete;

  /** Starts to connect; failures arrive through `on_closed`. */
  void Connect(const std::string& address, std::uint16_t port,
               frame_link_callbacks callbacks);
  /** Takes over an accepted connection. */
  void Accept(tcp_socket socket);
  /** Sets the callbacks of an accepted link; reading starts then. */
  void StartAccepted(frame_link_callbacks callbacks);
  /** Called once when the link has ended for any reason. */
  void OnEnded(std::function<void()> callback) {
    on_ended_ = std::move(callback);
  }

  bool Send(std::string frame) override;
  void Close() override;
  bool IsOpen() const override;
  std::size_t PendingBytes() const override {
    return output_.size() - output_sent_;
  }
  std::uint64_t SentBytes() const override { return sent_bytes_; }
  std::uint64_t ReceivedBytes() const override { return received_bytes_; }
  std::string PeerName() const override { return peer_name_; }

 private:
  enum class state { idle, connecting, handshaking, open, ended };

  websocket_session::callbacks SessionCallbacks();
  void StartHandshakeTimer();
  /**
   * Checks the head of the peer's response to the handshake, which the session
   * reads leniently.
   * @throws net_error if it is malformed.
   */
  void CheckHandshake(std::string_view received);
  void Watch(io_interest interest);
  void HandleReadable();
  void HandleWritable();
  void FinishConnect();
  void RequestFlush();
  void Flush();
  /** Ends the link after an error or a close by the peer. */
  void Fail(const std::string& reason);
  void End();

  event_loop& loop_;
  frame_link_options options_;
  std::shared_ptr<frame_link_callbacks> callbacks_;
  /** Holds `on_closed` between a failure and its report. */
  std::shared_ptr<frame_link_callbacks> failure_report_;
  std::function<void()> on_ended_;
  state state_ = state::idle;
  std::string address_;
  std::uint16_t port_ = 0;
  std::string peer_name_;
  tcp_socket socket_;
  std::optional<io_watcher> watcher_;
  std::unique_ptr<websocket_session> session_;
  /** Set at the connecting side until the handshake's response is read. */
  std::optional<response_head> handshake_head_;
  /** The line of the head that is incomplete. */
  std::string handshake_line_;
  timer_id handshake_timer_ = 0;
  std::string output_;
  std::size_t output_sent_ = 0;
  bool flush_requested_ = false;
  bool refused_ = false;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace comfreyspring::net

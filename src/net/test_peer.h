#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "net/io_watcher.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {

/** Raw TCP peer for tests: sends arbitrary bytes and records what it receives.
 */
class test_peer {
 public:
  /** Connects to a server under test. */
  test_peer(event_loop& loop, std::uint16_t port)
      : test_peer(loop,
                  tcp_socket::Connect(socket_address("127.0.0.1", port))) {}
  test_peer(event_loop& loop, tcp_socket socket) : socket_(std::move(socket)) {
    watcher_.emplace(loop, socket_.Descriptor(), io_interest::read,
                     io_watcher::callbacks{[this] { Read(); }, nullptr});
    loop.RunUntil([this] { return socket_.ConnectError() == 0; },
                  core::milliseconds(1000));
  }

  void Send(const std::string& data) {
    socket_.Write(data.data(), data.size());
  }
  /** @returns the bytes that were taken. */
  std::size_t Write(const char* data, std::size_t size) {
    return socket_.Write(data, size).bytes;
  }
  void Close() {
    watcher_.reset();
    socket_.Close();
  }
  const std::string& Received() const { return received_; }
  bool IsClosedByPeer() const { return closed_; }
  /** The connection ended with a reset, not in order. */
  bool WasReset() const { return reset_; }

 private:
  void Read() {
    std::array<char, 65536> buffer{};
    const transfer_result result = socket_.Read(buffer.data(), buffer.size());
    received_.append(buffer.data(), result.bytes);
    if (result.outcome != transfer_result::kind::ended) return;
    closed_ = true;
    reset_ = result.reason.find("reset by peer") != std::string::npos;
    watcher_.reset();
  }

  tcp_socket socket_;
  std::optional<io_watcher> watcher_;
  std::string received_;
  bool closed_ = false;
  bool reset_ = false;
};

/** Raw TCP listener for tests. */
class test_listener {
 public:
  explicit test_listener(event_loop& loop)
      : loop_(loop),
        socket_(tcp_socket::Listen(socket_address("127.0.0.1", 0))) {}

  std::uint16_t Port() const {
    return socket_address::OfLocal(socket_.Descriptor()).Port();
  }
  /** Waits for the next connection; null after 5 s. */
  std::unique_ptr<test_peer> Accept() {
    tcp_socket accepted;
    loop_.RunUntil(
        [&] {
          accepted = socket_.Accept();
          return accepted.IsValid();
        },
        core::milliseconds(5000));
    if (!accepted.IsValid()) return nullptr;
    return std::make_unique<test_peer>(loop_, std::move(accepted));
  }

 private:
  event_loop& loop_;
  tcp_socket socket_;
};

}  // namespace comfreyspring::net

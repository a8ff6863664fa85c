#include "tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace comfreyspring::process_test {
namespace {

constexpr int kPollMs = 5;

sockaddr_in Loopback(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNoDelay(int socket_handle) {
  const int on = 1;
  ::setsockopt(socket_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

tcp_relay::tcp_relay(int target_port) : target_port_(target_port) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof address;
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      ::listen(listener_, 64) != 0 ||
      ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                    &length) != 0) {
    throw std::runtime_error("cannot open a relay port");
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

tcp_relay::~tcp_relay() {
  stopping_ = true;
  thread_.join();
  ::close(listener_);
  for (const connection& open : connections_) {
    ::close(open.client);
    ::close(open.server);
  }
}

void tcp_relay::SilenceOpenConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (connection& open : connections_) open.silent = true;
}

void tcp_relay::Cut() {
  cut_ = true;
  SilenceOpenConnections();
}

void tcp_relay::CutClients(std::function<bool(int port)> is_cut) {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_cut_ = std::move(is_cut);
  for (connection& open : connections_) {
    if (IsCut(open.client)) open.silent = true;
  }
}

void tcp_relay::Heal() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_cut_ = nullptr;
  cut_ = false;
}

bool tcp_relay::IsCut(int client) const {
  if (cut_) return true;
  if (!is_cut_) return false;
  sockaddr_in address = {};
  socklen_t length = sizeof address;
  ::getpeername(client, reinterpret_cast<sockaddr*>(&address), &length);
  return is_cut_(ntohs(address.sin_port));
}

void tcp_relay::Accept() {
  const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (client < 0) return;
  if (IsCut(client)) {
    ::close(client);
    return;
  }
  const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(target_port_);
  if (::connect(server, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(client);
    ::close(server);
    return;
  }
  SetNoDelay(client);
  SetNoDelay(server);
  connections_.push_back({client, server, false});
}

bool tcp_relay::Forward(int from, int to) {
  std::array<char, 65536> buffer = {};
  const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
  if (count <= 0) return false;
  for (ssize_t sent = 0; sent < count;) {
    const ssize_t step =
        ::send(to, buffer.data() + sent, static_cast<std::size_t>(count - sent),
               MSG_NOSIGNAL);
    if (step <= 0) return false;
    sent += step;
  }
  return true;
}

void tcp_relay::Run() {
  while (!stopping_) {
    std::vector<pollfd> waiting = {{listener_, POLLIN, 0}};
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const connection& open : connections_) {
        const short events = open.silent ? 0 : POLLIN;
        waiting.push_back({open.client, events, 0});
        waiting.push_back({open.server, events, 0});
      }
    }
    if (::poll(waiting.data(), waiting.size(), kPollMs) <= 0) continue;
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<connection> kept;
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      const connection& open = connections_[i];
      const std::size_t first = 1 + 2 * i;
      bool alive = true;
      if (!open.silent && first + 1 < waiting.size()) {
        if (waiting[first].revents != 0) {
          alive = Forward(open.client, open.server);
        }
        if (alive && waiting[first + 1].revents != 0) {
          alive = Forward(open.server, open.client);
        }
      }
      if (alive) {
        kept.push_back(open);
        continue;
      }
      ::close(open.client);
      ::close(open.server);
    }
    connections_ = std::move(kept);
    if ((waiting[0].revents & POLLIN) != 0) Accept();
  }
}

}  // namespace comfreyspring::process_test

#include "tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace comfreyspring::process_test {
namespace {

constexpr int kPollMs = 5;
/** A turn that was delayed makes up for no more than this. */
constexpr std::chrono::duration<double> kLongestRefill{0.05};

sockaddr_in SocketAddress(const relay_address& address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void SetNoDelay(int socket_handle) {
  const int on = 1;
  ::setsockopt(socket_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

tcp_relay::tcp_relay(int target_port)
    : tcp_relay(relay_address{}, {.port = target_port}) {}

tcp_relay::tcp_relay(relay_address listen, relay_address target)
    : target_(std::move(target)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = SocketAddress(listen);
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
  for (const connection& open : connections_) Close(open);
}

void tcp_relay::Close(const connection& closed) {
  if (closed.reset) {
    const linger at_once = {.l_onoff = 1, .l_linger = 0};
    for (const int handle : {closed.to_server.from, closed.to_client.from}) {
      ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
  }
  ::close(closed.to_server.from);
  ::close(closed.to_client.from);
}

bool tcp_relay::DrawWithProbability(double chance) {
  return std::bernoulli_distribution(chance)(random_);
}

void tcp_relay::SilenceOpenConnections() {
  SilenceOpenConnections(silenced::both, 1.0);
}

void tcp_relay::SilenceOpenConnections(silenced ways, double chance) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (connection& open : connections_) {
    if (!DrawWithProbability(chance)) continue;
    open.to_server.silent |= ways != silenced::to_client;
    open.to_client.silent |= ways != silenced::to_server;
  }
}

void tcp_relay::ResetOpenConnections(double chance) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (connection& open : connections_)
    open.reset |= DrawWithProbability(chance);
}

void tcp_relay::SetDelay(std::chrono::milliseconds delay) {
  const std::lock_guard<std::mutex> lock(mutex_);
  delay_ = delay;
}

void tcp_relay::SetRate(std::size_t bytes_per_second) {
  const std::lock_guard<std::mutex> lock(mutex_);
  bytes_per_second_ = bytes_per_second;
}

void tcp_relay::Cut() {
  cut_ = true;
  SilenceOpenConnections();
}

void tcp_relay::CutSilently() {
  cut_silently_ = true;
  SilenceOpenConnections();
}

void tcp_relay::CutClients(std::function<bool(int port)> is_cut) {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_cut_ = std::move(is_cut);
  for (connection& open : connections_) {
    if (!IsCut(open.to_server.from)) continue;
    open.to_server.silent = true;
    open.to_client.silent = true;
  }
}

void tcp_relay::Heal() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_cut_ = nullptr;
  cut_ = false;
  cut_silently_ = false;
}

bool tcp_relay::HasSwallowed(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return swallowed_.find(text) != std::string::npos;
}

void tcp_relay::Swallow(flow& to_server) {
  std::array<char, 65536> buffer = {};
  const ssize_t count =
      ::recv(to_server.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count > 0) {
    swallowed_.append(buffer.data(), static_cast<std::size_t>(count));
  } else if (count == 0) {
    to_server.ended = true;
  }
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
  const sockaddr_in address = SocketAddress(target_);
  if (!cut_silently_ &&
      ::connect(server, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(client);
    ::close(server);
    return;
  }
  SetNoDelay(client);
  SetNoDelay(server);
  connections_.push_back({{client, server, cut_silently_, false, {}},
                          {server, client, cut_silently_, false, {}}});
}

void tcp_relay::Receive(flow& direction) const {
  std::array<char, 65536> buffer = {};
  const ssize_t count = ::recv(direction.from, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    direction.ended = true;
    direction.was_reset = count < 0;
    return;
  }
  direction.held.push_back({std::chrono::steady_clock::now() + delay_,
                            {buffer.data(), static_cast<std::size_t>(count)}});
}

bool tcp_relay::Deliver(flow& direction) {
  while (!direction.held.empty() &&
         direction.held.front().due <= std::chrono::steady_clock::now()) {
    std::string& bytes = direction.held.front().bytes;
    const std::size_t allowed = bytes_per_second_ == 0
                                    ? bytes.size()
                                    : std::min(bytes.size(), allowance_);
    for (std::size_t sent = 0; sent < allowed;) {
      const ssize_t step = ::send(direction.to, bytes.data() + sent,
                                  allowed - sent, MSG_NOSIGNAL);
      if (step <= 0) return false;
      sent += static_cast<std::size_t>(step);
    }
    if (bytes_per_second_ > 0) allowance_ -= allowed;
    if (allowed < bytes.size()) {
      bytes.erase(0, allowed);
      return true;
    }
    direction.held.pop_front();
  }
  return true;
}

void tcp_relay::Refill() {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed =
      now - std::exchange(refilled_at_, now);
  const double refill = std::min(passed, kLongestRefill).count() *
                        static_cast<double>(bytes_per_second_);
  // What was not used in one turn is lost, so that there are no bursts.
  allowance_ = static_cast<std::size_t>(refill);
}

bool tcp_relay::Serve(connection& open, bool client_ready, bool server_ready) {
  if (open.reset) return false;
  for (flow* direction : {&open.to_server, &open.to_client}) {
    const bool ready =
        direction == &open.to_server ? client_ready : server_ready;
    if (direction->silent) continue;
    if (ready && !direction->ended) Receive(*direction);
    // The other side sees the kind of end that this one saw.
    open.reset = direction->was_reset || !Deliver(*direction);
    if (open.reset || (direction->ended && direction->held.empty()))
      return false;
  }
  return true;
}

void tcp_relay::Run() {
  while (!stopping_) {
    std::vector<pollfd> waiting = {{listener_, POLLIN, 0}};
    const auto watch = [&waiting](const flow& direction) {
      const bool wanted = !direction.silent && !direction.ended;
      waiting.push_back({wanted ? direction.from : -1, POLLIN, 0});
    };
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const connection& open : connections_) {
        watch(open.to_server);
        watch(open.to_client);
      }
    }
    ::poll(waiting.data(), waiting.size(), kPollMs);
    const std::lock_guard<std::mutex> lock(mutex_);
    Refill();
    std::vector<connection> kept;
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      connection& open = connections_[i];
      if (open.to_server.silent && !open.to_server.ended) {
        Swallow(open.to_server);
      }
      const std::size_t first = 1 + 2 * i;
      if (Serve(open, waiting[first].revents != 0,
                waiting[first + 1].revents != 0)) {
        kept.push_back(std::move(open));
      } else {
        Close(open);
      }
    }
    connections_ = std::move(kept);
    if ((waiting[0].revents & POLLIN) != 0) Accept();
  }
}

}  // namespace comfreyspring::process_test

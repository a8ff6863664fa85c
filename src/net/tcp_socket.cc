#include "net/tcp_socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "net/event_loop.h"

namespace comfreyspring::net {
namespace {

std::string ErrorText(int number) { return std::strerror(number); }

int Open(const socket_address& address) {
  return ::socket(address.Family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                  0);
}

bool MayPassByItself(int number) {
  return number != EACCES && number != EPERM && number != EINVAL &&
         number != EAFNOSUPPORT;
}

void SetFlag(int descriptor, int level, int option) {
  const int on = 1;
  setsockopt(descriptor, level, option, &on, sizeof(on));
}

}  // namespace

void ResetConnection(int descriptor) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  ::connect(descriptor, &none, sizeof(none));
}

void YieldLocalPort(int descriptor) {
  SetFlag(descriptor, SOL_SOCKET, SO_REUSEADDR);
}

listen_error::listen_error(const socket_address& address, int number)
    : net_error("cannot listen on " + address.ToString() + ": " +
                ErrorText(number)),
      may_pass_(MayPassByItself(number)) {}

tcp_socket::tcp_socket(int descriptor) : descriptor_(descriptor) {
  if (IsValid()) SetFlag(descriptor_, IPPROTO_TCP, TCP_NODELAY);
}

tcp_socket::tcp_socket(tcp_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void tcp_socket::Close() {
  if (IsValid()) ::close(std::exchange(descriptor_, -1));
}

int tcp_socket::Release() { return std::exchange(descriptor_, -1); }

tcp_socket tcp_socket::Connect(const socket_address& address) {
  tcp_socket result(Open(address));
  if (!result.IsValid()) {
    throw net_error("cannot open a socket: " + ErrorText(errno));
  }
  YieldLocalPort(result.Descriptor());
  if (::connect(result.Descriptor(), address.Get(), address.Size()) != 0 &&
      errno != EINPROGRESS) {
    throw net_error("cannot connect to " + address.ToString() + ": " +
                    ErrorText(errno));
  }
  return result;
}

tcp_socket tcp_socket::Listen(const socket_address& address) {
  tcp_socket result(Open(address));
  // Lets a restarted process listen while old connections are in TIME_WAIT; a
  // second listener on the port still fails.
  SetFlag(result.Descriptor(), SOL_SOCKET, SO_REUSEADDR);
  if (!result.IsValid() ||
      ::bind(result.Descriptor(), address.Get(), address.Size()) != 0 ||
      ::listen(result.Descriptor(), SOMAXCONN) != 0) {
    throw listen_error(address, errno);
  }
  return result;
}

int tcp_socket::ConnectError() const {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    return errno;
  }
  if (error != 0) return error;
  sockaddr_storage peer{};
  size = sizeof(peer);
  const bool is_connected =
      getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
  return is_connected ? 0 : EINPROGRESS;
}

transfer_result tcp_socket::Read(char* target, std::size_t capacity) {
  const ssize_t size = ::recv(descriptor_, target, capacity, 0);
  if (size > 0) {
    return {transfer_result::kind::done, static_cast<std::size_t>(size), {}};
  }
  if (size == 0) {
    return {transfer_result::kind::ended, 0, "connection closed by the peer"};
  }
  if (errno == EAGAIN || errno == EINTR) {
    return {transfer_result::kind::would_block, 0, {}};
  }
  return {transfer_result::kind::ended, 0, "read: " + ErrorText(errno)};
}

transfer_result tcp_socket::Write(const char* data, std::size_t size) {
  const ssize_t written = ::send(descriptor_, data, size, MSG_NOSIGNAL);
  if (written >= 0) {
    return {transfer_result::kind::done, static_cast<std::size_t>(written), {}};
  }
  if (errno == EAGAIN || errno == EINTR) {
    return {transfer_result::kind::would_block, 0, {}};
  }
  return {transfer_result::kind::ended, 0, "write: " + ErrorText(errno)};
}

tcp_socket tcp_socket::Accept() {
  return tcp_socket(
      ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

}  // namespace comfreyspring::net

#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace comfreyspring::net {

/** An IPv4 or IPv6 socket address. */
class socket_address {
 public:
  /** @throws net_error if `address` is not a numeric IP address. */
  socket_address(const std::string& address, std::uint16_t port);

  /** Remote and local address of a socket. */
  static socket_address OfPeer(int descriptor);
  static socket_address OfLocal(int descriptor);

  bool IsIpv6() const { return storage_.ss_family == AF_INET6; }
  int Family() const { return storage_.ss_family; }
  std::uint16_t Port() const;
  const sockaddr* Get() const;
  socklen_t Size() const;
  /** Renders `address:port`, with brackets around an IPv6 address. */
  std::string ToString() const;

 private:
  socket_address() = default;

  sockaddr_storage storage_{};
};

}  // namespace comfreyspring::net

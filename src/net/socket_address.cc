#include "net/socket_address.h"

#include <arpa/inet.h>

#include <array>

#include "net/event_loop.h"

namespace comfreyspring::net {
namespace {

sockaddr_in& Ipv4(sockaddr_storage& storage) {
  return reinterpret_cast<sockaddr_in&>(storage);
}

sockaddr_in6& Ipv6(sockaddr_storage& storage) {
  return reinterpret_cast<sockaddr_in6&>(storage);
}

const sockaddr_in& Ipv4(const sockaddr_storage& storage) {
  return reinterpret_cast<const sockaddr_in&>(storage);
}

const sockaddr_in6& Ipv6(const sockaddr_storage& storage) {
  return reinterpret_cast<const sockaddr_in6&>(storage);
}

}  // namespace

socket_address::socket_address(const std::string& address, std::uint16_t port) {
  if (inet_pton(AF_INET, address.c_str(), &Ipv4(storage_).sin_addr) == 1) {
    Ipv4(storage_).sin_family = AF_INET;
    Ipv4(storage_).sin_port = htons(port);
    return;
  }
  if (inet_pton(AF_INET6, address.c_str(), &Ipv6(storage_).sin6_addr) == 1) {
    Ipv6(storage_).sin6_family = AF_INET6;
    Ipv6(storage_).sin6_port = htons(port);
    return;
  }
  throw net_error("not an IP address: " + address);
}

socket_address socket_address::OfPeer(int descriptor) {
  socket_address result;
  socklen_t size = sizeof(result.storage_);
  getpeername(descriptor, reinterpret_cast<sockaddr*>(&result.storage_), &size);
  return result;
}

socket_address socket_address::OfLocal(int descriptor) {
  socket_address result;
  socklen_t size = sizeof(result.storage_);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&result.storage_), &size);
  return result;
}

std::uint16_t socket_address::Port() const {
  return ntohs(IsIpv6() ? Ipv6(storage_).sin6_port : Ipv4(storage_).sin_port);
}

const sockaddr* socket_address::Get() const {
  return reinterpret_cast<const sockaddr*>(&storage_);
}

socklen_t socket_address::Size() const {
  return IsIpv6() ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
}

std::string socket_address::ToString() const {
  std::array<char, INET6_ADDRSTRLEN> text{};
  const void* bytes = IsIpv6()
                          ? static_cast<const void*>(&Ipv6(storage_).sin6_addr)
                          : &Ipv4(storage_).sin_addr;
  if (inet_ntop(Family(), bytes, text.data(), text.size()) == nullptr) {
    return "unknown";
  }
  const std::string address = text.data();
  return (IsIpv6() ? '[' + address + ']' : address) + ':' +
         std::to_string(Port());
}

}  // namespace comfreyspring::net

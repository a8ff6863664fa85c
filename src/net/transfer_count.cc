#include "net/transfer_count.h"

// The C library's <netinet/tcp.h> has an older structure without the counts.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace comfreyspring::net {

transfer_count TransferCountOf(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return {};
  }
  return {info.tcpi_bytes_received, info.tcpi_bytes_acked};
}

std::uint64_t ReadBytesOf(int descriptor) {
  const std::uint64_t received = TransferCountOf(descriptor).received;
  // Asked for last: bytes that arrive in between must not count as read.
  int waiting = 0;
  if (::ioctl(descriptor, FIONREAD, &waiting) != 0) return 0;
  return received - std::min(received, static_cast<std::uint64_t>(waiting));
}

bool HasEnded(int descriptor) {
  char byte = 0;
  const ssize_t size = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

std::uint64_t WrittenBytesOf(int descriptor, const transfer_count& count) {
  int unacknowledged = 0;
  if (::ioctl(descriptor, SIOCOUTQ, &unacknowledged) != 0) return 0;
  return count.acknowledged + static_cast<std::uint64_t>(unacknowledged);
}

}  // namespace comfreyspring::net

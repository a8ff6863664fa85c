#include "net/transfer_count.h"

// The C library's <netinet/tcp.h> has an older structure without the counts.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace comfreyspring::net {

transfer_count TransferCountOf(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return {};
  }
  return {info.tcpi_bytes_received, info.tcpi_bytes_acked};
}

}  // namespace comfreyspring::net

#include "net/connection_table.h"

#include <sys/socket.h>

#include "net/socket_address.h"
#include "net/transfer_count.h"

namespace comfreyspring::net {

void connection_table::OnOpened(int descriptor) {
  unmapped_.insert(descriptor);
  meters_[descriptor] = {};
}

void connection_table::OnClosed(int descriptor) {
  unmapped_.erase(descriptor);
  meters_.erase(descriptor);
  std::erase_if(descriptors_, [descriptor](const auto& entry) {
    return entry.second == descriptor;
  });
}

int connection_table::Find(std::uint16_t local_port) {
  const auto known = descriptors_.find(local_port);
  if (known != descriptors_.end()) return known->second;
  for (const int descriptor : unmapped_) {
    if (socket_address::OfLocal(descriptor).Port() != local_port) continue;
    unmapped_.erase(descriptor);
    descriptors_[local_port] = descriptor;
    return descriptor;
  }
  return -1;
}

bool connection_table::HasUnexpectedInput(std::uint16_t local_port) {
  const int descriptor = Find(local_port);
  if (descriptor < 0) return false;
  char byte = 0;
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool connection_table::AcceptsFraming(int descriptor, std::uint64_t delivered) {
  const auto found = meters_.find(descriptor);
  return found == meters_.end() || !found->second.IsCheckDue(delivered) ||
         found->second.Accepts(ReadBytesOf(descriptor));
}

}  // namespace comfreyspring::net

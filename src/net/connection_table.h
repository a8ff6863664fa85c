#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "net/framing_meter.h"

namespace comfreyspring::net {

/**
 * Open connections of a client, keyed by local port. The HTTP library's
 * pre-request callback identifies the connection only by its ports.
 */
class connection_table {
 public:
  void OnOpened(int descriptor);
  void OnClosed(int descriptor);

  /**
   * Returns true if unread bytes are waiting on an idle connection, such as a
   * duplicate of its last response. They would be taken for the response to
   * the next request.
   */
  bool HasUnexpectedInput(std::uint16_t local_port);
  /**
   * Called after the HTTP library has used the connection.
   * @param delivered bytes of headers and bodies since the last call.
   * @returns false if the peer has sent too many bytes that are neither, such
   *     as extensions of chunks.
   */
  bool AcceptsFraming(int descriptor, std::uint64_t delivered);

 private:
  int Find(std::uint16_t local_port);

  /** Sockets not in `descriptors_`; the port is unknown until they connect. */
  std::set<int> unmapped_;
  std::map<std::uint16_t, int> descriptors_;
  std::map<int, framing_meter> meters_;
};

}  // namespace comfreyspring::net

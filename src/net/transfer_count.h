#pragma once

#include <cstdint>

namespace comfreyspring::net {

/** Bytes of a TCP connection that its peer has sent and acknowledged. */
struct transfer_count {
  std::uint64_t received = 0;
  std::uint64_t acknowledged = 0;

  bool operator==(const transfer_count&) const = default;
};

/** @returns zeros for a descriptor that is no TCP connection. */
transfer_count TransferCountOf(int descriptor);

/**
 * Bytes that have been read from a TCP connection; those that wait in the
 * receive buffer do not count.
 */
std::uint64_t ReadBytesOf(int descriptor);

/** The peer has closed the connection, or the connection is broken. */
bool HasEnded(int descriptor);

/**
 * Bytes that have been written to a TCP connection, sent or not.
 * @param count what was just read of the connection.
 */
std::uint64_t WrittenBytesOf(int descriptor, const transfer_count& count);

}  // namespace comfreyspring::net

#pragma once

#include <cstdint>

namespace comfreyspring::net {

/**
 * Limits the bytes that a connection receives and that are neither headers nor
 * body. The HTTP library discards them without a callback, so they are found by
 * comparing what the connection has received with what was delivered.
 */
class framing_meter {
 public:
  /**
   * Called after the library has used the connection.
   * @param delivered bytes of headers and bodies since the last call.
   * @returns true if `Accepts` must be asked.
   */
  bool IsCheckDue(std::uint64_t delivered);
  /**
   * @param received all bytes that have been read from the connection.
   * @returns false if too many of them were framing.
   */
  bool Accepts(std::uint64_t received);

 private:
  std::uint64_t delivered_ = 0;
  int unchecked_calls_ = 0;
  /** Grows while little of what is received is framing. */
  int calls_between_checks_ = 1;
};

}  // namespace comfreyspring::net

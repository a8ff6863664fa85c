#pragma once

#include <cstdint>
#include <optional>

namespace comfreyspring::net {

/**
 * Limits the bytes of a response that are neither headers nor body. The HTTP
 * library discards them without a callback, so they are found by comparing what
 * the connection has received with what the library has delivered.
 */
class framing_meter {
 public:
  /**
   * Called after each read with the bytes delivered so far.
   * @returns true if the connection must be asked what it has received: the
   *     read has delivered nothing, or many reads were not checked.
   */
  bool IsCheckDue(std::uint64_t delivered);
  /**
   * @param received bytes that the connection has received in all its calls.
   * @returns false if too many of them since the first check were framing.
   */
  bool Accepts(std::uint64_t received, std::uint64_t delivered);

 private:
  struct position {
    std::uint64_t received = 0;
    std::uint64_t delivered = 0;
  };

  std::uint64_t delivered_ = 0;
  int unchecked_reads_ = 0;
  /** At the first check. */
  std::optional<position> start_;
};

}  // namespace comfreyspring::net

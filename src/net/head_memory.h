#pragma once

#include <cstddef>

namespace comfreyspring::net {

// Memory that the HTTP library takes from the pool of a connection. The pool
// also holds the head of the response, which the library does not reserve.

/** What the pool holds of the head of a request. */
struct head_memory {
  /** Request line and fields. */
  std::size_t text_bytes = 0;
  /** Copies that the library makes of cookies. */
  std::size_t copied_bytes = 0;
  /** Parameters of the target. */
  std::size_t parameters = 0;
  /** Fields and cookies. */
  std::size_t fields = 0;
  /** Bytes received beyond the request, such as a next one. */
  std::size_t read_ahead_bytes = 0;
};

/** Kept free for the status line and the fields of a response. */
constexpr std::size_t kResponseHeadBytes = 4 * 1024;

/** Bytes of the pool that the request has taken. */
std::size_t BytesOf(const head_memory& head);
/** The head of a response fits into the rest of the pool. */
bool LeavesRoomForResponse(const head_memory& head, std::size_t pool_bytes);
/** The target takes more of the pool than the fields. */
bool IsTargetLarger(std::size_t target_bytes, std::size_t parameters,
                    const head_memory& head);

}  // namespace comfreyspring::net

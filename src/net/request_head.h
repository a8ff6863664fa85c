#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace comfreyspring::net {

// The head of a request, read once for its framing and for its fields. The HTTP
// library frames the body by its own reading of the first field of a name, so a
// head that leaves room for two readings is refused (RFC 9112, sections 5, 6).

/** A field as the HTTP library holds it. */
struct field_view {
  std::string_view name;
  /** Without leading blanks. */
  std::string_view value;
};

/** A head that must be refused, and its connection closed. */
class head_error : public net_error {
 public:
  head_error(int status, const std::string& reason)
      : net_error(reason), status_(status) {}
  /** The status of the answer: 400 or 501. */
  int Status() const { return status_; }

 private:
  int status_;
};

/** How the end of a request's body is found. */
struct body_framing {
  enum class kind { none, length, chunked };
  kind how = kind::none;
  /** For `length`. */
  std::uint64_t bytes = 0;

  bool operator==(const body_framing&) const = default;
};

/**
 * Checks that the head consists of its request line and these fields, each on
 * one line that ends with CR and LF. What the library drops or joins, such as
 * folded lines and what follows a zero byte, would be read differently here
 * than by other peers.
 * @param head all bytes of the head, which the fields point into.
 * @throws head_error if any byte belongs to neither.
 */
void CheckLayout(std::string_view head, std::size_t request_line_bytes,
                 const std::vector<field_view>& fields);

/**
 * Decides how the body is framed.
 * @param version such as `HTTP/1.1`.
 * @throws head_error if the fields are ambiguous, or name a transfer coding
 *     that is not supported.
 */
body_framing FramingOf(std::string_view version,
                       const std::vector<field_view>& fields);

/**
 * Joins the values of repeated fields, in their order (RFC 9110, 5.3).
 * @throws head_error if a field is repeated that names the target.
 */
header_map JoinFields(const std::vector<field_view>& fields);

}  // namespace comfreyspring::net

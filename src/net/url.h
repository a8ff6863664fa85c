#pragma once

#include <string>
#include <string_view>

#include "core/network_address.h"

namespace comfreyspring::net {

/**
 * An absolute http URL.
 *
 * Text that the program does not contain itself, such as the keys of a store or
 * the ids that a peer hands out, becomes a part of a URL only by the functions
 * that encode it. It cannot end its part, whichever bytes it consists of.
 */
class url {
 public:
  /** Text that is known at compile time and is not encoded. */
  class literal {
   public:
    // NOLINTNEXTLINE(google-explicit-constructor): stands for its argument.
    consteval literal(const char* text) : text_(text) {}
    constexpr std::string_view Text() const { return text_; }

   private:
    std::string_view text_;
  };

  /** No URL; calls to it fail. */
  url() = default;
  /** `http://ADDRESS/` */
  explicit url(const core::network_address& address);
  url(const core::network_address& address, literal path);
  /**
   * Takes a URL from the settings or the command line, to whose path calls add.
   * @throws core::invalid_value_error if it is not an absolute http URL.
   */
  static url Parse(std::string text);

  // Extension.

  /** Appends to the path, without a separator. */
  url& AddPath(literal path);
  /** Appends `/` and the text as one segment of the path. */
  url& AddSegment(std::string_view text);
  /** Appends a parameter to the query. */
  url& AddParameter(literal name, std::string_view value);

  bool empty() const { return text_.empty(); }
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
  bool has_query_ = false;
};

}  // namespace comfreyspring::net

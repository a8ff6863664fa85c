#pragma once

#include <concepts>
#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace comfreyspring::net {

/**
 * Immutable body of a request. Copies share the bytes, so that the attempts of
 * a request do not multiply its memory. Converts from and to text implicitly,
 * as it takes the place of a string.
 */
class shared_body {
 public:
  shared_body() = default;
  // NOLINTBEGIN(google-explicit-constructor)
  shared_body(std::string text)
      : text_(text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(text))) {}
  shared_body(const char* text) : shared_body(std::string(text)) {}
  // NOLINTEND(google-explicit-constructor)
  /** Null for an empty body. */
  explicit shared_body(std::shared_ptr<const std::string> text)
      : text_(std::move(text)) {}

  const std::string& Text() const {
    static const std::string kEmpty;
    return text_ ? *text_ : kEmpty;
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator const std::string&() const { return Text(); }

  // Named as in std::string.

  std::size_t size() const { return Text().size(); }
  bool empty() const { return Text().empty(); }
  const char* data() const { return Text().data(); }
  std::string::const_iterator begin() const { return Text().begin(); }
  std::string::const_iterator end() const { return Text().end(); }

  template <std::convertible_to<std::string_view> Text>
  friend bool operator==(const shared_body& one, const Text& other) {
    const std::string_view right = other;
    return one.Text() == right;
  }
  friend bool operator==(const shared_body& one, const shared_body& other) {
    return one.Text() == other.Text();
  }
  friend std::ostream& operator<<(std::ostream& out, const shared_body& body) {
    return out << body.Text();
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace comfreyspring::net

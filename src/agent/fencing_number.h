#pragma once

#include <algorithm>
#include <cstdint>

namespace comfreyspring::agent {

/**
 * Number that every command carries. Commands of one agent carry the same
 * number until it is renewed, because they travel over several connections and
 * an engine refuses lower numbers than the highest it has seen.
 */
class fencing_number {
 public:
  /** @param start_unix_ms start of the agent. */
  explicit fencing_number(std::int64_t start_unix_ms)
      : value_(start_unix_ms << kCounterBits) {}

  std::int64_t Value() const { return value_; }
  /** Makes the number greater than itself and than `highest_seen`. */
  void Renew(std::int64_t highest_seen) {
    value_ = std::max(value_, highest_seen) + 1;
  }

 private:
  static constexpr int kCounterBits = 20;
  std::int64_t value_;
};

}  // namespace comfreyspring::agent

#pragma once

#include <algorithm>
#include <cstdint>

namespace comfreyspring::agent {

/**
 * Fencing token that every command to an engine carries. All commands of one
 * agent carry the same number until it is renewed: they travel over several
 * connections, and an engine rejects numbers lower than the highest it has
 * seen.
 */
class fencing_number {
 public:
  /** @param start_unix_ms start of the agent in milliseconds since the Unix
   * epoch. */
  explicit fencing_number(std::int64_t start_unix_ms)
      : value_(start_unix_ms << kCounterBits) {}

  std::int64_t Value() const { return value_; }
  /** Makes the number greater than its current value and `highest_seen`. */
  void Renew(std::int64_t highest_seen) {
    value_ = std::max(value_, highest_seen) + 1;
  }

 private:
  static constexpr int kCounterBits = 20;
  std::int64_t value_;
};

}  // namespace comfreyspring::agent

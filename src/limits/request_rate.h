#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace comfreyspring::limits {

/** A number of requests per second; not negative. */
class request_rate {
 public:
  /** Rates above this never bind. */
  static constexpr double kMaximumPerSecond = 1e9;

  request_rate() = default;
  constexpr explicit request_rate(double per_second)
      : per_second_(per_second) {}

  constexpr double PerSecond() const { return per_second_; }
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const request_rate&, const request_rate&) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  double per_second_ = 0.0;
};

/**
 * Rate at which a slower limit is exceeded where only a response can tell that
 * it has ended: one request in four seconds.
 */
inline constexpr request_rate kProbeRate{0.25};

/** For logs and state dumps; empty without a rate. */
std::string ToText(const std::optional<request_rate>& rate);

}  // namespace comfreyspring::limits

#pragma once

#include <cstdint>

namespace comfreyspring::core {

/**
 * Seeded pseudo-random number generator (SplitMix64). Decision logic receives
 * it as a parameter, so that a replay with the recorded seed makes the same
 * decisions.
 */
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  /** Next 64 uniformly distributed bits. */
  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }

  /** Next number, uniformly distributed in [0, 1). */
  double NextUnit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

  /** Next integer in [0, bound); `bound` must be positive. */
  std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }

 private:
  std::uint64_t state_;
};

}  // namespace comfreyspring::core

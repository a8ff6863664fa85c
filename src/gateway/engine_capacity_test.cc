#include "gateway/engine_capacity.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

#include "core/hash.h"

namespace comfreyspring::gateway {
namespace {

using core::microseconds;

// Engines that differ by a factor of 1.3, or are not measured, count as equal.
TEST(engine_capacity_test, SimilarAndUnknownEnginesAreEqual) {
  const std::vector<double> equal(4, 1.0);
  EXPECT_EQ(RelativeSpeeds({microseconds(5850), microseconds(5850),
                            microseconds(4500), microseconds(0)}),
            equal);
  EXPECT_EQ(RelativeSpeeds(std::vector(4, microseconds(0))), equal);
}

// Two thirds slow engines: the median is a slow one.
TEST(engine_capacity_test, TwoGroupsAreToldApart) {
  EXPECT_EQ(RelativeSpeeds({microseconds(3400), microseconds(8300),
                            microseconds(8600), microseconds(0)}),
            (std::vector{2.5, 1.0, 1.0, 1.0}));
  EXPECT_EQ(RelativeSpeeds(
                {microseconds(3400), microseconds(3500), microseconds(90000)}),
            (std::vector{1.0, 1.0, 0.4}));
}

// A full fast engine makes a request wait for a slot like any other one.
RC_GTEST_PROP(engine_capacity_test, FullEnginesAreAboveTheOthers, ()) {
  const auto speed = *rc::gen::element(0.4, 0.5, 1.0, 1.5, 2.5);
  grants::engine_status status;
  status.running = *rc::gen::inRange<std::size_t>(0, 90);
  const engine_capacity capacity(status, 32, 0, speed);
  const bool is_full = static_cast<double>(status.running) / 32 > kFullLoad;
  RC_ASSERT(is_full == (capacity.Load() > kFullLoad));
  const double bound = *rc::gen::inRange(1, 96) / 100.0;
  if (capacity.Load() <= bound) {
    RC_ASSERT(static_cast<double>(status.running) / 32 <=
              capacity.SidecarBound(bound) + 1e-9);
  }
  status.running += 1;
  RC_ASSERT(engine_capacity(status, 32, 0, speed).Load() >= capacity.Load());
}

// An engine is home to adapters in proportion to its speed.
TEST(engine_capacity_test, FasterEnginesAreHomeToMoreAdapters) {
  const std::array speeds = {2.5, 1.0, 1.0};
  std::array homes = {0, 0, 0};
  for (int key = 0; key < 9000; ++key) {
    std::size_t best = 0;
    double highest = 0.0;
    for (std::size_t i = 0; i < speeds.size(); ++i) {
      const double score =
          HomeScore(core::RendezvousWeight(std::to_string(key),
                                           "10.0.0." + std::to_string(i)),
                    speeds[i]);
      if (score <= highest) continue;
      highest = score;
      best = i;
    }
    ++homes[best];
  }
  EXPECT_NEAR(homes[0], 5000, 250);
  EXPECT_NEAR(homes[1], 2000, 200);
  EXPECT_GT(HomeScore(~std::uint64_t{0}, 1.0), 0.0);
}

}  // namespace
}  // namespace comfreyspring::gateway

#include "resilience/resilience.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace comfreyspring::resilience {
namespace {

using core::endpoint_id;

core::time_point At(std::int64_t ms) {
  return core::time_point(core::milliseconds(ms));
}

std::vector<endpoint_id> Peers(std::size_t count) {
  std::vector<endpoint_id> peers;
  for (std::size_t i = 0; i < count; ++i) {
    peers.emplace_back("engine-" + std::to_string(i));
  }
  return peers;
}

class detector_test : public testing::Test {
 protected:
  detector_test() : peers_(Peers(12)) { detector_.SetPeers(peers_); }
  void Round(std::size_t slow_count, double factor) {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
      detector_.OnSample(peers_[i], i < slow_count ? 10.0 * factor : 10.0,
                         At(now_));
    }
  }
  void Rounds(int count, std::size_t slow_count, double factor) {
    for (int i = 0; i < count; ++i) Round(slow_count, factor);
    detector_.OnTick(At(now_));
  }

  std::vector<endpoint_id> peers_;
  slow_endpoint_detector detector_;
  std::int64_t now_ = 0;
};

TEST_F(detector_test, EjectsOnlyEndpointsFarSlowerThanTheirPeers) {
  Rounds(15, 2, 2.4);
  EXPECT_EQ(detector_.EjectedCount(), 0U);
  Rounds(15, 2, 2.6);
  EXPECT_EQ(detector_.EjectedCount(), 2U);
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 0.0);
  EXPECT_EQ(detector_.ShareOf(peers_[2]), 1.0);
}

// Guards against a general slowdown that ejects most of the fleet.
TEST_F(detector_test, EjectsAtMostAQuarter) {
  Rounds(15, 5, 9.0);
  EXPECT_EQ(detector_.EjectedCount(), 3U);
}

TEST_F(detector_test, ReinstatesInStepsAndEjectsAgainOnSlowProbes) {
  Rounds(15, 1, 5.0);
  ASSERT_EQ(detector_.ShareOf(peers_[0]), 0.0);
  now_ = 1999;
  detector_.OnTick(At(now_));
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 0.0);
  now_ = 2000;
  detector_.OnTick(At(now_));
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 0.1);
  Rounds(4, 1, 5.0);
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 0.0);
  // The second ejection lasts twice as long.
  now_ = 5999;
  detector_.OnTick(At(now_));
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 0.0);
  now_ = 6000;
  detector_.OnTick(At(now_));
  for (const double share : {0.1, 0.25, 0.5, 1.0}) {
    EXPECT_EQ(detector_.ShareOf(peers_[0]), share);
    Rounds(4, 0, 1.0);
  }
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 1.0);
}

// Guards against a new process that inherits the slowness of the old one.
TEST_F(detector_test, ResetsReplacedEndpoints) {
  Rounds(15, 1, 5.0);
  detector_.OnReplaced(peers_[0]);
  EXPECT_EQ(detector_.ShareOf(peers_[0]), 1.0);
  EXPECT_EQ(detector_.SlownessOf(peers_[0]), 1.0);
}

// Guards against exceeding the ejection limit in any order of samples, ticks
// and changes of the group.
RC_GTEST_PROP(SlowEndpointDetector, NeverEjectsMoreThanAQuarter, ()) {
  slow_endpoint_detector detector;
  std::size_t size = *rc::gen::inRange<std::size_t>(1, 16);
  detector.SetPeers(Peers(size));
  std::int64_t now = 0;
  const int steps = *rc::gen::inRange(1, 120);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        size = *rc::gen::inRange<std::size_t>(1, 16);
        detector.SetPeers(Peers(size));
        break;
      case 1:
        detector.OnReplaced(
            Peers(size)[*rc::gen::inRange<std::size_t>(0, size)]);
        break;
      case 2:
      case 3:
        now += *rc::gen::inRange(0, 4000);
        detector.OnTick(At(now));
        break;
      default: {
        const auto bad = *rc::gen::inRange<std::size_t>(0, size + 1);
        const double factor = *rc::gen::inRange(1, 10);
        for (std::size_t i = 0; i < 5 * size; ++i) {
          const std::size_t peer = i % size;
          detector.OnSample(Peers(size)[peer], peer < bad ? factor : 1.0,
                            At(now));
        }
        break;
      }
    }
    RC_ASSERT(detector.EjectedCount() * 4 <= size);
  }
}

RC_GTEST_PROP(RatioBudget, GrantsAtMostItsShare, ()) {
  const double share = *rc::gen::inRange(0, 100) / 100.0;
  const double burst = *rc::gen::inRange(0, 20);
  ratio_budget budget(share, burst);
  double granted = 0;
  double requests = 0;
  const int steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    if (*rc::gen::arbitrary<bool>()) {
      budget.OnRequest();
      requests += 1;
    } else if (budget.TryTake()) {
      granted += 1;
    }
    RC_ASSERT(granted <= burst + share * requests + 1e-6);
  }
}

TEST(LatencyWindow, FollowsTheRecentQuantile) {
  latency_window window(100, 20, 0.95);
  for (int i = 1; i < 20; ++i) window.Add(core::microseconds(i));
  EXPECT_FALSE(window.Value().has_value());
  for (int i = 20; i <= 100; ++i) window.Add(core::microseconds(i));
  EXPECT_NEAR(static_cast<double>(window.Value()->count()), 95.0, 8.0);
  for (int i = 0; i < 108; ++i) window.Add(core::microseconds(500));
  EXPECT_EQ(window.Value()->count(), 500);
}

}  // namespace
}  // namespace comfreyspring::resilience

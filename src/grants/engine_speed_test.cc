#include "grants/engine_speed.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace comfreyspring::grants {
namespace {

using core::milliseconds;

class engine_speed_test : public ::testing::Test {
 protected:
  /** Runs of 294 tokens that end 200 ms after one another. */
  void AddRuns(int count, double token_ms) {
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(200);
      speed_.OnRunEnded(
          294, core::microseconds(static_cast<int>(294 * token_ms * 1e3)),
          now_);
    }
  }
  engine_speed speed_;
  core::time_point now_{std::chrono::seconds(100)};
};

// One run says little: it may have been slowed down from start to end.
TEST_F(engine_speed_test, IsUnknownAfterFewRuns) {
  AddRuns(31, 8.0);
  EXPECT_EQ(speed_.TokenTime().count(), 0);
  AddRuns(1, 8.0);
  EXPECT_EQ(speed_.TokenTime().count(), 8000);
}

// A moment at which the engine is 2.5 times slower, or does nothing, must not
// count as its speed.
TEST_F(engine_speed_test, SlowMomentsDoNotCount) {
  AddRuns(40, 8.0);
  for (int i = 0; i < 10; ++i) {
    AddRuns(3, 20.0);
    EXPECT_EQ(speed_.TokenTime().count(), 8000);
    AddRuns(1, 400.0);
    AddRuns(16, 8.3);
    EXPECT_EQ(speed_.TokenTime().count(), 8000);
  }
}

// An engine that becomes slower for good is seen as such within seconds.
TEST_F(engine_speed_test, FollowsALastingChange) {
  AddRuns(100, 4.0);
  AddRuns(150, 10.0);
  EXPECT_EQ(speed_.TokenTime().count(), 10000);
  // While no runs end, the estimate is kept.
  now_ += std::chrono::minutes(10);
  AddRuns(1, 10.1);
  EXPECT_EQ(speed_.TokenTime().count(), 10000);
}

// The time of a short run is mostly that of messages.
TEST_F(engine_speed_test, IgnoresShortRuns) {
  for (int i = 0; i < 100; ++i) {
    speed_.OnRunEnded(14, milliseconds(300), now_);
  }
  EXPECT_EQ(speed_.TokenTime().count(), 0);
}

}  // namespace
}  // namespace comfreyspring::grants

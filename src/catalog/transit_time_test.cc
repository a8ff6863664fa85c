#include "catalog/transit_time.h"

#include <gtest/gtest.h>

namespace comfreyspring::catalog {
namespace {

using core::milliseconds;

class transit_time_test : public ::testing::Test {
 protected:
  /** @returns the age after a transit of this length, 10 ms before it. */
  milliseconds AgeAfter(milliseconds transit) {
    change_batch batch{.age = milliseconds(10)};
    batch.last_outage = {{}, milliseconds(70)};
    batch.sent_at = core::ToMilliseconds(now_.time_since_epoch()) - kOffset;
    now_ += transit;
    transit_.AddTo(batch, now_);
    EXPECT_EQ(batch.last_outage->ended_ago - batch.age, milliseconds(60));
    return batch.age;
  }

  /** Of the receiver's clock from the sender's. */
  static constexpr milliseconds kOffset{-7'000'000};

  core::time_point now_{std::chrono::seconds(100)};
  transit_time transit_;
};

TEST_F(transit_time_test, ABatchThatWasQueuedIsOlder) {
  EXPECT_EQ(AgeAfter(milliseconds(3)), milliseconds(10));
  EXPECT_EQ(AgeAfter(milliseconds(903)), milliseconds(910));
  EXPECT_EQ(AgeAfter(milliseconds(1)), milliseconds(10));
  EXPECT_EQ(AgeAfter(milliseconds(903)), milliseconds(912));
}

TEST_F(transit_time_test, AQueueThatBuildsUpIsNotTakenForTheUsualTime) {
  AgeAfter(milliseconds(3));
  for (int i = 1; i <= 20; ++i) {
    EXPECT_EQ(AgeAfter(milliseconds(3 + 50 * i)), milliseconds(10 + 50 * i));
  }
}

// The clocks of two machines drift apart.
TEST_F(transit_time_test, ForgetsTheUsualTimeOfLongAgo) {
  AgeAfter(milliseconds(3));
  for (int i = 0; i < 80; ++i) {
    now_ += milliseconds(1000);
    AgeAfter(milliseconds(23));
  }
  EXPECT_EQ(AgeAfter(milliseconds(23)), milliseconds(10));
}

TEST_F(transit_time_test, ABatchOfAnEarlierVersionIsLeftAsItIs) {
  change_batch batch{.age = milliseconds(10)};
  transit_.AddTo(batch, now_);
  EXPECT_EQ(batch.age, milliseconds(10));
}

}  // namespace
}  // namespace comfreyspring::catalog

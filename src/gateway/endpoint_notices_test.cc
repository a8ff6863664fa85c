#include "gateway/endpoint_notices.h"

#include <gtest/gtest.h>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

class endpoint_notices_test : public ::testing::Test {
 protected:
  static catalog::endpoint_record Record(std::int64_t started) {
    return {.instance = catalog::instance_id("i1"),
            .service = core::service_id("s"),
            .started_unix_ms = started};
  }

  core::time_point now_{std::chrono::seconds(100)};
  endpoint_notices notices_;
};

TEST_F(endpoint_notices_test, AnIncarnationStaysDraining) {
  EXPECT_TRUE(notices_.OnDraining(Record(5), now_));
  EXPECT_FALSE(notices_.OnDraining(Record(5), now_));
  now_ += std::chrono::seconds(60);
  notices_.OnTick(now_);
  EXPECT_TRUE(notices_.IsDraining(Record(5)));
  // A later incarnation with the same id.
  EXPECT_FALSE(notices_.IsDraining(Record(9)));
}

TEST_F(endpoint_notices_test, ABackoffEndsAfterItsTimeAndAMargin) {
  notices_.OnBackoff(Record(5), milliseconds(2000), now_);
  EXPECT_GT(notices_.BackoffLeft(Record(5), now_ + milliseconds(2000)).count(),
            0);
  EXPECT_EQ(notices_.BackoffLeft(Record(5), now_ + milliseconds(2100)).count(),
            0);
}

TEST_F(endpoint_notices_test, AShorterBackoffDoesNotEndALongerOne) {
  notices_.OnBackoff(Record(5), milliseconds(2000), now_);
  notices_.OnBackoff(Record(5), milliseconds(100), now_);
  EXPECT_GT(notices_.BackoffLeft(Record(5), now_ + milliseconds(1900)).count(),
            0);
}

// No value may exclude an endpoint indefinitely, and an unreadable value gets
// the default backoff.
TEST_F(endpoint_notices_test, InvalidTimesAreLimited) {
  notices_.OnBackoff(Record(5), milliseconds(1'000'000'000'000), now_);
  EXPECT_EQ(
      notices_.BackoffLeft(Record(5), now_ + endpoint_notices::kMaximumBackoff +
                                          milliseconds(100)),
      milliseconds(0));
  notices_.OnBackoff(Record(6), std::nullopt, now_);
  EXPECT_GT(notices_.BackoffLeft(Record(6), now_ + milliseconds(900)).count(),
            0);
  notices_.OnBackoff(Record(7), milliseconds(-5), now_);
  EXPECT_EQ(notices_.BackoffLeft(Record(7), now_ + milliseconds(100)).count(),
            0);
}

}  // namespace
}  // namespace comfreyspring::gateway

#include "catalog/read_schedule.h"

#include <gtest/gtest.h>

namespace comfreyspring::catalog {
namespace {

using core::milliseconds;

class read_schedule_test : public ::testing::Test {
 protected:
  read_schedule_test() { schedule_.OnRead(now_); }

  milliseconds UntilNextRead() const {
    return core::ToMilliseconds(schedule_.NextRead() - now_);
  }

  core::time_point now_{std::chrono::seconds(100)};
  read_schedule schedule_{{.readers = 4,
                           .pause = milliseconds(400),
                           .confirmation_limit = milliseconds(800)}};
};

TEST_F(read_schedule_test, ReadsWhileItsRankIsNotKnown) {
  EXPECT_TRUE(schedule_.IsReader());
  EXPECT_EQ(UntilNextRead(), milliseconds(400));
}

TEST_F(read_schedule_test, TheFirstRanksRead) {
  schedule_.OnRank(3);
  EXPECT_EQ(UntilNextRead(), milliseconds(400));
  schedule_.OnRank(4);
  EXPECT_GE(UntilNextRead(), milliseconds(800));
  EXPECT_LE(UntilNextRead(), milliseconds(1200));
}

TEST_F(read_schedule_test, AConfirmationPostponesTheRead) {
  schedule_.OnRank(20);
  for (int i = 0; i < 50; ++i) {
    now_ += milliseconds(400);
    EXPECT_GT(UntilNextRead(), milliseconds(0));
    schedule_.OnConfirmed(now_);
  }
}

// A delayed confirmation counts from the time of its read.
TEST_F(read_schedule_test, ADelayedConfirmationCountsFromItsRead) {
  schedule_.OnRank(20);
  const auto read_at = now_ + milliseconds(100);
  now_ += milliseconds(1500);
  schedule_.OnConfirmed(read_at);
  EXPECT_LE(UntilNextRead(), milliseconds(0));
}

// If no confirmations arrive, the processes read at different times, so that
// the first of them makes the reads of the others unnecessary.
TEST_F(read_schedule_test, WithoutConfirmationsReadsAreSpread) {
  int early = 0;
  for (std::uint64_t seed = 1; seed <= 64; ++seed) {
    read_schedule other({.readers = 4,
                         .pause = milliseconds(400),
                         .confirmation_limit = milliseconds(800),
                         .random_seed = seed});
    other.OnRank(10);
    other.OnRead(now_);
    if (other.NextRead() <= now_ + milliseconds(840)) ++early;
  }
  EXPECT_GT(early, 0);
  EXPECT_LT(early, 16);
}

}  // namespace
}  // namespace comfreyspring::catalog

#include "limits/token_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace comfreyspring::limits {
namespace {

using core::milliseconds;

core::time_point At(int ms) { return core::time_point(milliseconds(ms)); }

TEST(token_bucket_test, StartsEmptyAndFillsAtItsRate) {
  token_bucket bucket;
  bucket.SetRate(request_rate(2.0), At(1000));
  EXPECT_FALSE(bucket.TryTake(At(1000)));
  EXPECT_EQ(bucket.TimeUntil(1.0, At(1000)), milliseconds(500));
  EXPECT_TRUE(bucket.TryTake(At(1500)));
  EXPECT_FALSE(bucket.TryTake(At(1500)));
}

TEST(token_bucket_test, ARateOfZeroGivesNothing) {
  token_bucket bucket;
  bucket.SetRate(request_rate(0.0), At(0));
  EXPECT_FALSE(bucket.TryTake(At(1'000'000)));
  EXPECT_EQ(bucket.TimeUntil(1.0, At(0)), token_bucket::kMaximumWait);
}

TEST(token_bucket_test, AVeryHighRateDoesNotBind) {
  token_bucket bucket;
  bucket.SetRate(request_rate(request_rate::kMaximumPerSecond), At(0));
  for (int i = 0; i < 1000; ++i) EXPECT_TRUE(bucket.TryTake(At(1)));
}

TEST(token_bucket_test, ALowerRateDropsTokensThatDoNotFit) {
  token_bucket bucket;
  bucket.SetRate(request_rate(100.0), At(0));
  bucket.SetRate(request_rate(1.0), At(10'000));
  int taken = 0;
  while (bucket.TryTake(At(10'000))) ++taken;
  EXPECT_EQ(taken, 2);
}

// However requests come and the rate changes, no more than the highest rate
// plus the burst is taken in any 4 s.
RC_GTEST_PROP(token_bucket_property, KeepsTheRateInAnySpan, ()) {
  const int length = *rc::gen::inRange(100, 2000);
  token_bucket bucket;
  bucket.SetRate(request_rate(1.0), At(0));
  double highest = 1.0;
  int now = 0;
  std::deque<int> taken;
  for (int i = 0; i < length; ++i) {
    now += *rc::gen::inRange(0, 60);
    if (*rc::gen::inRange(0, 100) == 0) {
      const int rate = *rc::gen::inRange(0, 21);
      highest = std::max(highest, rate * 0.25);
      bucket.SetRate(request_rate(rate * 0.25), At(now));
    }
    if (bucket.TryTake(At(now))) taken.push_back(now);
    while (!taken.empty() && taken.front() <= now - 4000) taken.pop_front();
    RC_ASSERT(static_cast<double>(taken.size()) <= 1.5 * 4.0 * highest + 5.0);
  }
}

}  // namespace
}  // namespace comfreyspring::limits

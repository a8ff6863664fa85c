#include "net/body_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace comfreyspring::net {
namespace {

using verdict = body_budget::verdict;

constexpr std::size_t kMb = 1024 * 1024;
constexpr body_budget_limits kLimits{.large_bytes = 10 * kMb,
                                     .small_bytes = 64 * 1024};

core::time_point At(int ms) { return core::time_point(core::milliseconds(ms)); }

// The load of the trial in small: bodies of 4 MB that stop one byte short.
TEST(body_budget_test, ClosesTheLargestIncompleteBodyAndThenTheOldest) {
  body_budget budget(kLimits);
  budget.Grow(1, 4 * kMb, At(2));
  budget.Grow(2, 4 * kMb, At(1));
  EXPECT_EQ(budget.Grow(3, 2 * kMb, At(3)).outcome, verdict::accepted);
  const auto decision = budget.Grow(3, 2 * kMb + 1, At(4));
  EXPECT_EQ(decision.outcome, verdict::accepted);
  EXPECT_EQ(decision.closed, std::vector<body_id>{2});
  EXPECT_EQ(budget.HeldBytes(), 6 * kMb + 1);
}

TEST(body_budget_test, ABodyThatHoldsMostClosesItself) {
  body_budget budget(kLimits);
  budget.Grow(1, 4 * kMb, At(1));
  const auto decision = budget.Grow(2, 7 * kMb, At(2));
  EXPECT_EQ(decision.outcome, verdict::closed);
  EXPECT_EQ(decision.closed, std::vector<body_id>{2});
  EXPECT_EQ(budget.HeldBytes(), 4 * kMb);
}

// Guards against a request in flight that loses its body.
TEST(body_budget_test, CompleteBodiesRemainAndNewOnesAreRefused) {
  body_budget budget(kLimits);
  for (const body_id body : {1, 2}) {
    budget.Grow(body, 4 * kMb, At(1));
    budget.Complete(body);
  }
  budget.Grow(3, 1 * kMb, At(1));
  const auto decision = budget.Grow(4, 3 * kMb, At(2));
  EXPECT_EQ(decision.outcome, verdict::refused);
  EXPECT_TRUE(decision.closed.empty());
  budget.Release(1);
  EXPECT_EQ(budget.Grow(4, 3 * kMb, At(3)).outcome, verdict::accepted);
}

TEST(body_budget_test, SmallBodiesHaveAReserve) {
  body_budget budget(kLimits);
  budget.Grow(1, 10 * kMb, At(1));
  budget.Complete(1);
  for (body_id body = 2; body < 6; ++body) {
    EXPECT_EQ(budget.Grow(body, 16 * 1024, At(2)).outcome, verdict::accepted);
  }
  const auto decision = budget.Grow(6, 4 * 1024, At(3));
  EXPECT_EQ(decision.outcome, verdict::accepted);
  EXPECT_EQ(decision.closed.size(), 1U);
  EXPECT_EQ(budget.Grow(7, 16 * 1024 + 1, At(4)).outcome, verdict::refused);
}

// Guards against limits that any order of events exceeds, and against a
// complete body that is closed.
RC_GTEST_PROP(body_budget_test, StaysWithinItsLimits, ()) {
  body_budget budget(kLimits);
  std::map<body_id, std::size_t> held;
  std::map<body_id, bool> complete;
  const int steps = *rc::gen::inRange(0, 200);
  for (int step = 0; step < steps; ++step) {
    const body_id body = *rc::gen::inRange<body_id>(1, 12);
    const int what = *rc::gen::inRange(0, 6);
    if (what == 0) {
      budget.Release(body);
      held.erase(body);
      complete.erase(body);
    } else if (what == 1 && held.count(body) > 0) {
      budget.Complete(body);
      complete[body] = true;
    } else if (!complete[body]) {
      const auto bytes =
          held[body] + *rc::gen::element<std::size_t>(1, 16000, 3 * kMb);
      const auto decision = budget.Grow(body, bytes, At(step));
      held[body] = bytes;
      if (decision.outcome == verdict::refused) held.erase(body);
      for (const body_id closed : decision.closed) {
        RC_ASSERT(!complete[closed]);
        RC_ASSERT(held.erase(closed) == 1U);
      }
    }
    std::size_t large = 0;
    std::size_t small = 0;
    for (const auto& [id, bytes] : held) {
      (bytes > body_budget::kSmallBodyBytes ? large : small) += bytes;
    }
    RC_ASSERT(large <= kLimits.large_bytes);
    RC_ASSERT(small <= kLimits.small_bytes);
    RC_ASSERT(budget.HeldBytes() == large + small);
  }
}

}  // namespace
}  // namespace comfreyspring::net

#include "gateway/repeat_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

constexpr repeat_limits kLimits{
    .share = 0.2, .extra = 50.0, .window = milliseconds(10'000)};

// Endpoints fail under high load. The retries of all gateways together must
// stay within the common limit in any window.
RC_GTEST_PROP(repeat_budget_property, GatewaysStayWithinTheCommonLimit, ()) {
  const auto gateways = *rc::gen::inRange<std::size_t>(1, 6);
  std::vector<repeat_budget> budgets(gateways, repeat_budget(kLimits));
  struct event {
    core::time_point at;
    bool repeat;
  };
  std::vector<event> events;
  core::time_point now{std::chrono::seconds(100)};
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (const int step : steps) {
    now += milliseconds(step % 200);
    repeat_budget& budget = budgets[static_cast<std::size_t>(step) % gateways];
    budget.OnRequest(now);
    events.push_back({now, false});
    for (int i = 0; i < step % 7; ++i) {
      if (budget.TryTake(gateways, now)) events.push_back({now, true});
    }
  }
  for (const event& last : events) {
    double requests = 0;
    double repeats = 0;
    for (const event& each : events) {
      if (each.at > last.at || last.at - each.at >= kLimits.window) continue;
      (each.repeat ? repeats : requests) += 1;
    }
    RC_ASSERT(repeats <= kLimits.share * requests + kLimits.extra);
  }
}

TEST(repeat_budget_test, SharesTheExtraAmongGateways) {
  repeat_budget budget(kLimits);
  const core::time_point now{std::chrono::seconds(100)};
  int taken = 0;
  while (budget.TryTake(5, now)) ++taken;
  EXPECT_GT(taken, 5);
  EXPECT_LE(taken, 10);
}

TEST(repeat_budget_test, RecoversAfterTheWindow) {
  repeat_budget budget(kLimits);
  core::time_point now{std::chrono::seconds(100)};
  while (budget.TryTake(1, now)) {
  }
  now += milliseconds(9'000);
  EXPECT_FALSE(budget.TryTake(1, now));
  now += milliseconds(2'000);
  EXPECT_TRUE(budget.TryTake(1, now));
}

}  // namespace
}  // namespace comfreyspring::gateway

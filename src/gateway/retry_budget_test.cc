#include "gateway/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

constexpr retry_limits kLimits{
    .share = 0.2, .extra = 50.0, .window = milliseconds(10'000)};

// Endpoints fail under high load. The retries of all gateways together must
// stay within the common limit in any window.
RC_GTEST_PROP(retry_budget_property, GatewaysStayWithinTheCommonLimit, ()) {
  const auto gateways = *rc::gen::inRange<std::size_t>(1, 6);
  std::vector<retry_budget> budgets(gateways, retry_budget(kLimits));
  struct event {
    core::time_point at;
    bool retry;
  };
  std::vector<event> events;
  core::time_point now{std::chrono::seconds(100)};
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (const int step : steps) {
    now += milliseconds(step % 200);
    retry_budget& budget = budgets[static_cast<std::size_t>(step) % gateways];
    budget.OnRequest(now);
    events.push_back({now, false});
    for (int i = 0; i < step % 7; ++i) {
      if (budget.TryTake(gateways, now)) events.push_back({now, true});
    }
  }
  for (const event& last : events) {
    double requests = 0;
    double retries = 0;
    for (const event& each : events) {
      if (each.at > last.at || last.at - each.at >= kLimits.window) continue;
      (each.retry ? retries : requests) += 1;
    }
    RC_ASSERT(retries <= kLimits.share * requests + kLimits.extra);
  }
}

TEST(retry_budget_test, SharesTheExtraAmongGateways) {
  retry_budget budget(kLimits);
  const core::time_point now{std::chrono::seconds(100)};
  int taken = 0;
  while (budget.TryTake(5, now)) ++taken;
  EXPECT_GT(taken, 5);
  EXPECT_LE(taken, 10);
}

TEST(retry_budget_test, RecoversAfterTheWindow) {
  retry_budget budget(kLimits);
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

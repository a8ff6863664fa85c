#include "adapters/load_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace comfreyspring::adapters {
namespace {

core::time_point At(std::int64_t ms) {
  return core::time_point(core::milliseconds(1'000'000 + ms));
}
core::adapter_reference Adapter(const std::string& name) {
  return {core::adapter_id(name), core::version_id("1")};
}
load_demand Urgent(std::int64_t since_ms) {
  return {.urgent = 1, .oldest_urgent = At(since_ms)};
}
load_demand MayWait(std::int64_t since_ms) {
  return {.may_wait = 1, .oldest_may_wait = At(since_ms)};
}

/** Runs `count` loads one after another, each of `took_ms`. */
void LoadMany(load_scheduler& loads, int count, std::int64_t took_ms,
              std::int64_t& now) {
  for (int i = 0; i < count; ++i) {
    now += 10'000;
    loads.OnStarted(Adapter("warm"), At(now));
    now += took_ms;
    loads.OnDone(Adapter("warm"), core::milliseconds(took_ms), At(now));
  }
}

// Guards against urgent requests that wait for loads for `may_wait` requests.
TEST(LoadScheduler, UrgentFirstThenLongestWait) {
  load_scheduler loads({});
  loads.SetDemand(Adapter("old"), MayWait(0));
  loads.SetDemand(Adapter("new"), Urgent(200));
  loads.SetDemand(Adapter("newer"), Urgent(300));
  EXPECT_EQ(loads.Next(At(400)), Adapter("new"));
  // A `may_wait` request ranks as urgent after 10 s.
  EXPECT_EQ(loads.Next(At(10'100)), Adapter("new"));
  loads.SetDemand(Adapter("new"), Urgent(10'050));
  loads.SetDemand(Adapter("newer"), Urgent(10'060));
  EXPECT_EQ(loads.Next(At(10'100)), Adapter("old"));
}

// Guards against concurrent loads of the same adapter.
TEST(LoadScheduler, LoadsAnAdapterOnce) {
  load_scheduler loads({});
  std::int64_t now = 0;
  LoadMany(loads, 20, 250, now);
  ASSERT_GE(loads.Window(), 2.0);
  loads.SetDemand(Adapter("a"), Urgent(now));
  ASSERT_EQ(loads.Next(At(now)), Adapter("a"));
  loads.OnStarted(Adapter("a"), At(now));
  EXPECT_EQ(loads.Next(At(now)), std::nullopt);
}

// Guards against an agent that keeps adding load to a congested weight store.
TEST(LoadScheduler, WindowFollowsLoadTimes) {
  load_scheduler loads({});
  std::int64_t now = 0;
  LoadMany(loads, 30, 250, now);
  const double uncongested = loads.Window();
  EXPECT_GT(uncongested, 3.0);
  LoadMany(loads, 1, 1'000, now);
  EXPECT_DOUBLE_EQ(loads.Window(), uncongested / 2);
  LoadMany(loads, 10, 1'000, now);
  EXPECT_LT(loads.Window(), 0.2);
  // With a window below 1, loads are spaced apart even if none is in flight.
  loads.OnStarted(Adapter("a"), At(now));
  loads.OnDone(Adapter("a"), core::milliseconds(500), At(now + 500));
  loads.SetDemand(Adapter("b"), Urgent(now));
  EXPECT_EQ(loads.Next(At(now + 600)), std::nullopt);
  EXPECT_EQ(loads.Next(At(now + 5'000)), Adapter("b"));
}

// Guards against engines that retry simultaneously, without backoff or
// indefinitely.
RC_GTEST_PROP(LoadScheduler, BackoffGrowsAndTriesAreBounded, ()) {
  load_scheduler loads({.random_seed = *rc::gen::arbitrary<std::uint64_t>()});
  std::int64_t now = 0;
  std::int64_t shortest = 125;
  for (int failed = 1; failed <= 3; ++failed) {
    loads.SetDemand(Adapter("a"), Urgent(0));
    RC_ASSERT(loads.Next(At(now)) == Adapter("a"));
    loads.OnStarted(Adapter("a"), At(now));
    const bool refuse_waiting = loads.OnFailed(Adapter("a"), At(now));
    RC_ASSERT(refuse_waiting == (failed == 3));
    RC_ASSERT(loads.Next(At(now + shortest - 1)) == std::nullopt);
    RC_ASSERT(loads.Next(At(now + 2 * shortest)) == Adapter("a"));
    now += 2 * shortest;
    shortest *= 2;
  }
  // A successful load resets the failure count.
  loads.OnStarted(Adapter("a"), At(now));
  loads.OnDone(Adapter("a"), core::milliseconds(250), At(now));
  RC_ASSERT(loads.RefusalDuration(Adapter("a"), At(now)).count() == 0);
}

}  // namespace
}  // namespace comfreyspring::adapters

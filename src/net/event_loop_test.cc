#include "net/event_loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace comfreyspring::net {
namespace {

using core::milliseconds;

constexpr milliseconds kLimit{5000};

// Timers must run by due time, not in the order in which they were scheduled.
TEST(EventLoop, RunsTimersInOrderOfTheirDueTime) {
  event_loop loop;
  std::vector<int> order;
  loop.Schedule(milliseconds(20), [&] { order.push_back(2); });
  loop.Schedule(milliseconds(5), [&] { order.push_back(1); });
  loop.Schedule(milliseconds(0), [&] { order.push_back(0); });
  EXPECT_TRUE(loop.RunUntil([&] { return order.size() == 3; }, kLimit));
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
}

// Guards against a timer that fires before its delay has passed.
TEST(EventLoop, RunsNoTimerEarly) {
  event_loop loop;
  const auto start = loop.Now();
  core::time_point fired{};
  loop.Schedule(milliseconds(15), [&] { fired = loop.Now(); });
  ASSERT_TRUE(
      loop.RunUntil([&] { return fired != core::time_point{}; }, kLimit));
  EXPECT_GE(fired - start, milliseconds(15));
}

// One request's error must not end the process of all others.
TEST(EventLoop, GoesOnAfterAnErrorInACallback) {
  event_loop loop;
  std::vector<std::string> errors;
  loop.OnError([&](const std::exception& failure) {
    errors.emplace_back(failure.what());
  });
  int later = 0;
  loop.Schedule(milliseconds(1), [] { throw std::runtime_error("timer"); });
  loop.Post([] { throw std::runtime_error("posted"); });
  loop.Schedule(milliseconds(10), [&] { ++later; });
  EXPECT_TRUE(loop.RunUntil([&] { return later == 1; }, kLimit));
  EXPECT_EQ(errors, (std::vector<std::string>{"posted", "timer"}));
}

// A loop that only fails must end the process so that it is restarted.
TEST(EventLoop, RethrowsAboveTheErrorLimit) {
  event_loop loop;
  loop.OnError([](const std::exception&) {});
  loop.SchedulePeriodic(milliseconds(1),
                        [] { throw std::runtime_error("always"); });
  EXPECT_THROW(loop.RunUntil([] { return false; }, kLimit), std::runtime_error);
}

// Guards against deadlines that still fire after their request has ended.
TEST(EventLoop, RunsNoCancelledTimer) {
  event_loop loop;
  bool cancelled_ran = false;
  bool end = false;
  const timer_id timer =
      loop.Schedule(milliseconds(5), [&] { cancelled_ran = true; });
  loop.Schedule(milliseconds(1), [&] { loop.Cancel(timer); });
  loop.Schedule(milliseconds(15), [&] { end = true; });
  ASSERT_TRUE(loop.RunUntil([&] { return end; }, kLimit));
  EXPECT_FALSE(cancelled_ran);
  loop.Cancel(timer);
  loop.Cancel(0);
}

// Guards against a periodic timer that cannot end itself.
TEST(EventLoop, PeriodicTimerRunsUntilItCancelsItself) {
  event_loop loop;
  int runs = 0;
  timer_id timer = 0;
  timer = loop.SchedulePeriodic(milliseconds(1), [&] {
    if (++runs == 3) loop.Cancel(timer);
  });
  bool end = false;
  ASSERT_TRUE(loop.RunUntil([&] { return runs == 3; }, kLimit));
  loop.Schedule(milliseconds(10), [&] { end = true; });
  ASSERT_TRUE(loop.RunUntil([&] { return end; }, kLimit));
  EXPECT_EQ(runs, 3);
}

// Guards against a burst of runs after a pause.
TEST(EventLoop, PeriodicTimerSkipsPeriodsMissedInABlockedTurn) {
  event_loop loop;
  int runs = 0;
  loop.SchedulePeriodic(milliseconds(10), [&] { ++runs; });
  bool end = false;
  loop.Schedule(milliseconds(0), [&] {
    std::this_thread::sleep_for(milliseconds(200));
    loop.Post([&] { loop.Post([&] { end = true; }); });
  });
  ASSERT_TRUE(loop.RunUntil([&] { return end; }, kLimit));
  EXPECT_LE(runs, 2);
}

// Guards against a posted call that waits for the next timer or event, or that
// runs inside the caller.
TEST(EventLoop, RunsPostedCallsInTheNextTurn) {
  event_loop loop;
  std::vector<int> order;
  loop.Post([&] {
    loop.Post([&] { order.push_back(2); });
    order.push_back(1);
  });
  EXPECT_TRUE(order.empty());
  EXPECT_TRUE(loop.RunUntil([&] { return order.size() == 2; }, kLimit));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(EventLoop, StopEndsRun) {
  event_loop loop;
  loop.Schedule(milliseconds(1), [&] { loop.Stop(); });
  loop.Run();
  loop.Post([&] { loop.Stop(); });
  loop.Run();
}

TEST(EventLoop, RunUntilGivesUpAtItsLimit) {
  event_loop loop;
  EXPECT_FALSE(loop.RunUntil([] { return false; }, milliseconds(20)));
}

// Guards the detection of a stopped process: the report must come before any
// timer acts on what was decided before the pause.
TEST(EventLoop, ReportsAPauseBeforeTimersRun) {
  event_loop loop;
  std::vector<int> order;
  milliseconds reported{0};
  loop.OnPause(milliseconds(100), [&](milliseconds delay) {
    reported = delay;
    order.push_back(1);
  });
  loop.Schedule(milliseconds(0), [&] {
    loop.Schedule(milliseconds(1), [&] { order.push_back(2); });
    std::this_thread::sleep_for(milliseconds(300));
  });
  ASSERT_TRUE(loop.RunUntil([&] { return order.size() == 2; }, kLimit));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  EXPECT_GT(reported, milliseconds(100));
  EXPECT_LT(reported, milliseconds(5000));
}

// Guards against events of a pause being handled as current ones because the
// pause began while the loop handled another event.
TEST(EventLoop, ReportsAPauseDuringAnEventBeforeTheNextEvent) {
  event_loop loop;
  std::vector<std::string> order;
  loop.OnPause(milliseconds(100),
               [&](milliseconds) { order.emplace_back("pause"); });
  for (const int number : {SIGUSR1, SIGUSR2}) {
    loop.OnSignal(number, [&] {
      order.emplace_back("event");
      if (order.size() == 1) std::this_thread::sleep_for(milliseconds(300));
    });
  }
  ASSERT_EQ(std::raise(SIGUSR1), 0);
  ASSERT_EQ(std::raise(SIGUSR2), 0);
  ASSERT_TRUE(loop.RunUntil([&] { return order.size() == 3; }, kLimit));
  EXPECT_EQ(order, (std::vector<std::string>{"event", "pause", "event"}));
}

// Guards against false reports from a loop that was merely idle.
TEST(EventLoop, ReportsNoPauseWhenIdle) {
  event_loop loop;
  int reports = 0;
  loop.OnPause(milliseconds(2000), [&](milliseconds) { ++reports; });
  EXPECT_FALSE(loop.RunUntil([] { return false; }, milliseconds(100)));
  std::this_thread::sleep_for(milliseconds(10));
  EXPECT_FALSE(loop.RunUntil([] { return false; }, milliseconds(100)));
  EXPECT_EQ(reports, 0);
}

// Guards the drain on SIGTERM.
TEST(EventLoop, DeliversSignalsOnTheLoop) {
  event_loop loop;
  int received = 0;
  loop.OnSignal(SIGUSR1, [&] { ++received; });
  ASSERT_EQ(std::raise(SIGUSR1), 0);
  EXPECT_EQ(received, 0);
  EXPECT_TRUE(loop.RunUntil([&] { return received == 1; }, kLimit));
}

// Guards against a crash when pending callbacks own objects that use the loop.
TEST(EventLoop, DestroysPendingCallbacksSafely) {
  struct owner {
    explicit owner(event_loop& owning_loop) : loop(owning_loop) {}
    ~owner() {
      loop.Cancel(1);
      loop.AtEndOfTurn([] {});
    }
    event_loop& loop;
  };
  event_loop loop;
  loop.Schedule(milliseconds(1000), [kept = std::make_shared<owner>(loop)] {});
  loop.Post([kept = std::make_shared<owner>(loop)] {});
}

}  // namespace
}  // namespace comfreyspring::net

#include "admission/engine_scheduler.h"

#include <gtest/gtest.h>

#include "admission/scheduler_test_support.h"

namespace comfreyspring::admission {
namespace {

using test::Adapter;
using test::At;
using test::Attempt;
using test::MayWait;
using test::Only;
using test::Work;

class engine_scheduler_test : public testing::Test {
 protected:
  /** Sets the limits; the named adapters are loaded already. */
  void Start(std::size_t slots, std::size_t batch,
             const std::vector<std::string>& resident) {
    std::vector<core::adapter_reference> adapters;
    for (const std::string& name : resident) adapters.push_back(Adapter(name));
    scheduler_.OnEngineState({slots, batch}, adapters, At(0));
  }
  /** Runs one attempt, so that service times are known. */
  void Learn(const std::string& adapter, std::int64_t tokens,
             std::int64_t took_ms) {
    scheduler_.OnSubmit(Work("learn", adapter, tokens), At(0));
    scheduler_.OnEnded(Attempt("learn"), {tokens}, At(took_ms));
  }

  engine_scheduler scheduler_{scheduler_options{.started_at = At(0)}};
};

// Guards against dispatching before the adapter is loaded.
TEST_F(engine_scheduler_test, LoadsThenDispatches) {
  Start(2, 4, {});
  const auto first = scheduler_.OnSubmit(Work("r1", "a"), At(0));
  ASSERT_EQ(Only<start_load>(first).size(), 1U);
  EXPECT_TRUE(Only<dispatch>(first).empty());
  // Coalesced: the second request for the adapter starts no load.
  const auto second = scheduler_.OnSubmit(Work("r2", "a"), At(10));
  EXPECT_TRUE(second.empty());
  const auto loaded =
      scheduler_.OnLoadDone(Adapter("a"), core::milliseconds(250), At(250));
  EXPECT_EQ(Only<dispatch>(loaded).size(), 2U);
  EXPECT_EQ(scheduler_.Counters().load_stalls, 2U);
}

// Guards against treating a plain service as an engine without free slots.
TEST_F(engine_scheduler_test, PlainServiceDispatchesAtOnce) {
  Start(0, 1, {});
  EXPECT_EQ(Only<dispatch>(scheduler_.OnSubmit(Work("r1", ""), At(0))).size(),
            1U);
  EXPECT_TRUE(scheduler_.OnSubmit(Work("r2", ""), At(1)).empty());
  const auto ended = scheduler_.OnEnded(Attempt("r1"), {1}, At(5));
  ASSERT_EQ(Only<dispatch>(ended).size(), 1U);
  EXPECT_EQ(Only<dispatch>(ended)[0].attempt, Attempt("r2"));
}

// Guards against retrying a failing load without backoff or without end.
TEST_F(engine_scheduler_test, FailedLoadBacksOffThenRefuses) {
  Start(2, 4, {});
  scheduler_.OnSubmit(Work("r1", "bad"), At(0));
  std::vector<std::int64_t> started = {0};
  std::vector<refuse> refused;
  std::int64_t now = 0;
  while (refused.empty() && now < 60'000) {
    // The load that was started last fails after 100 ms.
    now = started.back() + 100;
    auto actions = scheduler_.OnLoadFailed(Adapter("bad"), At(now));
    EXPECT_TRUE(Only<start_load>(actions).empty());
    refused = Only<refuse>(actions);
    while (refused.empty() && Only<start_load>(actions).empty()) {
      now += 10;
      actions = scheduler_.OnTick(At(now));
    }
    started.push_back(now);
  }
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].attempt, Attempt("r1"));
  EXPECT_FALSE(refused[0].ran_before);
  EXPECT_GT(refused[0].retry_after.count(), 0);
  EXPECT_EQ(scheduler_.Counters().loads_failed, 3U);
  // The second backoff is at least half of 500 ms.
  EXPECT_GE(started[2] - started[1], 100 + 250);
  // New requests for the adapter are refused at once during the backoff.
  const auto next = scheduler_.OnSubmit(Work("r2", "bad"), At(now + 10));
  ASSERT_EQ(Only<refuse>(next).size(), 1U);
  EXPECT_EQ(Only<refuse>(next)[0].reason, "adapter_unavailable");
}

// Guards against a bulk reload that congests the weight store after a restart.
TEST_F(engine_scheduler_test, ColdRestartLoadsByDemandOnly) {
  Start(4, 4, {"a", "b", "c"});
  scheduler_.OnSubmit(Work("r1", "a"), At(0));
  EXPECT_TRUE(scheduler_.OnEngineRestart(At(10)).empty());
  EXPECT_EQ(scheduler_.Running(), 0U);
  EXPECT_TRUE(scheduler_.Slots().empty());
  EXPECT_TRUE(scheduler_.OnTick(At(20)).empty());
  scheduler_.OnSubmit(Work("r2", "b"), At(30));
  scheduler_.OnSubmit(Work("r3", "c"), At(31));
  // Only one load runs at a time until load times show that the weight store
  // has spare capacity.
  EXPECT_EQ(scheduler_.Counters().loads_started, 1U);
}

// Guards against an attempt that is lost, or sent again, after the engine
// has dropped its adapter.
TEST_F(engine_scheduler_test, MissingAdapterIsLoadedAgain) {
  Start(2, 4, {"a"});
  scheduler_.OnSubmit(Work("r1", "a"), At(0));
  const auto missing = scheduler_.OnAdapterMissing(Attempt("r1"), At(5));
  ASSERT_EQ(Only<start_load>(missing).size(), 1U);
  const auto loaded =
      scheduler_.OnLoadDone(Adapter("a"), core::milliseconds(250), At(255));
  EXPECT_EQ(Only<dispatch>(loaded).size(), 1U);

  work_item once = Work("once", "a");
  once.idempotent = false;
  EXPECT_EQ(Only<dispatch>(scheduler_.OnSubmit(once, At(300))).size(), 1U);
  const auto refused = scheduler_.OnAdapterMissing(Attempt("once"), At(305));
  ASSERT_EQ(Only<refuse>(refused).size(), 1U);
  EXPECT_FALSE(Only<refuse>(refused)[0].ran_before);
}

// Guards against keeping work that cannot start before the drain limit.
TEST_F(engine_scheduler_test, DrainRefusesWhatCannotStart) {
  Start(1, 1, {"a"});
  Learn("a", 100, 1'000);
  scheduler_.OnSubmit(Work("running", "a", 100), At(1'000));
  scheduler_.OnSubmit(Work("next", "a", 100), At(1'000));
  scheduler_.OnSubmit(Work("late", "a", 100), At(1'001));
  const auto drained = scheduler_.OnDrain(At(2'500), At(1'002));
  ASSERT_EQ(Only<refuse>(drained).size(), 1U);
  EXPECT_EQ(Only<refuse>(drained)[0].attempt, Attempt("late"));
  EXPECT_EQ(
      Only<refuse>(scheduler_.OnSubmit(Work("new", "a"), At(1'003))).size(),
      1U);
  EXPECT_EQ(
      Only<dispatch>(scheduler_.OnEnded(Attempt("running"), {100}, At(2'000)))
          .size(),
      1U);
}

// Guards against keeping queued work past the drain limit.
TEST_F(engine_scheduler_test, DrainLimitReturnsEverythingQueued) {
  Start(1, 1, {"a"});
  scheduler_.OnSubmit(Work("running", "a"), At(0));
  scheduler_.OnSubmit(Work("queued", "a"), At(0));
  scheduler_.OnDrain(At(500), At(10));
  const auto limit = scheduler_.OnTick(At(500));
  ASSERT_EQ(Only<refuse>(limit).size(), 1U);
  EXPECT_EQ(Only<refuse>(limit)[0].attempt, Attempt("queued"));
  EXPECT_EQ(scheduler_.Running(), 1U);
}

// Guards against urgent work that misses its deadline because of `may_wait`
// work.
TEST_F(engine_scheduler_test, PreemptsDeferrableWorkForADeadline) {
  Start(1, 2, {"a"});
  Learn("a", 100, 1'000);
  // Late enough that no batch slots are reserved for the urgent work above.
  work_item once = MayWait(Work("once", "a", 10'000));
  once.idempotent = false;
  scheduler_.OnSubmit(once, At(11'000));
  scheduler_.OnSubmit(MayWait(Work("batch", "a", 9'000)), At(11'000));
  work_item urgent = Work("urgent", "a", 50);
  urgent.deadline = At(13'000);
  const auto submitted = scheduler_.OnSubmit(urgent, At(11'100));
  ASSERT_EQ(Only<preempt>(submitted).size(), 1U);
  EXPECT_EQ(Only<preempt>(submitted)[0].attempt, Attempt("batch"));
  const auto confirmed =
      scheduler_.OnCancelConfirmed(Attempt("batch"), {10}, At(11'150));
  ASSERT_EQ(Only<dispatch>(confirmed).size(), 1U);
  EXPECT_EQ(Only<dispatch>(confirmed)[0].attempt, Attempt("urgent"));
  scheduler_.OnEnded(Attempt("urgent"), {50}, At(11'700));
  // Batch slots stay reserved for some seconds after the last urgent work.
  const auto resumed = scheduler_.OnTick(At(20'000));
  ASSERT_EQ(Only<dispatch>(resumed).size(), 1U);
  EXPECT_EQ(Only<dispatch>(resumed)[0].attempt, Attempt("batch"));
  EXPECT_EQ(Only<dispatch>(resumed)[0].resume_from.value, 10);
}

// Guards against preemption for work that meets its deadline without it.
TEST_F(engine_scheduler_test, DoesNotPreemptWhenTheDeadlineIsFar) {
  Start(1, 1, {"a"});
  Learn("a", 100, 1'000);
  scheduler_.OnSubmit(MayWait(Work("batch", "a", 100)), At(1'000));
  EXPECT_TRUE(scheduler_.OnSubmit(Work("urgent", "a", 50), At(1'100)).empty());
}

// Guards against accepting work that can only time out in the queue.
TEST_F(engine_scheduler_test, RefusesAtOnceWhenTheWaitIsTooLong) {
  Start(1, 1, {"a"});
  Learn("a", 100, 1'000);
  for (int i = 0; i < 10; ++i) {
    scheduler_.OnSubmit(Work("r" + std::to_string(i), "a", 100), At(1'000));
  }
  work_item urgent = Work("hasty", "a", 100);
  urgent.deadline = At(3'000);
  const auto refused = Only<refuse>(scheduler_.OnSubmit(urgent, At(1'000)));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, "expected_wait_exceeds_deadline");
  // About 10 s of work are queued ahead; it must start within 1 s.
  EXPECT_GE(refused[0].retry_after.count(), 7'000);
  EXPECT_LE(refused[0].retry_after.count(), 13'000);
}

// Guards against long work that fills the batch while short work exists.
TEST_F(engine_scheduler_test, LongWorkHoldsHalfTheBatchWhileShortExists) {
  Start(1, 4, {"a"});
  for (int i = 0; i < 10; ++i) {
    const std::string name = "short" + std::to_string(i);
    scheduler_.OnSubmit(Work(name, "a", 20), At(i));
    scheduler_.OnEnded(Attempt(name), {20}, At(i + 1));
  }
  for (int i = 0; i < 4; ++i) {
    scheduler_.OnSubmit(Work("long" + std::to_string(i), "a", 2'000), At(100));
  }
  EXPECT_EQ(scheduler_.Running(), 2U);
  EXPECT_EQ(
      Only<dispatch>(scheduler_.OnSubmit(Work("new", "a", 20), At(200))).size(),
      1U);
  // Without short demand, long work may fill the batch.
  scheduler_.OnEnded(Attempt("new"), {20}, At(300));
  scheduler_.OnTick(At(10'000));
  EXPECT_EQ(scheduler_.Running(), 4U);
}

// Guards against `may_wait` work that fills the batch before urgent work
// arrives.
TEST_F(engine_scheduler_test, DeferrableWorkLeavesTheLastQuarter) {
  Start(1, 8, {"a"});
  scheduler_.OnSubmit(Work("urgent", "a"), At(0));
  for (int i = 0; i < 12; ++i) {
    scheduler_.OnSubmit(MayWait(Work("batch" + std::to_string(i), "a")), At(1));
  }
  EXPECT_EQ(scheduler_.Running(), 7U);
  scheduler_.OnEnded(Attempt("urgent"), {50}, At(500));
  scheduler_.OnTick(At(10'000));
  EXPECT_EQ(scheduler_.Running(), 8U);
}

// Guards against an adapter that never gets a slot because the loaded adapters
// are always pinned.
TEST_F(engine_scheduler_test, DrainsASlotForAStarvingAdapter) {
  Start(1, 2, {"hot"});
  scheduler_.OnSubmit(Work("h0", "hot"), At(0));
  scheduler_.OnSubmit(Work("h1", "hot"), At(0));
  scheduler_.OnSubmit(Work("cold", "cold"), At(1));
  scheduler_.OnSubmit(Work("h2", "hot"), At(2));
  scheduler_.OnTick(At(1'000));
  // The slot is draining, so the hot adapter gets no new dispatch.
  EXPECT_TRUE(scheduler_.OnEnded(Attempt("h0"), {50}, At(1'100)).empty());
  const auto freed = scheduler_.OnEnded(Attempt("h1"), {50}, At(1'200));
  ASSERT_EQ(Only<start_load>(freed).size(), 1U);
  EXPECT_EQ(Only<start_load>(freed)[0].adapter, Adapter("cold"));
  EXPECT_EQ(Only<start_load>(freed)[0].evict, Adapter("hot"));
}

// Guards against a lost withdrawal of an attempt that is being preempted.
TEST_F(engine_scheduler_test, WithdrawDuringPreemptionEndsTheAttempt) {
  Start(1, 1, {"a"});
  Learn("a", 100, 1'000);
  scheduler_.OnSubmit(MayWait(Work("batch", "a", 9'000)), At(1'000));
  work_item urgent = Work("urgent", "a", 50);
  urgent.deadline = At(3'000);
  scheduler_.OnSubmit(urgent, At(1'100));
  EXPECT_TRUE(scheduler_.OnWithdraw(Attempt("batch"), At(1'110)).empty());
  scheduler_.OnCancelConfirmed(Attempt("batch"), {10}, At(1'150));
  EXPECT_EQ(scheduler_.Waiting(), 0U);
  EXPECT_EQ(scheduler_.Running(), 1U);
}

// Guards against work for an endpoint that is down or not yet verified.
TEST_F(engine_scheduler_test, DisabledSchedulerStartsNothing) {
  Start(1, 1, {"a"});
  scheduler_.SetEnabled(false, At(0));
  EXPECT_TRUE(scheduler_.OnSubmit(Work("r1", "a"), At(1)).empty());
  EXPECT_TRUE(scheduler_.OnSubmit(Work("r2", "b"), At(1)).empty());
  EXPECT_EQ(Only<dispatch>(scheduler_.SetEnabled(true, At(2))).size(), 1U);
}

// Guards against short urgent work that waits behind running long work, and
// against a preempted attempt that gets no time to make progress.
TEST_F(engine_scheduler_test, LongWorkYieldsToShortWorkAfterItsMinimumRunTime) {
  Start(1, 2, {"a"});
  for (int i = 0; i < 10; ++i) Learn("a", 20, 200);
  // Long after the last short work, long work may use the whole batch.
  scheduler_.OnSubmit(MayWait(Work("l0", "a", 5'000)), At(900'000));
  scheduler_.OnSubmit(MayWait(Work("l1", "a", 6'000)), At(900'000));
  EXPECT_EQ(scheduler_.Running(), 2U);
  const auto early = scheduler_.OnSubmit(Work("s0", "a", 20), At(900'100));
  EXPECT_TRUE(Only<preempt>(early).empty());
  const auto preempted = Only<preempt>(scheduler_.OnTick(At(900'500)));
  ASSERT_EQ(preempted.size(), 1U);
  EXPECT_EQ(preempted[0].attempt, Attempt("l1"));
  const auto freed =
      scheduler_.OnCancelConfirmed(Attempt("l1"), {50}, At(900'505));
  ASSERT_EQ(Only<dispatch>(freed).size(), 1U);
  EXPECT_EQ(Only<dispatch>(freed)[0].attempt, Attempt("s0"));
  // The minimum share of `may_wait` work keeps running.
  const auto more = scheduler_.OnSubmit(Work("s1", "a", 20), At(901'000));
  EXPECT_TRUE(Only<preempt>(more).empty());
}

// Guards against long work that pins every slot while short work for other
// adapters arrives.
TEST_F(engine_scheduler_test, LongWorkPinsHalfTheSlotsWhileShortExists) {
  Start(4, 16, {"a", "b", "c", "d"});
  for (int i = 0; i < 10; ++i) Learn("a", 20, 200);
  for (const std::string name : {"a", "b", "c", "d"}) {
    scheduler_.OnSubmit(MayWait(Work("long-" + name, name, 5'000)), At(300));
  }
  EXPECT_EQ(scheduler_.Running(), 2U);
  // Another item for an adapter that long work already pins needs no new slot.
  scheduler_.OnSubmit(MayWait(Work("again", "a", 5'000)), At(300));
  EXPECT_EQ(scheduler_.Running(), 3U);
  scheduler_.OnTick(At(600'000));
  EXPECT_EQ(scheduler_.Running(), 5U);
}

// Guards against an unbounded queue, and against `may_wait` work that keeps
// urgent work out of a full queue.
TEST(EngineSchedulerQueue, FullQueueAdmitsUrgentWorkFirst) {
  engine_scheduler scheduler({.started_at = At(0), .maximum_queue = 2});
  scheduler.OnEngineState({1, 1}, {Adapter("a")}, At(0));
  scheduler.OnSubmit(Work("running", "a"), At(0));
  scheduler.OnSubmit(MayWait(Work("m0", "a")), At(1));
  scheduler.OnSubmit(MayWait(Work("m1", "a")), At(2));
  const auto displaced = scheduler.OnSubmit(Work("u0", "a"), At(3));
  ASSERT_EQ(Only<refuse>(displaced).size(), 1U);
  EXPECT_EQ(Only<refuse>(displaced)[0].attempt, Attempt("m1"));
  EXPECT_EQ(Only<refuse>(displaced)[0].reason, "queue_full");
  const auto full = scheduler.OnSubmit(MayWait(Work("m2", "a")), At(4));
  ASSERT_EQ(Only<refuse>(full).size(), 1U);
  EXPECT_EQ(Only<refuse>(full)[0].attempt, Attempt("m2"));
  EXPECT_EQ(scheduler.Waiting(), 2U);
}

}  // namespace
}  // namespace comfreyspring::admission

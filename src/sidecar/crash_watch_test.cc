#include "sidecar/crash_watch.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyspring::sidecar {
namespace {

using core::milliseconds;
using core::time_point;
using quarantine::suspected_part;

constexpr time_point kStart{std::chrono::seconds(1000)};
constexpr std::int64_t kFirstRun = 5000;

std::vector<suspected_part> Parts(const std::string& name, int level = 0) {
  return {{core::prompt_part_id(name), level}};
}

class crash_watch_test : public ::testing::Test {
 protected:
  void SetUp() override { Answer(); }

  crash_watch::findings Answer(std::int64_t started = kFirstRun,
                               bool leaving = false) {
    return watch_.OnEngineAnswered(started, leaving, now_, now_);
  }
  crash_watch::findings Settle() {
    now_ += crash_watch::kSettleTime;
    return watch_.OnTick({}, now_);
  }

  crash_watch watch_{core::process_id("side-1")};
  time_point now_ = kStart;
};

TEST_F(crash_watch_test, AnEngineThatAnswersHasNotEnded) {
  watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  EXPECT_TRUE(watch_.IsPending());
  now_ += milliseconds(5);
  const auto found = Answer();
  ASSERT_EQ(found.verdicts.size(), 1U);
  EXPECT_FALSE(found.verdicts[0].engine_ended);
  EXPECT_FALSE(found.crash);
  EXPECT_FALSE(watch_.IsPending());
  EXPECT_FALSE(Settle().crash);
}

// A report that was requested before the run was lost says nothing about it.
TEST_F(crash_watch_test, AnOlderReportIsNoVerdict) {
  const auto requested_at = now_;
  now_ += milliseconds(10);
  watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  EXPECT_TRUE(watch_.OnEngineAnswered(kFirstRun, false, requested_at, now_)
                  .verdicts.empty());
  EXPECT_TRUE(watch_.IsPending());
}

TEST_F(crash_watch_test, RecordsThePromptsOfAllGatewaysThatLostRuns) {
  watch_.OnRunLost({1, 7}, Parts("p", 2), kStart - milliseconds(100), now_);
  watch_.OnEngineRefused(now_);
  now_ += milliseconds(10);
  watch_.OnRunLost({2, 9}, Parts("q"), kStart - milliseconds(100), now_);
  EXPECT_TRUE(watch_.OnTick({}, now_).verdicts.empty());
  grants::engine_request silent;
  silent.blamed_parts = Parts("r", 1);
  now_ += crash_watch::kSettleTime;
  const auto found =
      watch_.OnTick({{&silent, kStart - milliseconds(100)}}, now_);
  EXPECT_EQ(found.verdicts.size(), 2U);
  ASSERT_TRUE(found.crash);
  EXPECT_EQ(found.crash->crash.engine_started_unix_ms, kFirstRun);
  EXPECT_EQ(found.crash->age, crash_watch::kSettleTime + milliseconds(10));
  ASSERT_EQ(found.crash->parts.size(), 3U);
  EXPECT_EQ(found.crash->parts[0].level, 2);
  // Nothing more is known, so nothing is repeated.
  EXPECT_FALSE(Settle().crash);
}

// A crash that no prompt is blamed for tells that engines end for other
// reasons.
TEST_F(crash_watch_test, ALateReportAddsToTheRecord) {
  watch_.OnEngineRefused(now_);
  const auto first = Settle();
  ASSERT_TRUE(first.crash);
  EXPECT_TRUE(first.crash->parts.empty());
  now_ += milliseconds(500);
  watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  const auto found = watch_.OnTick({}, now_);
  ASSERT_TRUE(found.crash);
  EXPECT_TRUE(found.verdicts.at(0).engine_ended);
}

// Requests that are granted before the end is known reach a dead engine.
TEST_F(crash_watch_test, ARunGrantedAfterTheEndIsNotBlamed) {
  watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  watch_.OnEngineRefused(now_);
  now_ += milliseconds(10);
  watch_.OnRunLost({1, 8}, Parts("q"), now_, now_);
  const auto found = Settle();
  EXPECT_EQ(found.verdicts.size(), 2U);
  ASSERT_TRUE(found.crash);
  EXPECT_EQ(found.crash->parts, Parts("p"));
}

// The engine may be back before it is found to be down.
TEST_F(crash_watch_test, AnotherStartTimeShowsThatTheEngineHasEnded) {
  watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  now_ += milliseconds(5);
  EXPECT_TRUE(Answer(kFirstRun + 400).verdicts.empty());
  const auto found = Settle();
  ASSERT_TRUE(found.crash);
  EXPECT_EQ(found.crash->crash.engine_started_unix_ms, kFirstRun);
  EXPECT_TRUE(found.verdicts.at(0).engine_ended);
  // What is lost long after that is for the new run to explain.
  now_ += crash_watch::kLateReports;
  watch_.OnRunLost({1, 8}, Parts("q"), kStart - milliseconds(100), now_);
  EXPECT_FALSE(Answer(kFirstRun + 400).verdicts.at(0).engine_ended);
}

TEST_F(crash_watch_test, TheEndOfADrainingEngineBlamesNobody) {
  Answer(kFirstRun, true);
  watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  watch_.OnEngineRefused(now_);
  const auto found = Settle();
  EXPECT_FALSE(found.crash);
  EXPECT_TRUE(found.verdicts.at(0).engine_ended);
}

TEST_F(crash_watch_test, AnEngineThatWasNeverSeenBlamesNobody) {
  crash_watch fresh{core::process_id("side-1")};
  fresh.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
  fresh.OnEngineRefused(now_);
  const auto found = fresh.OnTick({}, now_ + crash_watch::kSettleTime);
  EXPECT_FALSE(found.crash);
  EXPECT_TRUE(found.verdicts.at(0).engine_ended);
}

TEST_F(crash_watch_test, EachEndOfTheEngineIsACrashOfItsOwn) {
  for (int run = 0; run < 3; ++run) {
    const std::int64_t started = kFirstRun + run;
    Answer(started);
    watch_.OnRunLost({1, 7}, Parts("p"), kStart - milliseconds(100), now_);
    watch_.OnEngineRefused(now_);
    const auto found = Settle();
    ASSERT_TRUE(found.crash) << run;
    EXPECT_EQ(found.crash->crash.engine_started_unix_ms, started);
    now_ += milliseconds(5000);
  }
}

}  // namespace
}  // namespace comfreyspring::sidecar

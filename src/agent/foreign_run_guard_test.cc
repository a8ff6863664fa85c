#include "agent/foreign_run_guard.h"

#include <gtest/gtest.h>

namespace comfreyspring::agent {
namespace {

core::time_point At(int milliseconds) {
  return core::time_point(core::milliseconds(milliseconds));
}

class foreign_run_guard_test : public testing::Test {
 protected:
  foreign_run_guard guard_{core::milliseconds(3000)};
};

// Guards against evicting adapters that runs of a previous agent still use.
TEST_F(foreign_run_guard_test, BlocksWhileOthersRun) {
  EXPECT_FALSE(guard_.MayEvict());
  guard_.OnControlAcquired(At(0));
  guard_.OnLoadReport(2, At(4000));
  EXPECT_FALSE(guard_.MayEvict());
  guard_.OnLoadReport(0, At(5000));
  EXPECT_TRUE(guard_.MayEvict());
}

// Before the settle time ends, the previous agent may still start runs after
// the report.
TEST_F(foreign_run_guard_test, IgnoresReportsFromBeforeTheSettleTime) {
  guard_.OnControlAcquired(At(1000));
  guard_.OnLoadReport(0, At(3900));
  EXPECT_FALSE(guard_.MayEvict());
}

TEST_F(foreign_run_guard_test, CountsOwnRunsOfTheTimeOfTheReport) {
  guard_.OnControlAcquired(At(0));
  guard_.OnOwnRuns(3, At(100));
  guard_.OnLoadReport(3, At(4000));
  EXPECT_TRUE(guard_.MayEvict());
}

// Own runs that started after the report must not hide runs of another agent.
TEST_F(foreign_run_guard_test, DoesNotCountRunsThatBeganLater) {
  guard_.OnControlAcquired(At(0));
  guard_.OnOwnRuns(2, At(4100));
  guard_.OnLoadReport(2, At(4000));
  EXPECT_FALSE(guard_.MayEvict());
}

TEST_F(foreign_run_guard_test, BlocksAgainWhenControlIsLost) {
  guard_.OnControlAcquired(At(0));
  guard_.OnLoadReport(0, At(4000));
  guard_.OnControlLost();
  guard_.OnLoadReport(0, At(9000));
  EXPECT_FALSE(guard_.MayEvict());
}

}  // namespace
}  // namespace comfreyspring::agent

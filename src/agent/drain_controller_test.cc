#include "agent/drain_controller.h"

#include <gtest/gtest.h>

namespace comfreyspring::agent {
namespace {

using core::milliseconds;

constexpr milliseconds kTimeout{5000};
const core::endpoint_id kOwn("engine-1");

class drain_controller_test : public ::testing::Test {
 protected:
  drain_callbacks Callbacks() {
    return {.announce_leaving = [this] { ++announced_; },
            .begin_drain = [this](core::time_point) { ++begun_; },
            .abort_all = [this] { ++aborted_all_; },
            .is_idle = [this] { return idle_; },
            .on_finished = [this] { ++finished_; }};
  }

  std::shared_ptr<const config::configuration> Stop(milliseconds from,
                                                    milliseconds to) {
    auto set = std::make_shared<config::configuration>();
    set->stops.push_back({.endpoint = kOwn,
                          .starts_at = loop_.WallNow() + from,
                          .ends_at = loop_.WallNow() + to,
                          .drain = core::seconds(0)});
    return set;
  }

  net::event_loop loop_;
  int announced_ = 0;
  int begun_ = 0;
  int aborted_all_ = 0;
  int finished_ = 0;
  bool idle_ = false;
  drain_controller drain_{loop_, kOwn, core::seconds(60), Callbacks()};
};

// Guards against ending the process while work is open.
TEST_F(drain_controller_test, WaitsForOpenWork) {
  drain_.OnTerminate();
  EXPECT_EQ(announced_, 1);
  EXPECT_EQ(begun_, 1);
  EXPECT_FALSE(
      loop_.RunUntil([&] { return finished_ > 0; }, milliseconds(700)));
  idle_ = true;
  EXPECT_TRUE(loop_.RunUntil([&] { return finished_ > 0; }, kTimeout));
  EXPECT_EQ(aborted_all_, 0);
}

TEST_F(drain_controller_test, ASecondSignalEndsAtOnce) {
  drain_.OnTerminate();
  drain_.OnTerminate();
  EXPECT_EQ(aborted_all_, 1);
  EXPECT_EQ(finished_, 1);
}

// Guards against a drain that never ends, and against open work that gets no
// answer.
TEST_F(drain_controller_test, TheTimeoutAbortsOpenWorkAndEnds) {
  drain_.OnConfiguration(Stop(milliseconds(-1), milliseconds(60'000)));
  EXPECT_TRUE(drain_.IsDraining());
  EXPECT_TRUE(loop_.RunUntil([&] { return finished_ > 0; }, kTimeout));
  EXPECT_EQ(aborted_all_, 1);
}

TEST_F(drain_controller_test, APlannedStopBeginsAtItsTime) {
  drain_.OnConfiguration(Stop(milliseconds(150), milliseconds(60'000)));
  EXPECT_FALSE(drain_.IsDraining());
  EXPECT_TRUE(loop_.RunUntil([&] { return drain_.IsDraining(); }, kTimeout));
}

TEST_F(drain_controller_test, AStopThatIsOverIsIgnored) {
  drain_.OnConfiguration(Stop(milliseconds(-60'000), milliseconds(-1)));
  EXPECT_FALSE(
      loop_.RunUntil([&] { return drain_.IsDraining(); }, milliseconds(120)));
}

}  // namespace
}  // namespace comfreyspring::agent

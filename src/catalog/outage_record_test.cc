#include "catalog/outage_record.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <vector>

namespace comfreyspring::catalog {
namespace {

using core::milliseconds;

constexpr milliseconds kMaximumContactGap{400};

class outage_record_test : public ::testing::Test {
 protected:
  /** Time in milliseconds. */
  static core::time_point At(int time) {
    return core::time_point{milliseconds(time)};
  }
  bool Reported(std::int64_t revision, int ended, int last_contact, int now) {
    return record_.OnReported({{1, revision}, milliseconds(now - ended)},
                              At(last_contact), kMaximumContactGap, At(now));
  }
  core::time_point End() const { return record_.Last()->ended; }

  outage_record record_{milliseconds(1000)};
};

TEST_F(outage_record_test, AShortInterruptionIsNoOutage) {
  EXPECT_FALSE(record_.OnReconnected(At(5000), {1, 40}, At(5900)));
  EXPECT_FALSE(record_.Last());
  EXPECT_TRUE(record_.OnReconnected(At(6000), {1, 41}, At(7000)));
  EXPECT_EQ(End(), At(7000));
}

TEST_F(outage_record_test, TheFirstReadAfterAnOutageDefinesItsEnd) {
  record_.OnReconnected(At(5000), {1, 44}, At(13000));
  EXPECT_TRUE(Reported(41, 9100, 5000, 13050));
  EXPECT_EQ(End(), At(9100));
  EXPECT_EQ(record_.Last()->position, (catalog_position{1, 41}));
  // A third process noticed the end later.
  EXPECT_FALSE(Reported(46, 13400, 13050, 13450));
  EXPECT_EQ(End(), At(9100));
}

TEST_F(outage_record_test, AnOwnReadDoesNotMoveAReportedEnd) {
  EXPECT_TRUE(Reported(41, 9100, 5000, 9200));
  EXPECT_FALSE(record_.OnReconnected(At(5500), {1, 44}, At(13000)));
  EXPECT_EQ(End(), At(9100));
}

TEST_F(outage_record_test, IgnoresInterruptionsOfOtherProcesses) {
  EXPECT_FALSE(Reported(41, 9100, 9000, 9200));
  EXPECT_FALSE(record_.Last());
}

TEST_F(outage_record_test, ALaterOutageReplacesTheRecord) {
  record_.OnReconnected(At(5000), {1, 41}, At(9000));
  EXPECT_TRUE(Reported(60, 29000, 25000, 29100));
  EXPECT_EQ(End(), At(29000));
  EXPECT_TRUE(record_.OnReconnected(At(40000), {1, 70}, At(45000)));
  EXPECT_EQ(End(), At(45000));
}

TEST_F(outage_record_test, ReportsAnOutageUntilTheAgeLimit) {
  record_.OnReconnected(At(5000), {1, 41}, At(9000));
  const auto reported = record_.ToReport(milliseconds(5000), At(9300));
  ASSERT_TRUE(reported);
  EXPECT_EQ(reported->ended_ago, milliseconds(300));
  EXPECT_EQ(reported->position, (catalog_position{1, 41}));
  EXPECT_FALSE(record_.ToReport(milliseconds(5000), At(14100)));
}

TEST_F(outage_record_test,
       AnOutageExplainsRemovalsWithinTheReregistrationTime) {
  record_.OnReconnected(At(5000), {1, 41}, At(9000));
  EXPECT_FALSE(record_.OnMassRemoval({1, 43}, milliseconds(2500), At(9100)));
  EXPECT_EQ(record_.Last()->position, (catalog_position{1, 41}));
  EXPECT_TRUE(record_.OnMassRemoval({1, 60}, milliseconds(2500), At(20000)));
  EXPECT_EQ(record_.Last()->position, (catalog_position{1, 60}));
}

// Entries are missing after a restoration, however short it was.
TEST_F(outage_record_test, ARestorationIsAnOutageOfAnyLength) {
  EXPECT_TRUE(record_.OnRestored({2, 90}, At(9000), At(9100)));
  EXPECT_EQ(End(), At(9100));
  EXPECT_FALSE(record_.OnMassRemoval({2, 93}, milliseconds(2500), At(9300)));
  // It is one outage, also if this process reads again later.
  EXPECT_FALSE(record_.OnRestored({2, 95}, At(9000), At(9500)));
  EXPECT_EQ(record_.Last()->position, (catalog_position{2, 90}));
  EXPECT_TRUE(record_.OnRestored({3, 60}, At(9500), At(9700)));
  EXPECT_EQ(End(), At(9700));
}

TEST_F(outage_record_test, APeerThatReadEarlierMovesTheEndOfARestoration) {
  record_.OnRestored({2, 95}, At(8000), At(9500));
  EXPECT_TRUE(record_.OnReported({{2, 90}, milliseconds(500)}, At(9500),
                                 kMaximumContactGap, At(9600)));
  EXPECT_EQ(End(), At(9100));
  EXPECT_EQ(record_.Last()->position, (catalog_position{2, 90}));
}

class usable_until_test : public outage_record_test {
 protected:
  /** @param listed when the entry was last known to be listed. */
  core::time_point Until(std::int64_t removed_at, int listed) const {
    return UsableUntil(record_.Last(), {1, removed_at}, At(listed),
                       {milliseconds(2500), milliseconds(2000)});
  }
};

TEST_F(usable_until_test, WithoutAnOutageARemovedEntryIsGone) {
  EXPECT_EQ(Until(50, 9000), core::time_point::min());
}

TEST_F(usable_until_test, AnEntryThatLapsedInTheOutageHasTimeToReregister) {
  record_.OnReconnected(At(5000), {1, 50}, At(9000));
  EXPECT_EQ(Until(50, 5000), At(11500));
}

// A grace period beyond the bound would send requests to endpoints that have
// left.
TEST_F(usable_until_test, ARemovalAfterTheRecoveryMeetsTheBound) {
  record_.OnReconnected(At(5000), {1, 50}, At(9000));
  EXPECT_EQ(Until(51, 9100), At(10600));
  EXPECT_EQ(Until(60, 10500), At(11500));
}

// What looks like a second, unnoticed outage may be many endpoints that leave.
TEST_F(usable_until_test, ManySimultaneousRemovalsMeetTheBound) {
  record_.OnMassRemoval({1, 59}, milliseconds(2500), At(20000));
  EXPECT_EQ(Until(60, 19600), At(21100));
}

// Revisions of the era before are higher.
TEST_F(usable_until_test, AnEntryOfTheEraBeforeHasTimeToReregister) {
  record_.OnRestored({2, 90}, At(7000), At(9000));
  const auto until = [&](const catalog_position& removed_at) {
    return UsableUntil(record_.Last(), removed_at, At(7000),
                       {milliseconds(2500), milliseconds(2000)});
  };
  EXPECT_EQ(until({1, 147}), At(11500));
  EXPECT_EQ(until({2, 91}), At(8500));
}

// Three processes reconnect to the platform one after the other and report the
// outage to each other in any order: the recorded end never moves to a later
// time.
RC_GTEST_PROP(outage_record_property, ReportsDoNotProlongAnOutage,
              (const std::vector<std::uint8_t>& steps)) {
  struct process {
    outage_record record{milliseconds(1000)};
    core::time_point last_contact{milliseconds(5000)};
    core::time_point reconnects_at;
  };
  std::vector<process> processes(3);
  for (std::size_t i = 0; i < processes.size(); ++i) {
    processes[i].reconnects_at =
        core::time_point{milliseconds(10000 + 1500 * static_cast<int>(i))};
  }
  core::time_point now{milliseconds(10000)};
  for (const std::uint8_t step : steps) {
    now += milliseconds(step % 50);
    for (process& reader : processes) {
      if (reader.reconnects_at > now) continue;
      if (reader.last_contact < reader.reconnects_at) {
        reader.record.OnReconnected(reader.last_contact, {1, 50},
                                    reader.reconnects_at);
      }
      reader.last_contact = now;
    }
    const process& from = processes[step / 50 % 3];
    process& to = processes[step / 150 % 3];
    const auto reported = from.record.ToReport(milliseconds(5000), now);
    if (!reported) continue;
    const auto before = to.record.Last();
    to.record.OnReported(*reported, to.last_contact, kMaximumContactGap, now);
    to.last_contact = now;
    if (before) {
      RC_ASSERT(to.record.Last()->ended <= before->ended);
    }
  }
}

}  // namespace
}  // namespace comfreyspring::catalog

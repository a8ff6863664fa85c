#include "catalog/endpoint_table.h"

#include <gtest/gtest.h>

#include "catalog/outage_record.h"

namespace comfreyspring::catalog {
namespace {

using core::milliseconds;
using kind = endpoint_change::kind;

class endpoint_table_test : public ::testing::Test {
 protected:
  static endpoint_record Record(const std::string& name, bool leaving = false) {
    return {.instance = instance_id(name),
            .service = core::service_id("s"),
            .address = {"10.0.0.1", 80},
            .leaving = leaving};
  }
  bool IsUsable(const std::string& name) const {
    return table_.FindUsable(instance_id(name)) != nullptr;
  }

  static endpoint_table::listed_entry Listed(const endpoint_record& record,
                                             std::int64_t revision = 5) {
    return {record, {1, revision}};
  }
  /** Grace for a removal that may have been caused by an outage. */
  removal_grace MayHaveLapsed() const {
    return {now_ + milliseconds(2500), {1, 10}, {1, 12}};
  }
  static removal_grace HasLeft() {
    return {core::time_point::min(), {}, {1, 12}};
  }

  core::time_point now_{std::chrono::seconds(100)};
  endpoint_table table_;
};

TEST_F(endpoint_table_test, ALeavingEndpointIsNotUsable) {
  table_.OnRecord(Listed(Record("i1")), now_);
  EXPECT_TRUE(IsUsable("i1"));
  const auto changes = table_.OnRecord(Listed(Record("i1", true)), now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::leaving);
  EXPECT_FALSE(IsUsable("i1"));
}

// Some endpoints leave without announcement: only their entry is removed.
TEST_F(endpoint_table_test, ARemovedEndpointIsGoneAtOnce) {
  table_.OnRecord(Listed(Record("i1")), now_);
  const auto changes = table_.OnRemoved(instance_id("i1"), HasLeft(), now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::gone);
  EXPECT_FALSE(IsUsable("i1"));
}

// Requests reached endpoints that were registered after an outage and had left
// before the first read, since their entries were taken for lapsed ones.
TEST_F(endpoint_table_test, WhatWasRegisteredAndRemovedUnseenHasLeft) {
  removal_grace grace = MayHaveLapsed();
  grace.known_before = {1, 6};
  table_.OnRecord(Listed(Record("before"), 5), now_);
  table_.OnRecord(Listed(Record("again"), 6), now_);
  table_.OnRecord(Listed(Record("unseen"), 8), now_);
  EXPECT_EQ(table_.OnRemoved(instance_id("unseen"), grace, now_)[0].what,
            kind::gone);
  EXPECT_EQ(table_.OnRemoved(instance_id("again"), grace, now_)[0].what,
            kind::lapsed);
  EXPECT_EQ(table_.OnRecord(Listed(Record("again"), 13), now_)[0].what,
            kind::returned);
  grace.outage_position = grace.removal_position = {1, 14};
  EXPECT_EQ(table_.OnRemoved(instance_id("again"), grace, now_)[0].what,
            kind::gone);
  // A heartbeat registers nothing.
  table_.OnRecord(Listed(Record("before"), 13), now_);
  EXPECT_EQ(table_.OnRemoved(instance_id("before"), grace, now_)[0].what,
            kind::lapsed);
}

// An outage of the platform removes the entries of healthy endpoints.
TEST_F(endpoint_table_test, AnEntryThatLapsedInAnOutageHasAGracePeriod) {
  table_.OnSnapshot(
      {Listed(Record("i1")), Listed(Record("i2")), Listed(Record("i3", true))},
      HasLeft(), now_);
  table_.OnSnapshot({}, MayHaveLapsed(), now_);
  EXPECT_TRUE(IsUsable("i1"));
  EXPECT_EQ(table_.Size(), 2U);
  now_ += milliseconds(2000);
  const auto returned = table_.OnRecord(Listed(Record("i1")), now_);
  EXPECT_EQ(returned[0].what, kind::returned);
  now_ += milliseconds(600);
  const auto gone = table_.OnTick(now_);
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone[0].record.instance.Value(), "i2");
  EXPECT_TRUE(IsUsable("i1"));
}

TEST_F(endpoint_table_test, ReportsForHowLongAnEntryHasLapsed) {
  table_.OnSnapshot({Listed(Record("i1")), Listed(Record("i2"))}, HasLeft(),
                    now_);
  const auto changes =
      table_.OnSnapshot({Listed(Record("i2"))}, MayHaveLapsed(), now_);
  EXPECT_EQ(changes.at(0).usable_for, milliseconds(2500));
  now_ += milliseconds(700);
  EXPECT_EQ(table_.LapsedFor(instance_id("i1"), now_), milliseconds(700));
  EXPECT_EQ(table_.LapsedFor(instance_id("i2"), now_), std::nullopt);
}

// An endpoint that has registered again after the outage cannot have lapsed in
// it.
TEST_F(endpoint_table_test, AnEndpointRegisteredSinceTheOutageHasLeft) {
  table_.OnRecord(Listed(Record("i1"), 9), now_);
  table_.OnRecord(Listed(Record("i2"), 11), now_);
  EXPECT_EQ(table_.OnRemoved(instance_id("i1"), MayHaveLapsed(), now_)[0].what,
            kind::lapsed);
  EXPECT_EQ(table_.OnRemoved(instance_id("i2"), MayHaveLapsed(), now_)[0].what,
            kind::gone);
}

TEST_F(endpoint_table_test, GracePeriodIsNotRestarted) {
  table_.OnSnapshot({Listed(Record("i1"))}, HasLeft(), now_);
  table_.OnSnapshot({}, MayHaveLapsed(), now_);
  now_ += milliseconds(2000);
  table_.OnSnapshot({}, MayHaveLapsed(), now_);
  now_ += milliseconds(600);
  EXPECT_EQ(table_.OnTick(now_).size(), 1U);
}

// A platform that was restored from a copy lists entries from before.

class restored_table_test : public endpoint_table_test {
 protected:
  using listed_entry = endpoint_table::listed_entry;

  static endpoint_record Run(const std::string& name, std::int64_t started,
                             bool leaving = false) {
    endpoint_record record = Record(name, leaving);
    record.started_unix_ms = started;
    return record;
  }
  static endpoint_record At(endpoint_record record, const char* service,
                            int port) {
    record.service = core::service_id(service);
    record.address.port = static_cast<std::uint16_t>(port);
    return record;
  }
  void Before(const endpoint_record& record, std::int64_t revision) {
    table_.OnRecord({record, {1, revision}}, now_);
  }
  /** The entry was removed for good. */
  void RemoveBefore(const std::string& name, std::int64_t revision) {
    table_.OnRemoved(instance_id(name),
                     {core::time_point::min(), {}, {1, revision}}, now_);
  }
  /** The first read after the restoration. */
  endpoint_table::changes Restore(const std::vector<listed_entry>& entries) {
    return Restore(2, entries);
  }
  endpoint_table::changes Restore(std::int64_t era,
                                  const std::vector<listed_entry>& entries) {
    const catalog_position read{era, 90};
    table_.OnRestored(read);
    return table_.OnSnapshot(
        entries, {now_ + milliseconds(2500), read, read, now_}, now_);
  }
  void Since(const endpoint_record& record, std::int64_t revision) {
    table_.OnRecord({record, {2, revision}}, now_);
  }
};

TEST_F(restored_table_test, AnEndpointThatTheCopyLacksHasTimeToReregister) {
  Before(Run("i1", 1000), 147);
  const auto changes = Restore({});
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::lapsed);
  // More is known of the outage: it ended earlier.
  table_.ShortenGrace([&](const removal_grace& grace) {
    return UsableUntil(
        outage_record::outage{now_, now_ - milliseconds(100), {2, 88}},
        grace.removal_position, now_, {milliseconds(2500), milliseconds(2000)});
  });
  now_ += milliseconds(2300);
  EXPECT_TRUE(table_.OnTick(now_).empty());
  EXPECT_TRUE(IsUsable("i1"));
  Since(Run("i1", 1000), 93);
  now_ += milliseconds(1000);
  EXPECT_TRUE(table_.OnTick(now_).empty());
  EXPECT_TRUE(IsUsable("i1"));
}

TEST_F(restored_table_test, AnEndpointThatNeverReregistersIsGone) {
  Before(Run("i1", 1000), 147);
  Restore({});
  now_ += milliseconds(2600);
  ASSERT_EQ(table_.OnTick(now_).size(), 1U);
  EXPECT_FALSE(IsUsable("i1"));
}

// Revisions of the new era are lower than those of the era before.
TEST_F(restored_table_test, AnEndpointThatRegisteredSinceIsRemovedAtOnce) {
  Before(Run("i1", 1000), 147);
  Restore({{Run("i1", 1000), {2, 80}}});
  Since(Run("i1", 1000), 93);
  const auto changes = table_.OnRemoved(
      instance_id("i1"), {now_ + milliseconds(2500), {2, 90}, {2, 95}}, now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::gone);
}

TEST_F(restored_table_test, AnEndpointThatLeftIsNotUsedOnTheWordOfTheCopy) {
  Before(Run("i1", 1000), 80);
  RemoveBefore("i1", 140);
  Restore({{Run("i1", 1000), {2, 80}}});
  EXPECT_FALSE(IsUsable("i1"));
  EXPECT_FALSE(table_.IsKnown(instance_id("i1")));
  // A full read later still lists the entry of the copy.
  table_.OnSnapshot({{Run("i1", 1000), {2, 80}}},
                    {core::time_point::min(), {2, 90}, {2, 99}}, now_);
  EXPECT_FALSE(IsUsable("i1"));
  Since(Run("i1", 1000), 101);
  EXPECT_TRUE(IsUsable("i1"));
}

TEST_F(restored_table_test, AnEndpointThatAnnouncedItsShutdownStaysOut) {
  Before(Run("removed", 1000, true), 80);
  RemoveBefore("removed", 140);
  Before(Run("listed", 1000, true), 141);
  Restore({{Run("removed", 1000), {2, 70}}, {Run("listed", 1000), {2, 71}}});
  Since(Run("removed", 1000), 93);
  Since(Run("listed", 1000), 94);
  EXPECT_FALSE(IsUsable("removed"));
  EXPECT_FALSE(IsUsable("listed"));
  // Both are started again.
  Since(Run("removed", 2000), 95);
  Since(Run("listed", 2000), 96);
  EXPECT_TRUE(IsUsable("removed"));
  EXPECT_TRUE(IsUsable("listed"));
}

TEST_F(restored_table_test, AnEarlierRunNeverReplacesALaterOne) {
  Before(Run("listed", 2000), 140);
  Before(Run("removed", 2000), 141);
  RemoveBefore("removed", 142);
  const auto changes = Restore(
      {{Run("listed", 1000), {2, 70}}, {Run("removed", 1000), {2, 71}}});
  // The registration of the later run is lost.
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::lapsed);
  EXPECT_EQ(changes[0].record.started_unix_ms, 2000);
  Since(Run("listed", 1000), 93);
  Since(Run("removed", 1000), 94);
  EXPECT_EQ(table_.FindUsable(instance_id("listed"))->started_unix_ms, 2000);
  EXPECT_FALSE(IsUsable("removed"));
}

// The entry had lapsed in an outage before; the copy is older than that.
TEST_F(restored_table_test, ALapsedEndpointDoesNotReturnOnTheWordOfTheCopy) {
  Before(Run("i1", 1000), 80);
  table_.OnRemoved(instance_id("i1"),
                   {now_ + milliseconds(2500), {1, 140}, {1, 140}}, now_);
  now_ += milliseconds(2000);
  EXPECT_TRUE(Restore({{Run("i1", 1000), {2, 80}}}).empty());
  // The restoration gives it time again.
  now_ += milliseconds(2000);
  EXPECT_TRUE(table_.OnTick(now_).empty());
  EXPECT_TRUE(IsUsable("i1"));
  now_ += milliseconds(600);
  EXPECT_EQ(table_.OnTick(now_).size(), 1U);
}

TEST_F(restored_table_test, AnAddressBelongsToTheServiceThatGotItLast) {
  const auto former = At(Run("former", 1000), "s1", 80);
  const auto current = At(Run("current", 2000), "s2", 80);
  // The process knows the current holder only.
  Before(current, 147);
  Restore({{former, {2, 70}}});
  EXPECT_FALSE(IsUsable("former"));
  EXPECT_TRUE(IsUsable("current"));
}

TEST_F(restored_table_test, TheNewHolderOfAnAddressEndsTheUseOfTheFormer) {
  const auto former = At(Run("former", 1000), "s1", 80);
  const auto current = At(Run("current", 2000), "s2", 80);
  Restore({{former, {2, 70}}});
  EXPECT_TRUE(IsUsable("former"));
  Since(current, 93);
  EXPECT_FALSE(IsUsable("former"));
  Since(former, 94);
  EXPECT_FALSE(IsUsable("former"));
  EXPECT_TRUE(IsUsable("current"));
}

// A second outage may begin within the grace period of the first one.
TEST_F(restored_table_test, AnEndpointThatCannotRegisterStaysInUse) {
  Before(Run("i1", 1000), 147);
  Restore({});
  now_ += milliseconds(3000);
  table_.OnTick(now_, false);
  EXPECT_TRUE(IsUsable("i1"));
  table_.OnTick(now_, true);
  EXPECT_FALSE(IsUsable("i1"));
}

// An endpoint that left after an outage is out of use within its bound.
TEST_F(restored_table_test, ARemovedEndpointIsNotKeptForALaterOutage) {
  Before(Run("i1", 1000), 80);
  table_.OnRemoved(instance_id("i1"),
                   {now_ + milliseconds(1500), {1, 90}, {1, 97}}, now_);
  now_ += milliseconds(2000);
  table_.OnTick(now_, false);
  EXPECT_FALSE(IsUsable("i1"));
}

TEST_F(restored_table_test, AnAnnouncedShutdownCountsWhileTheEntryHasLapsed) {
  Before(Run("i1", 1000), 147);
  Restore({});
  EXPECT_TRUE(IsUsable("i1"));
  Restore(3, {{Run("i1", 1000, true), {3, 80}}});
  EXPECT_FALSE(IsUsable("i1"));
}

// Only the start time shows that the id is used by another run.
TEST_F(restored_table_test, AnEntryWithoutAStartTimeDoesNotHideALaterRun) {
  Before(Run("i1", 1000), 10);
  Before(Run("i1", 0, true), 11);
  EXPECT_FALSE(IsUsable("i1"));
  Before(Run("i1", 2000), 12);
  EXPECT_TRUE(IsUsable("i1"));
}

// The later run is not used either, because its address has another holder.
TEST_F(restored_table_test, ALaterRunEndsTheUseOfTheEarlierOneInAnyCase) {
  Since(At(Run("i1", 1000), "s1", 81), 91);
  Since(At(Run("i2", 3000), "s2", 80), 92);
  Since(At(Run("i1", 2000), "s1", 80), 93);
  EXPECT_FALSE(IsUsable("i1"));
  EXPECT_TRUE(IsUsable("i2"));
}

// Removals that are known early count for entries that arrive late.
TEST_F(restored_table_test, ALateEntryOfADepartedEndpointIsIgnored) {
  Before(Run("i1", 1000), 80);
  RemoveBefore("i1", 140);
  table_.OnRemoved(instance_id("i1"),
                   {core::time_point::min(), {2, 90}, {2, 97}}, now_);
  Since(Run("i1", 1000), 93);
  EXPECT_FALSE(IsUsable("i1"));
  Since(Run("i1", 1000), 98);
  EXPECT_TRUE(IsUsable("i1"));
}

// An entry and its removal may arrive by several ways, in any order.
TEST_F(restored_table_test, AnOlderEntryOrRemovalChangesNothing) {
  Since(Run("i1", 1000), 95);
  table_.OnRemoved(instance_id("i1"),
                   {core::time_point::min(), {2, 90}, {2, 93}}, now_);
  EXPECT_TRUE(IsUsable("i1"));
  table_.OnRemoved(instance_id("i1"),
                   {core::time_point::min(), {2, 90}, {2, 97}}, now_);
  Since(Run("i1", 1000), 96);
  EXPECT_FALSE(IsUsable("i1"));
}

TEST_F(restored_table_test, DepartedEndpointsAreForgottenAfterSomeMinutes) {
  Before(Run("i1", 1000), 80);
  RemoveBefore("i1", 140);
  now_ += std::chrono::minutes(6);
  table_.OnTick(now_);
  Restore({{Run("i1", 1000), {2, 80}}});
  EXPECT_TRUE(IsUsable("i1"));
}

}  // namespace
}  // namespace comfreyspring::catalog

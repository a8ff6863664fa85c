#include "catalog/endpoint_table.h"

#include <gtest/gtest.h>

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
    return {now_ + milliseconds(2500), {1, 10}};
  }
  static removal_grace HasLeft() { return {core::time_point::min(), {}}; }

  core::time_point now_{std::chrono::seconds(100)};
  endpoint_table table_;
};

TEST_F(endpoint_table_test, ALeavingEndpointIsNotUsable) {
  table_.OnRecord(Listed(Record("i1")));
  EXPECT_TRUE(IsUsable("i1"));
  const auto changes = table_.OnRecord(Listed(Record("i1", true)));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::leaving);
  EXPECT_FALSE(IsUsable("i1"));
}

// Some endpoints leave without announcement: only their entry is removed.
TEST_F(endpoint_table_test, ARemovedEndpointIsGoneAtOnce) {
  table_.OnRecord(Listed(Record("i1")));
  const auto changes = table_.OnRemoved(instance_id("i1"), HasLeft(), now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].what, kind::gone);
  EXPECT_FALSE(IsUsable("i1"));
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
  const auto returned = table_.OnRecord(Listed(Record("i1")));
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
  table_.OnRecord(Listed(Record("i1"), 9));
  table_.OnRecord(Listed(Record("i2"), 11));
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

}  // namespace
}  // namespace comfreyspring::catalog

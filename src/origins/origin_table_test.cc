#include "origins/origin_table.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyspring::origins {
namespace {

using core::milliseconds;

stream_key Key(const std::string& id) {
  return stream_key(core::request_id(id));
}

stream_origin Origin(const std::string& version) {
  return {core::service_id("s"), core::software_version(version)};
}

class origin_table_test : public ::testing::Test {
 protected:
  core::time_point now_{std::chrono::seconds(100)};
  origin_table table_;
};

TEST_F(origin_table_test, FindsRecordsUntilTheyExpire) {
  table_.Add(Key("r1"), Origin("v1"), now_);
  EXPECT_EQ(table_.Find(Key("r1"), now_), Origin("v1"));
  EXPECT_EQ(table_.Find(Key("r2"), now_), std::nullopt);
  now_ += kStreamMemory - milliseconds(1);
  EXPECT_EQ(table_.Find(Key("r1"), now_), Origin("v1"));
  now_ += milliseconds(1);
  EXPECT_EQ(table_.Find(Key("r1"), now_), std::nullopt);
  table_.Add(Key("r2"), Origin("v2"), now_);
  EXPECT_EQ(table_.Size(), 1U);
}

TEST_F(origin_table_test, ARecordThatIsReplacedLastsLonger) {
  table_.Add(Key("r1"), Origin("v1"), now_);
  now_ += kStreamMemory / 2;
  table_.Add(Key("r1"), Origin("v2"), now_);
  now_ += kStreamMemory / 2;
  table_.Add(Key("r2"), Origin("v1"), now_);
  EXPECT_EQ(table_.Find(Key("r1"), now_), Origin("v2"));
  EXPECT_EQ(table_.Size(), 2U);
}

TEST_F(origin_table_test, BoundsTheirNumber) {
  const auto total = origin_table::kMaximumRecords + 10;
  for (std::size_t i = 0; i < total; ++i) {
    table_.Add(Key(std::to_string(i)), Origin("v1"), now_);
  }
  EXPECT_EQ(table_.Size(), origin_table::kMaximumRecords);
  EXPECT_EQ(table_.Find(Key("9"), now_), std::nullopt);
  EXPECT_TRUE(table_.Find(Key("10"), now_));
}

}  // namespace
}  // namespace comfreyspring::origins

#include "gateway/plain_crash_watch.h"

#include <gtest/gtest.h>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;
using core::prompt_part_id;

class plain_crash_watch_test : public ::testing::Test {
 protected:
  static std::vector<quarantine::suspected_part> Blamed(
      const std::string& request) {
    return {{prompt_part_id(request), 0}};
  }

  catalog::endpoint_record endpoint_{.instance = catalog::instance_id("i-1"),
                                     .started_unix_ms = 77};
  plain_crash_watch watch_;
  core::time_point now_{std::chrono::seconds(1000)};
};

TEST_F(plain_crash_watch_test, NamesAllRequestsThatWereLostWithTheEndpoint) {
  EXPECT_TRUE(watch_.OnLost(endpoint_, Blamed("a"), now_));
  EXPECT_FALSE(watch_.OnLost(endpoint_, Blamed("b"), now_));
  const auto record = watch_.OnProbed(endpoint_, true, now_ + milliseconds(5));
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record->crash.sidecar.Value(), "i-1");
  EXPECT_EQ(record->crash.engine_started_unix_ms, 77);
  ASSERT_EQ(record->parts.size(), 2U);
  EXPECT_EQ(record->parts[1].part.Value(), "b");
}

// The connections of one endpoint break one after the other.
TEST_F(plain_crash_watch_test, NamesRequestsThatAreFoundLostAfterTheEnd) {
  watch_.OnLost(endpoint_, Blamed("a"), now_);
  ASSERT_TRUE(watch_.OnProbed(endpoint_, true, now_).has_value());
  EXPECT_TRUE(watch_.OnLost(endpoint_, Blamed("b"), now_ + milliseconds(3)));
  const auto record = watch_.OnProbed(endpoint_, true, now_ + milliseconds(4));
  ASSERT_TRUE(record.has_value());
  ASSERT_EQ(record->parts.size(), 1U);
  EXPECT_EQ(record->parts[0].part.Value(), "b");
}

TEST_F(plain_crash_watch_test, AnEndpointThatAcceptsConnectionsHasNotEnded) {
  watch_.OnLost(endpoint_, Blamed("a"), now_);
  EXPECT_FALSE(watch_.OnProbed(endpoint_, false, now_).has_value());
  // What was lost before is not blamed for a later end.
  now_ += milliseconds(300);
  EXPECT_TRUE(watch_.OnLost(endpoint_, Blamed("b"), now_));
  const auto record = watch_.OnProbed(endpoint_, true, now_);
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record->parts.size(), 1U);
}

// Guards against a connection for each of the resets of an overloaded endpoint.
TEST_F(plain_crash_watch_test, ProbesAnEndpointAFewTimesASecond) {
  int probes = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    const bool is_due =
        watch_.OnLost(endpoint_, Blamed("a"), now_ + milliseconds(ms));
    if (!is_due) continue;
    ++probes;
    watch_.OnProbed(endpoint_, false, now_ + milliseconds(ms));
  }
  EXPECT_EQ(probes, 5);
}

}  // namespace
}  // namespace comfreyspring::gateway

#include "agent/entry_tracker.h"

#include <gtest/gtest.h>

namespace comfreyspring::agent {
namespace {

using core::data_centre_id;
using core::process_id;

const entry_instance kFirst = {process_id("entry-1"), 1};
const entry_instance kSecond = {process_id("entry-2"), 1};
const entry_instance kOther = {process_id("entry-3"), 1};

core::time_point At(int seconds_since_start) {
  return core::time_point(core::seconds(seconds_since_start));
}

class entry_tracker_test : public testing::Test {
 protected:
  entry_tracker_test() {
    tracker_.OnHello(kFirst, data_centre_id("porto-a"), At(0));
    tracker_.OnHello(kSecond, data_centre_id("porto-a"), At(0));
    tracker_.OnHello(kOther, data_centre_id("caxias"), At(0));
  }
  wire::heartbeat_reply ReplyTo(const entry_instance& entry, int now) const {
    wire::heartbeat_reply reply;
    tracker_.FillReply(entry, reply, At(now));
    return reply;
  }
  entry_tracker tracker_;
};

TEST_F(entry_tracker_test, ListsLiveEntriesOfTheSameDataCentre) {
  EXPECT_EQ(ReplyTo(kFirst, 1).entries,
            (std::vector{process_id("entry-1"), process_id("entry-2")}));
  EXPECT_EQ(ReplyTo(kOther, 1).entries, std::vector{process_id("entry-3")});
}

// Guards against a lost entry that still counts as reader of the platform, so
// that no other entry reads it.
TEST_F(entry_tracker_test, OmitsEntriesWithoutRecentHeartbeats) {
  tracker_.OnHeartbeat(kFirst, {}, At(30));
  EXPECT_EQ(ReplyTo(kFirst, 31).entries, std::vector{process_id("entry-1")});
}

// Guards against relaying an age that is less than the actual age of the read.
TEST_F(entry_tracker_test, ReportsTheAgeOfTheLatestRead) {
  EXPECT_FALSE(ReplyTo(kFirst, 1).service_read_age_ms.has_value());
  tracker_.OnHeartbeat(kFirst, {.service_read_age_ms = 1000}, At(10));
  tracker_.OnHeartbeat(kSecond, {.service_read_age_ms = 8000}, At(11));
  EXPECT_EQ(ReplyTo(kSecond, 12).service_read_age_ms, 3000);
}

}  // namespace
}  // namespace comfreyspring::agent

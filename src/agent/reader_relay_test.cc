#include "agent/reader_relay.h"

#include <gtest/gtest.h>

namespace comfreyspring::agent {
namespace {

using core::data_centre_id;
using core::process_id;

const entry_address kFirst = {process_id("entry-1"), 1};
const entry_address kSecond = {process_id("entry-2"), 1};
const entry_address kOther = {process_id("entry-3"), 1};

core::time_point At(int seconds_since_start) {
  return core::time_point(core::seconds(seconds_since_start));
}

class reader_relay_test : public testing::Test {
 protected:
  reader_relay_test() {
    relay_.OnHello(kFirst, data_centre_id("porto-a"), At(0));
    relay_.OnHello(kSecond, data_centre_id("porto-a"), At(0));
    relay_.OnHello(kOther, data_centre_id("caxias"), At(0));
  }
  wire::heartbeat_reply ReplyTo(const entry_address& entry, int now) const {
    wire::heartbeat_reply reply;
    relay_.Fill(entry, reply, At(now));
    return reply;
  }
  reader_relay relay_;
};

TEST_F(reader_relay_test, ListsLiveEntriesOfTheSameDataCentre) {
  EXPECT_EQ(ReplyTo(kFirst, 1).entries,
            (std::vector{process_id("entry-1"), process_id("entry-2")}));
  EXPECT_EQ(ReplyTo(kOther, 1).entries, std::vector{process_id("entry-3")});
}

// Guards against a silently lost reader that keeps others from reading.
TEST_F(reader_relay_test, LeavesOutEntriesThatWentSilent) {
  relay_.OnHeartbeat(kFirst, {}, At(30));
  EXPECT_EQ(ReplyTo(kFirst, 31).entries, std::vector{process_id("entry-1")});
}

// Guards against a relayed age that looks younger than the read it stands for.
TEST_F(reader_relay_test, ReportsTheAgeOfTheLatestRead) {
  EXPECT_FALSE(ReplyTo(kFirst, 1).service_read_age_ms.has_value());
  relay_.OnHeartbeat(kFirst, {.service_read_age_ms = 1000}, At(10));
  relay_.OnHeartbeat(kSecond, {.service_read_age_ms = 8000}, At(11));
  EXPECT_EQ(ReplyTo(kSecond, 12).service_read_age_ms, 3000);
}

}  // namespace
}  // namespace comfreyspring::agent

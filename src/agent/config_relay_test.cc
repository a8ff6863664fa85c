#include "agent/config_relay.h"

#include <gtest/gtest.h>

#include "agent/test_doubles.h"

namespace comfreyspring::agent {
namespace {

const entry_instance kFirst = {core::process_id("entry-1"), 1};
const entry_instance kSecond = {core::process_id("entry-2"), 1};

class config_relay_test : public testing::Test {
 protected:
  net::event_loop loop_;
  recording_sender sender_;
  config_relay relay_{loop_, sender_, [](const auto&) {}};
};

// Guards against an entry that waits 2 s for a part that the agent does not
// hold.
TEST_F(config_relay_test, AnswersWithoutBytesForAMissingPart) {
  relay_.OnRequest(kFirst, wire::config_request{.hash = 7});
  const auto answers = sender_.Sent<wire::config_part>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].hash, 7U);
  EXPECT_TRUE(answers[0].bytes.empty());
}

// Guards against a fetch that stays with an entry that no longer holds the set.
TEST_F(config_relay_test, RequestsFromAnotherEntryWhenTheFirstLacksTheSet) {
  relay_.OnVersionSeen(kFirst, {5, 1});
  relay_.OnVersionSeen(kSecond, {5, 1});
  ASSERT_EQ(sender_.Sent<wire::config_request>().size(), 1U);
  const entry_instance asked = sender_.Receivers()[0];
  relay_.OnPart(asked, wire::config_part{.manifest = true, .hash = 1});
  ASSERT_EQ(sender_.Sent<wire::config_request>().size(), 2U);
  EXPECT_FALSE(sender_.Receivers()[1] == asked);
}

}  // namespace
}  // namespace comfreyspring::agent

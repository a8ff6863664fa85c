#include "gateway/slot_client.h"

#include <gtest/gtest.h>

#include <utility>
#include <variant>

#include "gateway/forwarder_fixture_test.h"

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;
using overload::slot_result;

class slot_client_test : public ::testing::Test {
 protected:
  bool Ask(std::uint64_t number, const std::string& ip = "10.0.0.9") {
    grants::slot_ask ask{.number = number,
                         .service = core::service_id("plain")};
    ask.candidates.push_back({{catalog::instance_id("p1"), 0}, 6, true});
    return client_.Ask(ip, 100 + number, std::move(ask), now_);
  }
  /** @returns the requests that are given up. */
  std::vector<std::uint64_t> Pass(milliseconds length) {
    std::vector<std::uint64_t> waited;
    for (const auto end = now_ + length; now_ < end;) {
      now_ += milliseconds(20);
      const auto more = client_.OnTick(now_);
      waited.insert(waited.end(), more.begin(), more.end());
    }
    return waited;
  }
  std::vector<std::uint64_t> Released() const {
    std::vector<std::uint64_t> numbers;
    for (const auto& value : sent_) {
      if (const auto* released = std::get_if<grants::slot_released>(&value)) {
        numbers.push_back(released->number);
      }
    }
    return numbers;
  }

  void SetUp() override { client_.OnTick(now_); }

  bool is_open_ = true;
  std::vector<grants::message> sent_;
  slot_client client_{[this](const std::string&, const grants::message& value) {
    if (is_open_) sent_.push_back(value);
    return is_open_;
  }};
  core::time_point now_ = core::time_point(core::seconds(100));
};

using numbers = std::vector<std::uint64_t>;

TEST_F(slot_client_test, PassesOnPermitsAndGivesThemBack) {
  ASSERT_TRUE(Ask(1));
  const auto slot = client_.OnIssued("10.0.0.9", {1, 0}, now_);
  ASSERT_TRUE(slot.has_value());
  EXPECT_EQ(slot->request, 101u);
  EXPECT_EQ(slot->endpoint.instance.Value(), "p1");
  EXPECT_EQ(client_.InUse(), 1u);
  client_.Release(1, slot_result::answered);
  EXPECT_EQ(Released(), numbers{1});
  EXPECT_EQ(client_.InUse(), 0u);
}

// Guards against slots that stay taken because their ask was given up while the
// permit was on its way, and against permits for unknown candidates.
TEST_F(slot_client_test, ReturnsUnwantedSlots) {
  ASSERT_TRUE(Ask(1));
  EXPECT_FALSE(client_.OnIssued("10.0.0.9", {1, 5}, now_).has_value());
  client_.Release(1, slot_result::unused);
  EXPECT_FALSE(client_.OnIssued("10.0.0.9", {1, 0}, now_).has_value());
  EXPECT_EQ(Released(), (numbers{1, 1, 1}));
}

// Guards against requests that wait for a sidecar that is frozen.
TEST_F(slot_client_test, GivesUpASidecarThatDoesNotAnswer) {
  ASSERT_TRUE(Ask(1));
  client_.OnQueued(1);
  ASSERT_TRUE(Ask(2));
  EXPECT_TRUE(Pass(milliseconds(80)).empty());
  EXPECT_EQ(Pass(milliseconds(40)), (numbers{101, 102}));
  EXPECT_EQ(Released(), (numbers{1, 2}));
  EXPECT_FALSE(Ask(3));
  EXPECT_TRUE(Ask(3, "10.0.0.8"));
  now_ += slot_client::kSilence;
  EXPECT_TRUE(Ask(4));
}

// Guards against stops of this process that look like a silent sidecar.
TEST_F(slot_client_test, StopsOfTheGatewayAreNotASilence) {
  ASSERT_TRUE(Ask(1));
  now_ += milliseconds(900);
  EXPECT_TRUE(client_.OnTick(now_).empty());
  now_ += milliseconds(90);
  EXPECT_TRUE(client_.OnTick(now_).empty());
}

TEST_F(slot_client_test, ALostLinkEndsWhatWaits) {
  ASSERT_TRUE(Ask(1));
  ASSERT_TRUE(Ask(2));
  ASSERT_TRUE(client_.OnIssued("10.0.0.9", {1, 0}, now_).has_value());
  EXPECT_EQ(client_.OnSidecarLost("10.0.0.9"), numbers{102});
  EXPECT_EQ(client_.InUse() + client_.Waiting(), 0u);
  is_open_ = false;
  EXPECT_FALSE(Ask(3));
}

class unqueued_test : public test::request_forwarder_test {};

// Guards against requests that wait for a sidecar that does not exist.
TEST_F(unqueued_test, SendsWithoutASlotIfNoSidecarIsReachable) {
  settings_.sheds_by_value = true;
  const auto exchange = Send("/once/");
  ASSERT_EQ(http_.calls.size(), 1u);
  http_.Respond(200, Own(), "done");
  EXPECT_EQ(exchange->response.status, 200);
}

}  // namespace
}  // namespace comfreyspring::gateway

// Sends more requests to a plain service than its endpoints run at once, under
// the contract for insufficient capacity.

#include <gtest/gtest.h>

#include <string>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr int kGateways = 3;
/** Several times the slots of the endpoints. */
constexpr int kRequests = 90;

class plain_slots_test : public small_fleet_test {
 protected:
  plain_slots_test()
      : small_fleet_test({.name = "plain_slots",
                          .gateways = kGateways,
                          .engines = 1,
                          .plain = 3,
                          .plain_time = milliseconds(60),
                          .sheds_by_value = true}) {}

  void SendAll() {
    for (int i = 0; i < kRequests; ++i) Send("order", i % kGateways);
  }
  /** @param first number of earlier answers. */
  void ExpectAllAnswered(std::size_t first = 0) {
    ASSERT_EQ(outcomes_.size(), first + kRequests);
    for (std::size_t i = first; i < outcomes_.size(); ++i) {
      EXPECT_EQ(outcomes_[i].status, 200) << outcomes_[i].id;
    }
  }
};

// Guards against gateways that send without slots although the sidecar can be
// asked, and against requests that are forgotten while they wait.
TEST_F(plain_slots_test, AllGatewaysWaitForSlots) {
  SendAll();
  WaitForAnswers();
  ExpectAllAnswered();
  for (int i = 0; i < kGateways; ++i) {
    EXPECT_NE(AdminPage(i, "/metrics").find("gateway_slot_wait_ms"),
              std::string::npos);
  }
}

// Guards against requests that are lost with the sidecar that gives the slots.
// Those that waited for it are sent at once, so endpoints may refuse some.
TEST_F(plain_slots_test, AreServedAgainAfterTheSidecarIsKilled) {
  SendAll();
  Wait(milliseconds(100));
  StartSidecar(0);
  WaitForAnswers();
  EXPECT_EQ(outcomes_.size(), static_cast<std::size_t>(kRequests));
  for (const fleet_outcome& each : outcomes_) {
    EXPECT_TRUE(each.status == 200 || each.status == 503) << each.status;
    EXPECT_LT(each.answered_at - each.sent_at, milliseconds(3000)) << each.id;
  }
  Wait(milliseconds(1500));
  SendAll();
  WaitForAnswers();
  ExpectAllAnswered(kRequests);
}

}  // namespace
}  // namespace comfreyspring::process_test

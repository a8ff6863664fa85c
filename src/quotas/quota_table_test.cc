#include "quotas/quota_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <utility>

namespace comfreyspring::quotas {
namespace {

using core::milliseconds;

class quota_table_test : public ::testing::Test {
 protected:
  quota_table::decisions Ask(std::int64_t amount, milliseconds deadline,
                             int priority = 1) {
    request_.number++;
    request_.minimum = amount;
    request_.amount = amount;
    request_.priority = priority;
    request_.deadline = now_ + deadline;
    return table_.OnRequest(request_, now_);
  }
  quota_table::decisions Pass(milliseconds length) {
    now_ += length;
    return table_.OnTick(now_);
  }

  quota_table table_;
  core::time_point now_{milliseconds(50'000)};
  lease_request request_{.link = 1,
                         .tenant = core::tenant_id("t"),
                         .limit = {.rate = 1000, .burst = 1000, .version = 3}};
};

// What an earlier table gave is unknown.
TEST_F(quota_table_test, BeginsWithHalfABurst) {
  EXPECT_EQ(Ask(500, milliseconds(0)).at(0).granted, 500);
  const auto refused = Ask(100, milliseconds(60));
  EXPECT_EQ(refused.at(0).granted, 0);
  EXPECT_EQ(refused.at(0).retry_after, milliseconds(100));
}

TEST_F(quota_table_test, ALargeBurstBeginsWithOneSecondOfTheRate) {
  request_.limit.burst = 10'000;
  EXPECT_EQ(Ask(1000, milliseconds(0)).at(0).granted, 1000);
  EXPECT_EQ(Ask(1, milliseconds(0)).at(0).granted, 0);
}

TEST_F(quota_table_test, GivesMoreThanTheMinimumOnlyIfItIsThere) {
  Ask(100, milliseconds(0));
  request_.number = 9;
  request_.minimum = 50;
  request_.amount = 300;
  // 400 are left, of which 250 are the reserve.
  EXPECT_EQ(table_.OnRequest(request_, now_).at(0).granted, 150);
  EXPECT_EQ(table_.OnRequest(request_, now_).at(0).granted, 50);
}

// Amounts that gateways hold unused are missing when a tenant is near its
// limit.
TEST_F(quota_table_test, GivesForRequestsToComeOnlyBeyondTheReserve) {
  request_.minimum = 0;
  request_.amount = 200;
  EXPECT_EQ(table_.OnRequest(request_, now_).at(0).granted, 200);
  EXPECT_EQ(table_.OnRequest(request_, now_).at(0).granted, 50);
  EXPECT_EQ(table_.OnRequest(request_, now_).at(0).granted, 0);
  EXPECT_EQ(Ask(250, milliseconds(0)).at(0).granted, 250);
}

TEST_F(quota_table_test, ServesUrgentRequestsFirstThenInOrderOfArrival) {
  Ask(500, milliseconds(0));
  EXPECT_TRUE(Ask(20, milliseconds(100), 2).empty());  // Number 2.
  EXPECT_TRUE(Ask(20, milliseconds(100), 2).empty());  // Number 3.
  EXPECT_TRUE(Ask(20, milliseconds(100), 0).empty());  // Number 4.
  const auto served = Pass(milliseconds(60));
  ASSERT_EQ(served.size(), 3U);
  EXPECT_EQ(served[0].number, 4U);
  EXPECT_EQ(served[1].number, 2U);
  EXPECT_EQ(served[2].number, 3U);
}

// A request whose place was taken must not wait for a lease that comes too
// late.
TEST_F(quota_table_test, RefusesWhatUrgentRequestsHaveOvertaken) {
  Ask(500, milliseconds(0));
  EXPECT_TRUE(Ask(60, milliseconds(60), 2).empty());
  const auto refused = Ask(60, milliseconds(60), 0);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].number, 2U);
  EXPECT_EQ(refused[0].granted, 0);
  EXPECT_EQ(Pass(milliseconds(60)).at(0).number, 3U);
}

// Otherwise such a request could never run.
TEST_F(quota_table_test, AFullBucketServesARequestLargerThanTheBurst) {
  Ask(1, milliseconds(0));
  Pass(milliseconds(1000));
  EXPECT_EQ(Ask(1500, milliseconds(0)).at(0).granted, 1500);
  EXPECT_EQ(Ask(100, milliseconds(60)).at(0).retry_after, milliseconds(600));
}

// One request must not exceed what the platform permits in a window.
TEST_F(quota_table_test, RefusesARequestFarBeyondTheBurst) {
  Ask(1, milliseconds(0));
  Pass(milliseconds(1000));
  EXPECT_EQ(Ask(9193, milliseconds(60)).at(0).granted, 0);
  EXPECT_EQ(Ask(9192, milliseconds(60)).at(0).granted, 9192);
}

TEST_F(quota_table_test, TheHighestVersionOfALimitApplies) {
  Ask(1, milliseconds(0));
  request_.limit = {.rate = 100, .burst = 100, .version = 4};
  EXPECT_EQ(Ask(60, milliseconds(0)).at(0).granted, 60);
  EXPECT_EQ(Ask(60, milliseconds(0)).at(0).granted, 0);
  request_.limit = {.rate = 1000, .burst = 1000, .version = 3};
  EXPECT_EQ(Ask(40, milliseconds(0)).at(0).granted, 40);
  EXPECT_EQ(Ask(100, milliseconds(0)).at(0).retry_after, milliseconds(1000));
}

TEST_F(quota_table_test, TheFallbackGivesItsShareOnly) {
  request_.role = quota_role::fallback;
  EXPECT_EQ(Ask(60, milliseconds(0)).at(0).granted, 60);
  EXPECT_EQ(Ask(60, milliseconds(0)).at(0).retry_after, milliseconds(500));
  request_.role = quota_role::primary;
  EXPECT_EQ(Ask(500, milliseconds(0)).at(0).granted, 500);
}

TEST_F(quota_table_test, AGatewayThatIsGoneGetsNothing) {
  Ask(500, milliseconds(0));
  EXPECT_TRUE(Ask(10, milliseconds(60)).empty());
  table_.OnLinkLost(1);
  EXPECT_EQ(table_.Waiting(), 0U);
  EXPECT_TRUE(Pass(milliseconds(20)).empty());
}

// Whatever is asked for, one role of one table gives no more than the burst,
// the rate and one request (the debt of the last) in any time.
RC_GTEST_PROP(
    quota_table_property_test, NeverGivesMoreThanRateAndBurst,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& asks)) {
  quota_table table;
  core::time_point now{milliseconds(1)};
  const core::time_point begin = now;
  const quota_limit limit{.rate = 300, .burst = 100, .version = 1};
  std::int64_t given = 0;
  std::int64_t largest = 0;
  const auto count = [&](const quota_table::decisions& made) {
    for (const auto& each : made) given += each.granted;
    const double passed = std::chrono::duration<double>(now - begin).count();
    RC_ASSERT(static_cast<double>(given) <=
              limit.rate * passed + limit.burst + static_cast<double>(largest));
  };
  std::uint64_t number = 0;
  for (const auto& [amount, pause] : asks) {
    now += milliseconds(pause);
    largest = std::max<std::int64_t>(largest, amount);
    count(table.OnTick(now));
    count(table.OnRequest({.number = ++number,
                           .tenant = core::tenant_id("t"),
                           .limit = limit,
                           .minimum = amount / 2 + 1,
                           .amount = amount + 1,
                           .priority = amount % 3,
                           .deadline = now + milliseconds(pause % 100)},
                          now));
  }
}

}  // namespace
}  // namespace comfreyspring::quotas

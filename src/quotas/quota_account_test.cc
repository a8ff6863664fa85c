#include "quotas/quota_account.h"

#include <gtest/gtest.h>

#include <vector>

namespace comfreyspring::quotas {
namespace {

using core::milliseconds;

class quota_account_test : public ::testing::Test {
 protected:
  quota_account::actions Request(std::int64_t amount, int priority = 1) {
    return account_.Charge(
        {.number = ++number_, .amount = amount, .priority = priority}, limit_,
        sidecars_, now_);
  }
  quota_account::actions Answer(std::uint64_t number, std::int64_t granted,
                                milliseconds retry_after = milliseconds(0)) {
    return account_.OnAnswer(number, granted, retry_after, sidecars_, now_);
  }
  quota_account::actions Pass(milliseconds length) {
    now_ += length;
    return account_.OnTick(sidecars_, now_);
  }
  template <class Action>
  static std::vector<Action> Of(const quota_account::actions& all) {
    std::vector<Action> found;
    for (const auto& each : all) {
      if (const auto* match = std::get_if<Action>(&each)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  quota_account account_;
  core::time_point now_{milliseconds(70'000)};
  std::uint64_t number_ = 0;
  quota_limit limit_{.rate = 1000, .burst = 1000, .version = 1};
  counting_sidecars sidecars_{.primary = "p", .fallback = "f", .gateways = 4};
};

TEST_F(quota_account_test, AsksForWhatARequestNeeds) {
  const auto asks = Of<send_ask>(Request(100));
  ASSERT_EQ(asks.size(), 1U);
  EXPECT_EQ(asks[0].sidecar, "p");
  EXPECT_EQ(asks[0].amount, 100);
  const auto admitted = Of<admit_charge>(Answer(asks[0].number, 100));
  ASSERT_EQ(admitted.size(), 1U);
  EXPECT_EQ(admitted[0].number, 1U);
  EXPECT_EQ(account_.Held(now_), 0);
}

TEST_F(quota_account_test, OneAskIsInFlight) {
  const auto first = Of<send_ask>(Request(100));
  EXPECT_TRUE(Request(50).empty());
  EXPECT_TRUE(Request(60).empty());
  const auto next = Answer(first.at(0).number, 100);
  EXPECT_EQ(Of<admit_charge>(next).size(), 1U);
  EXPECT_EQ(Of<send_ask>(next).at(0).amount, 110);
}

// A busy tenant's requests must not wait for a round trip each.
TEST_F(quota_account_test, AsksAheadOfFrequentRequests) {
  std::size_t waited = 0;
  for (int i = 0; i < 200; ++i) {
    auto actions = Request(10);
    if (Of<admit_charge>(actions).empty()) ++waited;
    now_ += milliseconds(2);
    for (auto asks = Of<send_ask>(actions); !asks.empty();
         asks = Of<send_ask>(actions)) {
      actions = Answer(asks[0].number, asks[0].amount);
    }
    now_ += milliseconds(18);
  }
  EXPECT_LE(waited, quota_account::kAheadCount + 1);
}

// Amounts that are not used are missing elsewhere.
TEST_F(quota_account_test, HoldsNothingForRareRequests) {
  for (int i = 0; i < 20; ++i) {
    const auto asks = Of<send_ask>(Request(10));
    ASSERT_EQ(asks.size(), 1U);
    EXPECT_EQ(asks[0].amount, 10);
    Answer(asks[0].number, 10);
    now_ += milliseconds(200);
  }
}

TEST_F(quota_account_test, LeasesEnd) {
  const auto asks = Of<send_ask>(Request(10));
  now_ += milliseconds(40);
  Answer(asks.at(0).number, 30);
  EXPECT_EQ(account_.Held(now_), 20);
  // Counts from the time of the ask.
  now_ += milliseconds(460);
  EXPECT_EQ(account_.Held(now_), 0);
}

TEST_F(quota_account_test, WhatDidNotRunCountsAgainUntilItsLeaseEnds) {
  const auto asks = Of<send_ask>(Request(10));
  const auto admitted = Of<admit_charge>(Answer(asks.at(0).number, 10));
  account_.Return(10, admitted.at(0).lease_end, now_);
  EXPECT_EQ(Of<admit_charge>(Request(10)).size(), 1U);
  now_ += milliseconds(600);
  account_.Return(10, admitted.at(0).lease_end, now_);
  EXPECT_TRUE(Of<admit_charge>(Request(10)).empty());
}

// A tenant far over its rate must not cost a message for each request.
TEST_F(quota_account_test, ARefusalHoldsForAShortTime) {
  const auto asks = Of<send_ask>(Request(100));
  Request(20);
  const auto answered = Answer(asks.at(0).number, 0, milliseconds(300));
  ASSERT_EQ(Of<refuse_charge>(answered).size(), 1U);
  EXPECT_EQ(Of<refuse_charge>(answered)[0].retry_after, milliseconds(300));
  // The smaller request may still be served.
  EXPECT_EQ(Of<send_ask>(answered).at(0).amount, 20);
  Answer(Of<send_ask>(answered)[0].number, 20);
  EXPECT_EQ(Of<refuse_charge>(Request(100)).size(), 1U);
  now_ += milliseconds(101);
  EXPECT_EQ(Of<send_ask>(Request(100)).size(), 1U);
}

// A frozen sidecar accepts messages and never answers.
TEST_F(quota_account_test, AsksTheFallbackAfterATimeoutThenUsesTheLocalShare) {
  Request(10);
  EXPECT_TRUE(Pass(milliseconds(99)).empty());
  EXPECT_EQ(Of<send_ask>(Pass(milliseconds(1))).at(0).sidecar, "f");
  // 0.08 of the rate, divided among 4 gateways: 20 a second, from now on.
  const auto decided = Pass(milliseconds(100));
  EXPECT_EQ(Of<refuse_charge>(decided).at(0).source,
            decision_source::local_share);
  now_ += milliseconds(500);
  EXPECT_EQ(Of<admit_charge>(Request(10)).at(0).source,
            decision_source::local_share);
  EXPECT_EQ(Of<refuse_charge>(Request(10)).size(), 1U);
  now_ += milliseconds(1000);
  EXPECT_EQ(Of<send_ask>(Request(10)).at(0).sidecar, "p");
}

// After a pause of the gateway the answer is still to be read.
TEST_F(quota_account_test, APauseIsNotASilentSidecar) {
  Request(10);
  now_ += milliseconds(300);
  account_.OnPaused(now_);
  EXPECT_TRUE(Pass(milliseconds(99)).empty());
  EXPECT_EQ(Of<admit_charge>(Answer(1, 10)).size(), 1U);
}

TEST_F(quota_account_test, ALateAnswerIsUsed) {
  const auto first = Of<send_ask>(Request(10));
  const auto second = Of<send_ask>(Pass(milliseconds(100)));
  EXPECT_EQ(Of<admit_charge>(Answer(first.at(0).number, 10)).size(), 1U);
  Answer(second.at(0).number, 10);
  EXPECT_EQ(account_.Held(now_), 10);
  EXPECT_EQ(Of<admit_charge>(Request(10)).size(), 1U);
}

TEST_F(quota_account_test, ALostLinkMovesTheAskAtOnce) {
  Request(10);
  sidecars_.primary.clear();
  const auto moved = account_.OnSidecarLost("p", sidecars_, now_);
  EXPECT_EQ(Of<send_ask>(moved).at(0).sidecar, "f");
  EXPECT_EQ(Of<send_ask>(moved)[0].role, quota_role::fallback);
}

}  // namespace
}  // namespace comfreyspring::quotas

#include "grants/permit_table.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace comfreyspring::grants {
namespace {

using core::milliseconds;
using limits::limit_change;
using limits::request_rate;

const limits::endpoint_incarnation kEndpoint{catalog::instance_id("i-1"), 7};

class permit_table_test : public ::testing::Test {
 protected:
  request_key Request(milliseconds patience = milliseconds(0),
                      permit_role role = permit_role::primary,
                      double per_second = 2.0, int priority = 0) {
    const request_key key{1, ++last_number_};
    Apply(table_.OnRequest({.key = key,
                            .endpoint = kEndpoint,
                            .role = role,
                            .rate = request_rate(per_second),
                            .priority = priority,
                            .deadline = now_ + patience,
                            .maximum_retry_after = milliseconds(4000)},
                           now_));
    return key;
  }
  limit_change Observe(std::optional<request_rate> rate,
                       std::optional<request_key> request = std::nullopt) {
    return table_.OnLimitObserved({.endpoint = kEndpoint,
                                   .request = request,
                                   .rate = rate,
                                   .response_received = now_},
                                  now_);
  }
  void Pass(milliseconds length) {
    for (const auto end = now_ + length; now_ < end;) {
      now_ += milliseconds(20);
      Apply(table_.OnTick(now_));
    }
  }
  void Apply(const permit_table::actions& actions) {
    for (const grant_action& action : actions) {
      if (const auto* given = std::get_if<grant>(&action)) {
        given_.insert(given->key);
      } else if (const auto* denied = std::get_if<refusal>(&action)) {
        refused_[denied->key] = *denied;
      }
    }
  }

  core::time_point now_{std::chrono::seconds(100)};
  permit_table table_{1};
  std::set<request_key> given_;
  std::map<request_key, refusal> refused_;
  std::uint64_t last_number_ = 0;
};

// A sidecar that has just started learns the limit from the first request, and
// does not know what was permitted before.
TEST_F(permit_table_test, StartsWithoutPermits) {
  EXPECT_EQ(given_.count(Request()), 0U);
  EXPECT_EQ(table_.LimitOf(kEndpoint), request_rate(2.0));
  Pass(milliseconds(500));
  EXPECT_EQ(given_.count(Request()), 1U);
}

// Load pattern: 50 requests per second for an endpoint that takes two.
TEST_F(permit_table_test, PermitsTheLimitAndNoMore) {
  for (int i = 0; i < 500; ++i) {
    Request();
    Pass(milliseconds(20));
  }
  EXPECT_GE(given_.size(), 19U);
  EXPECT_LE(given_.size(), 22U);
}

TEST_F(permit_table_test, AFallbackPermitsAPartOfTheLimit) {
  for (int i = 0; i < 500; ++i) {
    Request(milliseconds(0), permit_role::fallback);
    Pass(milliseconds(20));
  }
  EXPECT_GE(given_.size(), 5U);
  EXPECT_LE(given_.size(), 7U);
}

TEST_F(permit_table_test, WaitingRequestsGoByPriority) {
  Request();
  const auto later = Request(milliseconds(3000), permit_role::primary, 2.0, 1);
  const auto urgent = Request(milliseconds(3000), permit_role::primary, 2.0, 0);
  EXPECT_TRUE(table_.IsWaiting(later));
  Pass(milliseconds(520));
  EXPECT_EQ(given_.count(urgent), 1U);
  EXPECT_EQ(given_.count(later), 0U);
  Pass(milliseconds(500));
  EXPECT_EQ(given_.count(later), 1U);
}

// Guards against callers that are refused together and told to return
// together.
TEST_F(permit_table_test, RefusedRequestsAreToldToReturnOneAfterAnother) {
  std::set<milliseconds> waits;
  for (int i = 0; i < 6; ++i) waits.insert(refused_[Request()].expected_wait);
  ASSERT_EQ(waits.size(), 6U);
  EXPECT_EQ(*waits.begin(), milliseconds(500));
  EXPECT_EQ(*waits.rbegin(), milliseconds(3000));
  for (int i = 0; i < 50; ++i) {
    EXPECT_LE(refused_[Request()].expected_wait, milliseconds(4000));
  }
}

TEST_F(permit_table_test, AWithdrawnPermitIsNotCounted) {
  Request();
  Pass(milliseconds(500));
  const auto first = Request();
  ASSERT_EQ(given_.count(first), 1U);
  Apply(table_.OnWithdrawn(first, now_));
  EXPECT_EQ(given_.count(Request()), 1U);
}

TEST_F(permit_table_test, AResponseToALaterPermitEndsTheLimit) {
  EXPECT_EQ(Observe(request_rate(2.0)), limit_change::heard);
  Pass(milliseconds(600));
  const auto first = Request();
  ASSERT_EQ(given_.count(first), 1U);
  now_ += milliseconds(10);
  Observe(request_rate(2.0));
  EXPECT_EQ(Observe(std::nullopt, first), limit_change::none);
  EXPECT_EQ(Observe(std::nullopt), limit_change::none);
  Pass(milliseconds(600));
  const auto second = Request();
  ASSERT_EQ(given_.count(second), 1U);
  EXPECT_EQ(Observe(std::nullopt, second), limit_change::ended);
  // A gateway that has not heard of it gets its permit nevertheless.
  EXPECT_EQ(given_.count(Request()), 1U);
  EXPECT_FALSE(table_.LimitOf(kEndpoint));
}

// A gateway's outdated knowledge must not replace what responses say.
TEST_F(permit_table_test, ARequestDoesNotChangeAKnownLimit) {
  Observe(request_rate(4.0));
  Request(milliseconds(0), permit_role::primary, 1.0);
  EXPECT_EQ(table_.LimitOf(kEndpoint), request_rate(4.0));
}

TEST_F(permit_table_test, ALimitOfZeroIsProbed) {
  for (int i = 0; i < 160; ++i) {
    Request(milliseconds(0), permit_role::primary, 0.0);
    Pass(milliseconds(100));
  }
  EXPECT_GE(given_.size(), 3U);
  EXPECT_LE(given_.size(), 4U);
}

TEST_F(permit_table_test, AStoppingSidecarReturnsWaitingRequests) {
  Request();
  const auto waiting = Request(milliseconds(3000));
  ASSERT_TRUE(table_.IsWaiting(waiting));
  Apply(table_.OnStopping(now_));
  EXPECT_EQ(refused_[waiting].reason, refusal_reason::stopping);
  EXPECT_EQ(refused_[Request()].reason, refusal_reason::stopping);
}

}  // namespace
}  // namespace comfreyspring::grants

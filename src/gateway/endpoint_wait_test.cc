#include "gateway/endpoint_wait.h"

#include <gtest/gtest.h>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

unplaced_request Waiting(milliseconds waited) {
  return {.waited = waited,
          .maximum_wait = milliseconds(2700),
          .returning_endpoints = 47};
}

// After a loss of power engines serve again within a second; callers that are
// refused before that have only one more attempt.
TEST(endpoint_wait_test, WaitsWhileEnginesStart) {
  EXPECT_TRUE(MayAwaitEndpoint(Waiting(milliseconds(0))));
  EXPECT_TRUE(MayAwaitEndpoint(Waiting(milliseconds(900))));
}

TEST(endpoint_wait_test, RefusesWhatWouldWaitInVain) {
  EXPECT_FALSE(MayAwaitEndpoint(Waiting(milliseconds(1000))));
  auto request = Waiting(milliseconds(300));
  request.maximum_wait = milliseconds(300);
  EXPECT_FALSE(MayAwaitEndpoint(request));
  request = Waiting(milliseconds(0));
  request.returning_endpoints = 0;
  EXPECT_FALSE(MayAwaitEndpoint(request));
}

TEST(endpoint_wait_test, ARunThatFailedDoesNotWait) {
  auto request = Waiting(milliseconds(0));
  request.has_started = true;
  EXPECT_FALSE(MayAwaitEndpoint(request));
}

// Thousands of callers that return at once must not be held together.
TEST(endpoint_wait_test, TheNumberOfWaitingRequestsIsBounded) {
  auto request = Waiting(milliseconds(0));
  request.waiting = 511;
  EXPECT_TRUE(MayAwaitEndpoint(request));
  request.waiting = 512;
  EXPECT_FALSE(MayAwaitEndpoint(request));
}

}  // namespace
}  // namespace comfreyspring::gateway

#include "gateway/retry_policy.h"

#include <gtest/gtest.h>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

catalog::route Unsafe() {
  return {.retries = catalog::retry_rule::non_idempotent,
          .maximum_endpoints = 3};
}
catalog::route Idempotent() {
  return {.retries = catalog::retry_rule::idempotent, .maximum_endpoints = 2};
}
catalog::route Resumable() {
  return {.streams = true, .resumable = true, .maximum_endpoints = 2};
}

retry_context After(attempt_failure failure, int endpoints_used = 1) {
  return {.failure = failure,
          .endpoints_used = endpoints_used,
          .attempts = endpoints_used,
          .time_left = milliseconds(1000)};
}

// A non-idempotent call that may have run must never be sent again.
TEST(retry_policy_test, NeverRetriesAnUnsafeCallThatMayHaveRun) {
  for (const auto failure : {attempt_failure::unknown, attempt_failure::failed,
                             attempt_failure::stalled}) {
    EXPECT_EQ(DecideRetry(Unsafe(), After(failure)), retry_decision::give_up);
  }
}

TEST(retry_policy_test, RetriesAnUnsafeCallThatHasNotRun) {
  EXPECT_EQ(DecideRetry(Unsafe(), After(attempt_failure::not_run)),
            retry_decision::anywhere);
  EXPECT_EQ(DecideRetry(Unsafe(), After(attempt_failure::not_sent, 0)),
            retry_decision::anywhere);
}

TEST(retry_policy_test, KeepsToTheEndpointsOfTheRoute) {
  EXPECT_EQ(DecideRetry(Idempotent(), After(attempt_failure::unknown, 1)),
            retry_decision::anywhere);
  EXPECT_EQ(DecideRetry(Idempotent(), After(attempt_failure::unknown, 2)),
            retry_decision::same_endpoint);
}

TEST(retry_policy_test, OnlyAResumableStreamContinues) {
  auto begun = After(attempt_failure::unknown);
  begun.response_started = true;
  EXPECT_EQ(DecideRetry(Resumable(), begun), retry_decision::anywhere);
  auto plain = Resumable();
  plain.resumable = false;
  EXPECT_EQ(DecideRetry(plain, begun), retry_decision::give_up);
}

TEST(retry_policy_test, GivesUpWithoutTime) {
  auto late = After(attempt_failure::not_run);
  late.time_left = milliseconds(20);
  EXPECT_EQ(DecideRetry(Idempotent(), late), retry_decision::give_up);
}

TEST(retry_policy_test, TimeoutsFollowTheRoute) {
  auto route = Resumable();
  route.first_output_target = milliseconds(600);
  route.event_gap_target = milliseconds(300);
  const auto timeouts = TimeoutsFor(route, milliseconds(15'000));
  EXPECT_EQ(timeouts.caller_idle_timeout, milliseconds(2400));
  EXPECT_LT(timeouts.maximum_grant_wait, timeouts.caller_idle_timeout);
  EXPECT_LT(timeouts.stall_timeout, timeouts.caller_idle_timeout);
  const auto brief = TimeoutsFor(route, milliseconds(400));
  EXPECT_LE(brief.maximum_grant_wait, milliseconds(200));
}

}  // namespace
}  // namespace comfreyspring::gateway

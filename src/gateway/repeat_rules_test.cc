#include "gateway/repeat_rules.h"

#include <gtest/gtest.h>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

catalog::route Unsafe() {
  return {.repeats = catalog::repeat_rule::non_idempotent,
          .maximum_endpoints = 3};
}
catalog::route Idempotent() {
  return {.repeats = catalog::repeat_rule::idempotent, .maximum_endpoints = 2};
}
catalog::route Resumable() {
  return {.streams = true, .resumable = true, .maximum_endpoints = 2};
}

repeat_situation After(attempt_failure failure, int endpoints_used = 1) {
  return {.failure = failure,
          .endpoints_used = endpoints_used,
          .attempts = endpoints_used,
          .time_left = milliseconds(1000)};
}

// A non-idempotent call that may have run must never be sent again.
TEST(repeat_rules_test, NeverRepeatsAnUnsafeCallThatMayHaveRun) {
  for (const auto failure : {attempt_failure::unknown, attempt_failure::failed,
                             attempt_failure::stalled}) {
    EXPECT_EQ(DecideRepeat(Unsafe(), After(failure)), repeat_decision::give_up);
  }
}

TEST(repeat_rules_test, RepeatsAnUnsafeCallThatSurelyHasNotRun) {
  EXPECT_EQ(DecideRepeat(Unsafe(), After(attempt_failure::not_run)),
            repeat_decision::anywhere);
  EXPECT_EQ(DecideRepeat(Unsafe(), After(attempt_failure::not_sent, 0)),
            repeat_decision::anywhere);
}

TEST(repeat_rules_test, KeepsToTheEndpointsOfTheRoute) {
  EXPECT_EQ(DecideRepeat(Idempotent(), After(attempt_failure::unknown, 1)),
            repeat_decision::anywhere);
  EXPECT_EQ(DecideRepeat(Idempotent(), After(attempt_failure::unknown, 2)),
            repeat_decision::same_endpoint);
}

TEST(repeat_rules_test, OnlyAResumableStreamGoesOn) {
  auto begun = After(attempt_failure::unknown);
  begun.answer_begun = true;
  EXPECT_EQ(DecideRepeat(Resumable(), begun), repeat_decision::anywhere);
  auto plain = Resumable();
  plain.resumable = false;
  EXPECT_EQ(DecideRepeat(plain, begun), repeat_decision::give_up);
}

TEST(repeat_rules_test, GivesUpWithoutTime) {
  auto late = After(attempt_failure::not_run);
  late.time_left = milliseconds(20);
  EXPECT_EQ(DecideRepeat(Idempotent(), late), repeat_decision::give_up);
}

TEST(repeat_rules_test, PatienceFollowsTheRoute) {
  auto route = Resumable();
  route.goal = milliseconds(600);
  route.event_gap = milliseconds(300);
  const auto patience = PatienceFor(route, milliseconds(15'000));
  EXPECT_EQ(patience.caller_leaves, milliseconds(2400));
  EXPECT_LT(patience.longest_wait, patience.caller_leaves);
  EXPECT_LT(patience.stall, patience.caller_leaves);
  const auto brief = PatienceFor(route, milliseconds(400));
  EXPECT_LE(brief.longest_wait, milliseconds(200));
}

}  // namespace
}  // namespace comfreyspring::gateway

#include "agent/attempt_register.h"

#include <gtest/gtest.h>

#include "core/random_source.h"
#include "core/uuid.h"

namespace comfreyspring::agent {
namespace {

using core::milliseconds;
using core::time_point;

const core::wall_time kStart = core::WallTimeFromUnix(1'700'000'000'000);

core::attempt_id AttemptCreatedAt(std::int64_t ms_after_start) {
  static core::random_source random(5);
  return core::attempt_id(
      core::MakeUuidV7(kStart + milliseconds(ms_after_start), random) + ".1");
}

// Guards against reporting an attempt as not run that may have run here.
TEST(attempt_register_test, OnlyAttemptsNewerThanTheProcessCannotHaveRun) {
  attempt_register attempts({.started_at = kStart});
  EXPECT_FALSE(attempts.CannotHaveRun(AttemptCreatedAt(-1)));
  EXPECT_FALSE(attempts.CannotHaveRun(AttemptCreatedAt(2000)));
  EXPECT_TRUE(attempts.CannotHaveRun(AttemptCreatedAt(2001)));
  EXPECT_FALSE(attempts.CannotHaveRun(core::attempt_id("r.1")));
  EXPECT_FALSE(attempts.CannotHaveRun(core::attempt_id(std::string(40, 'x'))));
}

TEST(attempt_register_test, EvictsAttemptsAfterTheRetentionTime) {
  attempt_register attempts(
      {.started_at = kStart, .retention = milliseconds(1000)});
  const auto attempt = AttemptCreatedAt(5000);
  const time_point submitted_at{milliseconds(5000)};
  attempts.MarkSubmitted(attempt, submitted_at);
  attempts.OnTick(submitted_at + milliseconds(999),
                  kStart + milliseconds(5999));
  EXPECT_EQ(attempts.Status(attempt), attempt_status::submitted);
  attempts.OnTick(submitted_at + milliseconds(1000),
                  kStart + milliseconds(6000));
  EXPECT_EQ(attempts.Status(attempt), attempt_status::unseen);
  EXPECT_FALSE(attempts.CannotHaveRun(attempt));
}

// Guards against reporting an attempt as not run after it was evicted from a
// full register.
TEST(attempt_register_test, AnAttemptEvictedFromAFullRegisterMayHaveRun) {
  attempt_register attempts({.started_at = kStart, .maximum_attempts = 1});
  const auto first = AttemptCreatedAt(5000);
  attempts.MarkSubmitted(first, time_point());
  attempts.OnTick(time_point(), kStart + milliseconds(5001));
  attempts.Block(AttemptCreatedAt(5002), time_point());
  EXPECT_EQ(attempts.Size(), 1U);
  EXPECT_EQ(attempts.Status(first), attempt_status::unseen);
  EXPECT_FALSE(attempts.CannotHaveRun(first));
}

}  // namespace
}  // namespace comfreyspring::agent

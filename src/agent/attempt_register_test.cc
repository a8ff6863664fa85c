#include "agent/attempt_register.h"

#include <gtest/gtest.h>

#include "core/random_source.h"
#include "core/uuid.h"

namespace comfreyspring::agent {
namespace {

using core::milliseconds;
using core::time_point;

const core::wall_time kStart = core::WallTimeFromUnix(1'700'000'000'000);

core::attempt_id Made(std::int64_t ms_after_start) {
  static core::random_source random(5);
  return core::attempt_id(
      core::MakeUuidV7(kStart + milliseconds(ms_after_start), random) + ".1");
}

// Guards the proof that an attempt was not run here.
TEST(attempt_register_test, ProvesOnlyAttemptsYoungerThanItsMemory) {
  attempt_register known({.started_at = kStart});
  EXPECT_FALSE(known.ProvesNotTaken(Made(-1)));
  EXPECT_FALSE(known.ProvesNotTaken(Made(2000)));
  EXPECT_TRUE(known.ProvesNotTaken(Made(2001)));
  EXPECT_FALSE(known.ProvesNotTaken(core::attempt_id("r.1")));
  EXPECT_FALSE(known.ProvesNotTaken(core::attempt_id(std::string(40, 'x'))));
}

TEST(attempt_register_test, ForgetsAfterItsMemoryAndProvesLessFromThenOn) {
  attempt_register known({.started_at = kStart, .memory = milliseconds(1000)});
  const auto attempt = Made(5000);
  const time_point taken{milliseconds(5000)};
  known.Take(attempt, taken);
  known.OnTick(taken + milliseconds(999), kStart + milliseconds(5999));
  EXPECT_EQ(known.Knowledge(attempt), attempt_knowledge::taken);
  known.OnTick(taken + milliseconds(1000), kStart + milliseconds(6000));
  EXPECT_EQ(known.Knowledge(attempt), attempt_knowledge::fresh);
  EXPECT_FALSE(known.ProvesNotTaken(attempt));
}

// Guards against an attempt that falls out of a full register and would then
// be reported as not run.
TEST(attempt_register_test, AFullRegisterProvesNothingOfTheForgotten) {
  attempt_register known({.started_at = kStart, .maximum_attempts = 1});
  const auto first = Made(5000);
  known.Take(first, time_point());
  known.OnTick(time_point(), kStart + milliseconds(5001));
  known.Bar(Made(5002), time_point());
  EXPECT_EQ(known.Size(), 1U);
  EXPECT_EQ(known.Knowledge(first), attempt_knowledge::fresh);
  EXPECT_FALSE(known.ProvesNotTaken(first));
}

}  // namespace
}  // namespace comfreyspring::agent

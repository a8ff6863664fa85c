#include "grants/prompt_pacer.h"

#include <gtest/gtest.h>

namespace comfreyspring::grants {
namespace {

using core::milliseconds;

// A burst of prompts that are prefilled back to back would lengthen the gaps in
// all running streams beyond the target.
TEST(prompt_pacer_test, LimitsPendingPrefillToAShareOfTheGap) {
  prompt_pacer pacer(30.0);
  pacer.SetEventGapTarget(milliseconds(300));
  std::int64_t pending = 0;
  while (pacer.HasRoom(pending, 300)) pending += 300;
  EXPECT_EQ(pacer.PrefillTime(pending), milliseconds(60));
  EXPECT_FALSE(pacer.HasRoom(pending, 1));
}

TEST(prompt_pacer_test, ALongPromptStartsAlone) {
  prompt_pacer pacer(30.0);
  EXPECT_TRUE(pacer.HasRoom(0, 9000));
  EXPECT_FALSE(pacer.HasRoom(9000, 100));
  EXPECT_FALSE(pacer.HasRoom(100, 9000));
}

TEST(prompt_pacer_test, HoldsForAShareOfTheGap) {
  prompt_pacer pacer(30.0);
  pacer.SetEventGapTarget(milliseconds(300));
  const core::time_point now{std::chrono::seconds(100)};
  EXPECT_FALSE(pacer.IsHeld(now));
  pacer.OnStreamsStalled(now);
  EXPECT_TRUE(pacer.IsHeld(now + milliseconds(100)));
  EXPECT_FALSE(pacer.IsHeld(now + milliseconds(300)));
}

// The constant part of the time to first output must not be attributed to
// prefill.
TEST(prompt_pacer_test, MeasuresTheRateAsASlope) {
  prompt_pacer pacer(20.0);
  for (int i = 0; i < 200; ++i) {
    const std::int64_t tokens = 300 + (i * 577) % 3000;
    pacer.OnFirstOutput(tokens, milliseconds(60 + tokens / 40));
  }
  EXPECT_NEAR(pacer.Rate(), 40.0, 2.0);
}

TEST(prompt_pacer_test, IgnoresPromptsOfEqualLength) {
  prompt_pacer pacer(20.0);
  for (int i = 0; i < 100; ++i) pacer.OnFirstOutput(800, milliseconds(90 + i));
  EXPECT_EQ(pacer.Rate(), 20.0);
}

}  // namespace
}  // namespace comfreyspring::grants

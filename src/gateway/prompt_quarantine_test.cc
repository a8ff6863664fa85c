#include "gateway/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;
using core::prompt_part_id;
using core::time_point;

class prompt_quarantine_test : public ::testing::Test {
 protected:
  static prompt_quarantine::part_list Parts(
      const std::vector<std::string>& names) {
    prompt_quarantine::part_list parts;
    for (const std::string& name : names) parts.emplace_back(name);
    return parts;
  }
  /** An engine ends under a request with these parts that is sent now. */
  void Crash(const prompt_quarantine::part_list& parts) {
    quarantine_.OnCrash({.crash = {core::process_id("s"), ++crashes_},
                         .parts = quarantine_.BlamedParts(parts, now_)},
                        now_);
  }
  prompt_admission Admission(const prompt_quarantine::part_list& parts) const {
    return quarantine_.Judge(parts, now_).admission;
  }

  prompt_quarantine quarantine_;
  time_point now_{std::chrono::seconds(1000)};
  std::int64_t crashes_ = 0;
};

TEST_F(prompt_quarantine_test, IsolatesThenRefusesAPartThatEndsEngines) {
  quarantine_.OnAnswered(Parts({"first", "subject"}), now_);
  const auto deadly = Parts({"first", "subject", "dead"});
  const auto sound = Parts({"first", "subject"});
  EXPECT_EQ(Admission(deadly), prompt_admission::any);
  Crash(deadly);
  EXPECT_EQ(Admission(deadly), prompt_admission::isolated);
  EXPECT_EQ(quarantine_.Judge(deadly, now_).part.Value(), "dead");
  Crash(deadly);
  EXPECT_EQ(Admission(deadly), prompt_admission::isolated);
  Crash(deadly);
  const auto judgement = quarantine_.Judge(deadly, now_);
  EXPECT_EQ(judgement.admission, prompt_admission::refused);
  EXPECT_EQ(judgement.part.Value(), "dead");
  EXPECT_EQ(judgement.retry_after,
            quarantine::crash_evidence::kFirstQuarantine);
  EXPECT_EQ(Admission(sound), prompt_admission::any);
}

// The part that nearly all prompts share stands in each crash.
TEST_F(prompt_quarantine_test, APartWithRecentAnswersIsNotIsolated) {
  const auto sound = Parts({"first"});
  Crash(sound);
  EXPECT_EQ(Admission(sound), prompt_admission::isolated);
  quarantine_.OnAnswered(sound, now_);
  Crash(sound);
  EXPECT_EQ(Admission(sound), prompt_admission::any);
}

TEST_F(prompt_quarantine_test, PromptsWithoutSharedPartsAreNotJudged) {
  for (int i = 0; i < 5; ++i) Crash({});
  EXPECT_EQ(Admission({}), prompt_admission::any);
  EXPECT_TRUE(quarantine_.Evidence().Parts().empty());
}

// A part that was sound until now is found as well, once its answers are old.
TEST_F(prompt_quarantine_test, APartThatBecomesDeadlyIsRefused) {
  quarantine_.OnAnswered(Parts({"first", "dead"}), now_);
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(500);
    quarantine_.OnAnswered(Parts({"first", "other"}), now_);
    Crash(Parts({"first", "dead"}));
  }
  EXPECT_EQ(Admission(Parts({"first", "dead"})), prompt_admission::refused);
  EXPECT_EQ(Admission(Parts({"first", "other"})), prompt_admission::any);
}

}  // namespace
}  // namespace comfreyspring::gateway

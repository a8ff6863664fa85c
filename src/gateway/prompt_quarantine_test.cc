#include "gateway/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <string>

#include "quarantine/request_fingerprint.h"

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

/** A request whose parts others share, and which comes again. */
class repeated_request_quarantine_test : public prompt_quarantine_test {
 protected:
  static prompt_quarantine::part_list Request(const std::string& body) {
    auto suspects = Parts({"first", "subject"});
    suspects.push_back(quarantine::RequestFingerprint({body}));
    return suspects;
  }
};

TEST_F(repeated_request_quarantine_test, IsRefusedWhileOthersLikeItAreSent) {
  const auto deadly = Request("deadly");
  for (int crash = 0; crash < 3; ++crash) {
    quarantine_.OnAnswered(Request("sound"), now_);
    EXPECT_NE(Admission(deadly), prompt_admission::refused) << crash;
    Crash(deadly);
  }
  const auto judgement = quarantine_.Judge(deadly, now_);
  EXPECT_EQ(judgement.admission, prompt_admission::refused);
  EXPECT_EQ(judgement.part, deadly.back());
  EXPECT_EQ(Admission(Request("other")), prompt_admission::any);
}

// An engine that ends under one request ends under all that are there.
TEST_F(repeated_request_quarantine_test, AnAnswerClearsARequestThatWasThere) {
  const auto sound = Request("sound");
  Crash(sound);
  Crash(sound);
  EXPECT_EQ(Admission(sound), prompt_admission::isolated);
  EXPECT_FALSE(quarantine_.OnAnswered(sound, now_).empty());
  EXPECT_EQ(Admission(sound), prompt_admission::any);
}

// Two requests were at the same engine when it ended: either is known by its
// other crashes.
TEST_F(repeated_request_quarantine_test, RequestsThatShareACrashAreToldApart) {
  const auto one = Request("one");
  const auto two = Request("two");
  auto both = quarantine_.BlamedParts(one, now_);
  both.push_back(quarantine_.BlamedParts(two, now_).back());
  quarantine_.OnCrash(
      {.crash = {core::process_id("s"), ++crashes_}, .parts = both}, now_);
  for (int crash = 0; crash < 2; ++crash) {
    quarantine_.OnAnswered(Request("sound"), now_);
    Crash(one);
    Crash(two);
  }
  EXPECT_EQ(Admission(one), prompt_admission::refused);
  EXPECT_EQ(Admission(two), prompt_admission::refused);
  EXPECT_EQ(Admission(Request("other")), prompt_admission::any);
}

// Copies that were sent before the first crash was known have one level.
TEST_F(repeated_request_quarantine_test, CrashesOfCopiesCountFromTheThirdOn) {
  const auto deadly = Request("deadly");
  quarantine_.OnAnswered(Request("sound"), now_);
  const auto blamed = quarantine_.BlamedParts(deadly, now_);
  for (int crash = 0; crash < 5; ++crash) {
    EXPECT_NE(Admission(deadly), prompt_admission::refused) << crash;
    quarantine_.OnCrash(
        {.crash = {core::process_id("s"), ++crashes_}, .parts = blamed}, now_);
  }
  EXPECT_EQ(Admission(deadly), prompt_admission::refused);
}

}  // namespace
}  // namespace comfreyspring::gateway

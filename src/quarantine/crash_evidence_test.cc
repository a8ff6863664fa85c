#include "quarantine/crash_evidence.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "quarantine/request_fingerprint.h"

namespace comfreyspring::quarantine {
namespace {

using core::milliseconds;
using core::prompt_part_id;
using core::time_point;

const prompt_part_id kPart{std::string("p")};
constexpr time_point kStart{std::chrono::seconds(1000)};

crash_record Crash(int number, int level, const prompt_part_id& part = kPart) {
  return {.crash = {core::process_id("sidecar-" + std::to_string(number)), 7},
          .parts = {{part, level}}};
}

/** Length of the quarantine of prompts with the part; 0 if there is none. */
milliseconds Quarantine(const crash_evidence& evidence, time_point since) {
  const auto* found = evidence.QuarantineOf({kPart});
  return found == nullptr ? milliseconds(0)
                          : core::ToMilliseconds(found->until - since);
}

/** Crashes that follow each other, each after the one before was known. */
crash_evidence AfterChain(int length) {
  crash_evidence evidence;
  for (int i = 0; i < length; ++i) {
    EXPECT_EQ(evidence.LevelOf(kPart), i);
    evidence.OnCrash(Crash(i, i), kStart);
  }
  return evidence;
}

TEST(crash_evidence_test, ACrashOnlySuspectsAPart) {
  crash_evidence evidence;
  EXPECT_EQ(evidence.StateOf(kPart), part_state::clear);
  EXPECT_EQ(evidence.LevelOf(kPart), 0);
  EXPECT_TRUE(evidence.OnCrash(Crash(1, 0), kStart));
  EXPECT_EQ(evidence.StateOf(kPart), part_state::suspected);
  EXPECT_EQ(evidence.LevelOf(kPart), 1);
  EXPECT_FALSE(evidence.OnCrash(Crash(1, 0), kStart));
}

TEST(crash_evidence_test, CrashesThatFollowEachOtherQuarantineAPart) {
  EXPECT_EQ(AfterChain(2).StateOf(kPart), part_state::suspected);
  const auto evidence = AfterChain(3);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::quarantined);
  EXPECT_EQ(Quarantine(evidence, kStart), crash_evidence::kFirstQuarantine);
}

// Two requests that end engines share a rare part, which no answer has cleared.
TEST(crash_evidence_test, CrashesOfOneRequestCountOnceForItsParts) {
  const auto first = RequestFingerprint({"first"});
  const auto second = RequestFingerprint({"second"});
  crash_evidence evidence;
  int level = 0;
  const auto crash = [&](const prompt_part_id& request, int own_level) {
    auto record = Crash(level, level);
    ++level;
    record.parts.push_back({request, own_level});
    evidence.OnCrash(record, kStart);
  };
  crash(first, 0);
  crash(first, 1);
  crash(second, 0);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::suspected);
  // A third request with the part leaves no other explanation.
  crash(RequestFingerprint({"third"}), 0);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::quarantined);
}

// A rack that loses power ends engines whose requests were sent before any of
// these crashes was known.
TEST(crash_evidence_test, EnginesThatEndTogetherCountOnce) {
  crash_evidence evidence;
  for (int engine = 0; engine < 50; ++engine) {
    evidence.OnCrash(Crash(engine, 0), kStart);
  }
  EXPECT_EQ(evidence.StateOf(kPart), part_state::suspected);
}

// Among many crashes that a part has nothing to do with, those that it has been
// beside prove less.
TEST(crash_evidence_test, CrashesBesideOthersCountLess) {
  crash_evidence evidence;
  auto now = kStart;
  int needed = 0;
  while (evidence.StateOf(kPart) != part_state::quarantined && needed < 20) {
    for (int other = 0; other < 3; ++other) {
      evidence.OnCrash(
          {.crash = {core::process_id("other"), 10 * needed + other}}, now);
    }
    evidence.OnCrash(Crash(needed, needed), now);
    ++needed;
    now += milliseconds(2000);
  }
  EXPECT_EQ(needed, 6);
  EXPECT_EQ(Quarantine(evidence, now - milliseconds(2000)),
            crash_evidence::kFirstQuarantine);
}

TEST(crash_evidence_test, TwoPartsThatCrashEnginesAreBothQuarantined) {
  const prompt_part_id other{std::string("q")};
  crash_evidence evidence;
  for (int i = 0; i < 3; ++i) {
    evidence.OnCrash(Crash(i, i), kStart);
    evidence.OnCrash(Crash(10 + i, i, other), kStart);
  }
  EXPECT_EQ(evidence.StateOf(kPart), part_state::quarantined);
  EXPECT_EQ(evidence.StateOf(other), part_state::quarantined);
}

// Two parts stood in each prompt that ended an engine: only prompts with both
// are refused until one of them is told apart.
class tied_parts_test : public ::testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < 3; ++i) CrashWith({"dead", "subject"}, i);
  }
  static std::vector<prompt_part_id> Prompt(
      const std::vector<std::string>& names) {
    std::vector<prompt_part_id> parts;
    for (const std::string& name : names) parts.emplace_back(name);
    return parts;
  }
  void CrashWith(const std::vector<std::string>& names, int level) {
    crash_record record{.crash = {core::process_id("s"), ++crashes_}};
    for (const std::string& name : names) {
      record.parts.push_back({prompt_part_id(name), level});
    }
    evidence_.OnCrash(record, kStart);
  }
  bool IsRefused(const std::vector<std::string>& names) const {
    return evidence_.QuarantineOf(Prompt(names)) != nullptr;
  }

  crash_evidence evidence_;
  std::int64_t crashes_ = 0;
};

TEST_F(tied_parts_test, OnlyPromptsWithAllOfThemAreRefused) {
  EXPECT_TRUE(IsRefused({"first", "subject", "dead"}));
  EXPECT_FALSE(IsRefused({"first", "subject"}));
  EXPECT_FALSE(IsRefused({"first", "dead"}));
}

TEST_F(tied_parts_test, AnAnswerLeavesTheOther) {
  evidence_.OnAnswered(Prompt({"first", "subject"}), kStart);
  EXPECT_TRUE(IsRefused({"first", "dead"}));
  EXPECT_FALSE(IsRefused({"first", "subject"}));
}

TEST_F(tied_parts_test, AFurtherCrashWithOneExplainsTheCrashesOfBoth) {
  CrashWith({"dead"}, 3);
  EXPECT_TRUE(IsRefused({"first", "dead"}));
  EXPECT_TRUE(IsRefused({"subject", "dead"}));
  EXPECT_FALSE(IsRefused({"first", "subject"}));
}

TEST(crash_evidence_test, AnAnswerClearsThePartOfAllKnownCrashes) {
  auto evidence = AfterChain(3);
  const auto changed = evidence.OnAnswered({kPart}, kStart);
  EXPECT_EQ(changed.size(), 3U);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::clear);
  EXPECT_EQ(evidence.LevelOf(kPart), 0);
  // Others learn it from the changed records, and an older copy of a record
  // does not bring the suspicion back.
  auto other = AfterChain(3);
  for (const auto& record : changed)
    EXPECT_TRUE(other.OnCrash(record, kStart).has_value());
  EXPECT_EQ(other.StateOf(kPart), part_state::clear);
  EXPECT_FALSE(other.OnCrash(Crash(1, 1), kStart));
  // Later crashes count from the beginning.
  evidence.OnCrash(Crash(9, 0), kStart);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::suspected);
}

// Records of large batches would be sent again for each part that is cleared.
TEST(crash_evidence_test, PassesOnOnlyWhatIsNew) {
  crash_evidence evidence;
  crash_record record = Crash(1, 0);
  for (int i = 0; i < 5; ++i) {
    record.parts.push_back({prompt_part_id("q" + std::to_string(i)), 0});
  }
  EXPECT_EQ(evidence.OnCrash(record, kStart)->parts.size(), 6U);
  record.parts.push_back({prompt_part_id(std::string("r")), 2});
  const std::vector<suspected_part> added{record.parts.back()};
  EXPECT_EQ(evidence.OnCrash(record, kStart)->parts, added);
  EXPECT_FALSE(evidence.OnCrash(record, kStart));
  const auto changed = evidence.OnAnswered({kPart}, kStart);
  ASSERT_EQ(changed.size(), 1U);
  const std::vector<suspected_part> cleared{{kPart, 0, true}};
  EXPECT_EQ(changed.front().parts, cleared);
}

TEST(crash_evidence_test, AnAnswerWithOtherPartsChangesNothing) {
  auto evidence = AfterChain(3);
  EXPECT_TRUE(
      evidence.OnAnswered({prompt_part_id(std::string("q"))}, kStart).empty());
  EXPECT_EQ(evidence.StateOf(kPart), part_state::quarantined);
}

TEST(crash_evidence_test, AQuarantineEndsAndOneCrashRenewsIt) {
  auto evidence = AfterChain(3);
  auto now = kStart + crash_evidence::kFirstQuarantine;
  evidence.OnTick(now - milliseconds(1));
  EXPECT_EQ(evidence.StateOf(kPart), part_state::quarantined);
  evidence.OnTick(now);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::suspected);
  evidence.OnCrash(Crash(4, evidence.LevelOf(kPart)), now);
  EXPECT_EQ(Quarantine(evidence, now), 2 * crash_evidence::kFirstQuarantine);
}

TEST(crash_evidence_test, TheAgeOfARecordCounts) {
  crash_evidence evidence;
  for (int i = 0; i < 3; ++i) {
    auto record = Crash(i, i);
    record.age = milliseconds(20'000);
    evidence.OnCrash(record, kStart);
  }
  EXPECT_EQ(Quarantine(evidence, kStart),
            crash_evidence::kFirstQuarantine - milliseconds(20'000));
  EXPECT_EQ(evidence.Records(kStart + milliseconds(500)).front().age,
            milliseconds(20'500));
  auto expired = Crash(8, 0, prompt_part_id(std::string("q")));
  expired.age = crash_evidence::kRecordLifetime;
  EXPECT_FALSE(evidence.OnCrash(expired, kStart));
}

TEST(crash_evidence_test, RecordsExpire) {
  auto evidence = AfterChain(3);
  evidence.OnTick(kStart + crash_evidence::kRecordLifetime);
  EXPECT_EQ(evidence.RecordCount(), 0U);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::clear);
}

TEST(crash_evidence_test, ReportsChangesOfState) {
  auto evidence = AfterChain(3);
  const auto changes = evidence.TakeChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].after, part_state::suspected);
  EXPECT_EQ(changes[1].after, part_state::quarantined);
  EXPECT_EQ(changes[1].crashes, 3U);
  evidence.OnAnswered({kPart}, kStart);
  ASSERT_EQ(evidence.TakeChanges().size(), 1U);
  EXPECT_TRUE(evidence.TakeChanges().empty());
}

// Memory is bounded, and a later storm of other crashes does not release a
// part.
TEST(crash_evidence_test, KeepsTheRecordsOfAQuarantineInAStormOfCrashes) {
  auto evidence = AfterChain(3);
  const auto later = kStart + milliseconds(10'000);
  for (int i = 0; i < 1000; ++i) {
    crash_record record = Crash(100 + i, 0);
    record.parts.clear();
    for (int part = 0; part < 20; ++part) {
      record.parts.push_back(
          {prompt_part_id("q" + std::to_string(i * 20 + part)), 0});
    }
    evidence.OnCrash(record, later + milliseconds(i));
  }
  EXPECT_EQ(evidence.RecordCount(), crash_evidence::kMaximumRecords);
  EXPECT_EQ(evidence.StateOf(kPart), part_state::quarantined);
}

TEST(crash_evidence_test, LimitsThePartsOfARecord) {
  crash_evidence evidence;
  crash_record record = Crash(1, 0);
  for (int part = 0; part < 10'000; ++part) {
    record.parts.push_back({prompt_part_id(std::to_string(part)), 0});
  }
  evidence.OnCrash(record, kStart);
  EXPECT_EQ(evidence.Records(kStart).front().parts.size(),
            crash_evidence::kMaximumPartsPerRecord);
}

// Whoever has heard the same decides the same, in whatever order and however
// often it was heard.
RC_GTEST_PROP(crash_evidence_property, OrderAndRepetitionDoNotMatter, ()) {
  std::vector<crash_record> records;
  const int count = *rc::gen::inRange(1, 12);
  for (int i = 0; i < count; ++i) {
    crash_record record = Crash(*rc::gen::inRange(0, 5), 0);
    record.parts.clear();
    for (int part = 0; part < *rc::gen::inRange(1, 4); ++part) {
      record.parts.push_back(
          {prompt_part_id(std::to_string(*rc::gen::inRange(0, 4))),
           *rc::gen::inRange(0, 4), *rc::gen::arbitrary<bool>()});
    }
    records.push_back(record);
  }
  crash_evidence first;
  for (const auto& record : records) first.OnCrash(record, kStart);
  std::mt19937 random(static_cast<unsigned>(*rc::gen::inRange(0, 1000)));
  auto repeated = records;
  repeated.insert(repeated.end(), records.begin(), records.end());
  std::shuffle(repeated.begin(), repeated.end(), random);
  crash_evidence second;
  for (const auto& record : repeated) second.OnCrash(record, kStart);
  for (int part = 0; part < 4; ++part) {
    const prompt_part_id id(std::to_string(part));
    RC_ASSERT(first.StateOf(id) == second.StateOf(id));
    RC_ASSERT(first.LevelOf(id) == second.LevelOf(id));
    for (int other = 0; other < 4; ++other) {
      const std::vector<prompt_part_id> prompt = {
          id, prompt_part_id(std::to_string(other))};
      RC_ASSERT((first.QuarantineOf(prompt) == nullptr) ==
                (second.QuarantineOf(prompt) == nullptr));
    }
  }
  // What one sends to the other says nothing new.
  for (const auto& record : first.Records(kStart)) {
    RC_ASSERT(!second.OnCrash(record, kStart));
  }
}

}  // namespace
}  // namespace comfreyspring::quarantine

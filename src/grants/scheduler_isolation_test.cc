// Requests whose prompts may end the engine, at its scheduler.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "grants/grant_scheduler.h"

namespace comfreyspring::grants {
namespace {

using core::milliseconds;

class scheduler_isolation_test : public ::testing::Test {
 protected:
  scheduler_isolation_test() {
    scheduler_.SetConfig({.batch_slots = 64, .adapter_slots = 4});
    engine_state state;
    state.started_unix_ms = 7;
    state.models.push_back({core::model_id("m"), {}});
    Apply(scheduler_.OnState(state, now_, now_));
  }

  request_key Submit(bool isolated) {
    const request_key key{1, ++last_number_};
    Apply(scheduler_.OnRequest({.key = key,
                                .adapter = {core::model_id("m"), {}},
                                .prompt_tokens = 100,
                                .first_output_due = now_ + milliseconds(600),
                                .deadline = now_ + milliseconds(1700),
                                .isolated = isolated},
                               now_));
    return key;
  }
  void Apply(const grant_scheduler::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<grant>(&action)) {
        granted_.push_back(given->key);
      }
      if (const auto* refused = std::get_if<refusal>(&action)) {
        refused_[refused->key] = *refused;
      }
    }
  }
  bool IsGranted(const request_key& key) const {
    return std::find(granted_.begin(), granted_.end(), key) != granted_.end();
  }

  core::time_point now_{std::chrono::seconds(100)};
  grant_scheduler scheduler_{{}};
  std::uint64_t last_number_ = 0;
  std::vector<request_key> granted_;
  std::map<request_key, refusal> refused_;
};

TEST_F(scheduler_isolation_test, OneIsolatedRequestAtATimeIsWithoutOutput) {
  const auto first = Submit(true);
  const auto second = Submit(true);
  EXPECT_TRUE(IsGranted(first));
  EXPECT_FALSE(IsGranted(second));
  Apply(scheduler_.OnStarted(first, now_));
  EXPECT_TRUE(IsGranted(second));
  const auto third = Submit(true);
  EXPECT_FALSE(IsGranted(third));
  Apply(scheduler_.OnEnded(second, false, now_));
  EXPECT_TRUE(IsGranted(third));
}

TEST_F(scheduler_isolation_test, OtherRequestsDoNotWaitForIsolatedOnes) {
  Submit(true);
  Submit(true);
  EXPECT_TRUE(IsGranted(Submit(false)));
}

// Waiting until the deadline for a turn that does not come would help nobody.
TEST_F(scheduler_isolation_test, RefusesIsolatedRequestsBeyondAShortQueue) {
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    const auto found = refused_.find(Submit(true));
    if (found == refused_.end()) continue;
    ++refused;
    EXPECT_GT(found->second.retry_after.count(), 0);
  }
  EXPECT_EQ(refused, 15);
}

TEST_F(scheduler_isolation_test, NamesTheRunsWithoutOutput) {
  const auto first = Submit(false);
  const auto second = Submit(false);
  Apply(scheduler_.OnStarted(first, now_));
  ASSERT_EQ(scheduler_.RunningWithoutOutput().size(), 1U);
  EXPECT_EQ(scheduler_.RunningWithoutOutput().front().request->key, second);
  ASSERT_TRUE(scheduler_.FindRunning(first));
  EXPECT_EQ(scheduler_.FindRunning(first)->granted_at, now_);
  EXPECT_FALSE(scheduler_.FindRunning({9, 9}));
}

}  // namespace
}  // namespace comfreyspring::grants

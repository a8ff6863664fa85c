// Grants under a request rate limit that the engine names in its responses or
// in its reports.

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>

#include "grants/grant_scheduler.h"

namespace comfreyspring::grants {
namespace {

using core::milliseconds;
using limits::request_rate;

constexpr std::int64_t kStarted = 7;

class scheduler_limit_test : public ::testing::Test {
 protected:
  scheduler_limit_test() {
    scheduler_.SetConfig({.batch_slots = 64, .adapter_slots = 4});
  }

  void Report(limits::limit_announcement limit = {},
              std::int64_t started = kStarted) {
    engine_state state;
    state.started_unix_ms = started;
    state.models.push_back({core::model_id("m"), {}});
    state.limit = limit;
    Apply(scheduler_.OnState(state, now_, now_));
  }
  request_key Submit(milliseconds deadline_in = milliseconds(1700),
                     double load_bound = 0.0) {
    const request_key key{1, ++last_number_};
    Apply(scheduler_.OnRequest({.key = key,
                                .adapter = {core::model_id("m"), {}},
                                .first_output_due = now_ + milliseconds(600),
                                .deadline = now_ + deadline_in,
                                .load_bound = load_bound},
                               now_));
    return key;
  }
  void Observe(std::optional<request_rate> rate,
               std::optional<request_key> request = std::nullopt,
               std::int64_t started = kStarted,
               milliseconds age = milliseconds(0)) {
    Apply(scheduler_.OnLimitObserved(
        {.endpoint = {catalog::instance_id("i"), started},
         .request = request,
         .rate = rate,
         .response_received = now_ - age},
        now_));
  }
  /** Time passes while the engine reports its state. */
  void Pass(milliseconds length, limits::limit_announcement limit = {}) {
    for (const auto end = now_ + length; now_ < end;) {
      now_ += milliseconds(20);
      Report(limit);
      Apply(scheduler_.OnTick(now_));
    }
  }
  void Apply(const grant_scheduler::actions& actions) {
    for (const grant_action& action : actions) {
      if (const auto* given = std::get_if<grant>(&action)) {
        granted_[given->key] = now_;
      } else if (const auto* denied = std::get_if<refusal>(&action)) {
        refused_[denied->key] = *denied;
      }
    }
  }

  core::time_point now_{std::chrono::seconds(100)};
  grant_scheduler scheduler_{{}};
  std::map<request_key, core::time_point> granted_;
  std::map<request_key, refusal> refused_;
  std::uint64_t last_number_ = 0;
};

// Load pattern: twenty requests per second for an engine that takes two.
TEST_F(scheduler_limit_test, GrantsTheLimitAndNoMore) {
  Report();
  Observe(request_rate(2.0));
  for (int i = 0; i < 400; ++i) {
    const auto key = Submit();
    Pass(milliseconds(40));
    if (granted_.count(key) > 0) {
      Apply(scheduler_.OnEnded(key, false, now_));
    }
  }
  const double seconds = 400 * 0.04;
  EXPECT_LE(static_cast<double>(granted_.size()), 2.0 * seconds + 2.0);
  EXPECT_GE(static_cast<double>(granted_.size()), 2.0 * seconds - 1.0);
  EXPECT_GT(refused_.size(), 300U);
  for (const auto& [key, refused] : refused_) {
    EXPECT_TRUE(refused.reason == refusal_reason::rate_limited ||
                refused.reason == refusal_reason::wait_expired);
    EXPECT_GT(refused.retry_after, milliseconds(0));
  }
}

// Guards against a sidecar that grants freely after its restart because its
// engine's reports do not name the limit.
TEST_F(scheduler_limit_test, HearsOfTheLimitBeforeTheFirstReport) {
  Observe(request_rate(1.0));
  Report();
  for (int i = 0; i < 10; ++i) Submit();
  EXPECT_TRUE(granted_.empty());
}

TEST_F(scheduler_limit_test, ForgetsTheLimitOfAnEarlierEngine) {
  Observe(request_rate(1.0), std::nullopt, kStarted - 1);
  Report();
  EXPECT_FALSE(scheduler_.Limit());
  Observe(request_rate(1.0));
  EXPECT_TRUE(scheduler_.Limit());
  // A response of an earlier engine at this address.
  Observe(request_rate(5.0), std::nullopt, kStarted - 1);
  EXPECT_EQ(scheduler_.Limit(), request_rate(1.0));
  Report({}, kStarted + 1);
  EXPECT_FALSE(scheduler_.Limit());
}

// Requests that wait when the limit is heard must neither start beyond it nor
// wait until their deadline.
TEST_F(scheduler_limit_test, ReturnsWaitingRequestsThatTheLimitCannotServe) {
  scheduler_.SetConfig({.batch_slots = 1, .adapter_slots = 4});
  Report();
  const auto running = Submit();
  ASSERT_EQ(granted_.count(running), 1U);
  Apply(scheduler_.OnStarted(running, now_));
  const auto patient = Submit(milliseconds(3000));
  const auto impatient = Submit(milliseconds(2100));
  const auto mobile = Submit(milliseconds(5000), 10.0);
  Observe(request_rate(0.5));
  EXPECT_EQ(refused_.count(patient), 0U);
  ASSERT_EQ(refused_.count(impatient), 1U);
  EXPECT_EQ(refused_[impatient].reason, refusal_reason::rate_limited);
  ASSERT_EQ(refused_.count(mobile), 1U);
  EXPECT_EQ(refused_[mobile].reason, refusal_reason::fuller_than_known);
}

TEST_F(scheduler_limit_test, ALaterResponseWithoutTheLimitEndsIt) {
  Report();
  Observe(request_rate(2.0));
  const auto first = Submit();
  Pass(milliseconds(600));
  ASSERT_EQ(granted_.count(first), 1U);
  // The grant precedes the latest response that names the limit.
  Observe(request_rate(2.0));
  Observe(std::nullopt, first);
  EXPECT_TRUE(scheduler_.Limit());
  const auto second = Submit();
  Pass(milliseconds(600));
  ASSERT_EQ(granted_.count(second), 1U);
  Observe(std::nullopt, second);
  EXPECT_FALSE(scheduler_.Limit());
}

// A response whose grant is unknown may be of any age.
TEST_F(scheduler_limit_test, AResponseOfUnknownAgeDoesNotEndTheLimit) {
  Report();
  Observe(request_rate(2.0));
  Pass(milliseconds(1000));
  Observe(std::nullopt, request_key{9, 9});
  EXPECT_TRUE(scheduler_.Limit());
}

TEST_F(scheduler_limit_test, ReportsEndOnlyLimitsThatReportsName) {
  Report();
  Observe(request_rate(2.0));
  Pass(milliseconds(1000));
  EXPECT_TRUE(scheduler_.Limit());
  Report({.present = true, .rate = request_rate(3.0)});
  EXPECT_EQ(scheduler_.Limit(), request_rate(3.0));
  now_ += milliseconds(20);
  Report({.present = true});
  EXPECT_EQ(scheduler_.Limit(), request_rate(3.0));
  Report();
  EXPECT_FALSE(scheduler_.Limit());
}

// Guards against a limit that responses name and every report ends, because
// reports had named an earlier limit of the same engine.
TEST_F(scheduler_limit_test, ReportsThatNamedAnEarlierLimitDoNotEndThisOne) {
  Report({.present = true, .rate = request_rate(3.0)});
  now_ += milliseconds(20);
  Report();
  ASSERT_FALSE(scheduler_.Limit());
  now_ += milliseconds(20);
  Observe(request_rate(1.0));
  Pass(milliseconds(1000));
  EXPECT_EQ(scheduler_.Limit(), request_rate(1.0));
}

// Only a response can tell that a limit of zero has ended, so a request is
// granted now and then, unless the engine's reports tell.
TEST_F(scheduler_limit_test, ALimitOfZeroIsProbed) {
  Report();
  Observe(request_rate(0.0));
  for (int i = 0; i < 160; ++i) {
    Submit(milliseconds(5000));
    Pass(milliseconds(100));
  }
  EXPECT_GE(granted_.size(), 3U);
  EXPECT_LE(granted_.size(), 4U);
}

TEST_F(scheduler_limit_test, ALimitOfZeroInReportsGrantsNothing) {
  const limits::limit_announcement zero{.present = true,
                                        .rate = request_rate(0.0)};
  Report(zero);
  const auto refused = Submit();
  Pass(milliseconds(10'000), zero);
  EXPECT_TRUE(granted_.empty());
  EXPECT_EQ(refused_.count(refused), 1U);
}

// A grant that crosses the gateway's withdrawal does not reach the engine.
TEST_F(scheduler_limit_test, AWithdrawnGrantIsNotCounted) {
  Report();
  Observe(request_rate(1.0));
  Pass(milliseconds(1100));
  const auto first = Submit();
  ASSERT_EQ(granted_.count(first), 1U);
  Apply(scheduler_.OnWithdrawn(first, now_));
  EXPECT_EQ(granted_.count(Submit()), 1U);
}

TEST_F(scheduler_limit_test, AVeryHighLimitDoesNotBind) {
  Report({.present = true, .rate = request_rate(1e9)});
  Pass(milliseconds(40), {.present = true, .rate = request_rate(1e9)});
  for (int i = 0; i < 3; ++i) {
    const auto key = Submit();
    EXPECT_EQ(granted_.count(key), 1U);
    Apply(scheduler_.OnStarted(key, now_));
  }
}

// A limited engine is a smaller one, so that gateways prefer others.
TEST_F(scheduler_limit_test, TheStatusShowsTheWaitForTheLimit) {
  Report();
  const double before = LoadOf(scheduler_.Status(now_), 64);
  Observe(request_rate(1.0));
  const engine_status status = scheduler_.Status(now_);
  EXPECT_EQ(status.limit, request_rate(1.0));
  EXPECT_EQ(status.limit_wait, milliseconds(1000));
  EXPECT_GT(LoadOf(status, 64), before + 1.0);
  Pass(milliseconds(1200));
  EXPECT_EQ(scheduler_.Status(now_).limit_wait, milliseconds(0));
}

}  // namespace
}  // namespace comfreyspring::grants

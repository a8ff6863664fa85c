#include "overload/slot_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace comfreyspring::overload {
namespace {

using core::milliseconds;

class slot_queue_test : public ::testing::Test {
 protected:
  /** Two endpoints with two slots each; each runs one request more. */
  slot_request Request(std::uint64_t number, milliseconds due = kDue,
                       int priority = 1, milliseconds deadline = kDeadline) {
    slot_request request{.key = {1, number},
                         .service = core::service_id("plain"),
                         .priority = priority,
                         .answer_due = now_ + due,
                         .deadline = now_ + deadline,
                         .maximum_retry_after = milliseconds(1000)};
    for (const char* name : {"a", "b"}) {
      request.candidates.push_back(
          {.endpoint = {catalog::instance_id(name), 1}, .slots = 2});
    }
    return request;
  }
  void Apply(const slot_queue::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* permit = std::get_if<slot_permit>(&action)) {
        permitted_.push_back(permit->key.number);
        candidates_.push_back(permit->candidate);
      } else {
        refused_.push_back(std::get<slot_refusal>(action));
      }
    }
  }
  void Ask(const slot_request& request) {
    Apply(queue_.OnRequest(request, now_));
  }
  void Release(std::uint64_t number, slot_result result = kAnswered) {
    Apply(queue_.OnReleased({1, number}, result, now_));
  }
  void Fill() {
    for (std::uint64_t number = 1; number <= 6; ++number) Ask(Request(number));
    ASSERT_EQ(permitted_.size(), 6u);
  }
  void Pass(milliseconds length) {
    const auto end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(20);
      Apply(queue_.OnTick(now_));
    }
  }

  static constexpr milliseconds kDue{300};
  static constexpr milliseconds kDeadline{3000};
  static constexpr auto kAnswered = slot_result::answered;

  slot_queue queue_;
  core::time_point now_ = core::time_point(core::seconds(100));
  std::vector<std::uint64_t> permitted_;
  std::vector<std::size_t> candidates_;
  std::vector<slot_refusal> refused_;
};

// Guards against more requests at an endpoint than it accepts.
TEST_F(slot_queue_test, RunsTheSlotsAndAReserve) {
  Fill();
  Ask(Request(7));
  EXPECT_EQ(permitted_.size(), 6u);
  EXPECT_TRUE(queue_.IsWaiting({1, 7}));
  EXPECT_EQ(std::count(candidates_.begin(), candidates_.end(), 0u), 3);
  Release(1);
  EXPECT_EQ(permitted_.back(), 7u);
}

// Guards against serving by arrival: urgent ones first, then those that can be
// on time, then late ones.
TEST_F(slot_queue_test, ServesByValueAtStake) {
  Fill();
  Ask(Request(7, milliseconds(20)));
  Ask(Request(8, milliseconds(290)));
  Ask(Request(9, milliseconds(200)));
  Ask(Request(10, milliseconds(20), 0));
  for (std::uint64_t number = 1; number <= 4; ++number) Release(number);
  EXPECT_EQ(
      std::vector<std::uint64_t>(permitted_.begin() + 6, permitted_.end()),
      (std::vector<std::uint64_t>{10, 9, 8, 7}));
}

// Guards against waits that cannot end in time, and against refused callers
// that all come back at once.
TEST_F(slot_queue_test, RefusesWhatCannotBeInTime) {
  Fill();
  for (std::uint64_t number = 7; number < 200; ++number) Ask(Request(number));
  ASSERT_GT(refused_.size(), 10u);
  EXPECT_EQ(refused_[0].reason, slot_refusal_reason::wait_too_long);
  EXPECT_GT(refused_[5].retry_after, refused_[0].retry_after);
  EXPECT_LE(refused_.back().retry_after, milliseconds(1000));
  Pass(milliseconds(3000));
  EXPECT_EQ(queue_.Waiting(), 0u);
  EXPECT_EQ(refused_.size() + permitted_.size(), 199u);
}

// Guards against slots that stay taken by gateways that are gone.
TEST_F(slot_queue_test, FreesSlotsOfLostLinksAndForgottenPermits) {
  Fill();
  Apply(queue_.OnLinkLost(1, now_));
  EXPECT_EQ(queue_.Running(), 0u);
  Ask(Request(7));
  Pass(kDeadline + milliseconds(1100));
  EXPECT_EQ(queue_.Running(), 0u);
}

// Guards against requests that are sent to an endpoint which has failed them.
TEST_F(slot_queue_test, LeavesOutUnusableCandidates) {
  for (std::uint64_t number = 1; number <= 4; ++number) {
    slot_request request = Request(number);
    request.candidates[0].is_usable = false;
    Ask(request);
  }
  EXPECT_EQ(candidates_, (std::vector<std::size_t>{1, 1, 1}));
  EXPECT_TRUE(queue_.IsWaiting({1, 4}));
}

// Guards against an endpoint that fails quickly and so attracts all requests,
// and against one that never gets requests again.
TEST_F(slot_queue_test, PausesAndProbesFailingEndpoints) {
  std::uint64_t number = 0;
  // Four at a time: one more than fit at the other endpoint.
  const auto sent_to_a = [&](int rounds, slot_result result_of_a) {
    int sent = 0;
    for (int round = 0; round < rounds; ++round) {
      permitted_.clear();
      candidates_.clear();
      for (int i = 0; i < 4; ++i) Ask(Request(++number));
      Pass(milliseconds(20));
      for (std::size_t i = 0; i < permitted_.size(); ++i) {
        const bool is_a = candidates_[i] == 0;
        sent += is_a ? 1 : 0;
        Release(permitted_[i], is_a ? result_of_a : kAnswered);
      }
    }
    return sent;
  };
  EXPECT_LT(sent_to_a(100, slot_result::failed), 12);
  EXPECT_TRUE(queue_.Endpoints(now_)[0].is_paused);
  Pass(milliseconds(1000));
  EXPECT_GT(sent_to_a(100, kAnswered), 80);
  EXPECT_EQ(queue_.Endpoints(now_)[0].allowed, 3u);
}

// Guards against an endpoint that is sent as much as before although it turns
// requests away.
TEST_F(slot_queue_test, AllowsLessWhenTurnedAwayAndMoreAgain) {
  Fill();
  Pass(milliseconds(100));
  Release(1, slot_result::turned_away);
  const auto loads = queue_.Endpoints(now_);
  EXPECT_EQ(loads[0].allowed + loads[1].allowed, 5u);
  for (std::uint64_t number = 7; number < 30; ++number) Ask(Request(number));
  for (std::uint64_t number = 2; number < 20; ++number) {
    Pass(milliseconds(20));
    Release(number);
  }
  EXPECT_EQ(queue_.Endpoints(now_)[0].allowed, 3u);
}

TEST_F(slot_queue_test, RefusesAllWhenStopping) {
  Fill();
  Ask(Request(7));
  Apply(queue_.OnStopping(now_));
  Ask(Request(8));
  ASSERT_EQ(refused_.size(), 2u);
  EXPECT_EQ(refused_[1].reason, slot_refusal_reason::stopping);
}

}  // namespace
}  // namespace comfreyspring::overload

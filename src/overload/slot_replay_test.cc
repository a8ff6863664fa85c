#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random_source.h"
#include "overload/slot_queue.h"

// Replays the load of a plain service that 29 gateways share: 3 endpoints with
// 6 slots and a queue of 24 each, 60 ms of work, a target of 300 ms and a
// deadline of 3 s. Compares permits of one queue with gateways that choose and
// repeat on their own.

namespace comfreyspring::overload {
namespace {

using core::milliseconds;

constexpr std::size_t kGateways = 29;
constexpr std::size_t kEndpoints = 3;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kEndpointQueue = 24;
constexpr milliseconds kWork{60};
constexpr milliseconds kDue{300};
constexpr milliseconds kDeadline{3000};
/** One way, with the scheduling of a slow VM. */
constexpr core::microseconds kDelay{2000};
constexpr milliseconds kLength{40'000};
constexpr int kMaximumAttempts = 4;
/** What a gateway tells callers whose requests were turned away. */
constexpr milliseconds kUsualRetryAfter{150};
/** Retry budget of one gateway: a share of its requests and a part of 98. */
constexpr double kRetryShare = 0.2;
constexpr double kRetryExtra = 98.0 / 10.0 / kGateways;

struct load_pattern {
  std::string name;
  double per_second = 167.0;
  double burst_factor = 1.0;
  bool has_failing_endpoint = false;
  bool has_hanging_endpoint = false;
  /** Refused callers come back when they are told to. */
  bool callers_return = false;
  /** ... or after this time, whatever they are told. */
  milliseconds returns_after{0};
};

struct outcome_counts {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  int turned_away = 0;
  int returned = 0;
  int urgent = 0;
  int urgent_served = 0;
  double Worth() const { return (on_time + 0.5 * late) / requests; }
};

class simulated_service {
 public:
  simulated_service(load_pattern pattern, bool uses_queue)
      : pattern_(std::move(pattern)), uses_queue_(uses_queue) {}

  outcome_counts Run() {
    Arrive();
    if (uses_queue_) Tick();
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.act();
    }
    return counts_;
  }

 private:
  struct event {
    core::time_point at;
    std::uint64_t number;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct request {
    std::uint64_t number = 0;
    std::size_t gateway = 0;
    core::time_point arrived;
    /** Last arrival at a gateway; callers may return. */
    core::time_point asked;
    int asks = 0;
    int priority = 2;
    int attempts = 0;
    std::set<std::size_t> excluded;
    bool ended = false;
    bool is_running = false;
  };
  using request_pointer = std::shared_ptr<request>;
  struct endpoint {
    std::size_t running = 0;
    std::deque<std::function<void()>> queue;
  };

  void After(core::microseconds delay, std::function<void()> act) {
    events_.push({now_ + delay, ++last_event_, std::move(act)});
  }
  milliseconds Elapsed() const {
    return core::ToMilliseconds(now_ - core::time_point());
  }
  bool IsDisturbed() const {
    return Elapsed() >= milliseconds(15'000) &&
           Elapsed() < milliseconds(25'000);
  }

  void Arrive() {
    if (Elapsed() >= kLength) return;
    auto arrived = std::make_shared<request>();
    arrived->number = ++last_request_;
    arrived->gateway = arrivals_.NextBelow(kGateways);
    arrived->arrived = now_;
    arrived->asked = now_;
    if (arrivals_.NextUnit() < 0.1) arrived->priority = 0;
    ++counts_.requests;
    if (arrived->priority == 0) ++counts_.urgent;
    budgets_[arrived->gateway] += kRetryShare;
    // At its deadline the gateway answers whatever has happened.
    After(kDeadline, [this, arrived] {
      if (!arrived->ended)
        End(arrived, arrived->is_running ? ending::failed : ending::refused);
    });
    Dispatch(arrived);
    // Bursts of 3 s, every 10 s.
    const bool in_burst = Elapsed().count() % 10'000 >= 6'000 &&
                          Elapsed().count() % 10'000 < 9'000;
    const double rate =
        pattern_.per_second * (in_burst ? pattern_.burst_factor : 1.0);
    const double gap = -std::log(1.0 - arrivals_.NextUnit()) / rate;
    After(core::microseconds(static_cast<std::int64_t>(gap * 1e6)),
          [this] { Arrive(); });
  }

  void Refuse(const request_pointer& target, milliseconds retry_after) {
    const auto wait = pattern_.returns_after.count() > 0
                          ? pattern_.returns_after
                          : retry_after;
    if (!pattern_.callers_return ||
        now_ + wait + kWork > target->arrived + kDeadline) {
      End(target, ending::refused);
      return;
    }
    After(wait, [this, target] {
      if (target->ended) return;
      target->asked = now_;
      target->gateway = random_.NextBelow(kGateways);
      target->attempts = 0;
      target->excluded.clear();
      ++counts_.returned;
      Dispatch(target);
    });
  }

  void Dispatch(const request_pointer& target) {
    if (target->ended) return;
    if (!uses_queue_) {
      Send(target, Choose(*target));
      return;
    }
    After(kDelay, [this, target] {
      slot_request wanted{
          .key = {target->gateway + 1,
                  target->number * 1000 +
                      static_cast<std::uint64_t>(++target->asks)},
          .service = core::service_id("plain"),
          .priority = target->priority,
          .answer_due = target->asked + kDue,
          .deadline = target->arrived + kDeadline,
          .maximum_retry_after = milliseconds(1000)};
      for (std::size_t index = 0; index < kEndpoints; ++index) {
        wanted.candidates.push_back(
            {.endpoint = {catalog::instance_id(std::to_string(index)), 1},
             .slots = kSlots,
             .is_usable = target->excluded.count(index) == 0});
      }
      asked_[wanted.key] = target;
      Apply(queue_.OnRequest(wanted, now_));
    });
  }
  void Apply(const slot_queue::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* permit = std::get_if<slot_permit>(&action)) {
        const auto target = asked_.at(permit->key);
        After(kDelay, [this, target, permit = *permit] {
          if (target->ended) {
            Release(permit.key, slot_result::unused);
          } else {
            Send(target, permit.candidate, permit.key);
          }
        });
      } else {
        const auto target = asked_.at(std::get<slot_refusal>(action).key);
        const auto wait = std::get<slot_refusal>(action).retry_after;
        After(kDelay, [this, target, wait] {
          if (!target->ended) Refuse(target, wait);
        });
      }
    }
  }
  void Release(core::request_key key, slot_result result) {
    After(kDelay,
          [this, key, result] { Apply(queue_.OnReleased(key, result, now_)); });
  }
  void Tick() {
    Apply(queue_.OnTick(now_));
    if (Elapsed() < kLength + kDeadline) {
      After(milliseconds(20), [this] { Tick(); });
    }
  }

  /** As without a queue: the endpoint with the fewest requests of the gateway.
   */
  std::size_t Choose(const request& target) {
    std::size_t best = 0;
    double lowest = 1e9;
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      double cost = outstanding_[target.gateway][index] + random_.NextUnit() +
                    30.0 * failures_[target.gateway][index];
      if (target.excluded.count(index) > 0) cost += 1e6;
      if (cost >= lowest) continue;
      best = index;
      lowest = cost;
    }
    return best;
  }

  void Send(const request_pointer& target, std::size_t index,
            core::request_key key = {}) {
    if (target->attempts > 0 && budgets_[target->gateway] < 1.0) {
      Release(key, slot_result::unused);
      Refuse(target, kUsualRetryAfter);
      return;
    }
    if (target->attempts > 0) budgets_[target->gateway] -= 1.0;
    ++target->attempts;
    ++outstanding_[target->gateway][index];
    After(kDelay, [this, target, index, key] {
      const bool is_first = index == 0;
      if (is_first && IsDisturbed() && pattern_.has_failing_endpoint) {
        Answer(target, index, key, slot_result::failed);
        return;
      }
      endpoint& server = endpoints_[index];
      target->is_running = true;
      const auto run = [this, target, index, key] {
        const bool hangs =
            index == 0 && IsDisturbed() && pattern_.has_hanging_endpoint;
        const auto work =
            hangs ? milliseconds(25'000) - Elapsed() + kWork : kWork;
        After(work, [this, target, index, key] {
          endpoint& ended_at = endpoints_[index];
          if (ended_at.queue.empty()) {
            --ended_at.running;
          } else {
            const auto next = ended_at.queue.front();
            ended_at.queue.pop_front();
            next();
          }
          Answer(target, index, key, slot_result::answered);
        });
      };
      if (server.running < kSlots) {
        ++server.running;
        run();
      } else if (server.queue.size() < kEndpointQueue) {
        server.queue.push_back(run);
      } else {
        target->is_running = false;
        ++counts_.turned_away;
        Answer(target, index, key, slot_result::turned_away);
      }
    });
  }

  void Answer(const request_pointer& target, std::size_t index,
              core::request_key key, slot_result result) {
    After(kDelay, [this, target, index, key, result] {
      --outstanding_[target->gateway][index];
      double& share = failures_[target->gateway][index];
      share += 0.1 * ((result == slot_result::answered ? 0.0 : 1.0) - share);
      if (uses_queue_) Release(key, result);
      if (target->ended) return;
      if (result == slot_result::answered) {
        End(target,
            now_ - target->arrived <= kDue ? ending::on_time : ending::late);
      } else if (result == slot_result::failed) {
        End(target, ending::failed);
      } else if (target->attempts >= kMaximumAttempts) {
        Refuse(target, kUsualRetryAfter);
      } else {
        target->excluded.insert(index);
        if (target->excluded.size() == kEndpoints) target->excluded.clear();
        Dispatch(target);
      }
    });
  }

  enum class ending { on_time, late, refused, failed };
  void End(const request_pointer& target, ending how) {
    target->ended = true;
    switch (how) {
      case ending::on_time:
        ++counts_.on_time;
        break;
      case ending::late:
        ++counts_.late;
        break;
      case ending::refused:
        ++counts_.refused;
        break;
      case ending::failed:
        ++counts_.failed;
        break;
    }
    if (target->priority == 0 &&
        (how == ending::on_time || how == ending::late)) {
      ++counts_.urgent_served;
    }
  }

  load_pattern pattern_;
  bool uses_queue_;
  core::time_point now_;
  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_request_ = 0;
  /** The same requests with and without the queue. */
  core::random_source arrivals_{20261204};
  core::random_source random_{1};
  outcome_counts counts_;
  slot_queue queue_;
  std::map<core::request_key, request_pointer> asked_;
  std::array<endpoint, kEndpoints> endpoints_;
  std::array<std::array<int, kEndpoints>, kGateways> outstanding_{};
  std::array<std::array<double, kEndpoints>, kGateways> failures_{};
  std::array<double, kGateways> budgets_ = [] {
    std::array<double, kGateways> budgets{};
    budgets.fill(kRetryExtra * 10.0);
    return budgets;
  }();
};

class slot_replay_test : public ::testing::TestWithParam<load_pattern> {};

void Print(const char* name, const outcome_counts& counts) {
  std::cout << "  " << name << ": requests " << counts.requests << ", on time "
            << counts.on_time << ", late " << counts.late << ", refused "
            << counts.refused << ", failed " << counts.failed
            << ", turned away " << counts.turned_away << ", returned "
            << counts.returned << ", urgent served " << counts.urgent_served
            << " of " << counts.urgent << ", worth " << counts.Worth() << '\n';
}

// Guards against a queue that serves callers worse than no queue.
TEST_P(slot_replay_test, ServesMoreThanGatewaysOnTheirOwn) {
  const auto before = simulated_service(GetParam(), false).Run();
  const auto after = simulated_service(GetParam(), true).Run();
  std::cout << GetParam().name << '\n';
  Print("without a queue", before);
  Print("with the queue ", after);
  EXPECT_GE(after.Worth(), before.Worth() - 0.005);
  EXPECT_LE(after.turned_away, before.turned_away);
  EXPECT_LE(after.turned_away, after.requests / 100);
  EXPECT_GE(after.urgent_served, before.urgent_served);
}

INSTANTIATE_TEST_SUITE_P(
    loads, slot_replay_test,
    ::testing::Values(
        load_pattern{"calm"}, load_pattern{"sustained", 400.0},
        load_pattern{"bursts", 167.0, 2.5},
        load_pattern{"bursts_and_failing_endpoint", 167.0, 2.5, true},
        load_pattern{"bursts_and_hanging_endpoint", 167.0, 2.5, false, true},
        load_pattern{"failing_endpoint", 167.0, 1.0, true},
        load_pattern{"sustained_and_callers_return", 400.0, 1.0, false, false,
                     true},
        load_pattern{"bursts_and_callers_return", 167.0, 2.5, false, false,
                     true},
        load_pattern{"bursts_and_callers_return_at_once", 167.0, 2.5, false,
                     false, true, milliseconds(20)}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace comfreyspring::overload

// Replays many gateways that press on one rate-limited endpoint, in simulated
// time and with the real decisions of the sidecars that count (grant_scheduler
// for an engine, permit_table for a plain endpoint). Gateways are 1 to 68;
// messages take some milliseconds.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "core/simulated_time.h"
#include "grants/grant_scheduler.h"
#include "grants/permit_table.h"

namespace comfreyspring::grants {
namespace {

using core::milliseconds;
using core::simulated_time;
using core::time_point;
using limits::request_rate;

constexpr milliseconds kTick{20};
constexpr milliseconds kLength{60'000};
constexpr milliseconds kSpan{4000};
/** Longest wait of a request for its grant or permit. */
constexpr milliseconds kPatience{1700};
constexpr milliseconds kResponseTime{60};
constexpr std::int64_t kStarted = 7;
const limits::endpoint_incarnation kEndpoint{catalog::instance_id("i"),
                                             kStarted};

/** Arrivals at the endpoint. */
class arrivals {
 public:
  void Add(time_point now) { times_.push_back(now); }
  int Worst() const {
    int worst = 0;
    for (std::size_t first = 0, end = 0; first < times_.size(); ++first) {
      while (end < times_.size() && times_[end] < times_[first] + kSpan) ++end;
      worst = std::max(worst, static_cast<int>(end - first));
    }
    return worst;
  }
  double PerSecond() const {
    return static_cast<double>(times_.size()) /
           std::chrono::duration<double>(kLength).count();
  }

 private:
  std::vector<time_point> times_;
};

struct replay_case {
  std::size_t gateways = 1;
  double limit = 1.0;
};

class limit_replay_test : public ::testing::TestWithParam<replay_case> {
 protected:
  milliseconds Latency() {
    return milliseconds(std::uniform_int_distribution<int>(1, 25)(random_));
  }
  std::size_t PickGateway() {
    return std::uniform_int_distribution<std::size_t>(
        0, GetParam().gateways - 1)(random_);
  }
  /** Calls `submit` for requests at five times the limit, at least 20/s. */
  void StartLoad(const std::function<void(std::size_t gateway)>& submit) {
    const double rate = std::max(20.0, 5.0 * GetParam().limit);
    const double wait = std::exponential_distribution<double>(rate)(random_);
    time_.After(milliseconds(static_cast<int>(wait * 1e3)), [this, submit] {
      submit(PickGateway());
      StartLoad(submit);
    });
  }
  void ExpectLimitKept(double least_used) {
    const double allowed = 1.5 * 4.0 * GetParam().limit + 5.0;
    EXPECT_LE(arrivals_.Worst(), allowed);
    EXPECT_GE(arrivals_.PerSecond() / GetParam().limit, least_used);
    RecordProperty("worst", arrivals_.Worst());
    std::cout << GetParam().gateways << " gateways, limit " << GetParam().limit
              << ": worst span " << arrivals_.Worst() << " of " << allowed
              << ", used " << arrivals_.PerSecond() / GetParam().limit << '\n';
  }

  simulated_time time_;
  std::mt19937 random_{20261204};
  arrivals arrivals_;
  std::uint64_t last_number_ = 0;
};

class engine_replay_test : public limit_replay_test {
 protected:
  engine_replay_test() { Restart(); }

  void Restart() {
    ++incarnation_;
    scheduler_ = std::make_unique<grant_scheduler>(grant_options{});
    scheduler_->SetConfig({.batch_slots = 64, .adapter_slots = 4});
    // What linked gateways report before their first grant requests.
    Apply(scheduler_->OnLimitObserved({.endpoint = kEndpoint,
                                       .rate = request_rate(GetParam().limit),
                                       .response_received = time_.Now()},
                                      time_.Now()));
    Tick(incarnation_);
  }
  void Tick(int incarnation) {
    if (incarnation != incarnation_) return;
    engine_state state;
    state.started_unix_ms = kStarted;
    state.models.push_back({core::model_id("m"), {}});
    Apply(scheduler_->OnState(state, time_.Now(), time_.Now()));
    Apply(scheduler_->OnTick(time_.Now()));
    time_.After(kTick, [this, incarnation] { Tick(incarnation); });
  }
  void Submit(std::size_t gateway) {
    const request_key key{gateway, ++last_number_};
    time_.After(Latency(), [this, key] {
      Apply(scheduler_->OnRequest(
          {.key = key,
           .adapter = {core::model_id("m"), {}},
           .first_output_due = time_.Now() + milliseconds(600),
           .deadline = time_.Now() + kPatience},
          time_.Now()));
    });
  }
  void Apply(const grant_scheduler::actions& actions) {
    for (const grant_action& action : actions) {
      const auto* given = std::get_if<grant>(&action);
      if (given == nullptr) continue;
      const request_key key = given->key;
      time_.After(Latency() + Latency(), [this, key] {
        arrivals_.Add(time_.Now());
        time_.After(kResponseTime, [this, key] { Respond(key); });
      });
    }
  }
  void Respond(const request_key& key) {
    Apply(scheduler_->OnLimitObserved({.endpoint = kEndpoint,
                                       .request = key,
                                       .rate = request_rate(GetParam().limit),
                                       .response_received = time_.Now()},
                                      time_.Now()));
    Apply(scheduler_->OnStarted(key, time_.Now()));
    Apply(scheduler_->OnEnded(key, false, time_.Now()));
  }

  int incarnation_ = 0;
  std::unique_ptr<grant_scheduler> scheduler_;
};

TEST_P(engine_replay_test, GatewaysTogetherKeepTheLimitAndUseIt) {
  StartLoad([this](std::size_t gateway) { Submit(gateway); });
  time_.RunFor(kLength);
  ExpectLimitKept(0.9);
}

// The sidecar is restarted every eight seconds and has forgotten its count.
TEST_P(engine_replay_test, RestartsOfTheSidecarDoNotExceedTheLimit) {
  StartLoad([this](std::size_t gateway) { Submit(gateway); });
  for (int i = 0; i < 7; ++i) {
    time_.RunFor(milliseconds(8000));
    Restart();
  }
  time_.RunFor(kLength - 7 * milliseconds(8000));
  ExpectLimitKept(0.7);
}

/** Two sidecars count for a plain endpoint; gateways choose one of them. */
class plain_replay_test : public limit_replay_test {
 protected:
  struct counting_sidecar {
    permit_table table{1};
  };

  plain_replay_test() { Tick(); }

  void Tick() {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      Apply(i, sidecars_[i]->table.OnTick(time_.Now()));
    }
    time_.After(kTick, [this] { Tick(); });
  }
  void Submit(std::size_t gateway) {
    const request_key key{gateway, ++last_number_};
    const auto [sidecar, role] = choose_(gateway);
    time_.After(Latency(), [this, key, sidecar = sidecar, role = role] {
      Apply(sidecar, sidecars_[sidecar]->table.OnRequest(
                         {.key = key,
                          .endpoint = kEndpoint,
                          .role = role,
                          .rate = request_rate(GetParam().limit),
                          .deadline = time_.Now() + kPatience,
                          .maximum_retry_after = milliseconds(1000)},
                         time_.Now()));
    });
  }
  void Apply(std::size_t sidecar, const permit_table::actions& actions) {
    for (const grant_action& action : actions) {
      const auto* given = std::get_if<grant>(&action);
      if (given == nullptr) continue;
      time_.After(Latency() + Latency(), [this, sidecar, key = given->key] {
        arrivals_.Add(time_.Now());
        time_.After(kResponseTime, [this, sidecar, key] {
          sidecars_[sidecar]->table.OnLimitObserved(
              {.endpoint = kEndpoint,
               .request = key,
               .rate = request_rate(GetParam().limit),
               .response_received = time_.Now()},
              time_.Now());
        });
      });
    }
  }

  std::vector<std::unique_ptr<counting_sidecar>> sidecars_ = [] {
    std::vector<std::unique_ptr<counting_sidecar>> made;
    for (int i = 0; i < 3; ++i) {
      made.push_back(std::make_unique<counting_sidecar>());
    }
    return made;
  }();
  std::function<std::pair<std::size_t, permit_role>(std::size_t)> choose_ =
      [](std::size_t) { return std::pair(0, permit_role::primary); };
};

TEST_P(plain_replay_test, GatewaysTogetherKeepTheLimitAndUseIt) {
  StartLoad([this](std::size_t gateway) { Submit(gateway); });
  time_.RunFor(kLength);
  ExpectLimitKept(0.9);
}

// A third of the gateways cannot reach the sidecar that counts first.
TEST_P(plain_replay_test, GatewaysThatAreCutOffDoNotExceedTheLimit) {
  choose_ = [](std::size_t gateway) {
    return gateway % 3 == 1 ? std::pair(1, permit_role::fallback)
                            : std::pair(0, permit_role::primary);
  };
  StartLoad([this](std::size_t gateway) { Submit(gateway); });
  time_.RunFor(kLength);
  ExpectLimitKept(0.9);
}

// The sidecar that counts first is removed from the catalog, and gateways learn
// it within a second of each other.
TEST_P(plain_replay_test, AChangeOfTheCountingSidecarKeepsTheLimit) {
  std::vector<std::size_t> primary(GetParam().gateways, 0);
  choose_ = [&primary](std::size_t gateway) {
    return std::pair(primary[gateway], permit_role::primary);
  };
  StartLoad([this](std::size_t gateway) { Submit(gateway); });
  for (std::size_t next = 1; next < 3; ++next) {
    time_.RunFor(milliseconds(10'000));
    for (std::size_t gateway = 0; gateway < primary.size(); ++gateway) {
      const milliseconds delay(
          std::uniform_int_distribution<int>(0, 1000)(random_));
      time_.After(delay, [this, &primary, gateway, next] {
        // The gateway gives up what it waits for there.
        sidecars_[std::exchange(primary[gateway], next)]->table.OnLinkLost(
            gateway);
      });
    }
  }
  time_.RunFor(kLength - milliseconds(20'000));
  ExpectLimitKept(0.9);
}

// The sidecar that counts first is down for three seconds of every ten; all
// gateways use the fallback meanwhile, then a count that begins anew.
TEST_P(plain_replay_test, ALostCountingSidecarKeepsTheLimit) {
  bool is_down = false;
  choose_ = [&is_down](std::size_t) {
    return is_down ? std::pair(1, permit_role::fallback)
                   : std::pair(0, permit_role::primary);
  };
  StartLoad([this](std::size_t gateway) { Submit(gateway); });
  for (int i = 0; i < 6; ++i) {
    time_.RunFor(milliseconds(7000));
    is_down = true;
    time_.RunFor(milliseconds(3000));
    is_down = false;
    sidecars_[0] = std::make_unique<counting_sidecar>();
  }
  ExpectLimitKept(0.6);
}

std::vector<replay_case> Cases() {
  std::vector<replay_case> cases;
  for (const std::size_t gateways : {1, 4, 32, 68}) {
    for (const double limit : {0.3, 1.2, 1.8, 12.0, 90.0}) {
      cases.push_back({gateways, limit});
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Gateways, engine_replay_test,
                         ::testing::ValuesIn(Cases()));
INSTANTIATE_TEST_SUITE_P(Gateways, plain_replay_test,
                         ::testing::ValuesIn(Cases()));

}  // namespace
}  // namespace comfreyspring::grants

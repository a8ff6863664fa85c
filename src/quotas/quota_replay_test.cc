// Replays the load of one tenant through many gateways (quota_account) and
// their counting sidecars (quota_table), without I/O.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "core/random_source.h"
#include "core/simulated_time.h"
#include "quotas/quota_account.h"
#include "quotas/quota_table.h"

namespace comfreyspring::quotas {
namespace {

using core::milliseconds;

constexpr std::size_t kGateways = 29;
constexpr std::size_t kSidecars = 3;
constexpr milliseconds kOneWay{1};
/** Window, overage and slack of the platform's check. */
constexpr milliseconds kWindow{8000};
constexpr double kOverage = 0.25;
constexpr double kSlack = 17000;

struct replay_options {
  /** Amount that callers send a second, relative to the rate. */
  double load = 6.0;
  /** Share of gateway i is proportional to this to the power of i. */
  double skew = 0.85;
  /** For this long callers send little, so that the burst is unused. */
  milliseconds calm{0};
  quota_limit limit{.rate = 344'204, .burst = 344'204, .version = 1};
  std::uint64_t seed = 1;
};

class quota_replay {
 public:
  explicit quota_replay(replay_options options)
      : options_(options), random_(options.seed), accounts_(kGateways) {
    for (auto& order : orders_) order = {0, 1};
    for (auto& reaches : reaches_) reaches.fill(true);
    double total = 0.0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      total += std::pow(options_.skew, static_cast<double>(i));
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      Arrive(i, options_.load * options_.limit.rate *
                    std::pow(options_.skew, static_cast<double>(i)) / total);
    }
    Tick();
  }

  // Events of the surroundings.

  /** At the gateway, both sidecars in this order count the tenant. */
  void Choose(std::size_t gateway, std::size_t first, std::size_t second) {
    orders_[gateway] = {first, second};
  }
  void SetReach(std::size_t gateway, std::size_t sidecar, bool reaches) {
    reaches_[gateway][sidecar] = reaches;
    if (!reaches) {
      Perform(gateway, accounts_[gateway].OnSidecarLost(
                           NameOf(sidecar), Sidecars(gateway), time_.Now()));
    }
  }
  /** A frozen sidecar answers nothing; later it answers what it has got. */
  void Freeze(std::size_t sidecar, bool frozen) {
    frozen_[sidecar] = frozen;
    if (frozen) return;
    for (auto& step : std::exchange(backlog_[sidecar], {})) step();
  }
  void Restart(std::size_t sidecar) { tables_[sidecar] = {}; }
  void RunFor(milliseconds length) { time_.RunFor(length); }
  /** Runs `step(gateway)` for each, at different times within `spread`. */
  void Spread(milliseconds spread,
              const std::function<void(std::size_t)>& step) {
    for (std::size_t i = 0; i < kGateways; ++i) {
      time_.After(milliseconds(static_cast<std::int64_t>(random_.NextBelow(
                      static_cast<std::uint64_t>(spread.count())))),
                  [step, i] { step(i); });
    }
  }

  // Results.

  /** Largest amount sent within one window, relative to the permitted one. */
  double WorstWindow() const {
    double worst = 0.0;
    double sum = 0.0;
    auto sorted = admitted_;
    std::sort(sorted.begin(), sorted.end());
    std::size_t first = 0;
    for (const auto& [at, amount] : sorted) {
      sum += amount;
      while (at - sorted[first].first > kWindow) sum -= sorted[first++].second;
      worst = std::max(worst, sum);
    }
    return worst / ((options_.limit.rate * 8.0 + options_.limit.burst) *
                        (1.0 + kOverage) +
                    kSlack);
  }
  double RefusedShare() const { return refused_ / (refused_ + Admitted()); }
  double Admitted() const {
    double sum = 0.0;
    for (const auto& [at, amount] : admitted_) sum += amount;
    return sum;
  }
  double WaitedShare() const {
    return static_cast<double>(waited_) / static_cast<double>(arrivals_);
  }
  double AsksPerArrival() const {
    return static_cast<double>(asks_) / static_cast<double>(arrivals_);
  }
  milliseconds LongestWait() const { return longest_wait_; }

 private:
  struct open_request {
    core::time_point arrived;
    double amount = 0.0;
  };

  static std::string NameOf(std::size_t sidecar) {
    return std::to_string(sidecar);
  }
  counting_sidecars Sidecars(std::size_t gateway) const {
    const auto [first, second] = orders_[gateway];
    const auto& reaches = reaches_[gateway];
    return {.primary = reaches[first] ? NameOf(first) : std::string(),
            .fallback = reaches[second] ? NameOf(second) : std::string(),
            .gateways = kGateways};
  }

  void Arrive(std::size_t gateway, double rate) {
    // Mean amount of the three sizes.
    constexpr std::array<std::int64_t, 3> kSizes{1120, 2389, 200};
    constexpr double kMean = (1120.0 + 2389.0 + 200.0) / 3.0;
    constexpr double kCalmShare = 0.02;
    const bool is_calm = time_.Now() < begin_ + options_.calm;
    const double pause_ms = -std::log(1.0 - random_.NextUnit()) * kMean /
                            (is_calm ? rate * kCalmShare : rate) * 1e3;
    time_.After(
        milliseconds(std::llround(pause_ms)), [this, gateway, rate, kSizes] {
          const std::int64_t amount = kSizes.at(random_.NextBelow(3));
          open_[++last_number_] = {time_.Now(), static_cast<double>(amount)};
          ++arrivals_;
          Perform(gateway, accounts_[gateway].Charge(
                               {.number = last_number_, .amount = amount},
                               options_.limit, Sidecars(gateway), time_.Now()));
          if (open_.count(last_number_) > 0) ++waited_;
          Arrive(gateway, rate);
        });
  }

  void Perform(std::size_t gateway, const quota_account::actions& actions) {
    for (const auto& action : actions) {
      std::visit(core::overloaded{
                     [&](const admit_charge& admit) {
                       const auto& request = open_.at(admit.number);
                       admitted_.emplace_back(request.arrived, request.amount);
                       Close(admit.number);
                     },
                     [&](const refuse_charge& refuse) {
                       refused_ += open_.at(refuse.number).amount;
                       Close(refuse.number);
                     },
                     [&](const send_ask& ask) { Send(gateway, ask); },
                     [](const note_timeout&) {}},
                 action);
    }
  }
  void Close(std::uint64_t number) {
    longest_wait_ =
        std::max(longest_wait_,
                 core::ToMilliseconds(time_.Now() - open_.at(number).arrived));
    open_.erase(number);
  }

  void Send(std::size_t gateway, const send_ask& ask) {
    ++asks_;
    const std::size_t sidecar = std::stoul(ask.sidecar);
    time_.After(kOneWay, [this, gateway, sidecar, ask] {
      const auto receive = [this, gateway, sidecar, ask] {
        Deliver(sidecar, tables_[sidecar].OnRequest(
                             {.link = gateway,
                              .number = ask.number,
                              .tenant = core::tenant_id("t"),
                              .role = ask.role,
                              .limit = options_.limit,
                              .minimum = ask.minimum,
                              .amount = ask.amount,
                              .priority = ask.priority,
                              .deadline = time_.Now() + ask.deadline_in},
                             time_.Now()));
      };
      if (frozen_[sidecar]) {
        backlog_[sidecar].emplace_back(receive);
      } else {
        receive();
      }
    });
    time_.After(quota_account::kAskTimeout, [this, gateway] {
      Perform(gateway,
              accounts_[gateway].OnTick(Sidecars(gateway), time_.Now()));
    });
  }
  void Deliver(std::size_t sidecar, const quota_table::decisions& decisions) {
    for (const auto& each : decisions) {
      time_.After(kOneWay, [this, sidecar, each] {
        const std::size_t gateway = each.link;
        if (!reaches_[gateway][sidecar]) return;
        Perform(gateway, accounts_[gateway].OnAnswer(
                             each.number, each.granted, each.retry_after,
                             Sidecars(gateway), time_.Now()));
      });
    }
  }
  void Tick() {
    for (std::size_t i = 0; i < kSidecars; ++i) {
      if (!frozen_[i]) Deliver(i, tables_[i].OnTick(time_.Now()));
    }
    time_.After(milliseconds(10), [this] { Tick(); });
  }

  replay_options options_;
  core::random_source random_;
  core::simulated_time time_;
  core::time_point begin_ = time_.Now();
  std::vector<quota_account> accounts_;
  std::array<quota_table, kSidecars> tables_;
  std::array<bool, kSidecars> frozen_{};
  std::array<std::vector<std::function<void()>>, kSidecars> backlog_;
  std::array<std::pair<std::size_t, std::size_t>, kGateways> orders_;
  std::array<std::array<bool, kSidecars>, kGateways> reaches_;
  std::map<std::uint64_t, open_request> open_;
  std::uint64_t last_number_ = 0;
  std::vector<std::pair<core::time_point, double>> admitted_;
  double refused_ = 0.0;
  std::size_t arrivals_ = 0;
  std::size_t waited_ = 0;
  std::size_t asks_ = 0;
  milliseconds longest_wait_{0};
};

// The tenant gets what it may use, and no more.
TEST(quota_replay_test, SixTimesTheRateStaysWithinTheQuota) {
  quota_replay replay({});
  replay.RunFor(milliseconds(30'000));
  EXPECT_LE(replay.WorstWindow(), 1.0);
  EXPECT_GE(replay.Admitted(), 0.95 * 30.0 * 344'204.0);
  EXPECT_LE(replay.LongestWait(), milliseconds(90));
  // Refused requests must not cost a message each.
  EXPECT_LE(replay.AsksPerArrival(), 0.5);
}

// With shares from 15% of the load down to 0.2%.
TEST(quota_replay_test, ATenantWithinItsQuotaIsNotRefused) {
  for (const double skew : {0.5, 0.85, 1.0}) {
    quota_replay replay({.load = 0.85, .skew = skew});
    replay.RunFor(milliseconds(30'000));
    EXPECT_LE(replay.RefusedShare(), 0.001) << skew;
    EXPECT_LE(replay.LongestWait(), milliseconds(90));
  }
}

TEST(quota_replay_test, BusyGatewaysRarelyWait) {
  quota_replay replay({.load = 0.85, .skew = 0.5});
  replay.RunFor(milliseconds(30'000));
  EXPECT_LE(replay.WaitedShare(), 0.1);
}

// A tenant with a small rate sends a few requests a second, so that amounts
// held back unused would be a large part of its quota.
TEST(quota_replay_test, ASmallTenantIsNotRefused) {
  quota_replay replay(
      {.load = 0.8, .limit = {.rate = 20'000, .burst = 20'000, .version = 1}});
  replay.RunFor(milliseconds(60'000));
  EXPECT_LE(replay.RefusedShare(), 0.01);
}

// The counting sidecar dies; the links of the gateways close one after another;
// later it leaves the catalog, and returns after a restart.
TEST(quota_replay_test, TheQuotaHoldsWhenTheCountingSidecarChanges) {
  for (const double burst_seconds : {0.0, 1.0, 10.0}) {
    replay_options options{.calm = milliseconds(12'000)};
    options.limit.burst = burst_seconds * options.limit.rate;
    quota_replay replay(options);
    replay.RunFor(milliseconds(15'000));
    replay.Freeze(0, true);
    replay.Spread(milliseconds(600),
                  [&](std::size_t i) { replay.SetReach(i, 0, false); });
    replay.RunFor(milliseconds(1000));
    replay.Spread(milliseconds(1500),
                  [&](std::size_t i) { replay.Choose(i, 1, 2); });
    replay.RunFor(milliseconds(3000));
    replay.Freeze(0, false);
    replay.Restart(0);
    replay.Spread(milliseconds(1000), [&](std::size_t i) {
      replay.SetReach(i, 0, true);
      replay.Choose(i, 0, 1);
    });
    replay.RunFor(milliseconds(15'000));
    EXPECT_LE(replay.WorstWindow(), 1.0) << burst_seconds;
    EXPECT_GE(replay.Admitted(), 0.8 * 22.0 * 344'204.0) << burst_seconds;
  }
}

// A sidecar that is frozen and thawed has its full burst to give.
TEST(quota_replay_test, TheQuotaHoldsWhenTheCountingSidecarFreezes) {
  quota_replay replay({.calm = milliseconds(8000)});
  replay.RunFor(milliseconds(10'000));
  replay.Freeze(0, true);
  replay.RunFor(milliseconds(3000));
  replay.Freeze(0, false);
  replay.RunFor(milliseconds(10'000));
  EXPECT_LE(replay.WorstWindow(), 1.0);
  EXPECT_LE(replay.LongestWait(), milliseconds(300));
}

TEST(quota_replay_test, TheQuotaHoldsWhenAThirdOfTheGatewaysReachesTheOther) {
  for (const double burst_seconds : {0.0, 1.0, 10.0}) {
    replay_options options{.skew = 1.0, .calm = milliseconds(12'000)};
    options.limit.burst = burst_seconds * options.limit.rate;
    quota_replay replay(options);
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (i % 3 == 0) replay.SetReach(i, 0, false);
      if (i % 6 == 0) replay.SetReach(i, 1, false);
    }
    replay.RunFor(milliseconds(32'000));
    EXPECT_LE(replay.WorstWindow(), 1.0) << burst_seconds;
    EXPECT_GE(replay.Admitted(), 0.95 * 20.0 * 344'204.0) << burst_seconds;
  }
}

}  // namespace
}  // namespace comfreyspring::quotas

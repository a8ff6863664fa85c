// Replays load on engines of uneven speed with the real decisions of gateways
// and sidecars (ChooseEngine and grant_scheduler), without I/O. A third of the
// engines runs 1.7 times and two thirds 0.7 times the nominal speed, each is
// 2.5 times slower for moments, and the lengths of answers have a long tail.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/endpoint_choice.h"
#include "grants/grant_scheduler.h"

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

constexpr milliseconds kStep{5};
constexpr std::size_t kEngines = 9;
constexpr std::size_t kGateways = 4;
constexpr std::size_t kBatchSlots = 32;
constexpr std::size_t kAdapterSlots = 18;
constexpr int kAdapters = 100;
constexpr std::int64_t kTokensPerEvent = 7;
constexpr milliseconds kLoadTime{250};
constexpr milliseconds kStatusPeriod{800};
constexpr milliseconds kGrantTimeout{1700};
constexpr milliseconds kMomentLength{600};
constexpr double kMomentShare = 0.15;
constexpr double kMomentFactor = 2.5;
/** Time per token at nominal speed, and more per running request. */
constexpr double kTokenMs = 5.47;
constexpr double kTokenMsPerRun = 0.012;
constexpr double kPrefillPerMs = 38.7;
/** Share of a step that prompts may take while answers are generated. */
constexpr double kPrefillShare = 0.6;
constexpr int kMaximumGrantRequests = 3;

struct request_kind {
  double per_second;
  std::int64_t prompt_tokens;
  milliseconds goal;
  milliseconds deadline;
  int priority;
  bool is_long;
};
/** Rates per engine of the deployment that the replay stands for. */
constexpr std::array kKinds = {request_kind{228.0 / 47, 826, milliseconds(800),
                                            milliseconds(12000), 1, true},
                               request_kind{31.6 / 47, 826, milliseconds(1000),
                                            milliseconds(20000), 1, true},
                               request_kind{68.3 / 47, 2368, milliseconds(800),
                                            milliseconds(3000), 0, false}};

struct outcome {
  int arrived = 0;
  int on_time = 0;
  int failed = 0;
  /** Of these, answers that were broken off at their deadline. */
  int broken_off = 0;
  int loads = 0;
  outcome& operator+=(const outcome& other) {
    arrived += other.arrived;
    on_time += other.on_time;
    failed += other.failed;
    broken_off += other.broken_off;
    loads += other.loads;
    return *this;
  }
  double OnTimeShare() const { return static_cast<double>(on_time) / arrived; }
  double FailedShare() const { return static_cast<double>(failed) / arrived; }
};

class uneven_replay {
 public:
  uneven_replay(const std::vector<double>& speeds, bool uses_speed,
                std::uint32_t seed)
      : uses_speed_(uses_speed),
        engines_(kEngines),
        views_(kGateways),
        random_(seed) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines_[i].speed = speeds[i % speeds.size()];
      engines_[i].scheduler = std::make_unique<grants::grant_scheduler>(
          grants::grant_options{.random_seed = i + 1});
      engines_[i].scheduler->SetConfig({.batch_slots = kBatchSlots,
                                        .adapter_slots = kAdapterSlots,
                                        .cache_tokens = 117805,
                                        .models = {core::model_id("m")}});
      Report(i);
    }
    for (auto& views : views_) views.resize(kEngines);
  }

  /** Runs at a multiple of the mean rate. */
  void Run(milliseconds length, double rate) {
    for (const auto end = now_ + length; now_ < end;) Step(rate);
  }
  void RestartSidecar(std::size_t index) {
    engines_[index].scheduler = std::make_unique<grants::grant_scheduler>(
        grants::grant_options{.random_seed = index + 100});
  }
  const outcome& Outcome() const { return outcome_; }
  std::vector<double> Times() const {
    std::vector<double> r;
    for (auto& e : engines_) r.push_back(e.scheduler->TokenTime().count());
    return r;
  }
  std::vector<double> Speeds() const {
    std::vector<core::microseconds> times;
    for (const auto& engine : engines_) {
      times.push_back(engine.scheduler->TokenTime());
    }
    return RelativeSpeeds(times);
  }

 private:
  struct replayed_request {
    const request_kind* kind = nullptr;
    catalog::adapter_name adapter;
    std::int64_t tokens = 0;
    std::size_t gateway = 0;
    std::size_t engine = 0;
    core::time_point arrived;
    int grant_requests = 0;
    std::set<catalog::instance_id> excluded;
    double prompt_left = 0.0;
    double produced = 0.0;
    bool started = false;
    bool was_on_time = false;
  };
  struct replayed_engine {
    double speed = 1.0;
    std::unique_ptr<grants::grant_scheduler> scheduler;
    std::vector<grants::request_key> prompts;
    std::vector<grants::request_key> running;
    std::set<catalog::adapter_name> held;
    std::map<catalog::adapter_name, core::time_point> loading;
    core::time_point slow_until;
    std::int64_t orders = 0;
  };

  double Random() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void Step(double rate) {
    now_ += kStep;
    const bool is_turn = (now_ - start_) % milliseconds(50) == milliseconds(0);
    for (std::size_t i = 0; i < kEngines; ++i) {
      if (is_turn) Report(i);
      Apply(i, engines_[i].scheduler->OnTick(now_));
      Compute(i);
    }
    for (std::size_t g = 0; g < kGateways; ++g) {
      for (std::size_t i = 0; i < kEngines; ++i) {
        const auto phase = kStep * static_cast<int>(g * 37 + i * 13);
        if ((now_ - start_ + phase) % kStatusPeriod == milliseconds(0)) {
          ReceiveStatus(g, i);
        }
      }
    }
    for (const request_kind& kind : kKinds) {
      const double due =
          rate * kEngines * kind.per_second * static_cast<double>(5) / 1e3;
      if (Random() < due) Arrive(kind);
    }
  }

  void Compute(std::size_t index) {
    replayed_engine& engine = engines_[index];
    const double moments_per_step = kMomentShare / (1.0 - kMomentShare) *
                                    static_cast<double>(kStep.count()) /
                                    static_cast<double>(kMomentLength.count());
    if (now_ >= engine.slow_until && Random() < moments_per_step) {
      engine.slow_until = now_ + kMomentLength;
    }
    const double speed =
        engine.speed / (now_ < engine.slow_until ? kMomentFactor : 1.0);
    double left_ms = static_cast<double>(kStep.count());
    const double reserve =
        engine.running.empty() ? 0.0 : (1.0 - kPrefillShare) * left_ms;
    while (!engine.prompts.empty() && left_ms > reserve) {
      replayed_request& request = requests_.at(engine.prompts.front());
      const double needs = request.prompt_left / (kPrefillPerMs * speed);
      const double takes = std::min(needs, left_ms - reserve);
      left_ms -= takes;
      request.prompt_left -= takes * kPrefillPerMs * speed;
      if (takes < needs) break;
      engine.running.push_back(engine.prompts.front());
      engine.prompts.erase(engine.prompts.begin());
    }
    const double tokens =
        left_ms * speed /
        (kTokenMs +
         kTokenMsPerRun * static_cast<double>(engine.running.size()));
    for (const auto& key : std::vector(engine.running)) {
      Produce(index, key, tokens);
    }
  }

  void Produce(std::size_t index, const grants::request_key& key,
               double tokens) {
    replayed_engine& engine = engines_[index];
    replayed_request& request = requests_.at(key);
    request.produced += tokens;
    if (!request.started && request.produced >= kTokensPerEvent) {
      request.started = true;
      request.was_on_time = now_ - request.arrived <= request.kind->goal;
      Apply(index, engine.scheduler->OnStarted(key, now_));
    }
    const bool is_late = now_ - request.arrived > request.kind->deadline;
    if (!is_late && request.produced < static_cast<double>(request.tokens)) {
      return;
    }
    std::erase(engine.running, key);
    outcome_.failed += is_late ? 1 : 0;
    outcome_.broken_off += is_late ? 1 : 0;
    outcome_.on_time += !is_late && request.was_on_time ? 1 : 0;
    Apply(index, engine.scheduler->OnEnded(
                     key, false, now_,
                     is_late ? 0 : request.tokens - kTokensPerEvent));
  }

  void Report(std::size_t index) {
    replayed_engine& engine = engines_[index];
    grants::engine_state state{.started_unix_ms = 1,
                               .orders_accepted = engine.orders};
    state.models.push_back({core::model_id("m"), {}});
    std::erase_if(engine.loading, [&](const auto& load) {
      if (load.second > now_) return false;
      engine.held.insert(load.first);
      return true;
    });
    for (const auto& name : engine.held) {
      state.models[0].adapters.push_back({name.adapter, 1});
    }
    for (const auto& [name, at] : engine.loading) state.loading.push_back(name);
    Apply(index, engine.scheduler->OnState(state, now_, now_));
  }

  void Apply(std::size_t index,
             const grants::grant_scheduler::actions& actions) {
    replayed_engine& engine = engines_[index];
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<grants::grant>(&action)) {
        engine.prompts.push_back(given->key);
      } else if (const auto* refused = std::get_if<grants::refusal>(&action)) {
        OnRefused(*refused);
      } else {
        const auto& order = std::get<grants::engine_order>(action);
        const bool loads = order.what == grants::engine_order::kind::load;
        ++engine.orders;
        outcome_.loads += loads ? 1 : 0;
        if (loads) engine.loading[order.subject] = now_ + kLoadTime;
        if (!loads) engine.held.erase(order.subject);
        Apply(index, engine.scheduler->OnOrderEnded(
                         order,
                         loads ? grants::order_result::accepted
                               : grants::order_result::done,
                         now_));
      }
    }
  }

  void ReceiveStatus(std::size_t gateway, std::size_t i) {
    auto view = std::make_shared<endpoint_view>();
    view->record.instance = catalog::instance_id(std::to_string(i));
    view->record.address = {"10.0.0." + std::to_string(i + 1), 80};
    view->record.slots = kBatchSlots;
    view->has_sidecar = true;
    view->status = engines_[i].scheduler->Status(now_);
    if (!uses_speed_) view->status.token_time = core::microseconds(0);
    view->adapters = engines_[i].held;
    views_[gateway][i] = std::move(view);
  }

  void OnRefused(const grants::refusal& refused) {
    replayed_request& request = requests_.at(refused.key);
    if (refused.reason != grants::refusal_reason::fuller_than_known &&
        refused.reason != grants::refusal_reason::cannot_finish) {
      ++outcome_.failed;
      return;
    }
    ReceiveStatus(request.gateway, request.engine);
    request.excluded.insert(
        catalog::instance_id(std::to_string(request.engine)));
    Place(refused.key);
  }

  void Arrive(const request_kind& kind) {
    // Mean 42 events; 9% have 110 or more, at most 136.
    const double events =
        std::min(136.0, std::lognormal_distribution<>(3.4, 1.0)(random_));
    const int adapter = static_cast<int>(kAdapters * std::pow(Random(), 2.5));
    replayed_request request{
        .kind = &kind,
        .adapter = {core::model_id("m"),
                    core::adapter_id("a" + std::to_string(adapter))},
        .tokens =
            kTokensPerEvent *
            (kind.is_long ? std::max<std::int64_t>(2, std::lround(events)) : 3),
        .gateway = arrivals_++ % kGateways,
        .arrived = now_,
        .prompt_left = static_cast<double>(kind.prompt_tokens)};
    ++outcome_.arrived;
    const grants::request_key key{request.gateway + 1, arrivals_};
    requests_[key] = std::move(request);
    Place(key);
  }

  void Place(const grants::request_key& key) {
    replayed_request& request = requests_.at(key);
    endpoint_views all;
    for (const auto& view : views_[request.gateway]) {
      if (view) all.push_back(view.get());
    }
    const auto due_in =
        core::ToMilliseconds(request.arrived + request.kind->deadline - now_);
    const auto choice =
        ChooseEngine(all,
                     {.adapter = request.adapter,
                      .excluded = &request.excluded,
                      .gateways = kGateways,
                      .size = {request.kind->prompt_tokens, request.tokens},
                      .answer_due_in = due_in},
                     now_);
    if (choice.view == nullptr) {
      ++outcome_.failed;
      return;
    }
    request.engine = std::stoul(choice.view->record.instance.Value());
    views_[request.gateway][request.engine]->grants_requested_since_status += 1;
    const bool may_go_elsewhere =
        ++request.grant_requests < kMaximumGrantRequests;
    grants::engine_request wanted{
        .key = key,
        .adapter = request.adapter,
        .priority = request.kind->priority,
        .prompt_tokens = request.kind->prompt_tokens,
        .output_tokens = request.tokens,
        .event_gap_target = milliseconds(300),
        .first_output_due = request.arrived + request.kind->goal,
        .deadline = request.arrived + kGrantTimeout,
        .load_bound = may_go_elsewhere ? choice.load_bound : 0.0};
    if (may_go_elsewhere && choice.speeds_differ) {
      wanted.answer_due = request.arrived + request.kind->deadline;
    }
    Apply(request.engine,
          engines_[request.engine].scheduler->OnRequest(wanted, now_));
  }

  const core::time_point start_{std::chrono::seconds(100)};
  core::time_point now_ = start_;
  bool uses_speed_;
  std::vector<replayed_engine> engines_;
  std::vector<std::vector<std::shared_ptr<endpoint_view>>> views_;
  std::map<grants::request_key, replayed_request> requests_;
  std::mt19937 random_;
  std::size_t arrivals_ = 0;
  outcome outcome_;
};

const std::vector<double> kUneven = {1.7, 0.7, 0.7};

void Print(const std::string& name, const outcome& result) {
  std::cout << name << ": arrived " << result.arrived << ", on time "
            << result.OnTimeShare() << ", failed " << result.FailedShare()
            << ", broken off at the deadline " << result.broken_off
            << ", adapter loads " << result.loads << '\n';
}

outcome PlayBurst(const std::vector<double>& speeds, bool uses_speed,
                  double burst, std::uint32_t seed) {
  uneven_replay replay(speeds, uses_speed, seed);
  replay.Run(milliseconds(20000), 1.0);
  replay.Run(milliseconds(15000), burst);
  replay.Run(milliseconds(25000), 1.0);
  std::ostringstream name;
  name << "speed " << (uses_speed ? "used" : "ignored") << ", burst x" << burst;
  Print(name.str(), replay.Outcome());
  return replay.Outcome();
}

// Guards against slow engines that fill up, and long answers on them that end
// after their deadline, while fast engines have room.
TEST(engine_speed_replay_test, FastEnginesTakeMoreAndLongerAnswers) {
  outcome ignored;
  outcome used;
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    for (const double burst : {1.0, 1.3, 1.6, 2.0}) {
      ignored += PlayBurst(kUneven, false, burst, seed);
      used += PlayBurst(kUneven, true, burst, seed);
    }
  }
  Print("total, speed ignored", ignored);
  Print("total, speed used", used);
  EXPECT_LE(2 * used.broken_off, ignored.broken_off);
  EXPECT_LE(used.FailedShare(), ignored.FailedShare());
  EXPECT_GE(used.OnTimeShare(), ignored.OnTimeShare());
}

// Guards against decisions that change where engines hardly differ, also while
// each is slowed down for moments.
TEST(engine_speed_replay_test, SimilarEnginesAreServedAsBefore) {
  for (const std::vector<double>& speeds :
       {std::vector{1.0}, std::vector{1.0, 1.0, 1.3}}) {
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
      for (const double burst : {1.0, 1.6}) {
        const outcome ignored = PlayBurst(speeds, false, burst, seed);
        const outcome used = PlayBurst(speeds, true, burst, seed);
        EXPECT_EQ(used.on_time, ignored.on_time);
        EXPECT_EQ(used.failed, ignored.failed);
        EXPECT_EQ(used.loads, ignored.loads);
      }
    }
  }
}

// A sidecar that restarts knows no speed until runs have ended; its engine
// counts as an average one until then.
TEST(engine_speed_replay_test, ARestartedSidecarMeasuresAnew) {
  uneven_replay replay(kUneven, true, 1);
  replay.Run(milliseconds(15000), 1.0);
  EXPECT_GE(replay.Speeds()[0], 2.0);
  replay.RestartSidecar(0);
  EXPECT_EQ(replay.Speeds()[0], 1.0);
}

}  // namespace
}  // namespace comfreyspring::gateway

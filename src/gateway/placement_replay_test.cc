// Replays scripted load and failure scenarios with the real decisions of
// gateways and sidecars (ChooseEngine and grant_scheduler), without I/O: many
// requests, several gateways with views of different age, and engines that
// process prompts one after the other and load adapters from a shared weight
// store.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
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
using grants::request_key;

constexpr milliseconds kStep{5};
/** Time until a gateway notices that an engine is gone. */
constexpr milliseconds kDetectionTime{600};
constexpr milliseconds kGoal{600};
constexpr milliseconds kGrantTimeout{1700};
constexpr milliseconds kLoadTime{250};
/** Concurrent loads that the weight store serves at full speed. */
constexpr std::size_t kStoreLoads = 8;
constexpr milliseconds kRunTime{900};
constexpr std::int64_t kPromptTokens = 800;
/** Prompt tokens per millisecond. */
constexpr std::int64_t kPromptRate = 30;
constexpr std::size_t kAdapterSlots = 12;
/**
 * Grant requests per request of a caller; the last one is sent without a load
 * bound.
 */
constexpr int kMaximumGrantRequests = 3;

catalog::adapter_name Name(int adapter) {
  return {core::model_id("m"), core::adapter_id("a" + std::to_string(adapter))};
}

struct replayed_engine {
  std::unique_ptr<grants::grant_scheduler> scheduler;
  std::set<catalog::adapter_name> held;
  /** Remaining time of each load, in ms at full speed. */
  std::map<catalog::adapter_name, double> loading;
  core::time_point prompts_done_at;
  core::time_point up_at;
  bool up = true;
  std::int64_t started = 1;
  std::int64_t orders = 0;
};

struct replayed_request {
  int adapter = 0;
  std::size_t gateway = 0;
  core::time_point arrived_at;
  std::set<catalog::instance_id> excluded;
  int grant_requests = 0;
  std::size_t engine = 0;
  bool granted = false;
  core::time_point first_output;
  bool started = false;
  bool ended = false;
  bool refused = false;
  bool lost = false;
};

/** Size of the simulated system. */
struct replay_fleet {
  std::size_t gateways = 4;
  std::size_t engines = 9;
  int adapters = 150;
  std::size_t batch_slots = 32;
  /** Interval at which an engine sends its status to a gateway. */
  milliseconds status_period{100};
};

/** Results of the requests that arrived in an interval. */
struct replay_outcome {
  int arrived = 0;
  int on_time = 0;
  int served = 0;
  int refused = 0;
  double OnTimeShare() const { return static_cast<double>(on_time) / arrived; }
  double ServedShare() const { return static_cast<double>(served) / arrived; }
};

/**
 * Script lines, each starting with a time in ms:
 * `MS rate N`: N requests a second from then on;
 * `MS shift N`: every third request is for adapter N from then on;
 * `MS lose E MS`: engine E is down for the second time;
 * `MS replace E`: engine E is replaced by an empty one;
 * `MS restart G`: gateway G loses its views until the next status;
 * `MS end`.
 */
class placement_replay {
 public:
  explicit placement_replay(const replay_fleet& fleet)
      : fleet_(fleet), engines_(fleet.engines), views_(fleet.gateways) {
    for (std::size_t i = 0; i < fleet.engines; ++i) StartEngine(i);
    for (auto& views : views_) views.resize(fleet.engines);
  }

  void Play(const std::string& script) {
    std::istringstream lines(script);
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      int at = 0;
      std::string verb;
      if (!(words >> at >> verb)) continue;
      while (now_ < start_ + milliseconds(at)) Step();
      int first = 0;
      words >> first;
      if (verb == "rate") rate_ = first;
      if (verb == "shift") hot_adapter_ = first;
      if (verb == "replace") StopEngine(static_cast<std::size_t>(first), kStep);
      if (verb == "restart") ForgetViews(static_cast<std::size_t>(first));
      if (verb == "lose") {
        int length = 0;
        words >> length;
        StopEngine(static_cast<std::size_t>(first), milliseconds(length));
      }
    }
  }

  replay_outcome Between(int from_ms, int to_ms) const {
    replay_outcome outcome;
    for (const auto& [key, request] : requests_) {
      if (request.arrived_at < start_ + milliseconds(from_ms) ||
          request.arrived_at >= start_ + milliseconds(to_ms)) {
        continue;
      }
      ++outcome.arrived;
      outcome.refused += request.refused ? 1 : 0;
      if (!request.started || request.lost) continue;
      ++outcome.served;
      outcome.on_time += request.first_output - request.arrived_at <= kGoal;
    }
    return outcome;
  }
  /** Requests that were neither granted nor refused within their timeout. */
  int OverdueCount() const { return overdue_; }
  std::size_t MaximumHeldAdapters() const { return maximum_held_adapters_; }
  int RedirectCount() const { return redirects_; }

 private:
  void StartEngine(std::size_t index) {
    replayed_engine& engine = engines_[index];
    const std::int64_t started = engine.started + 1;
    const core::time_point up_at = engine.up_at;
    engine = {};
    engine.started = started;
    engine.up_at = up_at;
    engine.scheduler = std::make_unique<grants::grant_scheduler>(
        grants::grant_options{.random_seed = index + 1});
    engine.scheduler->SetConfig({.batch_slots = fleet_.batch_slots,
                                 .adapter_slots = kAdapterSlots,
                                 .cache_tokens = 130000,
                                 .models = {core::model_id("m")}});
    Report(index);
  }

  void StopEngine(std::size_t index, milliseconds length) {
    replayed_engine& engine = engines_[index];
    engine.up = false;
    engine.up_at = now_ + length;
    for (auto& [key, request] : requests_) {
      if (request.engine == index && !request.ended && !request.refused) {
        request.ended = true;
        request.lost = true;
      }
    }
  }

  void ForgetViews(std::size_t gateway) {
    views_[gateway].assign(engines_.size(), nullptr);
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      replayed_engine& engine = engines_[i];
      if (!engine.up && now_ >= engine.up_at) StartEngine(i);
      if (!engine.up) continue;
      MoveLoads(engine);
      Report(i);
      Apply(i, engine.scheduler->OnTick(now_));
    }
    MoveRuns();
    for (std::size_t i = 0; i < views_.size(); ++i) UpdateViews(i);
    due_ += rate_ * static_cast<double>(kStep.count()) / 1e3;
    for (; due_ >= 1.0; due_ -= 1.0) AddRequest();
  }

  void MoveLoads(replayed_engine& engine) {
    std::size_t underway = 0;
    for (const auto& each : engines_) underway += each.loading.size();
    const double speed =
        underway <= kStoreLoads
            ? 1.0
            : static_cast<double>(kStoreLoads) / static_cast<double>(underway);
    for (auto load = engine.loading.begin(); load != engine.loading.end();) {
      load->second -= static_cast<double>(kStep.count()) * speed;
      if (load->second > 0) {
        ++load;
        continue;
      }
      engine.held.insert(load->first);
      load = engine.loading.erase(load);
    }
  }

  void Report(std::size_t index) {
    replayed_engine& engine = engines_[index];
    grants::engine_state state;
    state.started_unix_ms = engine.started;
    state.orders_accepted = engine.orders;
    state.models.push_back({core::model_id("m"), {}});
    for (const auto& name : engine.held) {
      state.models[0].adapters.push_back({name.adapter, 1});
    }
    for (const auto& [name, left] : engine.loading) {
      state.loading.push_back(name);
    }
    Apply(index, engine.scheduler->OnState(state, now_, now_));
  }

  void Apply(std::size_t index,
             const grants::grant_scheduler::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<grants::grant>(&action)) {
        replayed_request& request = requests_.at(given->key);
        replayed_engine& engine = engines_[index];
        engine.prompts_done_at = std::max(engine.prompts_done_at, now_) +
                                 milliseconds(kPromptTokens / kPromptRate);
        request.granted = true;
        request.first_output = engine.prompts_done_at + milliseconds(20);
      } else if (const auto* refused = std::get_if<grants::refusal>(&action)) {
        OnRefused(*refused);
      } else {
        ApplyOrder(index, std::get<grants::engine_order>(action));
      }
    }
  }

  void ApplyOrder(std::size_t index, const grants::engine_order& order) {
    replayed_engine& engine = engines_[index];
    ++engine.orders;
    const bool loads = order.what == grants::engine_order::kind::load;
    if (loads) {
      engine.loading[order.subject] = static_cast<double>(kLoadTime.count());
    } else {
      engine.held.erase(order.subject);
    }
    maximum_held_adapters_ = std::max(
        maximum_held_adapters_, engine.held.size() + engine.loading.size());
    Apply(index,
          engine.scheduler->OnOrderEnded(order,
                                         loads ? grants::order_result::accepted
                                               : grants::order_result::done,
                                         now_));
  }

  void MoveRuns() {
    for (auto& [key, request] : requests_) {
      if (request.ended || request.refused) continue;
      if (!request.granted) {
        if (now_ - request.arrived_at > kGrantTimeout + milliseconds(100)) {
          ++overdue_;
          request.ended = true;
        }
        continue;
      }
      auto& scheduler = *engines_[request.engine].scheduler;
      if (!request.started && now_ >= request.first_output) {
        request.started = true;
        Apply(request.engine, scheduler.OnStarted(key, now_));
      }
      if (request.started && now_ >= request.first_output + kRunTime) {
        request.ended = true;
        Apply(request.engine, scheduler.OnEnded(key, false, now_));
      }
    }
  }

  /** The statuses of each engine reach each gateway at a different phase. */
  void UpdateViews(std::size_t gateway) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      auto& view = views_[gateway][i];
      const replayed_engine& engine = engines_[i];
      if (!engine.up) {
        if (view && now_ - view->received_at > kDetectionTime) view.reset();
        continue;
      }
      const auto turns = fleet_.status_period / kStep;
      const auto phase =
          kStep * static_cast<int>((gateway * 7 + i * 3) % turns);
      if ((now_ - start_ + phase) % fleet_.status_period != milliseconds(0)) {
        continue;
      }
      ReceiveStatus(gateway, i);
    }
  }

  void ReceiveStatus(std::size_t gateway, std::size_t i) {
    const replayed_engine& engine = engines_[i];
    auto& view = views_[gateway][i];
    view = std::make_shared<timed_view>();
    view->received_at = now_;
    view->record.instance = catalog::instance_id("i-" + std::to_string(i));
    view->record.address = {"10.0.0." + std::to_string(i + 1), 80};
    view->record.slots = fleet_.batch_slots;
    view->has_sidecar = true;
    view->status = engine.scheduler->Status(now_);
    view->adapters = engine.held;
  }

  void OnRefused(const grants::refusal& refused) {
    replayed_request& request = requests_.at(refused.key);
    if (refused.reason != grants::refusal_reason::fuller_than_known) {
      request.refused = true;
      return;
    }
    ++redirects_;
    ReceiveStatus(request.gateway, request.engine);
    request.excluded.insert(
        catalog::instance_id("i-" + std::to_string(request.engine)));
    Place(refused.key);
  }

  void AddRequest() {
    // The distribution of adapters is skewed: a few get most of the requests.
    const double position =
        std::pow(std::uniform_real_distribution<double>(0, 1)(random_), 2.5);
    replayed_request request;
    request.adapter = static_cast<int>(fleet_.adapters * position);
    if (hot_adapter_ >= 0 && arrivals_ % 3 == 0) request.adapter = hot_adapter_;
    request.gateway = arrivals_++ % views_.size();
    request.arrived_at = now_;
    const request_key key{request.gateway + 1,
                          static_cast<std::uint64_t>(arrivals_)};
    requests_[key] = request;
    Place(key);
  }

  void Place(const request_key& key) {
    replayed_request& request = requests_.at(key);
    endpoint_views all;
    for (const auto& view : views_[request.gateway]) {
      if (view) all.push_back(view.get());
    }
    const auto choice = ChooseEngine(all,
                                     {.adapter = Name(request.adapter),
                                      .excluded = &request.excluded,
                                      .gateways = views_.size()},
                                     now_);
    if (choice.view == nullptr) {
      request.refused = true;
      return;
    }
    request.engine = std::stoul(choice.view->record.instance.Value().substr(2));
    ++request.grant_requests;
    views_[request.gateway][request.engine]->grants_requested_since_status += 1;
    if (!engines_[request.engine].up) {
      request.lost = true;
      request.ended = true;
      return;
    }
    Apply(request.engine,
          engines_[request.engine].scheduler->OnRequest(
              {.key = key,
               .adapter = Name(request.adapter),
               .prompt_tokens = kPromptTokens,
               .output_tokens = 300,
               .event_gap_target = milliseconds(300),
               .first_output_due = request.arrived_at + kGoal,
               .deadline = request.arrived_at + kGrantTimeout,
               .load_bound = request.grant_requests < kMaximumGrantRequests
                                 ? choice.load_bound
                                 : 0.0},
              now_));
  }

  struct timed_view : endpoint_view {
    core::time_point received_at;
  };

  const core::time_point start_{std::chrono::seconds(100)};
  core::time_point now_ = start_;
  replay_fleet fleet_;
  std::vector<replayed_engine> engines_;
  std::vector<std::vector<std::shared_ptr<timed_view>>> views_;
  std::map<request_key, replayed_request> requests_;
  std::mt19937 random_{20261204};
  double rate_ = 0;
  int hot_adapter_ = -1;
  double due_ = 0;
  std::size_t arrivals_ = 0;
  std::size_t maximum_held_adapters_ = 0;
  int overdue_ = 0;
  int redirects_ = 0;
};

// Nine engines, four gateways. 60 requests a second use a quarter of the batch
// slots and a fifth of the prompt throughput.
class placement_replay_test : public ::testing::Test {
 protected:
  void ExpectInvariants() const {
    EXPECT_EQ(replay_.OverdueCount(), 0);
    EXPECT_LE(replay_.MaximumHeldAdapters(), kAdapterSlots);
  }
  placement_replay replay_{{}};
};

// The load rises to 2.4 times its normal rate for three seconds.
TEST_F(placement_replay_test, ABurstIsServed) {
  replay_.Play("0 rate 60\n5000 rate 144\n8000 rate 60\n14000 end\n");
  EXPECT_GE(replay_.Between(3000, 5000).OnTimeShare(), 0.9);
  EXPECT_GE(replay_.Between(5000, 8000).ServedShare(), 0.95);
  EXPECT_GE(replay_.Between(10000, 12000).OnTimeShare(), 0.9);
  ExpectInvariants();
}

// A third of the engines is down for three seconds and returns empty. Requests
// that were not running there must be served by the other engines, and the
// adapters must return to their engines afterwards.
TEST_F(placement_replay_test, AThirdOfTheEnginesIsLost) {
  replay_.Play(
      "0 rate 60\n5000 lose 0 3000\n5000 lose 1 3000\n5000 lose 2 3000\n"
      "14000 end\n");
  EXPECT_GE(replay_.Between(5700, 8000).ServedShare(), 0.95);
  EXPECT_GE(replay_.Between(10000, 12000).OnTimeShare(), 0.9);
  ExpectInvariants();
}

// All engines are replaced one after the other under load.
TEST_F(placement_replay_test, EnginesAreReplacedInTurn) {
  std::string script = "0 rate 60\n";
  for (int i = 0; i < 9; ++i) {
    script +=
        std::to_string(5000 + i * 800) + " replace " + std::to_string(i) + '\n';
  }
  replay_.Play(script + "16000 end\n");
  EXPECT_GE(replay_.Between(5000, 12200).ServedShare(), 0.85);
  EXPECT_GE(replay_.Between(13000, 15000).OnTimeShare(), 0.9);
  ExpectInvariants();
}

// A gateway without any status joins at peak load. It must neither refuse
// everything nor choose other engines than the other gateways.
TEST_F(placement_replay_test, AGatewayRestartsAtPeakLoad) {
  replay_.Play("0 rate 120\n5000 restart 1\n10000 end\n");
  const auto before = replay_.Between(3000, 5000);
  const auto after = replay_.Between(5200, 7200);
  EXPECT_GE(after.ServedShare(), 0.95);
  EXPECT_GE(after.OnTimeShare(), before.OnTimeShare() - 0.05);
  ExpectInvariants();
}

// Demand moves to one adapter at once, with many gateways that get the status
// of an engine less often than its small batch fills. The outdated views may
// cost at most two percent of the requests.
TEST_F(placement_replay_test, AShiftOfDemandWithOutdatedViews) {
  const auto play = [](milliseconds status_period) {
    placement_replay replay({.gateways = 68,
                             .engines = 24,
                             .adapters = 200,
                             .batch_slots = 12,
                             .status_period = status_period});
    replay.Play(
        "0 rate 100\n3000 shift 190\n6000 shift 180\n9000 shift 170\n"
        "12000 end\n");
    EXPECT_GT(replay.RedirectCount(), 0);
    EXPECT_EQ(replay.OverdueCount(), 0);
    return replay.Between(3000, 11000).OnTimeShare();
  };
  EXPECT_GE(play(milliseconds(800)), play(milliseconds(100)) - 0.02);
}

}  // namespace
}  // namespace comfreyspring::gateway

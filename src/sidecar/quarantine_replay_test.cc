// Replays requests that crash engines, and engines that end for other reasons,
// in simulated time. The decisions are the real ones: prompt_quarantine in each
// gateway; grant_scheduler, crash_watch and crash_evidence in each sidecar.
// Gateways are 1 to 68; messages take some milliseconds.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/hash.h"
#include "core/simulated_time.h"
#include "gateway/prompt_quarantine.h"
#include "grants/grant_scheduler.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/request_fingerprint.h"
#include "sidecar/crash_watch.h"

namespace comfreyspring::sidecar {
namespace {

using core::milliseconds;
using core::time_point;
using gateway::prompt_admission;

constexpr milliseconds kTick{20};
constexpr milliseconds kWarmUp{5'000};
constexpr milliseconds kLength{40'000};
constexpr milliseconds kRestart{4'000};
constexpr milliseconds kStableTime{3'000};
constexpr milliseconds kVerdictTimeout{300};
constexpr milliseconds kPatience{1'700};
constexpr std::size_t kCrashesBeforeBound = 5;
constexpr std::size_t kCrashesOfRequest = 3;
constexpr int kEvents = 12;
constexpr std::size_t kRelays = 3;

struct replay_case {
  std::size_t gateways = 1;
  std::size_t engines = 12;
  double sound_per_s = 80;
  double deadly_per_s = 0;
  /** Engines that end at random, one after the other. */
  double crashes_per_s = 0;
  /** A third of the engines ends at once, again and again. */
  bool racks = false;
  /** Gateways and sidecars lose what they know, one after the other. */
  bool restarts = false;
  /** A third of the gateways reaches half of the sidecars only. */
  bool cuts = false;
  int deadly_parts = 1;
  /** Requests that end engines by themselves and come again; no deadly parts.
   */
  int repeated = 0;
  unsigned seed = 20261205;

  std::string ToString() const {
    return std::to_string(gateways) + " gateways, " + std::to_string(engines) +
           " engines, " + std::to_string(deadly_per_s) + " deadly/s, " +
           std::to_string(crashes_per_s) + " other crashes/s" +
           (deadly_parts > 1 ? ", two parts" : "") +
           (repeated > 0 ? ", repeated " + std::to_string(repeated) : "") +
           (racks ? ", racks" : "") + (restarts ? ", restarts" : "") +
           (cuts ? ", cuts" : "");
  }
};

class quarantine_replay_test : public ::testing::TestWithParam<replay_case> {
 protected:
  struct request {
    /** Order of the arrivals. */
    int arrival = 0;
    std::size_t gateway = 0;
    bool deadly = false;
    /** Of a request that comes again; 0 for others. */
    int identity = 0;
    gateway::prompt_quarantine::part_list parts;
    std::vector<quarantine::suspected_part> blamed;
    bool isolated = false;
    int attempts = 0;
    int engines_ended = 0;
    std::uint64_t number = 0;
    std::size_t engine = 0;
    int events = 0;
    bool lost_before_it_went_on = false;
    bool awaits_verdict = false;
    bool ended = false;
  };
  using request_pointer = std::shared_ptr<request>;
  /** Addresses would make a replay differ from run to run. */
  struct earlier_arrival {
    bool operator()(const request_pointer& left,
                    const request_pointer& right) const {
      return left->arrival < right->arrival;
    }
  };

  struct engine {
    bool up = true;
    std::int64_t started = 1;
    std::set<request_pointer, earlier_arrival> runs;
    std::unique_ptr<grants::grant_scheduler> scheduler;
    std::unique_ptr<crash_watch> watch;
    quarantine::crash_evidence evidence;
  };

  void SetUp() override {
    engines_.resize(GetParam().engines);
    gateways_.resize(GetParam().gateways);
    for (std::size_t i = 0; i < engines_.size(); ++i) RestartSidecar(i);
    Tick();
    Submit(GetParam().sound_per_s, false);
    if (GetParam().deadly_per_s > 0) {
      time_.After(kWarmUp, [this] { Submit(GetParam().deadly_per_s, true); });
    }
    if (GetParam().crashes_per_s > 0)
      time_.After(kWarmUp, [this] { CrashOne(); });
    if (GetParam().racks) time_.After(kWarmUp, [this] { CrashRack(); });
    if (GetParam().restarts) time_.After(kWarmUp, [this] { RestartOne(); });
  }

  // Time.

  milliseconds Latency() { return milliseconds(Draw(1, 25)); }
  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  milliseconds Wait(double per_s) {
    return milliseconds(static_cast<int>(
        1e3 * std::exponential_distribution<double>(per_s)(random_)));
  }
  bool Reaches(std::size_t gateway, std::size_t at) const {
    return !GetParam().cuts || gateway % 3 != 0 || at % 2 == 0;
  }

  void Tick() {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engine& each = engines_[i];
      if (each.up) Report(i);
      Apply(i, each.scheduler->OnTick(time_.Now()));
      Apply(i, each.watch->OnTick(each.scheduler->RunningWithoutOutput(),
                                  time_.Now()));
    }
    time_.After(kTick, [this] { Tick(); });
  }

  // Load.

  void Submit(double per_s, bool deadly) {
    time_.After(Wait(per_s), [this, per_s, deadly] {
      auto added = std::make_shared<request>();
      added->arrival = ++arrivals_;
      added->gateway = Pick(gateways_.size());
      added->deadly = deadly;
      // Few subjects are popular, most are rare.
      const auto subject = static_cast<int>(
          300 * std::pow(std::uniform_real_distribution<double>()(random_), 3));
      for (const std::string& name :
           {std::string("first"), "subject" + std::to_string(subject)}) {
        added->parts.emplace_back(name);
      }
      if (deadly && GetParam().repeated > 0) {
        added->identity = Draw(1, GetParam().repeated);
        added->parts.back() =
            core::prompt_part_id("subject" + std::to_string(added->identity));
      } else if (deadly) {
        added->parts.emplace_back(
            "dead" + std::to_string(Draw(1, GetParam().deadly_parts)));
      }
      const std::string identity = std::to_string(
          added->identity > 0 ? -added->identity : added->arrival);
      added->parts.push_back(quarantine::RequestFingerprint({identity}));
      ++(deadly ? deadly_sent_ : sound_sent_);
      Dispatch(added);
      Submit(per_s, deadly);
    });
  }

  // Gateways.

  void Dispatch(const request_pointer& sent) {
    auto& quarantine = gateways_[sent->gateway];
    const auto judgement = quarantine.Judge(sent->parts, time_.Now());
    if (judgement.admission == prompt_admission::refused) {
      End(sent, false);
      if (!sent->deadly) ++refused_by_mistake_;
      return;
    }
    const bool isolated = judgement.admission == prompt_admission::isolated ||
                          sent->engines_ended > 0;
    const auto& key = judgement.admission == prompt_admission::isolated
                          ? judgement.part
                          : sent->parts.back();
    std::vector<std::size_t> serving;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].up && Reaches(sent->gateway, i)) serving.push_back(i);
    }
    if (serving.empty()) {
      End(sent, false);
      return;
    }
    sent->engine = serving[Pick(serving.size())];
    if (isolated) {
      sent->engine = *std::max_element(
          serving.begin(), serving.end(),
          [&](std::size_t left, std::size_t right) {
            return core::RendezvousWeight(key.Value(), std::to_string(left)) <
                   core::RendezvousWeight(key.Value(), std::to_string(right));
          });
    }
    sent->number = ++last_number_;
    open_[sent->number] = sent;
    sent->isolated = isolated;
    sent->blamed = quarantine.BlamedParts(sent->parts, time_.Now());
    time_.After(
        Latency(), [this, sent, number = sent->number, at = sent->engine,
                    isolated, blamed = sent->blamed] {
          engine& target = engines_[at];
          Apply(at, target.scheduler->OnRequest(
                        {.key = {sent->gateway, number},
                         .adapter = {core::model_id("m"), {}},
                         .prompt_tokens = 400,
                         .first_output_due = time_.Now() + milliseconds(600),
                         .deadline = time_.Now() + kPatience,
                         .isolated = isolated,
                         .blamed_parts = blamed},
                        time_.Now()));
        });
  }

  void OnGranted(std::size_t at, std::uint64_t number) {
    const auto found = open_.find(number);
    if (found == open_.end()) return;
    const request_pointer sent = found->second;
    if (!gateways_[sent->gateway].Allows(sent->parts, sent->blamed,
                                         sent->isolated, time_.Now()) ||
        !engines_[at].up) {
      Apply(at, engines_[at].scheduler->OnWithdrawn({sent->gateway, number},
                                                    time_.Now()));
      open_.erase(number);
      if (++sent->attempts < 4) {
        Dispatch(sent);
      } else {
        End(sent, false);
      }
      return;
    }
    ++sent->attempts;
    sent->events = 0;
    engines_[at].runs.insert(sent);
    if (sent->deadly) {
      deadly_runs_.push_back(time_.Now());
      runs_of_[sent->identity].push_back(time_.Now());
    }
    time_.After(milliseconds(Draw(30, 120)),
                [this, sent, number] { NextEvent(sent, number); });
  }

  void NextEvent(const request_pointer& sent, std::uint64_t number) {
    if (sent->number != number ||
        engines_[sent->engine].runs.count(sent) == 0) {
      return;
    }
    if (sent->deadly) {
      if (engines_[sent->engine].up) {
        crashes_of_[sent->identity].push_back(time_.Now());
      }
      Crash(sent->engine);
      return;
    }
    const grants::request_key key{sent->gateway, number};
    auto& scheduler = *engines_[sent->engine].scheduler;
    if (++sent->events == 1)
      Apply(sent->engine, scheduler.OnStarted(key, time_.Now()));
    if (sent->events == 2) {
      for (const auto& record :
           gateways_[sent->gateway].OnAnswered(sent->parts, time_.Now())) {
        SendToRelays(sent->gateway, record);
      }
    }
    if (sent->events < kEvents) {
      time_.After(milliseconds(40),
                  [this, sent, number] { NextEvent(sent, number); });
      return;
    }
    engines_[sent->engine].runs.erase(sent);
    open_.erase(number);
    Apply(sent->engine, scheduler.OnEnded(key, false, time_.Now()));
    End(sent, true);
  }

  void OnLost(const request_pointer& sent) {
    const std::size_t at = sent->engine;
    const auto number = sent->number;
    const bool went_on = sent->events >= 2;
    sent->awaits_verdict = !went_on;
    if (Reaches(sent->gateway, at)) {
      time_.After(Latency(), [this, sent, at, number, went_on] {
        engine& target = engines_[at];
        const grants::request_key key{sent->gateway, number};
        if (!went_on) {
          if (const auto run = target.scheduler->FindRunning(key)) {
            target.watch->OnRunLost(key, run->request->blamed_parts,
                                    run->granted_at, time_.Now());
          }
          if (!target.up) target.watch->OnEngineRefused(time_.Now());
        }
        Apply(at, target.scheduler->OnEnded(key, false, time_.Now()));
      });
    }
    if (went_on) {
      Retry(sent, number);
      return;
    }
    time_.After(kVerdictTimeout,
                [this, sent, number] { OnVerdict(sent, number, true); });
  }

  void OnVerdict(const request_pointer& sent, std::uint64_t number,
                 bool engine_ended) {
    if (sent->number != number || !std::exchange(sent->awaits_verdict, false)) {
      return;
    }
    if (engine_ended && ++sent->engines_ended >= 2) {
      open_.erase(number);
      End(sent, false);
      return;
    }
    Retry(sent, number);
  }

  void Retry(const request_pointer& sent, std::uint64_t number) {
    open_.erase(number);
    if (sent->attempts >= 3) {
      End(sent, false);
    } else {
      Dispatch(sent);
    }
  }

  void End(const request_pointer& sent, bool served) {
    if (std::exchange(sent->ended, true) || sent->deadly) return;
    ++(served ? sound_served_ : sound_failed_);
  }

  // Sidecars.

  void RestartSidecar(std::size_t at) {
    engine& each = engines_[at];
    each.scheduler = std::make_unique<grants::grant_scheduler>(
        grants::grant_options{.random_seed = at});
    each.scheduler->SetConfig({.batch_slots = 64, .adapter_slots = 4});
    each.watch = std::make_unique<crash_watch>(
        core::process_id("sidecar-" + std::to_string(at)));
    each.evidence = {};
    for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
      if (!Reaches(gateway, at)) continue;
      for (const auto& record :
           gateways_[gateway].Evidence().Records(time_.Now())) {
        OnSidecarRecord(at, record);
      }
    }
    if (each.up) Report(at);
  }

  void Report(std::size_t at) {
    engine& each = engines_[at];
    grants::engine_state state;
    state.started_unix_ms = each.started;
    state.models.push_back({core::model_id("m"), {}});
    Apply(at, each.watch->OnEngineAnswered(each.started, false, time_.Now(),
                                           time_.Now()));
    Apply(at, each.scheduler->OnState(state, time_.Now(), time_.Now()));
  }

  void Apply(std::size_t at, const grants::grant_scheduler::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<grants::grant>(&action)) {
        time_.After(Latency(), [this, at, number = given->key.number] {
          OnGranted(at, number);
        });
      }
      if (const auto* refused = std::get_if<grants::refusal>(&action)) {
        time_.After(Latency(), [this, number = refused->key.number] {
          const auto found = open_.find(number);
          if (found == open_.end()) return;
          const request_pointer sent = found->second;
          ++sent->attempts;
          Retry(sent, number);
        });
      }
    }
  }

  void Apply(std::size_t at, const crash_watch::findings& found) {
    if (found.crash) OnSidecarRecord(at, *found.crash);
    for (const auto& verdict : found.verdicts) {
      time_.After(Latency(), [this, verdict] {
        const auto sent = open_.find(verdict.run.number);
        if (sent == open_.end()) return;
        const request_pointer kept = sent->second;
        OnVerdict(kept, verdict.run.number, verdict.engine_ended);
      });
    }
  }

  void OnSidecarRecord(std::size_t at, const quarantine::crash_record& record) {
    const auto news = engines_[at].evidence.OnCrash(record, time_.Now());
    if (!news) return;
    for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
      if (!Reaches(gateway, at)) continue;
      time_.After(Latency(), [this, gateway, news] {
        const auto known = gateways_[gateway].OnCrash(*news, time_.Now());
        if (known) SendToRelays(gateway, *known);
      });
    }
  }

  void SendToRelays(std::size_t gateway,
                    const quarantine::crash_record& record) {
    std::size_t relays = 0;
    for (std::size_t at = 0; at < engines_.size() && relays < kRelays; ++at) {
      if (!Reaches(gateway, at)) continue;
      ++relays;
      time_.After(Latency(),
                  [this, at, record] { OnSidecarRecord(at, record); });
    }
  }

  // Faults.

  void Crash(std::size_t at) {
    engine& ended = engines_[at];
    if (!ended.up) return;
    ended.up = false;
    crashes_.push_back(time_.Now());
    for (const auto& run : std::exchange(ended.runs, {})) {
      time_.After(Latency(), [this, run] { OnLost(run); });
    }
    time_.After(milliseconds(150), [this, at] {
      Apply(at, engines_[at].scheduler->OnEngineDown(time_.Now()));
    });
    time_.After(kRestart, [this, at] {
      engines_[at].up = true;
      ++engines_[at].started;
    });
  }
  void CrashOne() {
    Crash(Pick(engines_.size()));
    time_.After(Wait(GetParam().crashes_per_s), [this] { CrashOne(); });
  }
  void CrashRack() {
    const std::size_t first = Pick(3);
    for (std::size_t at = first; at < engines_.size(); at += 3) Crash(at);
    time_.After(milliseconds(1500), [this] { CrashRack(); });
  }
  void RestartOne() {
    RestartSidecar(Pick(engines_.size()));
    const std::size_t gateway = Pick(gateways_.size());
    gateways_[gateway] = {};
    for (std::size_t at = 0; at < engines_.size(); ++at) {
      if (!Reaches(gateway, at)) continue;
      for (const auto& record : engines_[at].evidence.Records(time_.Now())) {
        gateways_[gateway].OnCrash(record, time_.Now());
      }
    }
    time_.After(milliseconds(700), [this] { RestartOne(); });
  }

  // Results.

  int DeadlyRunsAfterBound() const {
    if (crashes_.empty()) return 0;
    const auto since =
        crashes_[std::min(crashes_.size(), kCrashesBeforeBound) - 1] +
        kStableTime;
    return static_cast<int>(
        std::count_if(deadly_runs_.begin(), deadly_runs_.end(),
                      [&](time_point at) { return at > since; }));
  }
  /** Of the request that comes again with the most such runs. */
  int RunsAfterThirdCrash() const {
    std::ptrdiff_t most = 0;
    for (const auto& [identity, crashes] : crashes_of_) {
      if (crashes.size() < kCrashesOfRequest) continue;
      const auto since = crashes[kCrashesOfRequest - 1] + kStableTime;
      const auto& runs = runs_of_.at(identity);
      most = std::max(most,
                      std::count_if(runs.begin(), runs.end(),
                                    [&](time_point at) { return at > since; }));
    }
    return static_cast<int>(most);
  }
  double ServedShare() const {
    return static_cast<double>(sound_served_) / (sound_served_ + sound_failed_);
  }
  void Print() const {
    std::cout << GetParam().ToString() << ": " << crashes_.size()
              << " crashes, deadly sent " << deadly_runs_.size() << " of "
              << deadly_sent_ << ", after the fifth crash and 3 s "
              << DeadlyRunsAfterBound() << "; sound served " << ServedShare()
              << ", refused by mistake " << refused_by_mistake_ << " of "
              << sound_sent_ << '\n';
  }

  core::simulated_time time_;
  std::mt19937 random_{GetParam().seed};
  std::vector<engine> engines_;
  std::vector<gateway::prompt_quarantine> gateways_;
  std::map<std::uint64_t, request_pointer> open_;
  std::uint64_t last_number_ = 0;
  std::vector<time_point> crashes_;
  std::vector<time_point> deadly_runs_;
  std::map<int, std::vector<time_point>> crashes_of_;
  std::map<int, std::vector<time_point>> runs_of_;
  int arrivals_ = 0;
  int deadly_sent_ = 0;
  int sound_sent_ = 0;
  int sound_served_ = 0;
  int sound_failed_ = 0;
  int refused_by_mistake_ = 0;
};

class deadly_replay_test : public quarantine_replay_test {};

TEST_P(deadly_replay_test, FewReachEnginesAfterTheFifthCrash) {
  time_.RunFor(kLength);
  Print();
  EXPECT_LE(DeadlyRunsAfterBound(), 3);
  EXPECT_EQ(refused_by_mistake_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    gateways, deadly_replay_test,
    ::testing::Values(
        replay_case{.gateways = 1, .deadly_per_s = 3.4},
        replay_case{.gateways = 4, .deadly_per_s = 3.4},
        replay_case{.gateways = 4, .deadly_per_s = 16},
        replay_case{.gateways = 4, .deadly_per_s = 7, .deadly_parts = 2},
        replay_case{.gateways = 4, .deadly_per_s = 0.2},
        replay_case{.gateways = 4, .deadly_per_s = 3.4, .restarts = true},
        replay_case{.gateways = 4, .deadly_per_s = 3.4, .cuts = true},
        replay_case{.gateways = 4, .deadly_per_s = 3.4, .crashes_per_s = 0.5},
        replay_case{.gateways = 32,
                    .engines = 60,
                    .sound_per_s = 300,
                    .deadly_per_s = 15},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .deadly_per_s = 30},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .deadly_per_s = 30,
                    .restarts = true},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .deadly_per_s = 30,
                    .cuts = true}));

class repeated_request_replay_test : public quarantine_replay_test {};

TEST_P(repeated_request_replay_test, EachReachesFewEnginesAfterItsThirdCrash) {
  time_.RunFor(kLength);
  Print();
  EXPECT_LE(RunsAfterThirdCrash(), 3);
  EXPECT_EQ(refused_by_mistake_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    gateways, repeated_request_replay_test,
    ::testing::Values(
        replay_case{.gateways = 1, .deadly_per_s = 1, .repeated = 1},
        replay_case{.gateways = 4, .deadly_per_s = 3.4, .repeated = 1},
        replay_case{.gateways = 4, .deadly_per_s = 3.4, .repeated = 8},
        replay_case{.gateways = 4, .deadly_per_s = 16, .repeated = 3},
        replay_case{.gateways = 4,
                    .deadly_per_s = 3.4,
                    .restarts = true,
                    .repeated = 3},
        replay_case{
            .gateways = 4, .deadly_per_s = 3.4, .cuts = true, .repeated = 3},
        replay_case{.gateways = 4,
                    .deadly_per_s = 3.4,
                    .crashes_per_s = 1,
                    .repeated = 3},
        replay_case{.gateways = 32,
                    .engines = 60,
                    .sound_per_s = 300,
                    .deadly_per_s = 9,
                    .repeated = 20},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .deadly_per_s = 18,
                    .restarts = true,
                    .repeated = 30},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .deadly_per_s = 18,
                    .cuts = true,
                    .repeated = 30}));

// Seeds that failed in runs by hand.
INSTANTIATE_TEST_SUITE_P(
    found, deadly_replay_test,
    ::testing::Values(replay_case{
        .gateways = 4, .deadly_per_s = 7, .deadly_parts = 2, .seed = 38}));
INSTANTIATE_TEST_SUITE_P(
    found, repeated_request_replay_test,
    ::testing::Values(
        replay_case{
            .gateways = 4, .deadly_per_s = 16, .repeated = 3, .seed = 42},
        replay_case{
            .gateways = 4, .deadly_per_s = 16, .repeated = 3, .seed = 50},
        replay_case{
            .gateways = 4, .deadly_per_s = 3.4, .repeated = 8, .seed = 12},
        replay_case{
            .gateways = 4, .deadly_per_s = 3.4, .repeated = 8, .seed = 38}));

class other_crashes_replay_test : public quarantine_replay_test {};

TEST_P(other_crashes_replay_test, QuarantineNothing) {
  time_.RunFor(kLength);
  Print();
  EXPECT_EQ(refused_by_mistake_, 0);
  EXPECT_GT(crashes_.size(), 10U);
}

std::vector<replay_case> WithSeeds(replay_case common) {
  std::vector<replay_case> cases;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    common.seed = seed;
    cases.push_back(common);
  }
  return cases;
}

// Half of the engines are down at a time.
INSTANTIATE_TEST_SUITE_P(storms, other_crashes_replay_test,
                         ::testing::ValuesIn(WithSeeds({.gateways = 4,
                                                        .crashes_per_s = 5})));

INSTANTIATE_TEST_SUITE_P(
    gateways, other_crashes_replay_test,
    ::testing::Values(
        replay_case{.gateways = 1, .crashes_per_s = 1},
        replay_case{.gateways = 4, .crashes_per_s = 1},
        replay_case{.gateways = 4, .crashes_per_s = 2, .restarts = true},
        replay_case{.gateways = 4, .racks = true},
        replay_case{.gateways = 4, .crashes_per_s = 1, .cuts = true},
        replay_case{.gateways = 32,
                    .engines = 60,
                    .sound_per_s = 300,
                    .crashes_per_s = 5},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .crashes_per_s = 10},
        replay_case{.gateways = 68,
                    .engines = 120,
                    .sound_per_s = 600,
                    .racks = true}));

}  // namespace
}  // namespace comfreyspring::sidecar

// Runs several gateways and sidecars as real processes before engines that end
// when they begin to answer a prompt with a certain part. What reaches the
// engines is counted over all gateways.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using core::time_point;

constexpr int kGateways = 4;
constexpr int kEngines = 6;
constexpr milliseconds kRestartTime{1200};
constexpr milliseconds kSoundPeriod{25};
constexpr milliseconds kDeadlyPeriod{250};
/** Time after the fifth crash from which the bound holds (StableMs). */
constexpr milliseconds kStableTime{3000};
constexpr std::size_t kCrashesBeforeBound = 5;
constexpr int kAllowedAfter = 3;

class prompt_quarantine_test : public small_fleet_test {
 protected:
  prompt_quarantine_test()
      : small_fleet_test({.name = "prompt_quarantine",
                          .gateways = kGateways,
                          .engines = kEngines}) {}

  void TearDown() override {
    loop_.Cancel(sound_timer_);
    loop_.Cancel(deadly_timer_);
    small_fleet_test::TearDown();
  }

  void Prepare(engine_stand_in& engine) override {
    const int index = prepared_++;
    engine.deadly_parts = {"dead"};
    engine.on_run = [this](const net::http_request& request) {
      const std::string& id = request.headers.at("request-id");
      if (deadly_.count(id) > 0) deadly_runs_.push_back(loop_.Now());
    };
    engine.on_crash = [this, index](const std::string& /*id*/) {
      crashes_.push_back(loop_.Now());
      Restart(index);
    };
  }

  /** The engine is down; it comes back as another instance without adapters. */
  void Restart(int index) {
    loop_.Schedule(kRestartTime, [this, index] {
      store_.Remove("servers/" + Engine(index).Instance());
      Engine(index).Start("i-" + std::to_string(index) + '-' +
                          std::to_string(++restarts_));
      Register(index);
    });
  }
  void CrashWithoutCause(int index) {
    if (!Engine(index).IsUp()) return;
    Engine(index).Crash();
    Restart(index);
  }

  /** Prompts share their first part, and their second one with some others. */
  std::string Prompt(const std::string& further = "") {
    const int subject = std::uniform_int_distribution<int>(0, 9)(random_);
    return "first:100,s" + std::to_string(subject) + ":50," + further + "own" +
           std::to_string(sent_) + ":60";
  }
  std::string SendSound() {
    return Send("stream", sent_ % kGateways, {{"prompt-prefix", Prompt()}});
  }
  std::string SendDeadly() {
    const std::string id = Send("stream", sent_ % kGateways,
                                {{"prompt-prefix", Prompt("dead:40,")}});
    deadly_.insert(id);
    return id;
  }
  void StartSoundLoad() {
    sound_timer_ =
        loop_.SchedulePeriodic(kSoundPeriod, [this] { SendSound(); });
  }
  void StartDeadlyLoad() {
    deadly_timer_ =
        loop_.SchedulePeriodic(kDeadlyPeriod, [this] { SendDeadly(); });
  }
  void StopLoad() {
    loop_.Cancel(sound_timer_);
    loop_.Cancel(deadly_timer_);
    WaitForAnswers();
  }

  int DeadlyRunsSince(time_point begin) const {
    return static_cast<int>(
        std::count_if(deadly_runs_.begin(), deadly_runs_.end(),
                      [&](time_point at) { return at >= begin; }));
  }
  /** The last crash if there were fewer than five. */
  time_point FifthCrash() const {
    return crashes_[std::min(crashes_.size(), kCrashesBeforeBound) - 1];
  }
  void ExpectBoundKept() const {
    ASSERT_FALSE(crashes_.empty());
    EXPECT_LE(DeadlyRunsSince(FifthCrash() + kStableTime), kAllowedAfter)
        << crashes_.size() << " crashes";
  }
  double SoundShare(time_point since) const {
    int sent = 0;
    int served = 0;
    for (const fleet_outcome& each : outcomes_) {
      if (each.sent_at < since || deadly_.count(each.id) > 0) continue;
      ++sent;
      if (each.status == 200 && each.complete) ++served;
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
  }

  /** Requests of these ids that were answered. */
  std::vector<fleet_outcome> OutcomesOf(
      const std::set<std::string>& ids) const {
    std::vector<fleet_outcome> found;
    for (const fleet_outcome& each : outcomes_) {
      if (ids.count(each.id) > 0) found.push_back(each);
    }
    return found;
  }
  /** Sends requests with the part until it is quarantined. */
  void QuarantineThePart() {
    StartSoundLoad();
    Wait(milliseconds(1500));
    StartDeadlyLoad();
    Wait(milliseconds(4000));
    loop_.Cancel(deadly_timer_);
    Wait(milliseconds(500));
    ASSERT_FALSE(crashes_.empty());
  }
  /** Sends one request with the part through each gateway. */
  void ExpectRefusedEverywhere() {
    const std::size_t crashes = crashes_.size();
    std::set<std::string> ids;
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      ids.insert(
          Send("stream", gateway, {{"prompt-prefix", Prompt("dead:40,")}}));
    }
    Wait(milliseconds(500));
    const auto outcomes = OutcomesOf(ids);
    EXPECT_EQ(outcomes.size(), ids.size());
    for (const fleet_outcome& each : outcomes) {
      EXPECT_EQ(each.status, 503) << each.id;
      EXPECT_LT(each.answered_at - each.sent_at, milliseconds(100)) << each.id;
      EXPECT_GT(each.retry_after_s, 20.0) << each.id;
    }
    EXPECT_EQ(crashes_.size(), crashes);
  }

  std::mt19937 random_{1};
  int prepared_ = 0;
  int restarts_ = 0;
  std::set<std::string> deadly_;
  std::vector<time_point> deadly_runs_;
  std::vector<time_point> crashes_;
  net::timer_id sound_timer_ = 0;
  net::timer_id deadly_timer_ = 0;
};

// Guards against requests of one kind that end one engine after the other.
TEST_F(prompt_quarantine_test, APartThatCrashesEnginesIsKeptFromThem) {
  StartSoundLoad();
  Wait(milliseconds(2000));
  StartDeadlyLoad();
  Wait(milliseconds(13000));
  StopLoad();
  ExpectBoundKept();
  EXPECT_GE(SoundShare(FifthCrash() + 2 * kStableTime), 0.98);
}

/** Requests that crash engines, each of which comes again and again. */
class repeated_request_test : public prompt_quarantine_test {
 protected:
  static constexpr int kRequests = 3;
  static constexpr std::size_t kCrashesOfRequest = 3;

  void Prepare(engine_stand_in& engine) override {
    prompt_quarantine_test::Prepare(engine);
    for (int i = 0; i < kRequests; ++i) engine.deadly_parts.insert(Own(i));
    const auto count_run = engine.on_run;
    engine.on_run = [this, count_run](const net::http_request& request) {
      count_run(request);
      const auto found = repeats_.find(request.headers.at("request-id"));
      if (found != repeats_.end()) runs_[found->second].push_back(loop_.Now());
    };
    const auto restart = engine.on_crash;
    engine.on_crash = [this, restart](const std::string& id) {
      restart(id);
      const auto found = repeats_.find(id);
      if (found != repeats_.end()) {
        crashes_of_[found->second].push_back(loop_.Now());
      }
    };
  }
  void TearDown() override {
    loop_.Cancel(repeat_timer_);
    prompt_quarantine_test::TearDown();
  }

  static std::string Own(int request) {
    return "own-deadly" + std::to_string(request);
  }
  /** Parts that sound requests have too: of nearly all, or of some. */
  static std::string SharedParts(int request) {
    return request == 0 ? "first:100,"
                        : "first:100,s" + std::to_string(request) + ":50,";
  }
  std::string SendAgain(int request, int gateway) {
    const std::string id =
        Send("stream", gateway,
             {{"prompt-prefix", SharedParts(request) + Own(request) + ":60"}});
    deadly_.insert(id);
    repeats_[id] = request;
    return id;
  }
  void StartRepeats() {
    repeat_timer_ = loop_.SchedulePeriodic(kDeadlyPeriod, [this] {
      const int turn = turns_++;
      SendAgain(turn % kRequests, turn / kRequests % kGateways);
    });
  }
  void StopRepeats() { loop_.Cancel(std::exchange(repeat_timer_, 0)); }
  int RunsAfterBound(int request) {
    const auto& crashes = crashes_of_[request];
    if (crashes.size() < kCrashesOfRequest) return 0;
    const auto since = crashes[kCrashesOfRequest - 1] + kStableTime;
    const auto& runs = runs_[request];
    return static_cast<int>(std::count_if(
        runs.begin(), runs.end(), [&](time_point at) { return at > since; }));
  }

  int turns_ = 0;
  std::map<std::string, int> repeats_;
  std::map<int, std::vector<time_point>> runs_;
  std::map<int, std::vector<time_point>> crashes_of_;
  net::timer_id repeat_timer_ = 0;
};

// Guards against a request that ends engines whenever it comes again.
TEST_F(repeated_request_test, ARequestThatCrashesEnginesIsKeptFromThem) {
  StartSoundLoad();
  Wait(milliseconds(2000));
  StartRepeats();
  Wait(milliseconds(13000));
  const auto since = loop_.Now();
  Wait(milliseconds(2000));
  std::set<std::string> refused;
  StopRepeats();
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    refused.insert(SendAgain(0, gateway));
  }
  StopLoad();
  for (int request = 0; request < kRequests; ++request) {
    EXPECT_GE(crashes_of_[request].size(), 1U);
    EXPECT_LE(RunsAfterBound(request), kAllowedAfter)
        << "request " << request << ": " << crashes_of_[request].size()
        << " crashes";
  }
  EXPECT_GE(SoundShare(since), 0.98);
  for (const fleet_outcome& each : OutcomesOf(refused)) {
    EXPECT_EQ(each.status, 503) << each.id;
    EXPECT_GT(each.retry_after_s, 20.0) << each.id;
  }
}

/** Plain endpoints, which have no sidecars to tell that they have ended. */
class repeated_plain_request_test : public small_fleet_test {
 protected:
  static constexpr int kPlain = 3;
  static constexpr const char* kDeadlyBody = "deadly";

  repeated_plain_request_test()
      : small_fleet_test({.name = "repeated_plain_request",
                          .gateways = kGateways,
                          .engines = 2,
                          .plain = kPlain}) {}

  void TearDown() override {
    loop_.Cancel(sound_timer_);
    loop_.Cancel(repeat_timer_);
    small_fleet_test::TearDown();
  }
  void Prepare(engine_stand_in& engine) override {
    const int index = prepared_++;
    engine.deadly_bodies = {kDeadlyBody};
    engine.on_run = [this](const net::http_request& request) {
      if (request.body == kDeadlyBody) runs_.push_back(loop_.Now());
    };
    engine.on_crash = [this, index](const std::string& /*id*/) {
      crashes_.push_back(loop_.Now());
      loop_.Schedule(kRestartTime, [this, index] {
        store_.Remove("servers/" + Engine(index).Instance());
        Engine(index).Start("i-" + std::to_string(index) + '-' +
                            std::to_string(++restarts_));
        Register(index);
      });
    };
  }

  int prepared_ = 0;
  int restarts_ = 0;
  std::vector<time_point> runs_;
  std::vector<time_point> crashes_;
  net::timer_id sound_timer_ = 0;
  net::timer_id repeat_timer_ = 0;
};

// Guards against a request that ends plain endpoints whenever it comes again.
TEST_F(repeated_plain_request_test, ItIsKeptFromPlainEndpoints) {
  sound_timer_ = loop_.SchedulePeriodic(kSoundPeriod, [this] {
    Send("order", sent_ % kGateways, {}, "sound " + std::to_string(sent_));
  });
  Wait(milliseconds(1000));
  repeat_timer_ = loop_.SchedulePeriodic(milliseconds(600), [this] {
    Send("order", sent_ % kGateways, {}, kDeadlyBody);
  });
  Wait(milliseconds(14000));
  loop_.Cancel(repeat_timer_);
  const std::string refused = Send("order", 0, {}, kDeadlyBody);
  const std::string sound = Send("order", 0, {}, "another");
  loop_.Cancel(sound_timer_);
  WaitForAnswers();
  ASSERT_GE(crashes_.size(), 3U);
  const auto since = crashes_[2] + kStableTime;
  EXPECT_LE(std::count_if(runs_.begin(), runs_.end(),
                          [since](time_point at) { return at > since; }),
            kAllowedAfter)
      << crashes_.size() << " crashes";
  for (const fleet_outcome& each : outcomes_) {
    if (each.id == refused) {
      EXPECT_EQ(each.status, 503);
    }
    if (each.id == sound) {
      EXPECT_EQ(each.status, 200);
    }
  }
}

// Callers that can't be served must not wait, nor return at once.
TEST_F(prompt_quarantine_test, RequestsWithAQuarantinedPartAreRefusedAtOnce) {
  QuarantineThePart();
  ExpectRefusedEverywhere();
  StopLoad();
  const auto state = nlohmann::json::parse(AdminPage(0, "/debug/state"));
  ASSERT_EQ(state.at("prompt_parts").size(), 1U) << state.at("prompt_parts");
  EXPECT_EQ(state.at("prompt_parts")[0].at("part"), "dead");
  EXPECT_EQ(state.at("prompt_parts")[0].at("state"), "quarantined");
}

// Guards against a process that starts without what the others know.
TEST_F(prompt_quarantine_test, AQuarantineOutlivesRestartsOfAllProcesses) {
  QuarantineThePart();
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    StartGateway(gateway);
    WaitUntilReady(gateway);
    Wait(milliseconds(300));
  }
  ExpectRefusedEverywhere();
  for (int engine = 0; engine < kEngines; ++engine) StartSidecar(engine);
  Wait(milliseconds(1500));
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    StartGateway(gateway);
    WaitUntilReady(gateway);
  }
  Wait(milliseconds(1000));
  ExpectRefusedEverywhere();
  StopLoad();
}

// Guards against parts that are condemned for engines that end on their own,
// one after the other and several at once, and for sidecars that are killed.
TEST_F(prompt_quarantine_test, EnginesThatEndForOtherReasonsCondemnNoPart) {
  StartSoundLoad();
  Wait(milliseconds(1500));
  for (int round = 0; round < 8; ++round) {
    CrashWithoutCause(round % kEngines);
    if (round % 3 == 0) CrashWithoutCause((round + 1) % kEngines);
    if (round % 4 == 1) StartSidecar((round + 3) % kEngines);
    Wait(milliseconds(900));
  }
  Wait(milliseconds(2500));
  const auto since = loop_.Now();
  Wait(milliseconds(2000));
  StopLoad();
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    const auto state =
        nlohmann::json::parse(AdminPage(gateway, "/debug/state"));
    EXPECT_TRUE(state.at("prompt_parts").empty()) << state.at("prompt_parts");
  }
  EXPECT_GE(SoundShare(since), 0.99);
}

// An answer that breaks off is the fault of no prompt while its engine runs.
TEST_F(prompt_quarantine_test, BrokenAnswersCondemnNoPart) {
  StartSoundLoad();
  for (int i = 0; i < kEngines; ++i) Engine(i).break_probability = 0.5;
  Wait(milliseconds(5000));
  for (int i = 0; i < kEngines; ++i) Engine(i).break_probability = 0;
  Wait(milliseconds(500));
  StopLoad();
  const auto state = nlohmann::json::parse(AdminPage(0, "/debug/state"));
  EXPECT_TRUE(state.at("prompt_parts").empty()) << state.at("prompt_parts");
}

}  // namespace
}  // namespace comfreyspring::process_test

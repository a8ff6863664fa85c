// Runs several gateways and sidecars as real processes before engines that end
// when they begin to answer a prompt with a certain part. What reaches the
// engines is counted over all gateways.

#include <gtest/gtest.h>

#include <map>
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

}  // namespace
}  // namespace comfreyspring::process_test

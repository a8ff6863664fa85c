// Engines of two software versions serve side by side. What they write does not
// fit together, so a stream may go on only at the version that began it.

#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr int kGateways = 4;
constexpr int kEngines = 5;
constexpr int kStreams = 4;

class software_versions_test : public small_fleet_test {
 protected:
  software_versions_test()
      : small_fleet_test({.name = "software_versions",
                          .gateways = kGateways,
                          .engines = kEngines}) {}

  void Prepare(engine_stand_in& engine) override {
    engine.on_run = [this, &engine](const net::http_request& request) {
      auto& runs = runs_[request.headers.at("request-id")];
      runs.push_back(&engine);
      if (breaks_streams_ && runs.size() == 1) engine.break_after = 2;
    };
  }

  /** Replaces the instance of an engine by one of another version. */
  void Replace(int index, const std::string& version) {
    Remove(index);
    Engine(index).Start("i-" + version + '-' + std::to_string(index));
    Engine(index).held = {"a1"};
    versions_[index] = version;
    Register(index);
  }
  void Remove(int index) {
    Engine(index).Crash();
    store_.Remove("servers/" + Engine(index).Instance());
  }
  int IndexOf(const engine_stand_in* wanted) {
    int index = 0;
    while (&Engine(index) != wanted) ++index;
    return index;
  }
  std::set<std::string> VersionsThatRan(const std::string& id) {
    std::set<std::string> versions;
    for (const auto* engine : runs_[id]) {
      versions.insert(versions_[IndexOf(engine)]);
    }
    return versions;
  }

  /**
   * Starts streams of engines of version v1 and kills all gateways in the
   * middle. From then on one engine of v1 serves, which has run none of them,
   * and others of v2.
   * @returns the ids of the streams.
   */
  std::vector<std::string> BreakOffStreams() {
    for (int i = 0; i < kEngines; ++i) Engine(i).events = 100;
    std::vector<std::string> ids;
    for (int i = 0; i < kStreams; ++i) {
      ids.push_back(Send("stream", i % kGateways));
    }
    Wait(milliseconds(400));
    for (int i = 0; i < kGateways; ++i) Gateway(i).Signal(SIGKILL);
    WaitForAnswers();
    std::set<int> used;
    for (const std::string& id : ids) {
      for (const auto* engine : runs_[id]) used.insert(IndexOf(engine));
    }
    for (int i = 0; i < kEngines; ++i) {
      if (used.count(i) > 0) {
        Remove(i);
      } else if (remaining_ < 0) {
        remaining_ = i;
      } else {
        Replace(i, "v2");
      }
    }
    for (int i = 0; i < kEngines; ++i) Engine(i).events = 5;
    for (int i = 0; i < kGateways; ++i) StartGateway(i);
    for (int i = 0; i < kGateways; ++i) WaitUntilReady(i);
    outcomes_.clear();
    sent_ = 0;
    return ids;
  }

  /** Takes each stream up again after its second event. */
  void TakeUp(const std::vector<std::string>& streams) {
    runs_.clear();
    for (std::size_t i = 0; i < streams.size(); ++i) {
      taken_up_.push_back(
          Send("stream", static_cast<int>(i + 1) % kGateways,
               {{"resumes", streams[i]}, {"last-event-id", "2"}}));
    }
    WaitForAnswers();
  }

  /** The first run of each stream breaks off. */
  bool breaks_streams_ = false;
  /** The engine of v1 after `BreakOffStreams`. */
  int remaining_ = -1;
  std::map<std::string, std::vector<const engine_stand_in*>> runs_;
  std::vector<std::string> taken_up_;
};

// Guards against an answer that is joined from two software versions.
TEST_F(software_versions_test, AStreamIsResumedAtItsOwn) {
  Replace(2, "v2");
  Replace(3, "v2");
  Wait(milliseconds(1000));
  breaks_streams_ = true;
  for (int i = 0; i < 4 * kStreams; ++i) {
    // Adapters differ in the engines that they prefer.
    const std::string id =
        Send("stream", i % kGateways, {{"model", "m/a" + std::to_string(i)}});
    WaitForAnswers();
    EXPECT_EQ(VersionsThatRan(id).size(), 1U) << id;
    EXPECT_EQ(runs_[id].size(), 2U) << id;
    EXPECT_EQ(outcomes_.back().status, 200) << id;
    EXPECT_TRUE(outcomes_.back().complete) << id;
  }
}

// Guards against a stream that is joined from two versions over the tries of
// its caller, after all that the gateways knew of it is lost.
TEST_F(software_versions_test, AStreamThatIsTakenUpGoesOnAtItsOwn) {
  const auto streams = BreakOffStreams();
  ASSERT_GE(remaining_, 0);
  TakeUp(streams);
  for (const fleet_outcome& outcome : outcomes_) {
    EXPECT_EQ(outcome.status, 200) << outcome.id;
    EXPECT_TRUE(outcome.complete) << outcome.id;
    EXPECT_EQ(VersionsThatRan(outcome.id), std::set<std::string>{"v1"})
        << outcome.id;
  }
}

TEST_F(software_versions_test, AStreamWhoseVersionHasLeftIsRefusedAtOnce) {
  const auto streams = BreakOffStreams();
  ASSERT_GE(remaining_, 0);
  Remove(remaining_);
  Wait(milliseconds(1000));
  TakeUp(streams);
  EXPECT_TRUE(runs_.empty());
  for (const fleet_outcome& outcome : outcomes_) {
    EXPECT_EQ(outcome.status, 503) << outcome.id;
    EXPECT_GT(outcome.retry_after_s, 0.0) << outcome.id;
    EXPECT_LT(outcome.answered_at - outcome.sent_at, milliseconds(800))
        << outcome.id;
  }
}

}  // namespace
}  // namespace comfreyspring::process_test

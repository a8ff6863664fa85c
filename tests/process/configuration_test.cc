// Checks that a configuration takes effect in every process and is never
// reverted to an older one.

#include <gtest/gtest.h>

#include <csignal>

#include "config/documents.h"
#include "fleet.h"

namespace comfreyspring::process_test {
namespace {

std::string VersionOfEntry(fleet& running, int index) {
  return running.State(running.EntryUrl(index))["configuration"].value(
      "version", "");
}

bool AllAtGeneration(fleet& running, int entries, std::uint64_t generation) {
  for (int i = 0; i < entries; ++i) {
    const auto state = running.State(running.EntryUrl(i));
    if (state["configuration"]["generation"] != generation) return false;
  }
  for (endpoint_processes& target : running.Endpoints()) {
    const auto state = running.State(target.AdminUrl());
    if (state["configuration"]["generation"] != generation) return false;
  }
  return true;
}

TEST(Configuration, ReachesEveryProcess) {
  fleet running({});
  running.Publish();
  EXPECT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
}

// Guards against a restarted entry that accepts stale configuration, and
// against an outage of the configuration service that prevents its start.
TEST(Configuration, ARestartedEntryLearnsTheGreatestVersionFromAgents) {
  fleet running({.engines = 2, .services = 1});
  running.SetPlatformMode(R"({"config":"stale"})");
  running.SetPlatformMode(R"({"config":"normal"})");
  running.Publish();
  ASSERT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
  running.SetPlatformMode(R"({"config":"down"})");
  std::string seeds;
  for (endpoint_processes& target : running.Endpoints()) {
    seeds += "127.0.0.1:" + std::to_string(target.relay->Port()) + ",";
  }
  running.Entry(0).Kill();
  running.StartEntry(0, {"--seed_agents=" + seeds});
  EXPECT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
  EXPECT_TRUE(fleet::Eventually(
      [&] { return running.Complete(0, "adapter-0", 3).status == 200; }));
}

// Guards against a revert when the configuration service returns an older set.
TEST(Configuration, NeverRevertsToAStaleSet) {
  fleet running({.engines = 2, .services = 1});
  running.SetPlatformMode(R"({"config":"stale"})");
  running.SetPlatformMode(R"({"config":"normal"})");
  running.Publish();
  ASSERT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
  running.SetPlatformMode(R"({"config":"stale"})");
  running.Entry(0).Kill();
  running.StartEntry(0);
  ASSERT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
  // Long enough for several watches of the stale service to end.
  const bool reverted =
      fleet::Eventually([&] { return !AllAtGeneration(running, 2, 2); }, 13000);
  EXPECT_FALSE(reverted);
}

// Guards against a malformed configuration set that is applied in part.
TEST(Configuration, RefusesABrokenSetWhole) {
  fleet running({.engines = 1, .services = 1});
  Call("PUT", running.PlatformUrl() + "/standin/config/manifest",
       "{\"format\":1,\"generation\":9");
  EXPECT_TRUE(fleet::Eventually([&] {
    return running.State(running.EntryUrl(0))["configuration"].contains(
        "last_rejected");
  }));
  EXPECT_EQ(running.Complete(0, "adapter-0", 2).status, 200);
  EXPECT_TRUE(AllAtGeneration(running, 2, 1));
  running.Publish();
  EXPECT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
}

// Guards against processes that stay on different sets of the same generation.
TEST(Configuration, TwoOperatorsWithOneGenerationLeaveOneSetInForce) {
  fleet running({.engines = 2, .services = 1});
  running.Publish();
  running.Set().version.generation = 1;
  running.Set().adapters[0].default_version = core::version_id("v1");
  running.Publish();
  EXPECT_TRUE(fleet::Eventually([&] {
    const std::string first = VersionOfEntry(running, 0);
    if (first != VersionOfEntry(running, 1)) return false;
    for (endpoint_processes& target : running.Endpoints()) {
      const auto state = running.State(target.AdminUrl());
      if (state["configuration"]["version"] != first) return false;
    }
    return AllAtGeneration(running, 2, 2);
  }));
}

std::vector<int> Watchers(fleet& running, const std::vector<int>& entries) {
  std::vector<int> watchers;
  for (const int entry : entries) {
    const auto state = running.State(running.EntryUrl(entry));
    if (state["configuration"]["watches_platform"] == true) {
      watchers.push_back(entry);
    }
  }
  return watchers;
}

// Guards against load on the configuration service that grows with the number
// of entries, and against too few watching entries after one is killed.
TEST(Configuration, TwoEntriesReadAndAnotherTakesOver) {
  fleet running({.engines = 2, .services = 0, .entries = 4});
  ASSERT_TRUE(fleet::Eventually(
      [&] {
        return Watchers(running, {0, 1, 2, 3}).size() == 2;
      },
      40000));
  running.Publish();
  EXPECT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 4, 2); }));
  const int killed = Watchers(running, {0, 1, 2, 3}).front();
  running.Entry(killed).Kill();
  std::vector<int> others;
  for (int entry = 0; entry < 4; ++entry) {
    if (entry != killed) others.push_back(entry);
  }
  EXPECT_TRUE(fleet::Eventually(
      [&] { return Watchers(running, others).size() == 2; }, 60000));
}

// Guards against an agent that keeps an old configuration after a network
// partition has healed.
TEST(Configuration, ReachesAnAgentAfterItsPartitionHeals) {
  fleet running({.engines = 2, .services = 0});
  running.Endpoint("engine-0").relay->Cut();
  running.Publish();
  EXPECT_TRUE(fleet::Eventually([&] {
    const auto state = running.State(running.Endpoint("engine-1").AdminUrl());
    return state["configuration"]["generation"] == 2;
  }));
  running.Endpoint("engine-0").relay->Heal();
  EXPECT_TRUE(
      fleet::Eventually([&] { return AllAtGeneration(running, 2, 2); }));
}

}  // namespace
}  // namespace comfreyspring::process_test

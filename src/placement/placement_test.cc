#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace comfreyspring::placement {
namespace {

using core::endpoint_id;

core::time_point At(std::int64_t ms) {
  return core::time_point(core::milliseconds(ms));
}

std::vector<endpoint_id> Engines(std::size_t count) {
  std::vector<endpoint_id> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.emplace_back("engine-" + std::to_string(i));
  }
  return engines;
}

std::vector<endpoint_id> Ranked(rendezvous_ranks& ranks, adapter_key key) {
  std::vector<endpoint_id> result;
  for (const auto index : ranks.All(key)) {
    result.push_back(ranks.Members()[index]);
  }
  return result;
}

// Guards against entries that place the same adapter differently, and against
// adapters that move although their endpoint is still a member.
RC_GTEST_PROP(RendezvousRanks, KeepTheirOrderWhenMembersChange, ()) {
  const auto key = *rc::gen::arbitrary<adapter_key>();
  auto members = Engines(*rc::gen::inRange<std::size_t>(2, 30));
  rendezvous_ranks ranks;
  ranks.SetMembers(members);
  auto before = Ranked(ranks, key);
  const auto removed = *rc::gen::elementOf(members);
  std::erase(members, removed);
  std::reverse(members.begin(), members.end());
  ranks.SetMembers(members);
  std::erase(before, removed);
  RC_ASSERT(Ranked(ranks, key) == before);
  const auto top = ranks.Top(key);
  RC_ASSERT(top.size() ==
            std::min(members.size(), rendezvous_ranks::kCachedRanks));
  for (std::size_t i = 0; i < top.size(); ++i) {
    RC_ASSERT(ranks.Members()[top[i]] == before[i]);
  }
}

// Guards against adapters that are placed outside the own data centre.
TEST(RendezvousRanks, RanksLowerTiersFirst) {
  rendezvous_ranks ranks;
  ranks.SetMembers(Engines(6), {1, 0, 1, 0, 1, 0});
  for (adapter_key key = 0; key < 50; ++key) {
    const auto& top = ranks.Top(key);
    for (std::size_t i = 0; i < 6; ++i) EXPECT_EQ(top[i] % 2, i < 3 ? 1U : 0U);
  }
}

TEST(RendezvousRanks, SpreadAdaptersEvenly) {
  rendezvous_ranks ranks;
  ranks.SetMembers(Engines(12));
  std::map<std::uint32_t, int> first_ranks;
  for (int i = 0; i < 3000; ++i) {
    const auto key = KeyOf(core::model_id("base"),
                           core::adapter_id("adapter-" + std::to_string(i)));
    ++first_ranks[ranks.Top(key).front()];
  }
  for (const auto& [index, count] : first_ranks) EXPECT_NEAR(count, 250, 75);
}

// Guards against memory that grows with the number of adapters.
TEST(LruMap, IsBoundedAndDropsTheLeastRecentlyUsed) {
  lru_map<int, int> map(3);
  for (int i = 0; i < 3; ++i) map[i] = i;
  map.Find(0);
  map[3] = 3;
  EXPECT_EQ(map.size(), 3U);
  EXPECT_NE(map.Peek(0), nullptr);
  EXPECT_EQ(map.Peek(1), nullptr);
}

TEST(DeterministicSubset, ChangesByOneMemberWhenOneLeaves) {
  const core::process_id process("entry-1");
  const auto all = Engines(40);
  const auto before = DeterministicSubset(process, all, 8);
  ASSERT_EQ(before.size(), 8U);
  auto fewer = all;
  std::erase(fewer, before[3]);
  const auto after = DeterministicSubset(process, fewer, 8);
  std::vector<endpoint_id> common;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(common));
  EXPECT_EQ(common.size(), 7U);
}

// Guards against a popular adapter that stays on one engine while the load
// rises.
TEST(ReplicaController, RisesWithinASecondAndFallsSlowly) {
  replica_controller replicas;
  const adapter_key key = 5;
  const double capacity = 20.0;  // 12 requests a second at the target fill
  std::int64_t now = 0;
  for (; now < 1000; now += 20) {
    replicas.OnRequest(key, At(now));
    replicas.UpdateReplicaCount(key, capacity, 12, At(now));
  }
  const std::size_t peak = replicas.LastReplicaCount(key);
  EXPECT_GE(peak, 4U);  // 50 requests a second
  EXPECT_LE(peak, 5U);
  std::size_t last = peak;
  std::int64_t changed = now;
  while (last > 1) {
    now += 100;
    const std::size_t replica_count =
        replicas.UpdateReplicaCount(key, capacity, 12, At(now));
    if (replica_count == last) continue;
    EXPECT_EQ(replica_count, last - 1);
    EXPECT_GE(now - changed, 29000);
    changed = now;
    last = replica_count;
  }
}

TEST(ReplicaController, FollowsTheRateThatAgentsReport) {
  replica_controller replicas;
  replicas.OnReportedRate(1, endpoint_id("a"), 20.0, At(0));
  replicas.OnReportedRate(1, endpoint_id("b"), 15.0, At(0));
  EXPECT_EQ(replicas.UpdateReplicaCount(1, 20.0, 12, At(10)), 3U);
  EXPECT_EQ(replicas.UpdateReplicaCount(1, 20.0, 2, At(10)), 2U);
}

RC_GTEST_PROP(ReplicaController, StaysWithinItsBounds, ()) {
  replica_controller replicas({.maximum_adapters = 4});
  std::int64_t now = 0;
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(0, 5000);
    const adapter_key key = *rc::gen::inRange<adapter_key>(0, 8);
    replicas.OnRequest(key, At(now));
    replicas.OnReportedRate(key, endpoint_id("a"), *rc::gen::inRange(0, 500),
                            At(now));
    const auto members = *rc::gen::inRange<std::size_t>(1, 13);
    const std::size_t replica_count =
        replicas.UpdateReplicaCount(key, 10.0, members, At(now));
    RC_ASSERT(replica_count >= 1U);
    RC_ASSERT(replica_count <= members);
    RC_ASSERT(replicas.size() <= 4U);
  }
}

class picker_test : public testing::Test {
 protected:
  picker_test() {
    std::vector<endpoint_picker<>::member> members;
    for (const endpoint_id& engine : Engines(6)) members.push_back({engine});
    picker_.SetMembers(members);
    for (const endpoint_id& engine : Engines(6)) {
      picker_.OnReport(engine, {.batch_limit = 8, .endpoint_up = true}, At(0));
    }
  }
  endpoint_id Pick(std::int64_t ms = 0) {
    const auto result = picker_.Pick(
        request_, [this](const auto& item) { return !down_.contains(item); },
        random_, At(ms));
    return result ? result->endpoint : endpoint_id();
  }

  endpoint_picker<> picker_;
  core::random_source random_{1};
  std::set<endpoint_id> down_;
  pick_request request_{.key = 77, .expected_tokens = 100};
};

TEST_F(picker_test, StaysOnTheFirstReplica) {
  const endpoint_id replica = picker_.ReplicasOf(77).at(0);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Pick(), replica);
    picker_.OnSubmitted(replica, request_, At(0));
  }
}

// Guards against overflow that spreads an adapter over the fleet.
TEST_F(picker_test, SkipsALoadedReplicaForTheNextRank) {
  const endpoint_id replica = Pick();
  picker_.OnReport(
      replica, {.running = 8, .waiting_urgent = 4, .batch_limit = 8}, At(100));
  const endpoint_id next = Pick(100);
  EXPECT_NE(next, replica);
  down_.insert(replica);
  EXPECT_EQ(Pick(200), next);
}

TEST_F(picker_test, PicksNothingThatIsNotUsable) {
  for (const endpoint_id& engine : Engines(6)) down_.insert(engine);
  EXPECT_TRUE(Pick().empty());
}

// Guards against a report that hides requests that were sent after it.
TEST(LoadEstimate, AddsWhatWasSentSinceTheReport) {
  load_estimate load;
  load.OnReport({.running = 6, .batch_limit = 8}, At(0));
  const auto service = core::milliseconds(800);
  const auto wait = [&](std::int64_t ms) {
    return load.ExpectedWait(core::priority_class::urgent, service, At(ms));
  };
  EXPECT_EQ(wait(0).count(), 0);
  for (int i = 0; i < 4; ++i) load.OnSubmitted(1, At(1));
  EXPECT_EQ(wait(1), core::milliseconds(200));
  load.OnReport({.running = 8,
                 .waiting_urgent = 2,
                 .expected_wait = core::milliseconds(300),
                 .batch_limit = 8},
                At(50));
  for (int i = 0; i < 4; ++i) load.OnAcknowledged();
  EXPECT_EQ(wait(150), core::milliseconds(200));
  // An older report is ignored.
  load.OnReport({.batch_limit = 8}, At(40));
  EXPECT_EQ(wait(150), core::milliseconds(200));
}

TEST(LoadEstimate, ForgetsResidencyAfterAReplacement) {
  load_estimate load;
  load.OnResidency(3, true, At(0));
  EXPECT_TRUE(load.ProbablyResident(3, At(10)));
  EXPECT_FALSE(load.ProbablyResident(3, At(60000)));
  load.OnReplaced();
  EXPECT_FALSE(load.ProbablyResident(3, At(10)));
}

}  // namespace
}  // namespace comfreyspring::placement

#include "config/config_store.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config_test_sets.h"
#include "config/documents.h"

namespace comfreyspring::config {
namespace {

template <class Action>
std::vector<Action> Of(const std::vector<store_action>& actions) {
  std::vector<Action> chosen;
  for (const store_action& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      chosen.push_back(*match);
    }
  }
  return chosen;
}

/** A published set with its version. */
struct published {
  explicit published(const configuration& set)
      : documents(EncodeSet(set)),
        version(VersionOf(DecodeManifest(documents.manifest_bytes),
                          documents.manifest_bytes)) {}
  document_set documents;
  core::config_version version;
};

class config_store_test : public ::testing::Test {
 protected:
  std::vector<store_action> GiveManifest(const published& set,
                                         const source_id& source) {
    return store_.OnManifest(source, set.documents.manifest_bytes, now_);
  }

  /** Gives all parts; returns the actions of all of them. */
  std::vector<store_action> GiveParts(const published& set,
                                      const source_id& source) {
    std::vector<store_action> all;
    for (const auto& [hash, bytes] : set.documents.parts) {
      for (store_action& action : store_.OnPart(source, hash, bytes, now_)) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  std::vector<store_action> Wait(core::milliseconds step) {
    now_ += step;
    return store_.OnTick(now_);
  }

  config_store store_;
  core::time_point now_;
};

TEST_F(config_store_test, FetchesAndAdoptsASetOnce) {
  const published set(MakeTestSet(3, "v2"));
  const auto first = store_.OnVersionSeen("peer", set.version, now_);
  ASSERT_EQ(Of<fetch_manifest>(first).size(), 1u);
  EXPECT_TRUE(store_.OnVersionSeen("peer", set.version, now_).empty());
  const auto second = GiveManifest(set, "peer");
  EXPECT_EQ(Of<fetch_part>(second).size(), set.documents.parts.size());
  const auto third = GiveParts(set, "peer");
  ASSERT_EQ(Of<adopted>(third).size(), 1u);
  EXPECT_EQ(Of<adopted>(third)[0].set, store_.Current());
  EXPECT_EQ(store_.CurrentVersion(), set.version);
  EXPECT_EQ(*store_.ManifestBytes(), set.documents.manifest_bytes);
  EXPECT_TRUE(GiveManifest(set, "peer").empty());
}

// Guards against fetching what did not change.
TEST_F(config_store_test, FetchesOnlyPartsThatItDoesNotHold) {
  const published first(MakeTestSet(1, "v2"));
  GiveManifest(first, "peer");
  GiveParts(first, "peer");
  const published second(MakeTestSet(2, "v3"));
  EXPECT_EQ(Of<fetch_part>(GiveManifest(second, "peer")).size(), 1u);
}

// Guards against going back to a stale service's set after a restart.
TEST_F(config_store_test, PrefersTheGreatestVersionSeenOverAStaleOne) {
  const published fresh(MakeTestSet(10, "v10"));
  const published stale(MakeTestSet(9, "v9"));
  store_.OnVersionSeen("peer", fresh.version, now_);
  GiveManifest(stale, "platform");
  EXPECT_TRUE(Of<adopted>(GiveParts(stale, "platform")).empty());
  GiveManifest(fresh, "peer");
  EXPECT_EQ(Of<adopted>(GiveParts(fresh, "peer")).size(), 1u);
  EXPECT_EQ(store_.CurrentVersion(), fresh.version);
}

// Guards against a version that nobody can deliver blocking all others.
TEST_F(config_store_test, TakesTheNextVersionWhenTheGreatestCannotBeHad) {
  const published usable(MakeTestSet(9, "v9"));
  GiveManifest(usable, "platform");
  store_.OnVersionSeen("silent", {10, 5}, now_);
  for (int round = 0; round < 3; ++round) Wait(core::seconds(2));
  GiveParts(usable, "platform");
  EXPECT_EQ(store_.CurrentVersion(), usable.version);
}

TEST_F(config_store_test, AsksAnotherSourceAfterTwoSeconds) {
  const published set(MakeTestSet(3, "v2"));
  const auto first =
      Of<fetch_manifest>(store_.OnVersionSeen("a", set.version, now_));
  EXPECT_TRUE(store_.OnVersionSeen("b", set.version, now_).empty());
  EXPECT_TRUE(Wait(core::milliseconds(1900)).empty());
  const auto second = Of<fetch_manifest>(Wait(core::milliseconds(100)));
  ASSERT_EQ(first.size(), 1u);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_NE(first[0].source, second[0].source);
}

TEST_F(config_store_test, AsksAnotherSourceAtOnceAfterAFailure) {
  const published set(MakeTestSet(3, "v2"));
  store_.OnVersionSeen("a", set.version, now_);
  store_.OnVersionSeen("b", set.version, now_);
  const auto next =
      Of<fetch_manifest>(store_.OnFetchFailed("a", std::nullopt, now_));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].source, "b");
}

// Guards against a source with damaged documents being asked in a tight loop.
TEST_F(config_store_test, WaitsBeforeItAsksTheOnlySourceAgain) {
  const published set(MakeTestSet(3, "v2"));
  GiveManifest(set, "peer");
  const std::uint64_t hash = set.documents.parts.begin()->first;
  EXPECT_TRUE(store_.OnPart("peer", hash, "damaged", now_).empty());
  EXPECT_FALSE(Of<fetch_part>(Wait(core::seconds(2))).empty());
}

TEST_F(config_store_test, RejectsAnInvalidSetOnceAndKeepsTheLastGoodOne) {
  const published good(MakeTestSet(1, "v2"));
  GiveManifest(good, "platform");
  GiveParts(good, "platform");
  const published bad(MakeInvalidTestSet(2, "v3"));
  GiveManifest(bad, "platform");
  const auto refusals = Of<rejected>(GiveParts(bad, "platform"));
  ASSERT_EQ(refusals.size(), 1u);
  EXPECT_EQ(refusals[0].version, bad.version);
  EXPECT_NE(refusals[0].reason.find("default_version_not_listed"),
            std::string::npos);
  EXPECT_EQ(store_.CurrentVersion(), good.version);
  EXPECT_EQ(store_.LastRejected()->version, bad.version);
  EXPECT_TRUE(GiveManifest(bad, "platform").empty());
  EXPECT_TRUE(store_.OnVersionSeen("peer", bad.version, now_).empty());
}

// Guards against a tie of two operators going unnoticed.
TEST_F(config_store_test, ReportsTheLoserOfATie) {
  const published one(MakeTestSet(2, "left"));
  const published other(MakeTestSet(2, "right"));
  const published& loser = one.version < other.version ? one : other;
  const published& winner = one.version < other.version ? other : one;
  GiveManifest(loser, "platform");
  GiveParts(loser, "platform");
  GiveManifest(winner, "platform");
  const auto actions = GiveParts(winner, "platform");
  ASSERT_EQ(Of<rejected>(actions).size(), 1u);
  EXPECT_EQ(Of<rejected>(actions)[0].version, loser.version);
  EXPECT_EQ(store_.CurrentVersion(), winner.version);
}

}  // namespace
}  // namespace comfreyspring::config

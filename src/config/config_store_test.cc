#include "config/config_store.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config_test_sets.h"
#include "config/documents.h"

namespace comfreyspring::config {
namespace {

template <class Action>
std::vector<Action> ActionsOf(const std::vector<store_action>& actions) {
  std::vector<Action> chosen;
  for (const store_action& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      chosen.push_back(*match);
    }
  }
  return chosen;
}

/** An encoded set with its version. */
struct published_set {
  explicit published_set(const configuration& set)
      : documents(EncodeSet(set)),
        version(VersionOf(DecodeManifest(documents.manifest_bytes),
                          documents.manifest_bytes)) {}
  document_set documents;
  core::config_version version;
};

class config_store_test : public ::testing::Test {
 protected:
  std::vector<store_action> DeliverManifest(const published_set& set,
                                            const source_id& source) {
    return store_.OnManifest(source, set.documents.manifest_bytes, now_);
  }

  /** Delivers all parts and returns the resulting actions. */
  std::vector<store_action> DeliverParts(const published_set& set,
                                         const source_id& source) {
    std::vector<store_action> all;
    for (const auto& [hash, bytes] : set.documents.parts) {
      for (store_action& action : store_.OnPart(source, hash, bytes, now_)) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  std::vector<store_action> AdvanceClock(core::milliseconds step) {
    now_ += step;
    return store_.OnTick(now_);
  }

  config_store store_;
  core::time_point now_;
};

TEST_F(config_store_test, FetchesAndAdoptsASetOnce) {
  const published_set set(MakeTestSet(3, "v2"));
  const auto first = store_.OnVersionSeen("peer", set.version, now_);
  ASSERT_EQ(ActionsOf<fetch_manifest>(first).size(), 1u);
  EXPECT_TRUE(store_.OnVersionSeen("peer", set.version, now_).empty());
  const auto second = DeliverManifest(set, "peer");
  EXPECT_EQ(ActionsOf<fetch_part>(second).size(), set.documents.parts.size());
  const auto third = DeliverParts(set, "peer");
  ASSERT_EQ(ActionsOf<adopted>(third).size(), 1u);
  EXPECT_EQ(ActionsOf<adopted>(third)[0].set, store_.Current());
  EXPECT_EQ(store_.CurrentVersion(), set.version);
  EXPECT_EQ(*store_.ManifestBytes(), set.documents.manifest_bytes);
  EXPECT_TRUE(DeliverManifest(set, "peer").empty());
}

// Guards against fetching unchanged parts again.
TEST_F(config_store_test, FetchesOnlyPartsThatItDoesNotHold) {
  const published_set first(MakeTestSet(1, "v2"));
  DeliverManifest(first, "peer");
  DeliverParts(first, "peer");
  const published_set second(MakeTestSet(2, "v3"));
  EXPECT_EQ(ActionsOf<fetch_part>(DeliverManifest(second, "peer")).size(), 1u);
}

// Guards against adopting an older set from a stale service after a restart.
TEST_F(config_store_test, PrefersTheGreatestVersionSeenOverAStaleOne) {
  const published_set fresh(MakeTestSet(10, "v10"));
  const published_set stale(MakeTestSet(9, "v9"));
  store_.OnVersionSeen("peer", fresh.version, now_);
  DeliverManifest(stale, "platform");
  EXPECT_TRUE(ActionsOf<adopted>(DeliverParts(stale, "platform")).empty());
  DeliverManifest(fresh, "peer");
  EXPECT_EQ(ActionsOf<adopted>(DeliverParts(fresh, "peer")).size(), 1u);
  EXPECT_EQ(store_.CurrentVersion(), fresh.version);
}

// Guards against a version that no source can deliver blocking lower ones.
TEST_F(config_store_test, TakesTheNextVersionWhenTheGreatestCannotBeHad) {
  const published_set usable(MakeTestSet(9, "v9"));
  DeliverManifest(usable, "platform");
  store_.OnVersionSeen("silent", {10, 5}, now_);
  for (int round = 0; round < 3; ++round) AdvanceClock(core::seconds(2));
  DeliverParts(usable, "platform");
  EXPECT_EQ(store_.CurrentVersion(), usable.version);
}

TEST_F(config_store_test, AsksAnotherSourceAfterTwoSeconds) {
  const published_set set(MakeTestSet(3, "v2"));
  const auto first =
      ActionsOf<fetch_manifest>(store_.OnVersionSeen("a", set.version, now_));
  EXPECT_TRUE(store_.OnVersionSeen("b", set.version, now_).empty());
  EXPECT_TRUE(AdvanceClock(core::milliseconds(1900)).empty());
  const auto second =
      ActionsOf<fetch_manifest>(AdvanceClock(core::milliseconds(100)));
  ASSERT_EQ(first.size(), 1u);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_NE(first[0].source, second[0].source);
}

TEST_F(config_store_test, AsksAnotherSourceAtOnceAfterAFailure) {
  const published_set set(MakeTestSet(3, "v2"));
  store_.OnVersionSeen("a", set.version, now_);
  store_.OnVersionSeen("b", set.version, now_);
  const auto next =
      ActionsOf<fetch_manifest>(store_.OnFetchFailed("a", std::nullopt, now_));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].source, "b");
}

// Guards against repeated requests without delay to a source with corrupted
// documents.
TEST_F(config_store_test, WaitsBeforeItAsksTheOnlySourceAgain) {
  const published_set set(MakeTestSet(3, "v2"));
  DeliverManifest(set, "peer");
  const std::uint64_t hash = set.documents.parts.begin()->first;
  EXPECT_TRUE(store_.OnPart("peer", hash, "damaged", now_).empty());
  EXPECT_FALSE(ActionsOf<fetch_part>(AdvanceClock(core::seconds(2))).empty());
}

TEST_F(config_store_test, RejectsAnInvalidSetOnceAndKeepsTheLastGoodOne) {
  const published_set good(MakeTestSet(1, "v2"));
  DeliverManifest(good, "platform");
  DeliverParts(good, "platform");
  const published_set bad(MakeInvalidTestSet(2, "v3"));
  DeliverManifest(bad, "platform");
  const auto rejections = ActionsOf<rejected>(DeliverParts(bad, "platform"));
  ASSERT_EQ(rejections.size(), 1u);
  EXPECT_EQ(rejections[0].version, bad.version);
  EXPECT_NE(rejections[0].reason.find("default_version_not_listed"),
            std::string::npos);
  EXPECT_EQ(store_.CurrentVersion(), good.version);
  EXPECT_EQ(store_.LastRejected()->version, bad.version);
  EXPECT_TRUE(DeliverManifest(bad, "platform").empty());
  EXPECT_TRUE(store_.OnVersionSeen("peer", bad.version, now_).empty());
}

// Guards against two sets with the same generation going unreported.
TEST_F(config_store_test, ReportsTheLoserOfATie) {
  const published_set one(MakeTestSet(2, "left"));
  const published_set other(MakeTestSet(2, "right"));
  const published_set& loser = one.version < other.version ? one : other;
  const published_set& winner = one.version < other.version ? other : one;
  DeliverManifest(loser, "platform");
  DeliverParts(loser, "platform");
  DeliverManifest(winner, "platform");
  const auto actions = DeliverParts(winner, "platform");
  ASSERT_EQ(ActionsOf<rejected>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<rejected>(actions)[0].version, loser.version);
  EXPECT_EQ(store_.CurrentVersion(), winner.version);
}

}  // namespace
}  // namespace comfreyspring::config

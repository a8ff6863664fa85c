#include "sidecar/catalog_relay.h"

#include <gtest/gtest.h>

namespace comfreyspring::sidecar {
namespace {

using catalog::change_batch;
using core::milliseconds;

class catalog_relay_test : public ::testing::Test {
 protected:
  change_batch Batch(std::int64_t after, std::int64_t revision,
                     std::vector<std::int64_t> changes = {}) const {
    change_batch batch{.after = after, .revision = revision};
    batch.era = era_;
    for (const std::int64_t change : changes) {
      batch.documents.push_back({change, "c" + std::to_string(change)});
    }
    return batch;
  }

  std::int64_t era_ = 0;
  core::time_point now_{std::chrono::seconds(100)};
  catalog_relay relay_{milliseconds(200)};
};

TEST_F(catalog_relay_test, RelaysChangesImmediately) {
  const auto out = relay_.OnBatch(Batch(10, 14, {12}), now_);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].after, 10);
  EXPECT_EQ(out[0].revision, 14);
  ASSERT_EQ(out[0].documents.size(), 1U);
}

TEST_F(catalog_relay_test, MergesConfirmations) {
  relay_.OnBatch(Batch(10, 14, {12}), now_);
  now_ += milliseconds(50);
  EXPECT_TRUE(relay_.OnBatch(Batch(14, 16), now_).empty());
  EXPECT_TRUE(relay_.OnBatch(Batch(15, 19), now_).empty());
  now_ += milliseconds(160);
  const auto out = relay_.OnTick(now_);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].after, 14);
  EXPECT_EQ(out[0].revision, 19);
  EXPECT_EQ(out[0].age, milliseconds(160));
  EXPECT_TRUE(relay_.OnTick(now_ + milliseconds(900)).empty());
}

// Receivers of a report on an outage need to know how long ago it ended.
TEST_F(catalog_relay_test, ReportsWhenTheLastOutageEnded) {
  relay_.OnBatch(Batch(10, 14, {12}), now_);
  change_batch batch = Batch(14, 16);
  batch.last_outage = {{0, 13}, milliseconds(900)};
  relay_.OnBatch(batch, now_);
  batch.last_outage = {{0, 15}, milliseconds(300)};
  relay_.OnBatch(batch, now_);
  now_ += milliseconds(200);
  const auto out = relay_.OnTick(now_);
  ASSERT_EQ(out.size(), 1U);
  ASSERT_TRUE(out[0].last_outage);
  EXPECT_EQ(out[0].last_outage->position.revision, 15);
  EXPECT_EQ(out[0].last_outage->ended_ago, milliseconds(500));
}

// A batch that was delayed while the process was suspended is older than its
// age field says.
TEST_F(catalog_relay_test, AddsASuspensionToTheAgeOfDelayedBatches) {
  relay_.OnPaused(milliseconds(3000), now_);
  change_batch batch = Batch(10, 14, {12});
  batch.last_outage = {{0, 9}, milliseconds(400)};
  const auto out = relay_.OnBatch(batch, now_ + milliseconds(2));
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].age, milliseconds(3000));
  EXPECT_FALSE(out[0].last_outage);
  const auto later =
      relay_.OnBatch(Batch(14, 17, {16}), now_ + milliseconds(500));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].age, milliseconds(0));
}

// Several gateways read the same change.
TEST_F(catalog_relay_test, RelaysAChangeOnce) {
  relay_.OnBatch(Batch(10, 14, {12}), now_);
  EXPECT_TRUE(relay_.OnBatch(Batch(8, 14, {12}), now_).empty());
  const auto out = relay_.OnBatch(Batch(11, 17, {12, 16}), now_);
  ASSERT_EQ(out.size(), 1U);
  ASSERT_EQ(out[0].documents.size(), 1U);
  EXPECT_EQ(out[0].documents[0].revision, 16);
  EXPECT_EQ(out[0].after, 14);
}

TEST_F(catalog_relay_test, AnOlderReadConfirmsNothing) {
  relay_.OnBatch(Batch(10, 14, {12}), now_);
  EXPECT_TRUE(relay_.OnBatch(Batch(9, 12), now_).empty());
  EXPECT_TRUE(relay_.OnTick(now_ + milliseconds(900)).empty());
}

// A gap between batches must not be reported as a period without changes.
TEST_F(catalog_relay_test, PreservesGaps) {
  relay_.OnBatch(Batch(10, 14), now_);
  const auto out = relay_.OnBatch(Batch(30, 33, {31}), now_);
  ASSERT_EQ(out.size(), 2U);
  EXPECT_EQ(out[0].after, 10);
  EXPECT_EQ(out[0].revision, 14);
  EXPECT_EQ(out[1].after, 30);
  EXPECT_EQ(out[1].documents.size(), 1U);
}

// A restored platform uses revisions again.
TEST_F(catalog_relay_test, ABatchOfALaterEraIsNotOutdatedByItsRevision) {
  era_ = 1;
  relay_.OnBatch(Batch(140, 147, {145}), now_);
  relay_.OnBatch(Batch(147, 150), now_);
  era_ = 2;
  const auto restored = relay_.OnBatch(Batch(90, 90), now_);
  ASSERT_EQ(restored.size(), 2U);
  EXPECT_EQ(restored[0].Position(), (catalog::catalog_position{1, 150}));
  EXPECT_EQ(restored[1].After(), (catalog::catalog_position{2, 90}));
  EXPECT_EQ(restored[1].Position(), (catalog::catalog_position{2, 90}));
  const auto changed = relay_.OnBatch(Batch(90, 93, {92}), now_);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed[0].Position(), (catalog::catalog_position{2, 93}));
  EXPECT_EQ(changed[0].documents.size(), 1U);
}

// Revisions that were used again are other changes.
TEST_F(catalog_relay_test, AChangeOfALaterEraIsNotTakenForAKnownOne) {
  era_ = 1;
  relay_.OnBatch(Batch(140, 147, {145}), now_);
  era_ = 2;
  const auto out = relay_.OnBatch(Batch(90, 150, {92, 145, 149}), now_);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].after, 90);
  EXPECT_EQ(out[0].documents.size(), 3U);
}

// A gateway that is cut off from the restored platform must neither overwrite
// nor delay what the others have read.
TEST_F(catalog_relay_test, ABatchOfAnEarlierEraIsDropped) {
  era_ = 2;
  relay_.OnBatch(Batch(90, 93, {92}), now_);
  relay_.OnBatch(Batch(93, 95), now_);
  for (const std::int64_t earlier : {1, 0}) {
    era_ = earlier;
    EXPECT_TRUE(relay_.OnBatch(Batch(93, 160, {150}), now_).empty());
  }
  era_ = 2;
  const auto out = relay_.OnBatch(Batch(95, 97, {96}), now_);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].Position(), (catalog::catalog_position{2, 97}));
  EXPECT_EQ(out[0].after, 93);
}

}  // namespace
}  // namespace comfreyspring::sidecar

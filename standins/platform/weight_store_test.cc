#include "standins/platform/weight_store.h"

#include <gtest/gtest.h>

namespace comfreyspring::standins {
namespace {

const core::time_point kStart{core::seconds(100)};

std::int64_t CompletionMs(const weight_store& store) {
  return core::ToMilliseconds(*store.NextCompletion() - kStart).count();
}

TEST(WeightStore, TakesFullSpeedUpToEightTransfers) {
  weight_store store;
  EXPECT_FALSE(store.NextCompletion());
  for (int count = 0; count < 8; ++count) store.Begin(kStart);
  EXPECT_EQ(CompletionMs(store), 250);
  EXPECT_TRUE(store.TakeComplete(kStart + core::milliseconds(249)).empty());
  EXPECT_EQ(store.TakeComplete(kStart + core::milliseconds(250)).size(), 8u);
}

TEST(WeightStore, SharesItsCapacityBeyondEight) {
  weight_store store;
  for (int count = 0; count < 32; ++count) store.Begin(kStart);
  EXPECT_EQ(CompletionMs(store), 1000);
  EXPECT_EQ(store.TakeComplete(kStart + core::seconds(1)).size(), 32u);
  EXPECT_EQ(store.InTransit(), 0u);
}

// Guards against transfers of disconnected clients slowing the others down.
TEST(WeightStore, GivesTheShareOfACancelledTransferToTheOthers) {
  weight_store store;
  const transfer_id first = store.Begin(kStart);
  for (int count = 0; count < 8; ++count) store.Begin(kStart);
  const auto halfway = kStart + core::microseconds(140625);
  store.Cancel(first, halfway);
  EXPECT_EQ(CompletionMs(store), 265);
}

}  // namespace
}  // namespace comfreyspring::standins

#include "grants/slot_table.h"

#include <gtest/gtest.h>

namespace comfreyspring::grants {
namespace {

using core::milliseconds;

catalog::adapter_name Name(const std::string& adapter) {
  return {core::model_id("m"), core::adapter_id(adapter)};
}

class slot_table_test : public ::testing::Test {
 protected:
  slot_table_test() { slots_.SetCapacity(2); }

  engine_state Holding(const std::vector<std::string>& adapters,
                       std::int64_t version = 1) const {
    engine_state state;
    state.models.push_back({core::model_id("m"), {}});
    for (const std::string& adapter : adapters) {
      state.models[0].adapters.push_back({core::adapter_id(adapter), version});
    }
    return state;
  }
  engine_order Load(const std::string& adapter, std::int64_t version = 0) {
    slots_.OnLoadOrdered(Name(adapter), now_);
    return {engine_order::kind::load, Name(adapter), version};
  }
  engine_order Unload(const std::string& adapter) {
    slots_.OnUnloadOrdered(Name(adapter), now_);
    return {engine_order::kind::unload, Name(adapter), 0};
  }
  void Report(const engine_state& state) {
    slots_.Reconcile(state, now_, now_);
  }

  slot_table slots_;
  core::time_point now_{std::chrono::seconds(100)};
};

// An engine crashes if it is ordered to hold more adapters than it can, so a
// slot is occupied from the order on.
TEST_F(slot_table_test, ASlotIsOccupiedFromTheOrderOn) {
  Report(Holding({"a1"}));
  EXPECT_TRUE(slots_.HasFreeSlot());
  const auto order = Load("a2");
  EXPECT_FALSE(slots_.HasFreeSlot());
  slots_.OnOrderEnded(order, order_result::accepted, now_);
  // A report requested before the order does not free the slot.
  slots_.Reconcile(Holding({"a1"}), now_, now_ + milliseconds(50));
  EXPECT_FALSE(slots_.HasFreeSlot());
  EXPECT_FALSE(slots_.IsReady(Name("a2"), 0));
  now_ += milliseconds(300);
  Report(Holding({"a1", "a2"}));
  EXPECT_TRUE(slots_.IsReady(Name("a2"), 0));
}

// An order whose response was lost may still be accepted, however late.
TEST_F(slot_table_test, AnUnansweredLoadKeepsItsSlotUntilItIsResolved) {
  const auto order = Load("a1");
  slots_.OnOrderEnded(order, order_result::unknown, now_);
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(1000);
    Report(Holding({}));
    EXPECT_EQ(slots_.Size(), 1U);
    EXPECT_FALSE(slots_.IsReady(Name("a1"), 0));
  }
  slots_.OnOrderAccepted(order);
  Report(Holding({}));
  EXPECT_EQ(slots_.Size(), 0U);
}

TEST_F(slot_table_test, AnUnansweredUnloadKeepsItsSlotUntilItIsResolved) {
  Report(Holding({"a1"}));
  const auto order = Unload("a1");
  slots_.OnOrderEnded(order, order_result::unknown, now_);
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(1000);
    Report(Holding({"a1"}));
    EXPECT_EQ(slots_.Size(), 1U);
    // The engine may drop it at any moment.
    EXPECT_FALSE(slots_.IsReady(Name("a1"), 0));
  }
  slots_.OnOrderEnded(order, order_result::conflict, now_);
  EXPECT_TRUE(slots_.IsReady(Name("a1"), 0));
}

// An engine that refuses to load a newer version still holds the older one.
TEST_F(slot_table_test, ARefusedReplacementKeepsItsSlot) {
  Report(Holding({"a1", "a2"}));
  slots_.OnOrderEnded(Load("a1", 2), order_result::conflict, now_);
  EXPECT_FALSE(slots_.HasFreeSlot());
  EXPECT_TRUE(slots_.IsReady(Name("a1"), 1));
  EXPECT_FALSE(slots_.IsReady(Name("a1"), 2));
}

TEST_F(slot_table_test, ARefusedOrderChangesNothing) {
  Report(Holding({"a1"}));
  slots_.OnOrderEnded(Unload("a1"), order_result::conflict, now_);
  EXPECT_TRUE(slots_.IsReady(Name("a1"), 0));
  slots_.OnOrderEnded(Load("a2"), order_result::stale_fencing, now_);
  EXPECT_EQ(slots_.Size(), 1U);
}

// The previous version stays listed until its requests have ended.
TEST_F(slot_table_test, AReplacementIsReadyOnlyWithItsVersion) {
  Report(Holding({"a1"}));
  slots_.OnOrderEnded(Load("a1", 2), order_result::accepted, now_);
  now_ += milliseconds(100);
  auto state = Holding({"a1"});
  state.loading.push_back(Name("a1"));
  Report(state);
  EXPECT_FALSE(slots_.IsReady(Name("a1"), 2));
  EXPECT_FALSE(slots_.IsReady(Name("a1"), 1));
  now_ += milliseconds(200);
  Report(Holding({"a1"}, 2));
  EXPECT_TRUE(slots_.IsReady(Name("a1"), 2));
}

TEST_F(slot_table_test, EvictsTheUnusedAdapterWithTheLowestDemand) {
  slots_.SetCapacity(3);
  Report(Holding({"a1", "a2", "a3"}));
  for (int i = 0; i < 5; ++i) slots_.CountDemand(Name("a1"), now_);
  slots_.CountDemand(Name("a2"), now_);
  const auto victim = slots_.Victim(
      [](const catalog::adapter_name& name) { return name != Name("a3"); },
      now_);
  EXPECT_EQ(victim, Name("a2"));
  EXPECT_FALSE(
      slots_.Victim([](const catalog::adapter_name&) { return false; }, now_)
          .has_value());
}

}  // namespace
}  // namespace comfreyspring::grants

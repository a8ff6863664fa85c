#include "standins/platform/document_store.h"

#include <gtest/gtest.h>

#include "standins/platform/call_counter.h"
#include "standins/platform/vm_history.h"

namespace comfreyspring::standins {
namespace {

TEST(DocumentStore, StaleModeServesTheFirstSnapshot) {
  document_store store;
  store.Put("key", "old");
  store.SetMode(service_mode::stale);
  store.Put("key", "new");
  EXPECT_EQ(store.Get("key")->value, "old");
  store.SetMode(service_mode::normal);
  EXPECT_EQ(store.Get("key")->value, "new");
  EXPECT_EQ(store.Get("key")->revision, 2);
  store.SetMode(service_mode::stale);
  EXPECT_EQ(store.Get("key")->value, "old");
  store.SetMode(service_mode::down);
  EXPECT_FALSE(store.Get("key"));
}

TEST(VmHistory, ShowsChangesOneLagLater) {
  vm_history history;
  history.SetLag(core::milliseconds(500));
  const core::time_point start{core::seconds(10)};
  EXPECT_EQ(history.VisibleAt(start).revision, 0);
  history.Put({1, {{"vm-1", "live"}}}, start);
  EXPECT_EQ(history.VisibleAt(start + core::milliseconds(499)).revision, 0);
  EXPECT_EQ(history.VisibleAt(start + core::milliseconds(500)).vms.size(), 1u);
}

// Guards against waiting watches missing from the call budget.
TEST(CallCounter, CountsWaitingWatchesInEverySecond) {
  call_counter counter;
  const core::time_point start{core::seconds(10)};
  counter.Count("config", start);
  counter.OnWatchBegins(start);
  counter.Count("vms", start + core::seconds(1));
  counter.Count("vms", start + core::seconds(1));
  EXPECT_EQ(counter.PeakSecond(), 3);
  EXPECT_EQ(counter.Total(), 3);
  counter.OnWatchEnds(start + core::seconds(2));
  EXPECT_EQ(counter.WaitingWatches(), 0);
}

}  // namespace
}  // namespace comfreyspring::standins

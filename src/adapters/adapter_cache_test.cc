#include "adapters/adapter_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace comfreyspring::adapters {
namespace {

core::time_point At(std::int64_t ms) {
  return core::time_point(core::milliseconds(1'000'000 + ms));
}
core::adapter_reference Adapter(const std::string& name) {
  return {core::adapter_id(name), core::version_id("1")};
}
std::size_t NoWaitingRequests(const core::adapter_reference&) { return 0; }

template <class Cache>
void LoadInto(Cache& cache, const std::string& name, std::int64_t now) {
  ASSERT_TRUE(cache.Reserve(Adapter(name), false, NoWaitingRequests, At(now)));
  cache.OnLoaded(Adapter(name), core::milliseconds(250), At(now));
}
template <class Cache>
void Use(Cache& cache, const std::string& name, int times, std::int64_t now) {
  for (int i = 0; i < times; ++i) {
    cache.RecordDemand(Adapter(name), At(now));
    cache.Pin(Adapter(name), At(now));
    cache.Unpin(Adapter(name), At(now));
  }
}
/** The adapter that is evicted to load `name`. */
template <class Cache>
std::optional<core::adapter_reference> EvictedByLoadOf(Cache& cache,
                                                       const std::string& name,
                                                       std::int64_t now) {
  const auto slot =
      cache.Reserve(Adapter(name), false, NoWaitingRequests, At(now));
  return slot ? slot->evicted : std::nullopt;
}

/** The victim if `busy` was used more often and `recent` more recently. */
template <class Policy>
std::optional<core::adapter_reference> VictimOf() {
  adapter_cache<Policy> cache(core::milliseconds(250));
  cache.SetSlotLimit(2);
  LoadInto(cache, "busy", 0);
  LoadInto(cache, "recent", 0);
  Use(cache, "busy", 10, 1'000);
  Use(cache, "recent", 1, 2'000);
  return EvictedByLoadOf(cache, "new", 3'000);
}

// Guards against mixing up the policies that benchmarks compare.
TEST(AdapterCache, PoliciesPickTheirVictims) {
  EXPECT_EQ(VictimOf<cost_aware_eviction>(), Adapter("recent"));
  EXPECT_EQ(VictimOf<lfu_eviction>(), Adapter("recent"));
  EXPECT_EQ(VictimOf<lru_eviction>(), Adapter("busy"));
}

// Guards against retaining an adapter that was popular only long ago.
TEST(AdapterCache, FrequencyDecays) {
  adapter_cache<cost_aware_eviction> cache(core::milliseconds(250));
  cache.SetSlotLimit(2);
  LoadInto(cache, "once-hot", 0);
  LoadInto(cache, "now-hot", 0);
  Use(cache, "once-hot", 50, 0);
  Use(cache, "now-hot", 5, 1'200'000);
  EXPECT_EQ(EvictedByLoadOf(cache, "new", 1'200'001), Adapter("once-hot"));
}

// Guards against evicting an adapter with queued requests, and against two
// adapters that evict each other before either serves a request.
TEST(AdapterCache, KeepsAdaptersThatAreWaitedFor) {
  adapter_cache<cost_aware_eviction> cache(core::milliseconds(250));
  cache.SetSlotLimit(1);
  LoadInto(cache, "a", 0);
  const auto one_waits = [](const core::adapter_reference&) {
    return std::size_t{1};
  };
  EXPECT_FALSE(cache.Reserve(Adapter("b"), false, one_waits, At(1)));
  // Refused even for a starving adapter until "a" has served a request.
  EXPECT_FALSE(cache.Reserve(Adapter("b"), true, one_waits, At(1)));
  Use(cache, "a", 1, 2);
  EXPECT_TRUE(cache.Reserve(Adapter("b"), true, one_waits, At(3)));
}

// Guards against a slot table that permanently diverges from the engine's.
TEST(AdapterCache, ReconcilesWithTheEngine) {
  adapter_cache<lru_eviction> cache(core::milliseconds(250));
  cache.SetSlotLimit(3);
  LoadInto(cache, "kept", 0);
  LoadInto(cache, "pinned", 0);
  LoadInto(cache, "lost", 0);
  cache.Pin(Adapter("pinned"), At(1));
  cache.Reconcile({Adapter("kept"), Adapter("found")}, At(2));
  EXPECT_EQ(cache.Find(Adapter("lost")), nullptr);
  EXPECT_TRUE(cache.CanDispatch(Adapter("kept")));
  EXPECT_TRUE(cache.CanDispatch(Adapter("found")));
  EXPECT_FALSE(cache.CanDispatch(Adapter("pinned")));
  cache.Unpin(Adapter("pinned"), At(3));
  EXPECT_EQ(cache.Find(Adapter("pinned")), nullptr);
}

// Guards against eviction of pinned or loading adapters and against exceeding
// the slot limit, for any policy and order of events.
template <class Policy>
void CheckRandomOperations() {
  const auto slots = *rc::gen::inRange<std::size_t>(1, 6);
  const auto picks = *rc::gen::resize(
      200, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400)));
  adapter_cache<Policy> cache(core::milliseconds(250));
  cache.SetSlotLimit(slots);
  std::int64_t now = 0;
  for (const int pick : picks) {
    now += 10;
    const auto adapter = Adapter(std::to_string(pick / 10 % 8));
    const adapter_slot* slot = cache.Find(adapter);
    if (slot == nullptr) {
      const std::vector<adapter_slot> before = cache.Slots();
      const auto taken =
          cache.Reserve(adapter, pick % 2 == 0, NoWaitingRequests, At(now));
      for (const adapter_slot& old : before) {
        const bool evicted = taken && taken->evicted == old.adapter;
        RC_ASSERT(!evicted || (old.pins == 0 && !old.loading));
      }
    } else if (slot->loading) {
      if (pick % 5 == 0) {
        cache.OnLoadFailed(adapter);
      } else {
        cache.OnLoaded(adapter, core::milliseconds(250), At(now));
      }
    } else if (pick % 2 == 0 && slot->pins > 0) {
      cache.Unpin(adapter, At(now));
    } else {
      cache.Pin(adapter, At(now));
    }
    RC_ASSERT(cache.Slots().size() <= slots);
  }
}
RC_GTEST_PROP(AdapterCache, KeepsPinnedAdapters, ()) {
  CheckRandomOperations<cost_aware_eviction>();
  CheckRandomOperations<lru_eviction>();
  CheckRandomOperations<lfu_eviction>();
}

}  // namespace
}  // namespace comfreyspring::adapters

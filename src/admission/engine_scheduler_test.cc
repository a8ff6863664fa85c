#include "admission/engine_scheduler.h"

#include <gtest/gtest.h>

#include "admission/scheduler_test_support.h"

namespace comfreyspring::admission {
namespace {

using test::Adapter;
using test::At;
using test::Attempt;
using test::Only;
using test::Work;

class engine_scheduler_test : public testing::Test {
 protected:
  /** Sets the limits; the named adapters are loaded already. */
  void Start(std::size_t slots, std::size_t batch,
             const std::vector<std::string>& resident) {
    std::vector<core::adapter_reference> adapters;
    for (const std::string& name : resident) adapters.push_back(Adapter(name));
    scheduler_.OnEngineState({slots, batch}, adapters, At(0));
  }
  /** Runs one attempt, so that service times are known. */
  void Learn(const std::string& adapter, std::int64_t tokens,
             std::int64_t took_ms) {
    scheduler_.OnSubmit(Work("learn", adapter, tokens), At(0));
    scheduler_.OnEnded(Attempt("learn"), {tokens}, At(took_ms));
  }

  engine_scheduler scheduler_{scheduler_options{.started_at = At(0)}};
};

// Guards against dispatching before the adapter is loaded.
TEST_F(engine_scheduler_test, LoadsThenDispatches) {
  Start(2, 4, {});
  const auto first = scheduler_.OnSubmit(Work("r1", "a"), At(0));
  ASSERT_EQ(Only<start_load>(first).size(), 1U);
  EXPECT_TRUE(Only<dispatch>(first).empty());
  // Coalesced: the second request for the adapter starts no load.
  const auto second = scheduler_.OnSubmit(Work("r2", "a"), At(10));
  EXPECT_TRUE(second.empty());
  const auto loaded =
      scheduler_.OnLoadDone(Adapter("a"), core::milliseconds(250), At(250));
  EXPECT_EQ(Only<dispatch>(loaded).size(), 2U);
  EXPECT_EQ(scheduler_.Counters().load_stalls, 2U);
}

// Guards against treating a plain service as an engine without free slots.
TEST_F(engine_scheduler_test, PlainServiceDispatchesAtOnce) {
  Start(0, 1, {});
  EXPECT_EQ(Only<dispatch>(scheduler_.OnSubmit(Work("r1", ""), At(0))).size(),
            1U);
  EXPECT_TRUE(scheduler_.OnSubmit(Work("r2", ""), At(1)).empty());
  const auto ended = scheduler_.OnEnded(Attempt("r1"), {1}, At(5));
  ASSERT_EQ(Only<dispatch>(ended).size(), 1U);
  EXPECT_EQ(Only<dispatch>(ended)[0].attempt, Attempt("r2"));
}

}  // namespace
}  // namespace comfreyspring::admission

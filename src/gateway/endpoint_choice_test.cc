#include "gateway/endpoint_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>

#include "core/hash.h"

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

catalog::adapter_name Name(const std::string& adapter) {
  return {core::model_id("m"), core::adapter_id(adapter)};
}

class endpoint_choice_test : public ::testing::Test {
 protected:
  endpoint_view& Add(const std::string& instance) {
    auto& view = views_[instance];
    view = std::make_unique<endpoint_view>();
    view->record.instance = catalog::instance_id(instance);
    view->record.address = {"10.0.0." + std::to_string(views_.size()), 80};
    view->record.slots = 10;
    view->has_sidecar = true;
    view->status.serving = true;
    view->status.batch_slots = 10;
    view->status.free_adapter_slots = 2;
    return *view;
  }
  endpoint_views All() const {
    endpoint_views all;
    for (const auto& [name, view] : views_) all.push_back(view.get());
    return all;
  }
  std::string Engine(const std::string& adapter) {
    const choice_request request{
        .adapter = Name(adapter), .excluded = &excluded_, .gateways = 2};
    const auto* chosen = ChooseEngine(All(), request, now_).view;
    return chosen == nullptr ? "" : chosen->record.instance.Value();
  }
  std::string Plain() {
    const choice_request request{.excluded = &excluded_, .gateways = 2};
    const auto* chosen = ChoosePlainEndpoint(All(), request, random_, now_);
    return chosen == nullptr ? "" : chosen->record.instance.Value();
  }

  std::map<std::string, std::unique_ptr<endpoint_view>> views_;
  std::set<catalog::instance_id> excluded_;
  core::random_source random_{1};
  core::time_point now_{std::chrono::seconds(100)};
};

// All gateways must send a rare adapter to the same engine, or each gateway
// would have it loaded separately.
TEST_F(endpoint_choice_test, RequestsForAnAdapterGoToOneEngine) {
  for (int i = 0; i < 8; ++i) Add("e" + std::to_string(i));
  const std::string home = Engine("a1");
  views_.at(home)->status.running = 1;
  EXPECT_EQ(Engine("a1"), home);
  std::map<std::string, int> homes;
  for (int i = 0; i < 400; ++i) ++homes[Engine("b" + std::to_string(i))];
  EXPECT_EQ(homes.size(), 8U);
}

TEST_F(endpoint_choice_test, PrefersAnEngineThatHoldsTheAdapter) {
  for (int i = 0; i < 4; ++i) Add("e" + std::to_string(i));
  for (const std::string holder : {"e0", "e1", "e2", "e3"}) {
    for (auto& [name, view] : views_) view->adapters.clear();
    views_.at(holder)->adapters.insert(Name("a1"));
    EXPECT_EQ(Engine("a1"), holder);
  }
}

// A single adapter gets most of the requests. A second copy costs its first
// request the time of a load, so it is made only for a comparable gain.
TEST_F(endpoint_choice_test, APopularAdapterSpreads) {
  for (int i = 0; i < 4; ++i) Add("e" + std::to_string(i));
  const std::string home = Engine("a1");
  auto& holder = *views_.at(home);
  holder.adapters.insert(Name("a1"));
  holder.status.running = 4;
  EXPECT_EQ(Engine("a1"), home);
  holder.status.running = 6;
  const std::string second = Engine("a1");
  EXPECT_NE(second, home);
  views_.at(second)->adapters.insert(Name("a1"));
  views_.at(second)->status.running = 1;
  EXPECT_EQ(Engine("a1"), second);
}

TEST_F(endpoint_choice_test, AvoidsEnginesWithoutFreeAdapterSlots) {
  for (int i = 0; i < 4; ++i) Add("e" + std::to_string(i));
  const std::string home = Engine("a1");
  views_.at(home)->status.free_adapter_slots = 0;
  EXPECT_NE(Engine("a1"), home);
}

TEST_F(endpoint_choice_test, SkipsEnginesThatDoNotServe) {
  Add("e0").status.serving = false;
  EXPECT_EQ(Engine("a1"), "");
  Add("e1");
  EXPECT_EQ(Engine("a1"), "e1");
  excluded_.insert(catalog::instance_id("e1"));
  EXPECT_EQ(Engine("a1"), "");
}

// Without its sidecar an engine serves only the adapters that it holds.
TEST_F(endpoint_choice_test, AnEngineWithoutItsSidecarServesWhatItHolds) {
  auto& lone = Add("e0");
  lone.has_sidecar = false;
  EXPECT_EQ(Engine("a1"), "");
  lone.adapters.insert(Name("a1"));
  EXPECT_EQ(Engine("a1"), "e0");
}

// Engines with more failures than their peers are avoided.
TEST_F(endpoint_choice_test, AvoidsAFailingEngine) {
  for (int i = 0; i < 4; ++i) Add("e" + std::to_string(i));
  for (auto& [name, view] : views_) {
    view->adapters.insert(Name("a1"));
    for (int i = 0; i < 10; ++i) {
      view->results.OnSent(now_);
      view->results.OnEnded(name != "e2" || i % 2 == 0, now_);
    }
  }
  views_.at("e0")->status.running = 1;
  views_.at("e1")->status.running = 1;
  views_.at("e3")->status.running = 1;
  EXPECT_NE(Engine("a1"), "e2");
}

class engine_length_test : public endpoint_choice_test {
 protected:
  engine_length_test() {
    Add("fast").status.token_time = core::microseconds(3500);
    Add("slow0").status.token_time = core::microseconds(9000);
    Add("slow1").status.token_time = core::microseconds(9000);
  }
  engine_choice Choose(std::int64_t output_tokens) {
    return ChooseEngine(All(),
                        {.adapter = Name("a1"),
                         .excluded = &excluded_,
                         .gateways = 2,
                         .size = {800, output_tokens},
                         .answer_due_in = milliseconds(12000)},
                        now_);
  }
  std::string EngineFor(std::int64_t output_tokens) {
    return Choose(output_tokens).view->record.instance.Value();
  }
};

// Guards against a long answer on the slow engine that holds its adapter, where
// it would miss its deadline.
TEST_F(engine_length_test, LongAnswersGoToFastEngines) {
  views_.at("slow0")->adapters.insert(Name("a1"));
  EXPECT_EQ(EngineFor(294), "slow0");
  EXPECT_EQ(EngineFor(952), "fast");
  // A full fast engine still ends it earlier than a slow one.
  views_.at("fast")->status.running = 10;
  EXPECT_EQ(EngineFor(1300), "fast");
  // With estimates that are a little too long, a slow one may still end it.
  excluded_.insert(catalog::instance_id("fast"));
  EXPECT_EQ(EngineFor(1500), "slow0");
}

// Only a request that cannot be served in time at any engine is refused.
TEST_F(engine_length_test, RefusesOnlyWhatNoEngineCanFinish) {
  EXPECT_EQ(EngineFor(4000), "fast");
  const auto choice = Choose(6000);
  EXPECT_EQ(choice.view, nullptr);
  EXPECT_TRUE(choice.cannot_finish);
  views_.at("slow1")->status.token_time = core::microseconds(0);
  EXPECT_EQ(EngineFor(6000), "slow1");
}

// Among equal engines the length of an answer must change nothing, and the
// first choice of an idle service is the highest rendezvous weight.
RC_GTEST_FIXTURE_PROP(endpoint_choice_test, SimilarSpeedsChangeNothing, ()) {
  const int engines = *rc::gen::inRange(1, 8);
  const bool is_idle = *rc::gen::arbitrary<bool>();
  std::string home;
  std::uint64_t highest = 0;
  for (int i = 0; i < engines; ++i) {
    auto& view = Add("e" + std::to_string(i));
    const auto weight =
        core::RendezvousWeight("m/a1", view.record.address.ToString());
    if (weight > highest) home = view.record.instance.Value();
    highest = std::max(highest, weight);
    if (is_idle) continue;
    view.status.running = *rc::gen::inRange<std::size_t>(0, 14);
    view.status.free_adapter_slots = *rc::gen::inRange<std::size_t>(0, 3);
    view.status.prefill_wait = milliseconds(*rc::gen::inRange(0, 300));
    if (*rc::gen::arbitrary<bool>()) view.adapters.insert(Name("a1"));
  }
  const std::string before = Engine("a1");
  if (is_idle) RC_ASSERT(before == home);
  for (auto& [name, view] : views_) {
    view->status.token_time =
        core::microseconds(*rc::gen::element(0, 4500, 5850));
  }
  const auto after = ChooseEngine(All(),
                                  {.adapter = Name("a1"),
                                   .excluded = &excluded_,
                                   .gateways = 2,
                                   .size = {800, 90000},
                                   .answer_due_in = milliseconds(12000)},
                                  now_);
  RC_ASSERT(after.view->record.instance.Value() == before);
  RC_ASSERT(!after.speeds_differ);
}

// The endpoint accepts connections but sends no responses.
TEST_F(endpoint_choice_test, AvoidsASilentPlainEndpoint) {
  Add("s0");
  Add("s1");
  views_.at("s0")->results.OnSent(now_);
  now_ += milliseconds(400);
  for (int i = 0; i < 4; ++i) views_.at("s1")->results.OnSent(now_);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Plain(), "s1");
}

TEST_F(endpoint_choice_test, SpreadsPlainCallsByOutstandingWork) {
  Add("s0");
  Add("s1");
  std::map<std::string, int> chosen;
  for (int i = 0; i < 10; ++i) {
    const std::string name = Plain();
    views_.at(name)->results.OnSent(now_);
    ++chosen[name];
  }
  EXPECT_EQ(chosen["s0"], 5);
}

TEST_F(endpoint_choice_test, ASlowPlainEndpointGetsLess) {
  Add("s0");
  Add("s1");
  Add("s2");
  for (int i = 0; i < 10; ++i) {
    views_.at("s0")->results.OnLatency(milliseconds(160), now_);
    views_.at("s1")->results.OnLatency(milliseconds(40), now_);
    views_.at("s2")->results.OnLatency(milliseconds(40), now_);
  }
  std::map<std::string, int> chosen;
  for (int i = 0; i < 9; ++i) {
    const std::string name = Plain();
    views_.at(name)->results.OnSent(now_);
    ++chosen[name];
  }
  EXPECT_EQ(chosen["s0"], 1);
}

}  // namespace
}  // namespace comfreyspring::gateway

#include "gateway/endpoint_choice.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

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

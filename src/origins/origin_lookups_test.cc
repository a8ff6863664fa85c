#include "origins/origin_lookups.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace comfreyspring::origins {
namespace {

using core::milliseconds;

class origin_lookups_test : public ::testing::Test {
 protected:
  void Start() { Take(lookups_.Start(7, key_, Sidecars(), now_)); }
  void Answer(const std::string& ip, bool has_record) {
    Take(lookups_.OnAnswer(ip, 7,
                           has_record ? std::optional(origin_) : std::nullopt,
                           Sidecars(), now_));
  }
  void Tick() { Take(lookups_.OnTick(Sidecars(), now_)); }
  void Take(const origin_lookups::actions& actions) {
    for (const auto& ask : actions.asks) {
      EXPECT_EQ(ask.number, 7U);
      EXPECT_EQ(ask.stream, key_);
      asked_.push_back(ask.ip);
    }
    for (const auto& result : actions.results) {
      outcome_ = result.origin ? result.origin->version.Value() : "unknown";
    }
  }
  origin_lookups::candidates Sidecars() const {
    return [this](const stream_key&) { return sidecars_; };
  }

  using ips = std::vector<std::string>;

  const stream_key key_{core::request_id("r1")};
  const stream_origin origin_{core::service_id("s"),
                              core::software_version("v1")};
  std::vector<origin_lookups::sidecar> sidecars_{
      {"a", true}, {"b", true}, {"c", true}};
  core::time_point now_{std::chrono::seconds(100)};
  origin_lookups lookups_;
  ips asked_;
  std::string outcome_;
};

TEST_F(origin_lookups_test, OneRecordIsEnough) {
  Start();
  EXPECT_EQ(asked_, (ips{"a", "b", "c"}));
  Answer("c", false);
  EXPECT_EQ(outcome_, "");
  Answer("a", true);
  EXPECT_EQ(outcome_, "v1");
  EXPECT_EQ(lookups_.Size(), 0U);
  outcome_.clear();
  Answer("b", true);
  EXPECT_EQ(outcome_, "");
}

TEST_F(origin_lookups_test, EndsOnceNoneHasARecord) {
  Start();
  for (const char* ip : {"a", "b", "c"}) Answer(ip, false);
  EXPECT_EQ(outcome_, "unknown");
}

// A gateway that has just started opens its links while callers come back.
TEST_F(origin_lookups_test, WaitsForLinks) {
  for (auto& sidecar : sidecars_) sidecar.is_open = false;
  Start();
  EXPECT_EQ(asked_, ips{});
  now_ += milliseconds(200);
  sidecars_[1].is_open = true;
  Tick();
  Tick();
  EXPECT_EQ(asked_, ips{"b"});
  Answer("b", true);
  EXPECT_EQ(outcome_, "v1");
}

TEST_F(origin_lookups_test, AsksAgainOnANewLink) {
  Start();
  sidecars_[0].is_open = false;
  Tick();
  sidecars_[0].is_open = true;
  Tick();
  EXPECT_EQ(asked_, (ips{"a", "b", "c", "a"}));
}

TEST_F(origin_lookups_test, GivesUpAfterATime) {
  sidecars_[0].is_open = false;
  Start();
  Answer("b", false);
  Answer("c", false);
  now_ += origin_lookups::kTimeout - milliseconds(1);
  Tick();
  EXPECT_EQ(outcome_, "");
  now_ += milliseconds(1);
  Tick();
  EXPECT_EQ(outcome_, "unknown");
}

TEST_F(origin_lookups_test, EndsAtOnceWithoutSidecars) {
  sidecars_.clear();
  Start();
  EXPECT_EQ(outcome_, "unknown");
}

}  // namespace
}  // namespace comfreyspring::origins

#include "store_stand_in.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>

#include "net/http_client.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

class store_stand_in_test : public ::testing::Test {
 protected:
  net::http_result Get(const std::string& path) {
    std::optional<net::http_result> result;
    http_.Start(
        {.url = net::url::Parse(
             "http://127.0.0.1:" + std::to_string(store_.Port()) + path),
         .total_timeout = kTimeout},
        {.on_done = [&](const net::http_result& done) { result = done; }});
    EXPECT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kTimeout));
    return result.value_or(net::http_result{});
  }
  net::http_result Watch(std::int64_t after) {
    return Get("/v1/kv-watch?Prefix=&WaitMs=50&after=" + std::to_string(after));
  }
  std::set<std::string> Keys() {
    std::set<std::string> keys;
    const auto body = json::parse(Get("/v1/kv-range?Prefix=").body);
    for (const auto& item : body.at("items")) keys.insert(item.at("Key"));
    return keys;
  }
  void Wait(milliseconds length) {
    loop_.RunUntil([] { return false; }, length);
  }

  static constexpr milliseconds kTimeout{2000};

  net::event_loop loop_;
  net::http_client http_{loop_};
  store_stand_in store_{loop_};
};

TEST_F(store_stand_in_test, ARestoreLosesWhatWasWrittenSince) {
  store_.Put("kept", 1);
  store_.Put("removed", 1);
  const std::int64_t before = store_.Revision();
  Wait(milliseconds(300));
  store_.Put("lost", 1);
  store_.Remove("removed");
  store_.Restore(milliseconds(200));
  EXPECT_EQ(Keys(), (std::set<std::string>{"kept", "removed"}));
  EXPECT_EQ(store_.Revision(), before);
}

TEST_F(store_stand_in_test, AWatchFromALostRevisionHasNoHistory) {
  store_.Put("a", 1);
  Wait(milliseconds(300));
  store_.Put("b", 1);
  const std::int64_t lost = store_.Revision();
  store_.Restore(milliseconds(200));
  EXPECT_EQ(Watch(lost).status, 410);
  EXPECT_EQ(Watch(lost - 1).status, 200);
}

TEST_F(store_stand_in_test, RevisionsAreGivenOutAgain) {
  store_.Put("a", 1);
  Wait(milliseconds(300));
  store_.Put("b", 1);
  const std::int64_t lost = store_.Revision();
  store_.Restore(milliseconds(200));
  store_.Put("c", 1);
  EXPECT_EQ(store_.Revision(), lost);
  const auto events = json::parse(Watch(lost - 1).body).at("events");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].at("Key"), "c");
}

TEST_F(store_stand_in_test, EachRestoreRaisesTheEraInAllAnswers) {
  const auto era = [](const net::http_result& answer) {
    return answer.headers.at("store-era");
  };
  EXPECT_EQ(era(Watch(store_.Revision())), "1");
  store_.Restore(milliseconds(0));
  store_.Restore(milliseconds(0));
  EXPECT_EQ(era(Get("/v1/kv-range?Prefix=")), "3");
  EXPECT_EQ(era(Watch(store_.Revision() + 1)), "3");
  store_.SetMode(store_mode::throttled);
  EXPECT_EQ(era(Watch(store_.Revision())), "3");
  store_.SetMode(store_mode::unavailable);
  EXPECT_EQ(era(Watch(store_.Revision())), "3");
  store_.HideEra();
  EXPECT_EQ(Watch(store_.Revision()).headers.count("store-era"), 0U);
}

}  // namespace
}  // namespace comfreyspring::process_test

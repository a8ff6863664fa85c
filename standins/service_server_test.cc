#include "standins/service_server.h"

#include <gtest/gtest.h>

#include "standins/test_client.h"

namespace comfreyspring::standins {
namespace {

class service_server_test : public ::testing::Test {
 protected:
  std::shared_ptr<test_client::running_call> Start(const std::string& key) {
    return client_.Start("POST", "/orders/new", "{}",
                         {{"Idempotency-Key", key}});
  }
  std::shared_ptr<test_client::running_call> Order(const std::string& key) {
    const auto call = Start(key);
    client_.Wait(call);
    return call;
  }
  void SetBehaviour(const std::string& body) {
    EXPECT_EQ(client_.Call("POST", "/standin/behaviour", body)->status, 200);
  }

  net::event_loop loop_;
  service_server server_{loop_, "127.0.0.1", 0};
  test_client client_{loop_, server_.Port()};
};

// Guards the run count with which the process tests check that an order runs at
// most once.
TEST_F(service_server_test, CountsEachCallAsARunOfItsKey) {
  EXPECT_EQ(nlohmann::json::parse(Order("k1")->body)["run"], 1);
  EXPECT_EQ(nlohmann::json::parse(Order("k1")->body)["run"], 2);
  EXPECT_EQ(nlohmann::json::parse(Order("k2")->body)["key"], "k2");
  client_.Call("GET", "/lookup");
  const nlohmann::json expected = {{"k1", 2}, {"k2", 1}, {"/lookup", 1}};
  EXPECT_EQ(client_.Get("/standin/runs"), expected);
}

TEST_F(service_server_test, CountsRunsWhoseResponseFailsOrIsDropped) {
  SetBehaviour(R"({"fail_status":503})");
  EXPECT_EQ(Order("failed")->status, 503);
  SetBehaviour(R"({"fail_status":0,"drop_after_run":true})");
  EXPECT_EQ(Order("dropped")->result->failure, net::http_failure::broken);
  const nlohmann::json expected = {{"failed", 1}, {"dropped", 1}};
  EXPECT_EQ(client_.Get("/standin/runs"), expected);
}

TEST_F(service_server_test, DelaysResponsesButNotRuns) {
  SetBehaviour(R"({"delay_ms":50})");
  const auto call = Start("slow");
  loop_.RunUntil([] { return false; }, core::milliseconds(20));
  EXPECT_FALSE(call->result.has_value());
  EXPECT_EQ(client_.Get("/standin/runs")["slow"], 1);
  client_.Wait(call);
  EXPECT_EQ(call->status, 200);
}

TEST_F(service_server_test, RunsHeldCallsWhenItIsNoLongerSilent) {
  SetBehaviour(R"({"silent":true})");
  const auto call = Start("held");
  loop_.RunUntil([] { return false; }, core::milliseconds(20));
  EXPECT_TRUE(client_.Get("/standin/runs").empty());
  SetBehaviour(R"({"silent":false})");
  client_.Wait(call);
  EXPECT_EQ(call->status, 200);
  EXPECT_EQ(client_.Get("/standin/runs")["held"], 1);
}

TEST_F(service_server_test, RefusesBadBehaviour) {
  EXPECT_EQ(client_.Call("POST", "/standin/behaviour", "{")->status, 400);
}

}  // namespace
}  // namespace comfreyspring::standins

#include "standins/engine_server.h"

#include <gtest/gtest.h>

#include <sstream>

#include "standins/test_client.h"

namespace comfreyspring::standins {
namespace {

using call_pointer = std::shared_ptr<test_client::running_call>;

class engine_server_test : public ::testing::Test {
 protected:
  engine_server_test() { Start({}); }

  void Start(engine_options options) {
    client_.reset();
    server_.reset();
    options.slots = 2;
    options.token_time = core::milliseconds(2);
    options.load_time = core::milliseconds(5);
    server_ = std::make_unique<engine_server>(loop_, options);
    client_ = std::make_unique<test_client>(loop_, server_->Port());
  }

  int Load(const std::string& adapter, std::uint64_t number = 1) {
    return Command("load", adapter, number)->status;
  }
  int Unload(const std::string& adapter, std::uint64_t number = 1) {
    return Command("unload", adapter, number)->status;
  }
  call_pointer Command(const std::string& command, const std::string& adapter,
                       std::uint64_t number) {
    return client_->Call(
        "POST", "/adapters/" + command,
        nlohmann::json{
            {"adapter", adapter}, {"version", "v1"}, {"fencing_number", number}}
            .dump());
  }
  call_pointer StartCompletion(const std::string& adapter, int tokens) {
    return client_->Start("POST", "/v1/completions",
                          nlohmann::json{{"request_id", "r"},
                                         {"adapter", adapter},
                                         {"version", "v1"},
                                         {"prompt", "p"},
                                         {"max_tokens", tokens},
                                         {"priority", "urgent"},
                                         {"fencing_number", 1}}
                              .dump());
  }
  void SetBehaviour(const std::string& body) {
    EXPECT_EQ(client_->Call("POST", "/standin/behaviour", body)->status, 200);
  }
  bool WaitForEvents(const call_pointer& call, std::size_t count) {
    return loop_.RunUntil([&] { return Events(call).size() >= count; },
                          core::milliseconds(5000));
  }

  static std::vector<nlohmann::json> Events(const call_pointer& call) {
    std::vector<nlohmann::json> events;
    std::istringstream lines(call->body);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("data: ", 0) == 0) {
        events.push_back(nlohmann::json::parse(line.substr(6)));
      }
    }
    return events;
  }
  static std::string Text(const call_pointer& call) {
    std::string text;
    for (const auto& event : Events(call)) text += event.value("text", "");
    return text;
  }
  static std::string ExpectedText(const std::string& adapter, std::size_t from,
                                  std::size_t to) {
    std::string text;
    for (std::size_t i = from; i < to; ++i) {
      text += TokenText({{adapter, "v1"}, "p", 0, true}, i);
    }
    return text;
  }

  net::event_loop loop_;
  std::unique_ptr<engine_server> server_;
  std::unique_ptr<test_client> client_;
};

TEST_F(engine_server_test, StreamsTheCompleteOutput) {
  ASSERT_EQ(Load("a"), 200);
  const call_pointer call = StartCompletion("a", 5);
  client_->Wait(call);
  EXPECT_EQ(call->status, 200);
  const auto events = Events(call);
  ASSERT_EQ(events.size(), 6U);
  EXPECT_EQ(events[0]["adapter"], "a");
  EXPECT_EQ(events[0]["version"], "v1");
  EXPECT_TRUE(events[0].contains("stream_id"));
  EXPECT_FALSE(events[1].contains("stream_id"));
  EXPECT_EQ(events[4]["offset"], 4);
  EXPECT_EQ(events[5]["done"], true);
  EXPECT_EQ(events[5]["tokens"], 5);
  EXPECT_EQ(events[5]["adapter"], "a");
  EXPECT_EQ(Text(call), ExpectedText("a", 0, 5));
  EXPECT_EQ(client_->Get("/standin/counts")["tokens"], 5);
}

TEST_F(engine_server_test, RefusesAnAdapterThatIsNotResident) {
  const call_pointer call = StartCompletion("a", 1);
  client_->Wait(call);
  EXPECT_EQ(call->status, 404);
  EXPECT_NE(call->body.find("adapter_not_resident"), std::string::npos);
}

TEST_F(engine_server_test, ReportsItsStatus) {
  ASSERT_EQ(Load("a", 7), 200);
  const nlohmann::json status = client_->Get("/status");
  EXPECT_EQ(status["adapter_slots"], 2);
  EXPECT_EQ(status["resident"][0]["adapter"], "a");
  EXPECT_EQ(status["fencing_number"], 7);
  EXPECT_EQ(status["checks_fencing"], true);
  EXPECT_TRUE(status["load_report"].contains("age_ms"));
}

TEST_F(engine_server_test, LimitsSlotsAndFailsLoadsOnDemand) {
  SetBehaviour(R"({"fail_loads":1})");
  EXPECT_EQ(Load("a"), 502);
  EXPECT_EQ(Load("a"), 200);
  EXPECT_EQ(Load("b"), 200);
  EXPECT_EQ(Load("c"), 507);
  EXPECT_EQ(Unload("a"), 200);
  EXPECT_EQ(Load("c"), 200);
}

TEST_F(engine_server_test, RefusesStaleFencingNumbersIfItChecks) {
  EXPECT_EQ(Load("a", 10), 200);
  EXPECT_EQ(Load("b", 9), 409);
  EXPECT_EQ(Unload("a", 9), 409);
  EXPECT_EQ(client_->Get("/standin/counts")["fencing_refusals"], 2);
  SetBehaviour(R"({"checks_fencing":false})");
  EXPECT_EQ(Load("b", 9), 200);
  EXPECT_EQ(client_->Get("/status")["fencing_number"], 10);
}

TEST_F(engine_server_test, ResumesADroppedStreamWithoutLossOrRepeat) {
  ASSERT_EQ(Load("a"), 200);
  const call_pointer call = StartCompletion("a", 30);
  ASSERT_TRUE(WaitForEvents(call, 3));
  SetBehaviour(R"({"drop_streams":true})");
  client_->Wait(call);
  EXPECT_NE(call->result->failure, net::http_failure::none);
  const auto events = Events(call);
  const std::string id = events[0]["stream_id"];
  const std::size_t offset = events.size();
  const call_pointer resumed = client_->Call(
      "GET", "/streams/" + id + "?offset=" + std::to_string(offset));
  EXPECT_EQ(Text(call) + Text(resumed), ExpectedText("a", 0, 30));
  EXPECT_EQ(Events(resumed)[0]["stream_id"], id);
  EXPECT_EQ(Events(resumed).back()["done"], true);
  // A finished stream can be read again.
  const call_pointer again = client_->Call("GET", "/streams/" + id);
  EXPECT_EQ(Text(again), ExpectedText("a", 0, 30));
}

TEST_F(engine_server_test, CancelIsIdempotentAndEndsTheStream) {
  ASSERT_EQ(Load("a"), 200);
  const call_pointer call = StartCompletion("a", 1000);
  ASSERT_TRUE(WaitForEvents(call, 2));
  const std::string id = Events(call)[0]["stream_id"];
  const call_pointer first =
      client_->Call("POST", "/streams/" + id + "/cancel");
  const call_pointer second =
      client_->Call("POST", "/streams/" + id + "/cancel");
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(first->body, second->body);
  client_->Wait(call);
  EXPECT_EQ(Events(call).back()["cancelled"], true);
  EXPECT_EQ(client_->Call("POST", "/streams/unknown/cancel")->status, 404);
  EXPECT_EQ(Unload("a"), 200);
  EXPECT_EQ(client_->Get("/standin/counts")["unloads_with_running_streams"], 0);
}

// Guards the unload count with which the process tests check that an adapter
// with a running stream is not evicted.
TEST_F(engine_server_test, CountsUnloadsWithRunningStreams) {
  ASSERT_EQ(Load("a"), 200);
  const call_pointer call = StartCompletion("a", 1000);
  ASSERT_TRUE(WaitForEvents(call, 2));
  EXPECT_EQ(Unload("a"), 200);
  client_->Wait(call);
  EXPECT_NE(call->result->failure, net::http_failure::none);
  EXPECT_EQ(client_->Get("/standin/counts")["unloads_with_running_streams"], 1);
}

TEST_F(engine_server_test, SilentModeHoldsResponsesUntilItEnds) {
  ASSERT_EQ(Load("a"), 200);
  const call_pointer stream = StartCompletion("a", 20);
  ASSERT_TRUE(WaitForEvents(stream, 2));
  SetBehaviour(R"({"silent":true})");
  const call_pointer status = client_->Start("GET", "/status");
  const std::size_t events = Events(stream).size();
  loop_.RunUntil([] { return false; }, core::milliseconds(50));
  EXPECT_FALSE(status->result.has_value());
  EXPECT_LE(Events(stream).size(), events + 1);
  SetBehaviour(R"({"silent":false})");
  client_->Wait(status);
  EXPECT_EQ(status->status, 200);
  client_->Wait(stream);
  EXPECT_EQ(Text(stream), ExpectedText("a", 0, 20));
}

TEST_F(engine_server_test, RestartClearsAllState) {
  ASSERT_EQ(Load("a", 50), 200);
  const call_pointer call = StartCompletion("a", 1000);
  client_->Wait(call);
  EXPECT_EQ(call->status, 409);
  const std::string before = client_->Get("/status")["instance_id"];
  SetBehaviour(R"({"checks_fencing":false})");
  const call_pointer running = StartCompletion("a", 1000);
  ASSERT_TRUE(WaitForEvents(running, 2));
  SetBehaviour(R"({"restart":true})");
  client_->Wait(running);
  EXPECT_NE(running->result->failure, net::http_failure::none);
  const nlohmann::json status = client_->Get("/status");
  EXPECT_NE(status["instance_id"], before);
  EXPECT_TRUE(status["resident"].empty());
  EXPECT_EQ(status["fencing_number"], 0);
  const std::string id = Events(running)[0]["stream_id"];
  EXPECT_EQ(client_->Call("GET", "/streams/" + id)->status, 404);
}

TEST_F(engine_server_test, RefusesBadRequests) {
  EXPECT_EQ(client_->Call("POST", "/v1/completions", "{")->status, 400);
  EXPECT_EQ(client_->Call("POST", "/adapters/load", "[1]")->status, 400);
  EXPECT_EQ(client_->Call("POST", "/adapters/load", R"({"adapter":1})")->status,
            400);
  EXPECT_EQ(client_->Call("GET", "/nothing")->status, 404);
}

TEST_F(engine_server_test, LoadsFromTheWeightStore) {
  int reads = 0;
  net::http_server store(loop_, {}, [&](const exchange_pointer& exchange) {
    ++reads;
    EXPECT_EQ(exchange->Request().path, "/weights/a/v1");
    exchange->Respond({reads == 1 ? 503 : 200, {}, "weights"});
  });
  engine_options options;
  options.weights_url = net::url({"127.0.0.1", store.Port()}, "/weights");
  Start(options);
  EXPECT_EQ(Load("a"), 502);
  EXPECT_EQ(Load("a"), 200);
  EXPECT_EQ(reads, 2);
}

}  // namespace
}  // namespace comfreyspring::standins

#include "entry/request_controller.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "entry/delivered_output.h"
#include "entry/fake_exchange.h"
#include "stream/stream_assembler.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;
using ::testing::NiceMock;

class mock_agent_sender : public agent_sender {
 public:
  MOCK_METHOD(bool, Send,
              (const core::endpoint_id& endpoint, const wire::message& message),
              (override));
  MOCK_METHOD(void, ReplaceLink, (const core::endpoint_id& endpoint),
              (override));
};

struct sent_submit {
  core::endpoint_id endpoint;
  wire::submit message;
  json Body() const { return json::parse(message.body); }
};

class request_controller_test : public testing::Test {
 protected:
  request_controller_test() {
    ON_CALL(sender_, Send)
        .WillByDefault(
            [this](const auto& endpoint, const wire::message& message) {
              if (const auto* submit = std::get_if<wire::submit>(&message)) {
                submits_.push_back({endpoint, *submit});
              }
              return true;
            });
    auto configuration = std::make_shared<config::configuration>();
    configuration->version.generation = 1;
    for (const char* name : {"engine-0", "engine-1"}) {
      config::endpoint_record record;
      record.endpoint = core::endpoint_id(name);
      record.vm = core::vm_id(name);
      record.kind = core::endpoint_kind::engine;
      record.model = core::model_id("base");
      configuration->endpoints.push_back(record);
    }
    configuration_ = configuration;
    directory_.OnConfiguration(configuration_);
    for (const core::endpoint_id& endpoint : directory_.All()) {
      wire::hello message;
      message.instance_ms = 1;
      message.report = Up();
      directory_.OnHello(endpoint, message, loop_.Now());
    }
  }

  static wire::endpoint_report Up() {
    return {.batch_limit = 8, .endpoint_up = true};
  }

  void Start(std::int64_t maximum_tokens, bool stream = true) {
    request_context context;
    context.exchange = exchange_;
    context.received = loop_.Now();
    context.received_wall_time = loop_.WallNow();
    context.configuration = configuration_;
    context.request = core::request_id("r");
    context.stream = stream;
    context.prompt = "p:";
    context.maximum_tokens = maximum_tokens;
    context.model = core::model_id("base");
    context.adapter = kAdapter;
    context.deadline = loop_.Now() + core::milliseconds(10000);
    controller_.StartRequest(std::move(context));
  }

  /** Delivers chunks of the attempt, starting with sequence `first`. */
  void SendChunks(const sent_submit& submit,
                  const std::vector<std::string>& chunks,
                  std::uint64_t first = 0) {
    for (const std::string& chunk : chunks) {
      controller_.OnMessage(
          submit.endpoint, wire::chunk{submit.message.attempt, first++, chunk});
    }
  }

  void Finish(const sent_submit& submit,
              const std::vector<std::string>& chunks) {
    stream::chunk_checksum checksum;
    for (const std::string& chunk : chunks) checksum.Add(chunk);
    wire::finished message;
    message.attempt = submit.message.attempt;
    message.chunk_count = chunks.size();
    message.checksum = checksum.Value();
    message.adapter = kAdapter;
    message.tokens = {static_cast<std::int64_t>(chunks.size())};
    message.report = Up();
    controller_.OnMessage(submit.endpoint, message);
  }

  void Refuse(const sent_submit& submit, core::outcome outcome) {
    wire::refused message;
    message.attempt = submit.message.attempt;
    message.outcome = outcome;
    message.reason = "endpoint_restarted";
    message.report = Up();
    controller_.OnMessage(submit.endpoint, message);
  }

  bool Done() const {
    return exchange_->recorded_response.body.find("data: [DONE]") !=
           std::string::npos;
  }
  bool Error() const {
    return exchange_->recorded_response.body.find("event: error") !=
           std::string::npos;
  }
  /** Concatenated text of all events so far. */
  std::string Text() const {
    std::string text;
    const std::string& body = exchange_->recorded_response.body;
    const std::string kStart = "data: {";
    for (std::size_t at = body.find(kStart); at != std::string::npos;
         at = body.find(kStart, at + 1)) {
      const std::size_t from = at + kStart.size() - 1;
      const json event =
          json::parse(body.substr(from, body.find("\n\n", from) - from));
      if (event.contains("choices")) {
        text += event["choices"][0]["text"].get<std::string>();
      }
    }
    return text;
  }

  const core::adapter_reference kAdapter = {core::adapter_id("straps"),
                                            core::version_id("v1")};
  net::event_loop loop_;
  std::shared_ptr<const config::configuration> configuration_;
  membership::endpoint_directory directory_{core::milliseconds(60000)};
  NiceMock<mock_agent_sender> sender_;
  telemetry::metrics metrics_;
  std::vector<sent_submit> submits_;
  std::shared_ptr<fake_exchange> exchange_ =
      std::make_shared<fake_exchange>(net::http_request{});
  request_controller controller_{loop_, {}, directory_, sender_, metrics_};
};

// Guards against a stream that is truncated or repeats output when its endpoint
// is lost, even if the lost endpoint still sends.
TEST_F(request_controller_test, ContinuesALostStreamAtAnotherEndpoint) {
  Start(5);
  ASSERT_EQ(submits_.size(), 1U);
  SendChunks(submits_[0], {"a ", "b "});
  controller_.OnEndpointLost(submits_[0].endpoint);
  ASSERT_EQ(submits_.size(), 2U);
  const sent_submit second = submits_[1];
  EXPECT_NE(second.endpoint, submits_[0].endpoint);
  EXPECT_EQ(second.Body(), json({{"prompt", "p:a b "}, {"max_tokens", 3}}));
  EXPECT_EQ(second.message.expected_tokens.value, 3);
  SendChunks(submits_[0], {"late "}, 2);
  Finish(submits_[0], {"a ", "b ", "late "});
  EXPECT_EQ(Text(), "a b ");
  EXPECT_FALSE(Done());
  SendChunks(second, {"c ", "d ", "e "});
  Finish(second, {"c ", "d ", "e "});
  EXPECT_EQ(Text(), "a b c d e ");
  EXPECT_TRUE(Done());
  EXPECT_EQ(exchange_->response_count, 1);
  EXPECT_EQ(controller_.OpenRequestCount(), 0U);
  EXPECT_EQ(controller_.ToJson()["open_attempts"], 0);
}

TEST_F(request_controller_test, TheUsageOfAContinuedAnswerIsTheTotal) {
  Start(5, false);
  SendChunks(submits_.at(0), {"a ", "b "});
  Refuse(submits_[0], core::outcome::incomplete);
  const sent_submit second = submits_.at(1);
  SendChunks(second, {"c ", "d ", "e "});
  Finish(second, {"c ", "d ", "e "});
  ASSERT_EQ(exchange_->response_count, 1);
  const json response = json::parse(exchange_->recorded_response.body);
  EXPECT_EQ(response["choices"][0]["text"], "a b c d e ");
  EXPECT_EQ(response["usage"]["completion_tokens"], 5);
}

// Guards against submitting a request for 0 tokens, which an engine may reject
// or exceed.
TEST_F(request_controller_test, AnAnswerLostAfterItsLastTokenIsComplete) {
  Start(2);
  SendChunks(submits_.at(0), {"a ", "b "});
  controller_.OnEndpointLost(submits_[0].endpoint);
  EXPECT_TRUE(
      loop_.RunUntil([this] { return Done(); }, core::milliseconds(2000)));
  EXPECT_EQ(submits_.size(), 1U);
  EXPECT_EQ(Text(), "a b ");
  EXPECT_EQ(exchange_->response_count, 1);
  EXPECT_EQ(controller_.OpenRequestCount(), 0U);
}

TEST_F(request_controller_test, FailsOnceWhenEveryEndpointIsLost) {
  Start(5);
  SendChunks(submits_.at(0), {"a "});
  controller_.OnEndpointLost(submits_[0].endpoint);
  SendChunks(submits_.at(1), {"b "});
  controller_.OnEndpointLost(submits_[1].endpoint);
  EXPECT_EQ(submits_.size(), 2U);
  EXPECT_EQ(Text(), "a b ");
  EXPECT_TRUE(Error());
  EXPECT_FALSE(Done());
  EXPECT_TRUE(exchange_->aborted);
  EXPECT_EQ(exchange_->response_count, 1);
}

// Guards against continuing output that failed the checksum.
TEST_F(request_controller_test, OutputWithWrongChecksumIsNotContinued) {
  Start(5);
  SendChunks(submits_.at(0), {"a ", "b "});
  Finish(submits_[0], {"a ", "x "});
  EXPECT_EQ(submits_.size(), 1U);
  EXPECT_TRUE(Error());
  EXPECT_FALSE(Done());
}

// Guards against unbounded memory use by long responses.
TEST_F(request_controller_test, OutputBeyondTheBoundIsNotContinued) {
  Start(5);
  SendChunks(submits_.at(0),
             {std::string(delivered_output::kMaximumBytes, 'a')});
  SendChunks(submits_[0], {"b"}, 1);
  controller_.OnEndpointLost(submits_[0].endpoint);
  EXPECT_EQ(submits_.size(), 1U);
  EXPECT_TRUE(Error());
}

TEST_F(request_controller_test, ARunWithoutOutputIsRepeatedAsAWhole) {
  Start(2);
  Refuse(submits_.at(0), core::outcome::incomplete);
  EXPECT_EQ(submits_.at(1).Body(), json({{"prompt", "p:"}, {"max_tokens", 2}}));
  SendChunks(submits_[1], {"a ", "b "});
  Finish(submits_[1], {"a ", "b "});
  EXPECT_EQ(Text(), "a b ");
  EXPECT_TRUE(Done());
}

}  // namespace
}  // namespace comfreyspring::entry

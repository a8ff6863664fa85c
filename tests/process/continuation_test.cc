// Completions that continue on another engine after the first one fails.

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

#include "fleet.h"

namespace comfreyspring::process_test {
namespace {

// Long enough that the stream is still running when the delayed load reports
// show it.
constexpr int kTokens = 500;
const std::string kAdapter = "adapter-0";

std::string Expected() {
  return fleet::ExpectedText(kAdapter + "@v2", kTokens);
}

/** Name of the engine that reports a running stream; empty if none does. */
std::string RunningEngine(fleet& running) {
  for (endpoint_processes& target : running.Endpoints()) {
    const nlohmann::json status =
        Call("GET", target.EndpointUrl() + "/status").Json();
    if (!status.is_object()) continue;
    if (status["load_report"].value("running", 0) > 0) return target.name;
  }
  return "";
}

class continuation_test : public testing::Test {
 protected:
  continuation_test()
      : running_({.engines = 2, .services = 0, .entries = 1, .token_ms = 10}) {}

  std::future<http_answer> Start(bool stream) {
    return std::async(std::launch::async, [this, stream] {
      return running_.Complete(0, kAdapter, kTokens, stream);
    });
  }
  /** Engine that runs the stream, after it has had time to send output. */
  endpoint_processes& EngineInMidStream() {
    std::string name;
    EXPECT_TRUE(fleet::Eventually(
        [&] { return !(name = RunningEngine(running_)).empty(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    return running_.Endpoint(name);
  }
  int Continuations() {
    return running_.State(running_.EntryUrl(0))["requests"].value(
        "continuations", -1);
  }

  fleet running_;
};

// Guards against a stream that is truncated, or loses or repeats output, when
// the agent of its engine is killed while another engine is available.
TEST_F(continuation_test, AStreamSurvivesAKilledAgent) {
  auto call = Start(true);
  EngineInMidStream().agent->Kill();
  const http_answer answer = call.get();
  const stream_text parsed = ParseStream(answer.body);
  EXPECT_TRUE(parsed.done);
  EXPECT_FALSE(parsed.error);
  EXPECT_EQ(parsed.text, Expected());
  EXPECT_EQ(Continuations(), 1);
}

// Guards against the same failure when an engine restarts and loses its
// streams.
TEST_F(continuation_test, AStreamSurvivesAColdEngineRestart) {
  auto call = Start(true);
  running_.SetBehavior(EngineInMidStream(), R"({"restart":true})");
  const http_answer answer = call.get();
  const stream_text parsed = ParseStream(answer.body);
  EXPECT_TRUE(parsed.done);
  EXPECT_FALSE(parsed.error);
  EXPECT_EQ(parsed.text, Expected());
  EXPECT_EQ(Continuations(), 1);
}

// Guards against a wrong token count in an answer that two engines generated.
TEST_F(continuation_test, AWholeAnswerCountsTheTokensOfBothEngines) {
  auto call = Start(false);
  EngineInMidStream().agent->Kill();
  const http_answer answer = call.get();
  ASSERT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(answer.Json()["choices"][0]["text"], Expected());
  EXPECT_EQ(answer.Json()["usage"]["completion_tokens"], kTokens);
  EXPECT_EQ(Continuations(), 1);
}

// Guards against a truncated stream that is reported as complete when no engine
// is left.
TEST_F(continuation_test, AStreamWithoutAnyEngineEndsWithAnError) {
  auto call = Start(true);
  endpoint_processes& first = EngineInMidStream();
  first.agent->Kill();
  first.endpoint->Kill();
  endpoint_processes& second = EngineInMidStream();
  EXPECT_NE(second.name, first.name);
  second.agent->Kill();
  const stream_text parsed = ParseStream(call.get().body);
  EXPECT_FALSE(parsed.done);
  EXPECT_TRUE(parsed.error);
  EXPECT_EQ(Expected().rfind(parsed.text, 0), 0U);
  EXPECT_EQ(Continuations(), 1);
}

// Guards against lost or repeated tokens in an answer that is preempted by
// urgent requests and resumes later on the same engine.
TEST(Preemption, APreemptedAnswerIsWhole) {
  fleet running({.engines = 1,
                 .services = 0,
                 .entries = 1,
                 .batch_limit = 2,
                 .token_ms = 10});
  std::vector<std::future<http_answer>> calls;
  for (int i = 0; i < 3; ++i) {
    calls.push_back(std::async(std::launch::async, [&running] {
      return running.Complete(0, kAdapter, 300, true, 30000,
                              {{"X-Priority", "may-wait"}});
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  std::vector<std::future<http_answer>> urgent;
  for (int i = 0; i < 2; ++i) {
    urgent.push_back(std::async(std::launch::async, [&running] {
      return running.Complete(0, kAdapter, 10, true, 20000,
                              {{"X-Request-Deadline-Ms", "1500"}});
    }));
  }
  for (auto& call : urgent) call.get();
  for (auto& call : calls) {
    const stream_text parsed = ParseStream(call.get().body);
    EXPECT_TRUE(parsed.done);
    EXPECT_EQ(parsed.text, fleet::ExpectedText(kAdapter + "@v2", 300));
  }
  const std::string metrics =
      Call("GET", running.Endpoint("engine-0").AdminUrl() + "/metrics").body;
  EXPECT_NE(metrics.find("agent_preemptions_total"), std::string::npos);
}

}  // namespace
}  // namespace comfreyspring::process_test

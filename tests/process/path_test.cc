// End-to-end requests through real processes: entry, agent and endpoint.

#include <gtest/gtest.h>

#include <future>

#include "fleet.h"

namespace comfreyspring::process_test {
namespace {

TEST(WholePath, AnswersWholeAndStreamedCompletions) {
  fleet running({});
  const http_answer whole = running.Complete(0, "adapter-1", 12);
  EXPECT_EQ(whole.status, 200) << whole.body;
  EXPECT_EQ(whole.Json()["choices"][0]["text"],
            fleet::ExpectedText("adapter-1@v2", 12));
  EXPECT_EQ(whole.headers.at("x-adapter-version"), "v2");
  const http_answer stream = running.Complete(1, "adapter-1@v1", 12, true);
  const stream_text parsed = ParseStream(stream.body);
  EXPECT_TRUE(parsed.done);
  EXPECT_EQ(parsed.text, fleet::ExpectedText("adapter-1@v1", 12));
  EXPECT_EQ(stream.headers.at("x-adapter-version"), "v1");
}

TEST(WholePath, AnswersChatAndServiceCalls) {
  fleet running({});
  const http_answer chat =
      Call("POST", running.EntryUrl(0) + "/v1/chat/completions",
           R"({"model":"adapter-0","max_tokens":3,
               "messages":[{"role":"user","content":"hi"}]})");
  EXPECT_EQ(chat.Json()["choices"][0]["message"]["content"],
            fleet::ExpectedText("adapter-0@v2", 3));
  const std::string key = fleet::NewKey();
  const http_answer order = running.PlaceOrder(0, key);
  EXPECT_EQ(order.status, 200) << order.body;
  EXPECT_EQ(running.Runs()[key], 1);
}

// Guards against a broken health, readiness, metrics, models or state path,
// which load balancers and operators rely on.
TEST(WholePath, ServesHealthMetricsModelsAndState) {
  fleet running({.engines = 1, .services = 1, .entries = 1});
  const std::string url = running.EntryUrl(0);
  EXPECT_EQ(Call("GET", url + "/healthz").status, 200);
  EXPECT_EQ(Call("GET", url + "/readyz").status, 200);
  running.Complete(0, "adapter-0", 2);
  EXPECT_NE(Call("GET", url + "/metrics").body.find("entry_request_ms_count"),
            std::string::npos);
  EXPECT_EQ(Call("GET", url + "/v1/models").Json()["data"].size(), 8U);
  EXPECT_EQ(running.State(url)["configuration"]["generation"], 1);
  const std::string agent = running.Endpoint("engine-0").AdminUrl();
  EXPECT_EQ(Call("GET", agent + "/healthz").status, 200);
  EXPECT_TRUE(running.State(agent).is_object());
  EXPECT_FALSE(Call("GET", agent + "/metrics").body.empty());
}

// Guards against malformed input that crashes a process or blocks a caller.
TEST(WholePath, AnswersBadInputAndGoesOn) {
  fleet running({.engines = 1, .services = 1, .entries = 1});
  const std::string url = running.EntryUrl(0);
  EXPECT_EQ(Call("POST", url + "/v1/completions", "{").status, 400);
  EXPECT_EQ(
      Call("POST", url + "/v1/completions", std::string(5 << 20, 'x')).status,
      413);
  EXPECT_EQ(running.Complete(0, "nobody", 3).status, 404);
  EXPECT_EQ(running.Complete(0, "adapter-0@v9", 3).status, 404);
  EXPECT_EQ(running.PlaceOrder(0, "not-a-uuid").status, 400);
  const endpoint_processes& engine = running.Endpoint("engine-0");
  const std::string link =
      "http://127.0.0.1:" + std::to_string(engine.agent->Port("link"));
  Call("POST", link + "/", std::string(100000, '\xff'), {}, 2000);
  const http_answer after = running.Complete(0, "adapter-0", 3);
  EXPECT_EQ(after.status, 200) << after.body;
}

TEST(WholePath, RefusesWrongSettingsWithOneLine) {
  const std::string log = testing::TempDir() + "comfreyspring-settings.log";
  const std::string entry = std::string(COMFREYSPRING_BINARY_DIRECTORY) +
                            "/src/entry/comfreyspring_entry";
  EXPECT_EQ(RunTool(entry,
                    {"--port=70000", "--process_id=e", "--data_centre=d"}, log),
            2);
}

}  // namespace
}  // namespace comfreyspring::process_test

// Checks the guarantees under two simultaneous faults or a repeated fault.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

#include "answer_checks.h"
#include "fleet.h"

namespace comfreyspring::process_test {
namespace {

using headers_map = std::map<std::string, std::string>;

/**
 * True if the answer has exactly `text`, or is an error body with an outcome.
 * For answers that are not streamed.
 */
bool IsCorrectOrExplicitError(const http_answer& answer,
                              const std::string& text) {
  if (answer.status != 200) return !OutcomeOf(answer).empty();
  const nlohmann::json body = answer.Json();
  return body.is_object() && body["choices"][0]["text"] == text;
}

std::future<http_answer> StartStream(fleet& running, int entry,
                                     const std::string& adapter, int tokens) {
  return std::async(std::launch::async, [&running, entry, adapter, tokens] {
    return running.Complete(entry, adapter, tokens, true);
  });
}

http_answer OrderWithDeadline(const std::string& entry_url,
                              const std::string& key, int deadline_ms) {
  return Call("POST", entry_url + "/v1/services/orders/new", "{\"item\":1}",
              {{"Idempotency-Key", key},
               {"X-Request-Deadline-Ms", std::to_string(deadline_ms)}});
}

nlohmann::json CountsOf(const endpoint_processes& target) {
  return Call("GET", target.EndpointUrl() + "/standin/counts").Json();
}

std::string VersionOf(const http_answer& answer) {
  const auto found = answer.headers.find("x-adapter-version");
  return found == answer.headers.end() ? "" : found->second;
}

std::uint64_t GenerationAt(fleet& running, const std::string& url) {
  const nlohmann::json state = running.State(url);
  if (!state.is_object() || !state.contains("configuration")) return 0;
  return state["configuration"].value("generation", std::uint64_t{0});
}

bool ServesCompletion(fleet& running, int entry) {
  const http_answer answer = running.Complete(entry, "adapter-0", 3);
  return answer.status == 200;
}

bool AcceptsOrder(fleet& running, int entry) {
  return running.PlaceOrder(entry, fleet::NewKey()).status == 200;
}

/**
 * Checks that one key ran at most once, that all successful answers are equal
 * and that it did not run if every answer is `not_run`.
 */
void ExpectAtMostOneRun(int runs, const std::vector<http_answer>& answers) {
  EXPECT_LE(runs, 1);
  std::string body;
  bool all_not_run = true;
  for (const http_answer& answer : answers) {
    all_not_run = all_not_run && OutcomeOf(answer) == "not_run";
    if (answer.status != 200) {
      EXPECT_FALSE(OutcomeOf(answer).empty()) << answer.body;
      continue;
    }
    EXPECT_EQ(runs, 1);
    if (body.empty()) body = answer.body;
    EXPECT_EQ(answer.body, body);
  }
  if (all_not_run) {
    EXPECT_EQ(runs, 0);
  }
}

// Guards against an order that is sent again over a new link, or runs late,
// when its agent resumes behind an unresponsive connection.
TEST(FaultPairs, AFrozenAgentBehindASilentLinkRunsAnOrderAtMostOnce) {
  fleet running({.engines = 0, .services = 1});
  endpoint_processes& desk = running.Endpoint("desk-0");
  for (const bool silent_first : {true, false}) {
    const std::string key = fleet::NewKey();
    if (silent_first) desk.relay->SilenceOpenConnections();
    desk.agent->Signal(SIGSTOP);
    auto first = std::async(std::launch::async, [&running, &key] {
      return OrderWithDeadline(running.EntryUrl(0), key, 1500);
    });
    Pause(150);
    if (!silent_first) desk.relay->SilenceOpenConnections();
    auto second = std::async(std::launch::async, [&running, &key] {
      return OrderWithDeadline(running.EntryUrl(1), key, 3000);
    });
    Pause(1700);
    desk.agent->Signal(SIGCONT);
    std::vector<http_answer> answers;
    answers.push_back(first.get());
    answers.push_back(second.get());
    Pause(1000);
    ExpectAtMostOneRun(running.Runs()[key], answers);
    EXPECT_TRUE(fleet::Eventually([&] { return AcceptsOrder(running, 0); }));
  }
}

// Guards against a second run by an agent that has lost its record twice while
// callers keep repeating the order.
TEST(FaultPairs, AnAgentKilledTwiceRunsARepeatedOrderAtMostOnce) {
  fleet running({.engines = 0, .services = 2});
  for (endpoint_processes& desk : running.Endpoints()) {
    running.SetBehavior(desk, R"({"delay_ms":300})");
  }
  std::map<std::string, std::vector<http_answer>> answers;
  std::mutex mutex;
  std::atomic<bool> ended{false};
  std::vector<std::future<void>> callers;
  const auto repeat = [&](const std::string& key) {
    for (const int entry : {0, 1}) {
      callers.push_back(std::async(std::launch::async, [&, key, entry] {
        while (!ended) {
          const http_answer answer =
              OrderWithDeadline(running.EntryUrl(entry), key, 3000);
          const std::lock_guard<std::mutex> lock(mutex);
          answers[key].push_back(answer);
        }
      }));
    }
  };
  repeat(fleet::NewKey());
  repeat(fleet::NewKey());
  for (int round = 0; round < 2; ++round) {
    Pause(150);
    for (endpoint_processes& desk : running.Endpoints()) desk.agent->Kill();
    repeat(fleet::NewKey());
    Pause(200);
    for (endpoint_processes& desk : running.Endpoints()) {
      running.StartAgent(desk);
    }
    Pause(2500);
  }
  ended = true;
  for (auto& caller : callers) caller.get();
  Pause(500);
  for (auto& [key, all] : answers) {
    ExpectAtMostOneRun(running.Runs()[key], all);
  }
  EXPECT_EQ(answers.size(), 4U);
  EXPECT_FALSE(running.Runs().empty()) << "no order was running at a kill";
  EXPECT_TRUE(fleet::Eventually([&] { return AcceptsOrder(running, 1); }));
}

// Guards against an agent that restarts while the configuration service is
// down, and then lacks the configuration set or accepts work during its planned
// stop.
TEST(FaultPairs, AnAgentRestartedWithoutTheServiceKnowsItsPlannedStop) {
  fleet running({.engines = 2, .services = 0});
  endpoint_processes& stopped = running.Endpoint("engine-0");
  endpoint_processes& other = running.Endpoint("engine-1");
  config::planned_stop stop;
  stop.endpoint = core::endpoint_id("engine-0");
  stop.starts_at = core::WallTimeFromUnix(running.Set().published_ms);
  stop.ends_at = stop.starts_at + std::chrono::hours(1);
  running.Set().stops.push_back(stop);
  running.Publish();
  ASSERT_TRUE(fleet::Eventually([&] {
    return GenerationAt(running, running.EntryUrl(0)) == 2 &&
           GenerationAt(running, running.EntryUrl(1)) == 2;
  }));
  running.SetPlatformMode(R"({"config":"down"})");
  for (endpoint_processes* target : {&stopped, &other}) {
    target->agent->Kill();
    running.StartAgent(*target);
  }
  EXPECT_TRUE(fleet::Eventually(
      [&] { return GenerationAt(running, other.AdminUrl()) == 2; }));
  EXPECT_TRUE(fleet::Eventually([&] {
    return ServesCompletion(running, 0) && ServesCompletion(running, 1);
  }));
  // An agent that has nothing left to do in its planned stop may exit.
  EXPECT_TRUE(fleet::Eventually([&] {
    return !stopped.agent->IsRunning() ||
           GenerationAt(running, stopped.AdminUrl()) == 2;
  }));
  const auto before = CountsOf(stopped)["requests"];
  for (int i = 0; i < 8; ++i) {
    const http_answer answer =
        running.Complete(i % 2, "adapter-" + std::to_string(i), 3);
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
  EXPECT_EQ(CountsOf(stopped)["requests"], before);
}

// Guards against an entry that serves an older configuration set because the
// configuration service is stale and most agents are unreachable.
TEST(FaultPairs, AnEntryRestartedOnAStaleServiceLearnsFromOneAgent) {
  fleet running({.engines = 3, .services = 0});
  running.SetPlatformMode(R"({"config":"stale"})");
  running.SetPlatformMode(R"({"config":"normal"})");
  for (auto& adapter : running.Set().adapters) {
    adapter.default_version = core::version_id("v1");
  }
  running.Publish();
  ASSERT_TRUE(fleet::Eventually([&] {
    return std::all_of(running.Endpoints().begin(), running.Endpoints().end(),
                       [&](const endpoint_processes& target) {
                         return GenerationAt(running, target.AdminUrl()) == 2;
                       });
  }));
  running.SetPlatformMode(R"({"config":"stale"})");
  running.Endpoint("engine-1").relay->Cut();
  running.Endpoint("engine-2").relay->Cut();
  running.Entry(0).Kill();
  running.StartEntry(0);
  ASSERT_TRUE(fleet::Eventually([&] {
    return Call("GET", running.EntryUrl(0) + "/readyz").status == 200;
  }));
  int served = 0;
  EXPECT_TRUE(fleet::Eventually([&] {
    const http_answer answer = running.Complete(0, "adapter-0", 3);
    if (answer.status != 200) return false;
    EXPECT_EQ(VersionOf(answer), "v1");
    return ++served >= 5;
  }));
  EXPECT_EQ(GenerationAt(running, running.EntryUrl(0)), 2U);
}

// Guards against answers from an adapter that the engine no longer has, and
// against an engine that stays unused, when adapter loads fail after a cold
// restart.
TEST(FaultPairs, AColdRestartWithFailingLoadsGivesNoWrongAnswer) {
  fleet running({.engines = 2, .services = 0, .slots = 2});
  std::vector<std::future<http_answer>> streams;
  for (int i = 0; i < 4; ++i) {
    streams.push_back(
        StartStream(running, i % 2, "adapter-" + std::to_string(i), 150));
  }
  Pause(400);
  for (endpoint_processes& target : running.Endpoints()) {
    running.SetBehavior(target, R"({"restart":true,"fail_loads":4})");
  }
  for (int i = 0; i < 8; ++i) {
    const std::string adapter = "adapter-" + std::to_string(i);
    const http_answer answer = running.Complete(i % 2, adapter, 4);
    EXPECT_TRUE(IsCorrectOrExplicitError(
        answer, fleet::ExpectedText(adapter + "@v2", 4)))
        << answer.status << ' ' << answer.body;
  }
  for (int i = 0; i < 4; ++i) {
    const http_answer answer = streams[static_cast<std::size_t>(i)].get();
    const std::string adapter = "adapter-" + std::to_string(i);
    EXPECT_TRUE(IsCompleteOrExplicitError(
        answer, fleet::ExpectedText(adapter + "@v2", 150)))
        << answer.status << ' ' << answer.body;
  }
  for (const int entry : {0, 1}) {
    EXPECT_TRUE(
        fleet::Eventually([&] { return ServesCompletion(running, entry); }));
  }
  for (endpoint_processes& target : running.Endpoints()) {
    EXPECT_EQ(CountsOf(target)["unloads_with_running_streams"], 0);
  }
}

/** Entry 0 keeps its link to the first agent; entry 1 gets the second. */
void ServeWithTwoAgents(bool checks_fencing) {
  fleet running({.engines = 1,
                 .services = 0,
                 .slots = 2,
                 .token_ms = 20,
                 .checks_fencing = checks_fencing});
  endpoint_processes& engine = running.Endpoint("engine-0");
  std::vector<std::future<http_answer>> streams;
  for (const char* adapter : {"adapter-0", "adapter-1"}) {
    streams.push_back(StartStream(running, 0, adapter, 200));
  }
  ASSERT_TRUE(fleet::Eventually([&] {
    return Call("GET", engine.EndpointUrl() + "/status")
               .Json()["resident"]
               .size() == 2;
  }));
  const auto second = running.StartSecondAgent(engine);
  engine.relay->SetTarget(second->Port("link"));
  running.Entry(1).Kill();
  running.StartEntry(1);
  for (int i = 0; i < 12; ++i) {
    const std::string adapter = "adapter-" + std::to_string(2 + i % 4);
    const http_answer answer =
        Call("POST", running.EntryUrl(i % 2) + "/v1/completions",
             nlohmann::json{
                 {"model", adapter}, {"prompt", "hello"}, {"max_tokens", 4}}
                 .dump(),
             {{"X-Request-Deadline-Ms", "1500"}});
    EXPECT_TRUE(IsCorrectOrExplicitError(
        answer, fleet::ExpectedText(adapter + "@v2", 4)))
        << answer.status << ' ' << answer.body;
  }
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const std::string adapter = "adapter-" + std::to_string(i);
    const http_answer answer = streams[i].get();
    EXPECT_TRUE(IsCompleteOrExplicitError(
        answer, fleet::ExpectedText(adapter + "@v2", 200)))
        << answer.status << ' ' << answer.body;
  }
  const nlohmann::json counts = CountsOf(engine);
  EXPECT_EQ(counts["unloads_with_running_streams"], 0) << counts.dump();
}

// Guards against a second agent that evicts an adapter in use by a stream of
// the first one.
TEST(FaultPairs, TwoAgentsOnAnEngineThatChecksFencing) {
  ServeWithTwoAgents(true);
}

// The same on an engine that ignores fencing tokens, so that only the agents
// themselves prevent the conflict.
TEST(FaultPairs, TwoAgentsOnAnEngineThatIgnoresFencing) {
  ServeWithTwoAgents(false);
}

// Guards against one key running on two endpoints when each entry reaches a
// different half of the members.
TEST(FaultPairs, APartitionWithAnEntryOnEachSideRunsAKeyAtMostOnce) {
  fleet running({.engines = 0, .services = 2});
  running.CutFromEntry(running.Endpoint("desk-0"), 1);
  running.CutFromEntry(running.Endpoint("desk-1"), 0);
  Pause(200);
  std::map<std::string, std::vector<http_answer>> answers;
  int served = 0;
  for (int i = 0; i < 8; ++i) {
    const std::string key = fleet::NewKey();
    std::vector<std::future<http_answer>> calls;
    for (const int entry : {0, 1}) {
      calls.push_back(std::async(std::launch::async, [&running, key, entry] {
        return OrderWithDeadline(running.EntryUrl(entry), key, 1500);
      }));
    }
    for (auto& call : calls) answers[key].push_back(call.get());
    for (const http_answer& answer : answers[key]) {
      if (answer.status == 200) ++served;
    }
  }
  // Only one entry reaches the endpoint of a key, so at most one call succeeds.
  EXPECT_GT(served, 0);
  EXPECT_LE(served, 8);
  for (endpoint_processes& desk : running.Endpoints()) desk.relay->Heal();
  for (const int entry : {0, 1}) {
    EXPECT_TRUE(
        fleet::Eventually([&] { return AcceptsOrder(running, entry); }));
  }
  for (auto& [key, all] : answers) {
    all.push_back(running.PlaceOrder(0, key));
    all.push_back(running.PlaceOrder(1, key));
    ExpectAtMostOneRun(running.Runs()[key], all);
  }
}

// Guards against an entry that resumes after a pause and keeps the old
// configuration set or loses its open streams.
TEST(FaultPairs, AFrozenEntryKeepsItsStreamsAndTakesTheNewSet) {
  fleet running({.engines = 2, .services = 0, .token_ms = 20});
  std::vector<std::future<http_answer>> streams;
  for (int i = 0; i < 4; ++i) {
    streams.push_back(
        StartStream(running, i % 2, "adapter-" + std::to_string(i), 250));
  }
  Pause(700);
  running.Entry(0).Signal(SIGSTOP);
  for (auto& adapter : running.Set().adapters) {
    adapter.default_version = core::version_id("v1");
  }
  running.Publish();
  auto waiting = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-5", 4);
  });
  Pause(3000);
  running.Entry(0).Signal(SIGCONT);
  const http_answer late = waiting.get();
  EXPECT_TRUE(IsCorrectOrExplicitError(
      late, fleet::ExpectedText("adapter-5@" + VersionOf(late), 4)))
      << late.status << ' ' << late.body;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const http_answer answer = streams[i].get();
    EXPECT_TRUE(IsCompleteOrExplicitError(
        answer,
        fleet::ExpectedText("adapter-" + std::to_string(i) + "@v2", 250)))
        << answer.status << ' ' << answer.body;
  }
  for (const int entry : {0, 1}) {
    EXPECT_TRUE(fleet::Eventually([&] {
      const http_answer answer = running.Complete(entry, "adapter-0", 2);
      return answer.status == 200 && VersionOf(answer) == "v1";
    }));
  }
}

}  // namespace
}  // namespace comfreyspring::process_test

// Checks the guarantees while processes are killed, suspended, partitioned or
// restarted.

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

#include "answer_checks.h"
#include "fleet.h"

namespace comfreyspring::process_test {
namespace {

std::string HolderOf(fleet& running, const std::string& adapter) {
  for (endpoint_processes& target : running.Endpoints()) {
    if (!target.engine) continue;
    const nlohmann::json status =
        Call("GET", target.EndpointUrl() + "/status").Json();
    for (const auto& resident : status["resident"]) {
      if (resident["adapter"] == adapter) return target.name;
    }
  }
  return "";
}

std::string AvailabilityOf(fleet& running, const std::string& endpoint,
                           int entry = 0) {
  const nlohmann::json state = running.State(running.EntryUrl(entry));
  for (const auto& item : state["membership"]["endpoints"]) {
    if (item["endpoint"] == endpoint) return item["availability"];
  }
  return "";
}

// Guards against answers from a version other than the announced one while the
// default version changes under load.
TEST(Promises, AnswersMatchTheirVersionWhileTheConfigurationChanges) {
  fleet running({.engines = 2, .services = 0, .slots = 2});
  std::vector<std::future<void>> callers;
  for (int caller = 0; caller < 6; ++caller) {
    callers.push_back(std::async(std::launch::async, [&running, caller] {
      for (int i = 0; i < 12; ++i) {
        const std::string adapter =
            "adapter-" + std::to_string((caller + i) % 8);
        const http_answer answer = running.Complete(caller % 2, adapter, 6);
        if (answer.status != 200) continue;
        EXPECT_EQ(
            answer.Json()["choices"][0]["text"],
            fleet::ExpectedText(
                adapter + "@" + answer.headers.at("x-adapter-version"), 6));
      }
    }));
  }
  for (const char* version : {"v1", "v2", "v1"}) {
    Pause(200);
    for (auto& adapter : running.Set().adapters) {
      adapter.default_version = core::version_id(version);
    }
    running.Publish();
  }
  for (auto& caller : callers) caller.get();
  EXPECT_TRUE(fleet::Eventually([&] {
    const http_answer answer = running.Complete(0, "adapter-0", 1);
    return answer.status == 200 &&
           answer.headers.at("x-adapter-version") == "v1";
  }));
}

// Guards against eviction of an adapter with a running stream when more
// adapters are wanted than there are slots.
TEST(Promises, NeverEvictsAnAdapterInUse) {
  fleet running({.engines = 1, .services = 0, .slots = 2});
  std::vector<std::future<void>> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.push_back(std::async(std::launch::async, [&running, caller] {
      const std::string adapter = "adapter-" + std::to_string(caller);
      const http_answer answer =
          running.Complete(caller % 2, adapter, 40, true);
      EXPECT_TRUE(IsCompleteOrExplicitError(
          answer, fleet::ExpectedText(adapter + "@v2", 40)))
          << answer.body;
    }));
  }
  for (auto& caller : callers) caller.get();
  const nlohmann::json counts =
      Call("GET",
           running.Endpoint("engine-0").EndpointUrl() + "/standin/counts")
          .Json();
  EXPECT_EQ(counts["unloads_with_running_streams"], 0) << counts.dump();
  EXPECT_GE(counts["unloads"], 1) << counts.dump();
}

// Guards against a truncated stream that looks complete after its agent was
// killed.
TEST(Promises, AKilledAgentEndsItsStreamsWithAnExplicitError) {
  fleet running({.engines = 1, .services = 0, .entries = 1, .token_ms = 20});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 200, true);
  });
  Pause(700);
  running.Endpoint("engine-0").agent->Kill();
  const http_answer answer = call.get();
  const stream_text parsed = ParseStream(answer.body);
  EXPECT_FALSE(parsed.done);
  EXPECT_TRUE(parsed.error) << answer.body;
  EXPECT_FALSE(answer.complete);
}

// Guards against a stream that is lost when its connection stops delivering
// data without being closed.
TEST(Promises, AStreamSurvivesASilentConnection) {
  fleet running({.engines = 1, .services = 0, .entries = 1, .token_ms = 20});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 300, true, 30000);
  });
  Pause(700);
  running.Endpoint("engine-0").relay->SilenceOpenConnections();
  const http_answer answer = call.get();
  const stream_text parsed = ParseStream(answer.body);
  EXPECT_TRUE(parsed.done) << answer.body.substr(answer.body.size() - 300);
  EXPECT_EQ(parsed.text, fleet::ExpectedText("adapter-0@v2", 300));
}

// Guards against lost or duplicated tokens when the engine drops all its
// connections.
TEST(Promises, AStreamSurvivesADroppedEngineConnection) {
  fleet running({.engines = 1, .services = 0, .entries = 1, .token_ms = 10});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 100, true);
  });
  Pause(500);
  running.SetBehavior(running.Endpoint("engine-0"), R"({"drop_streams":true})");
  const http_answer answer = call.get();
  EXPECT_TRUE(IsCompleteOrExplicitError(
      answer, fleet::ExpectedText("adapter-0@v2", 100)))
      << answer.body;
  EXPECT_TRUE(ParseStream(answer.body).done) << answer.body;
}

// Guards against answers from an adapter that the engine no longer has after a
// cold restart.
TEST(Promises, AColdEngineRestartNeverGivesAShortSuccess) {
  fleet running({.engines = 2, .services = 0, .entries = 1, .token_ms = 10});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 100, true);
  });
  Pause(500);
  for (endpoint_processes& target : running.Endpoints()) {
    running.SetBehavior(target, R"({"restart":true})");
  }
  EXPECT_TRUE(IsCompleteOrExplicitError(
      call.get(), fleet::ExpectedText("adapter-0@v2", 100)));
  EXPECT_TRUE(fleet::Eventually([&] {
    const http_answer after = running.Complete(0, "adapter-0", 4);
    return after.status == 200 && after.Json()["choices"][0]["text"] ==
                                      fleet::ExpectedText("adapter-0@v2", 4);
  }));
}

// Guards against a second run when the caller repeats an order through another
// entry, also after the service broke the connection.
TEST(Promises, AnOrderRunsOnceHoweverOftenItIsRepeated) {
  fleet running({.engines = 0, .services = 2});
  const std::string key = fleet::NewKey();
  const http_answer first = running.PlaceOrder(0, key);
  const http_answer second = running.PlaceOrder(1, key);
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(second.body, first.body);
  for (endpoint_processes& target : running.Endpoints()) {
    running.SetBehavior(target, R"({"drop_after_run":true})");
  }
  const std::string dropped = fleet::NewKey();
  EXPECT_EQ(OutcomeOf(running.PlaceOrder(0, dropped)), "unknown");
  EXPECT_EQ(OutcomeOf(running.PlaceOrder(1, dropped)), "unknown");
  for (const auto& [ran, count] : running.Runs()) EXPECT_EQ(count, 1) << ran;
  EXPECT_EQ(running.Runs()[dropped], 1);
}

// Guards against a second run by an agent that lost its record of orders in a
// restart.
TEST(Promises, ARestartedAgentRefusesOlderKeys) {
  fleet running({.engines = 0, .services = 2});
  const std::string key = fleet::NewKey();
  EXPECT_EQ(running.PlaceOrder(0, key).status, 200);
  for (endpoint_processes& target : running.Endpoints()) {
    target.agent->Kill();
    running.StartAgent(target);
  }
  http_answer repeated;
  EXPECT_TRUE(fleet::Eventually([&] {
    repeated = running.PlaceOrder(1, key);
    return OutcomeOf(repeated) == "unknown";
  })) << repeated.body;
  EXPECT_EQ(running.Runs()[key], 1);
  // A key made after the restart (plus the allowed skew) is accepted again.
  EXPECT_TRUE(fleet::Eventually(
      [&] { return running.PlaceOrder(1, fleet::NewKey()).status == 200; }));
}

// Guards against a suspended agent that resumes and runs an order a second
// time, or after its caller received `not_run`.
TEST(Promises, AFrozenAgentRunsAnOrderAtMostOnce) {
  fleet running({.engines = 0, .services = 1});
  endpoint_processes& desk = running.Endpoint("desk-0");
  const std::string key = fleet::NewKey();
  desk.agent->Signal(SIGSTOP);
  auto call = std::async(std::launch::async, [&running, &key] {
    return Call("POST", running.EntryUrl(0) + "/v1/services/orders/new", "{}",
                {{"Idempotency-Key", key}, {"X-Request-Deadline-Ms", "1500"}});
  });
  const http_answer answer = call.get();
  EXPECT_NE(answer.status, 200);
  const std::string outcome = OutcomeOf(answer);
  EXPECT_FALSE(outcome.empty()) << answer.body;
  desk.agent->Signal(SIGCONT);
  Pause(1500);
  const int runs = running.Runs()[key];
  EXPECT_LE(runs, 1);
  if (outcome == "not_run") {
    EXPECT_EQ(runs, 0);
  }
}

// Guards against `not_run` for an order that was running when its deadline
// passed.
TEST(Promises, AnOrderThatOutlivesItsDeadlineIsNotCalledNotRun) {
  fleet running({.engines = 0, .services = 1, .entries = 1});
  running.SetBehavior(running.Endpoint("desk-0"), R"({"delay_ms":2500})");
  const std::string key = fleet::NewKey();
  const http_answer answer =
      Call("POST", running.EntryUrl(0) + "/v1/services/orders/new", "{}",
           {{"Idempotency-Key", key}, {"X-Request-Deadline-Ms", "1000"}});
  EXPECT_EQ(answer.status, 502) << answer.body;
  EXPECT_EQ(OutcomeOf(answer), "unknown");
  EXPECT_TRUE(fleet::Eventually([&] { return running.Runs()[key] == 1; }));
}

// Guards against a second run when an entry is suspended with an order in
// flight, the caller repeats it through another entry, and the first entry
// resumes.
TEST(Promises, AFrozenEntryDoesNotRepeatAnOrder) {
  fleet running({.engines = 0, .services = 2});
  std::vector<std::string> keys;
  for (int i = 0; i < 5; ++i) {
    keys.push_back(fleet::NewKey());
    auto first = std::async(std::launch::async, [&running, &keys] {
      return running.PlaceOrder(0, keys.back(), 6000);
    });
    running.Entry(0).Signal(SIGSTOP);
    running.PlaceOrder(1, keys.back());
    running.Entry(0).Signal(SIGCONT);
    first.get();
  }
  for (const std::string& key : keys) EXPECT_LE(running.Runs()[key], 1);
}

// Guards against one key running on two endpoints while agents are unreachable.
TEST(Promises, AnOrderWhoseHomeIsCutOffIsNotRunElsewhere) {
  fleet running({.engines = 0, .services = 2});
  for (endpoint_processes& target : running.Endpoints()) target.relay->Cut();
  Pause(200);
  const std::string key = fleet::NewKey();
  const http_answer answer =
      Call("POST", running.EntryUrl(0) + "/v1/services/orders/new", "{}",
           {{"Idempotency-Key", key}, {"X-Request-Deadline-Ms", "3000"}});
  EXPECT_NE(answer.status, 200);
  EXPECT_FALSE(OutcomeOf(answer).empty());
  for (endpoint_processes& target : running.Endpoints()) target.relay->Heal();
  EXPECT_TRUE(fleet::Eventually(
      [&] { return running.PlaceOrder(0, fleet::NewKey()).status == 200; }));
  EXPECT_LE(running.Runs()[key], 1);
}

// Guards against streams cut off by SIGTERM, and against new work on an
// endpoint that is leaving.
TEST(Promises, ATerminatedAgentFinishesItsStreamsAndGetsNoNewWork) {
  fleet running({.engines = 2, .services = 0, .entries = 1, .token_ms = 20});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 150, true);
  });
  std::string holder;
  ASSERT_TRUE(fleet::Eventually(
      [&] { return !(holder = HolderOf(running, "adapter-0")).empty(); }));
  Pause(300);
  endpoint_processes& leaving = running.Endpoint(holder);
  leaving.agent->Signal(SIGTERM);
  Pause(300);
  const auto before =
      Call("GET", leaving.EndpointUrl() + "/standin/counts").Json()["requests"];
  for (int i = 0; i < 8; ++i) {
    const http_answer other =
        running.Complete(0, "adapter-" + std::to_string(i), 2);
    EXPECT_EQ(other.status, 200) << other.body;
  }
  const auto after =
      Call("GET", leaving.EndpointUrl() + "/standin/counts").Json()["requests"];
  EXPECT_EQ(before, after);
  const stream_text parsed = ParseStream(call.get().body);
  EXPECT_TRUE(parsed.done);
  EXPECT_EQ(parsed.text, fleet::ExpectedText("adapter-0@v2", 150));
  EXPECT_EQ(leaving.agent->WaitForExit(15000), 0);
}

// Guards against a planned stop that cuts off a running stream.
TEST(Promises, APlannedStopFinishesRunningStreams) {
  fleet running({.engines = 2, .services = 0, .entries = 1, .token_ms = 20});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 150, true);
  });
  std::string holder;
  ASSERT_TRUE(fleet::Eventually(
      [&] { return !(holder = HolderOf(running, "adapter-0")).empty(); }));
  config::planned_stop stop;
  stop.endpoint = core::endpoint_id(holder);
  stop.starts_at = core::WallTimeFromUnix(running.Set().published_ms);
  stop.ends_at = stop.starts_at + std::chrono::hours(1);
  running.Set().stops.push_back(stop);
  running.Publish();
  ASSERT_TRUE(fleet::Eventually(
      [&] { return AvailabilityOf(running, holder) != "available"; }));
  const http_answer other = running.Complete(0, "adapter-0", 2);
  EXPECT_EQ(other.status, 200) << other.body;
  const stream_text parsed = ParseStream(call.get().body);
  EXPECT_TRUE(parsed.done);
  EXPECT_EQ(parsed.text, fleet::ExpectedText("adapter-0@v2", 150));
}

// Guards against requests cut off by the stop of an entry.
TEST(Promises, ATerminatedEntryFinishesItsRequests) {
  fleet running({.engines = 1, .services = 0, .entries = 2, .token_ms = 20});
  auto call = std::async(std::launch::async, [&running] {
    return running.Complete(0, "adapter-0", 100, true);
  });
  Pause(500);
  running.Entry(0).Signal(SIGTERM);
  EXPECT_TRUE(fleet::Eventually([&] {
    return Call("GET", running.EntryUrl(0) + "/readyz").status == 503;
  }));
  const stream_text parsed = ParseStream(call.get().body);
  EXPECT_TRUE(parsed.done);
  EXPECT_EQ(parsed.text, fleet::ExpectedText("adapter-0@v2", 100));
  EXPECT_EQ(running.Entry(0).WaitForExit(15000), 0);
}

// Guards against new work for a VM that the platform lists as leaving.
TEST(Promises, AVmListedAsLeavingGetsNoNewWork) {
  fleet running({.engines = 2, .services = 0, .entries = 1});
  running.PutVmList(5, {{"vm-engine-0", "leaving"}, {"vm-engine-1", "live"}});
  EXPECT_TRUE(fleet::Eventually(
      [&] { return AvailabilityOf(running, "engine-0") == "vm_leaving"; }));
  const auto requests = [&] {
    return Call("GET",
                running.Endpoint("engine-0").EndpointUrl() + "/standin/counts")
        .Json()["requests"];
  };
  const auto before = requests();
  for (int i = 0; i < 8; ++i) {
    running.Complete(0, "adapter-" + std::to_string(i), 2);
  }
  EXPECT_EQ(before, requests());
}

// Guards against an entry that does not read the platform itself and is never
// notified that a VM is leaving, also while the relaying agents restart.
TEST(Promises, AVmListReachesEntriesThatDoNotReadThePlatform) {
  fleet running({.engines = 2, .services = 0, .entries = 4});
  const auto watchers = [&] {
    int count = 0;
    for (int entry = 0; entry < 4; ++entry) {
      const auto state = running.State(running.EntryUrl(entry));
      if (state["configuration"]["watches_platform"] == true) ++count;
    }
    return count;
  };
  ASSERT_TRUE(fleet::Eventually([&] { return watchers() == 2; }, 40000));
  for (endpoint_processes& target : running.Endpoints()) {
    running.StartAgent(target);
  }
  running.PutVmList(5, {{"vm-engine-0", "leaving"}, {"vm-engine-1", "live"}});
  EXPECT_TRUE(fleet::Eventually(
      [&] {
        for (int entry = 0; entry < 4; ++entry) {
          const auto state =
              running.State(running.EntryUrl(entry))["membership"];
          if (state["vm_list_revision"] != 5) return false;
        }
        return true;
      },
      40000));
}

// Guards against requests that fail because an adapter load failed, although
// another engine could serve them.
TEST(Promises, FailedLoadsAreTriedElsewhere) {
  fleet running({.engines = 2, .services = 0, .entries = 1});
  running.SetBehavior(running.Endpoint("engine-0"), R"({"fail_loads":1000})");
  for (int i = 0; i < 8; ++i) {
    const std::string adapter = "adapter-" + std::to_string(i);
    const http_answer answer = running.Complete(0, adapter, 3);
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
}

}  // namespace
}  // namespace comfreyspring::process_test

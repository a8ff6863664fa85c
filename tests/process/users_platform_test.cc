// Runs gateway and sidecar as real processes against stand-ins for the users'
// platform: its store and one engine, which speak the platform's protocol.

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine_stand_in.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/socket_address.h"
#include "net/tcp_socket.h"
#include "settings_program.h"
#include "store_stand_in.h"
#include "tcp_relay.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

constexpr const char* kHost = "127.0.0.1";
constexpr milliseconds kTimeout{8000};

/** Ports of one test process, below the ephemeral port range. */
std::uint16_t OwnPort(int index) {
  constexpr int kFirst = 10000;
  constexpr int kPerProcess = 8;
  constexpr int kProcesses = 2500;
  return static_cast<std::uint16_t>(
      kFirst + ::getpid() % kProcesses * kPerProcess + index);
}

class users_platform_test : public ::testing::Test {
 protected:
  void SetUp() override {
    directory_ = std::filesystem::temp_directory_path() /
                 ("users_platform_" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory_);
    engine_.held = {"a1"};
    PutConfiguration(7);
    PutEndpoint("ready");
    WriteSettings();
    StartSidecar();
    gateway_ = Start("gateway");
  }
  void TearDown() override {
    gateway_.reset();
    sidecar_.reset();
    if (!HasFailure()) std::filesystem::remove_all(directory_);
  }

  void PutConfiguration(int version, const json& limits = json::object()) {
    store_.Put("op/config",
               {{"Version", version},
                {"Limits", limits},
                {"Routes", json::array({{{"Name", "r"},
                                         {"Host", "h.example"},
                                         {"Prefix", "/p/"},
                                         {"Kind", "stream"},
                                         {"TimeoutMs", 5000},
                                         {"GoalMs", 600},
                                         {"GapTargetMs", 300},
                                         {"Priority", 0},
                                         {"Service", "s"},
                                         {"Attempts", 2},
                                         {"Resumable", true}},
                                        {{"Name", "o"},
                                         {"Host", "h.example"},
                                         {"Prefix", "/o/"},
                                         {"Kind", "stream"},
                                         {"TimeoutMs", 5000},
                                         {"GoalMs", 600},
                                         {"GapTargetMs", 300},
                                         {"Priority", 0},
                                         {"Service", "s"},
                                         {"Attempts", 2}},
                                        {{"Name", "q"},
                                         {"Host", "h.example"},
                                         {"Prefix", "/q/"},
                                         {"Kind", "non_idempotent"},
                                         {"TimeoutMs", 3000},
                                         {"GoalMs", 600},
                                         {"Priority", 0},
                                         {"Service", "plain"},
                                         {"Attempts", 1}},
                                        {{"Name", "f"},
                                         {"Host", "h.example"},
                                         {"Prefix", "/f/"},
                                         {"Kind", "stream"},
                                         {"TimeoutMs", 3000},
                                         {"GoalMs", 600},
                                         {"GapTargetMs", 300},
                                         {"Priority", 0},
                                         {"Service", "plain"},
                                         {"Attempts", 1}},
                                        {{"Name", "i"},
                                         {"Host", "h.example"},
                                         {"Prefix", "/i/"},
                                         {"Kind", "idempotent"},
                                         {"TimeoutMs", 3000},
                                         {"GoalMs", 600},
                                         {"Priority", 0},
                                         {"Service", "plain"},
                                         {"Attempts", 2}}})},
                {"Services",
                 json::array({{{"Name", "s"},
                               {"MaxConns", 100},
                               {"Engine",
                                {{"Slots", 8},
                                 {"AdapterSlots", 2},
                                 {"KvCapacity", 100000},
                                 {"Stride", 5},
                                 {"Models", json::array({{{"Name", "m"}}})}}}},
                              {{"Name", "plain"}, {"MaxConns", 500}}})}});
  }
  void PutEndpoint(const std::string& state, const std::string& ip = kHost) {
    store_.Put("servers/i-1", {{"Service", "s"},
                               {"Addr", Address(engine_.Port(), ip)},
                               {"Zone", "z"},
                               {"Slots", 8},
                               {"State", state},
                               {"born", 5}});
  }
  void PutPlainEndpoint(const std::string& instance, std::uint16_t port,
                        int slots = 500, std::int64_t started_at = 7) {
    store_.Put("servers/" + instance, {{"Service", "plain"},
                                       {"Addr", Address(port)},
                                       {"Zone", "z"},
                                       {"Slots", slots},
                                       {"State", "ready"},
                                       {"born", started_at}});
  }
  static std::string Address(std::uint16_t port,
                             const std::string& ip = kHost) {
    return ip + ':' + std::to_string(port);
  }
  void WriteSettings() {
    json file = {{"Ip", kHost},
                 {"Zone", "z"},
                 {"InternalPorts", {OwnPort(0), OwnPort(1)}},
                 {"Bounds", {{"GraceS", 5}, {"BudgetExtra", 50}}},
                 {"Provider", {{"Addr", Address(store_.Port())}}}};
    file["Node"] = "gateway-1";
    file["Listen"] = {{"Front", Address(caller_port_)},
                      {"Ready", Address(ready_port_)},
                      {"Control", Address(admin_port_)}};
    std::ofstream(Path("gateway")) << file;
    file["Node"] = "sidecar-1";
    file["Listen"] = json::object();
    file["app"] = Address(engine_.Port());
    std::ofstream(Path("sidecar")) << file;
  }
  void StartSidecar() { sidecar_ = Start("sidecar"); }
  std::unique_ptr<settings_program> Start(const std::string& name) const {
    return std::make_unique<settings_program>(settings_program::options{
        Binary(name), Path(name), Path(name + ".log")});
  }
  std::string Path(const std::string& name) const { return directory_ / name; }
  static std::string Binary(const std::string& name) {
    return std::string(COMFREYSPRING_BINARY_DIRECTORY) +
           "/platform/comfreyspring_" + name;
  }

  net::http_result Call(net::http_call call) {
    std::optional<net::http_result> result;
    call.total_timeout = kTimeout;
    http_.Start(std::move(call), {.on_done = [&](const net::http_result& done) {
                  result = done;
                }});
    EXPECT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kTimeout));
    return result.value_or(net::http_result{});
  }
  net::http_result SendStream(const std::string& id, const std::string& adapter,
                              const std::string& target = "/p/x%20y?q=1") {
    return Call(
        {.method = "POST",
         .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
         .target = target,
         .headers = {{"host", "h.example"},
                     {"request-id", id},
                     {"model", "m/" + adapter},
                     {"token-count", "100,20"},
                     {"deadline-ms", "5000"}}});
  }
  int Readiness() {
    return Call({.url = net::url::Parse("http://" + Address(ready_port_) +
                                        "/ready")})
        .status;
  }
  void WaitUntilReady() {
    for (int i = 0; i < 100 && Readiness() != 200; ++i) {
      loop_.RunUntil([] { return false; }, milliseconds(50));
    }
    ASSERT_EQ(Readiness(), 200);
    // Time for the first status report of the sidecar.
    loop_.RunUntil([] { return false; }, milliseconds(300));
  }
  std::string Events(int count) const {
    std::string text;
    for (int event = 1; event <= count; ++event) text += EventText("r1", event);
    return text;
  }

  net::event_loop loop_;
  net::http_client http_{loop_};
  store_stand_in store_{loop_};
  engine_stand_in engine_{loop_, {}};
  std::uint16_t caller_port_ = OwnPort(2);
  std::uint16_t ready_port_ = OwnPort(3);
  std::uint16_t admin_port_ = OwnPort(4);
  std::filesystem::path directory_;
  std::unique_ptr<settings_program> sidecar_;
  std::unique_ptr<settings_program> gateway_;
};

TEST_F(users_platform_test, ServesAStreamByteForByte) {
  WaitUntilReady();
  const auto answer = SendStream("r1", "a1");
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(answer.failure, net::http_failure::none);
  EXPECT_EQ(answer.headers.at("server-stamp"), "stamp");
  EXPECT_EQ(answer.body, Events(5));
  ASSERT_EQ(engine_.targets.size(), 1U);
  EXPECT_EQ(engine_.targets[0], "/p/x%20y?q=1");
}

// Guards against conflicting holders, decreasing fencing tokens, and more
// loaded adapters than slots when requests need more adapters than the engine
// can hold.
TEST_F(users_platform_test, LoadsAdaptersWithinTheEnginesSlots) {
  WaitUntilReady();
  for (const std::string adapter : {"a1", "a2", "a3", "a4", "a1"}) {
    EXPECT_EQ(SendStream("r-" + adapter, adapter).status, 200) << adapter;
  }
  EXPECT_EQ(engine_.holders, std::set<std::string>{"sidecar-1"});
  EXPECT_FALSE(engine_.fencing_decreased);
  EXPECT_LE(engine_.most_held, 2U);
}

TEST_F(users_platform_test, ABrokenStreamIsResumedInTheSameAnswer) {
  WaitUntilReady();
  engine_.break_after = 3;
  const auto answer = SendStream("r1", "a1");
  EXPECT_EQ(answer.failure, net::http_failure::none);
  EXPECT_EQ(answer.body, Events(5));
  EXPECT_EQ(engine_.runs["r1"], 2);
}

TEST_F(users_platform_test, AnUnframedStreamIsPassedOnWhole) {
  WaitUntilReady();
  engine_.unframed = true;
  const auto answer = SendStream("r1", "a1");
  EXPECT_EQ(answer.failure, net::http_failure::none);
  EXPECT_EQ(answer.end, net::body_end::framed);
  EXPECT_EQ(answer.body, Events(5));
}

// Guards against a truncated stream that reaches its caller as complete: the
// engine breaks off inside an event and ends the message in order.
TEST_F(users_platform_test, AStreamThatEndsInsideAnEventIsNotComplete) {
  WaitUntilReady();
  for (const bool unframed : {true, false}) {
    engine_.unframed = unframed;
    engine_.break_inside_event = 9;
    engine_.break_after = 3;
    const auto answer = SendStream("r1", "a1", "/o/x");
    EXPECT_EQ(answer.failure, net::http_failure::broken) << unframed;
    EXPECT_EQ(answer.body, Events(3)) << unframed;
  }
}

// Guards against a response that stops within its headers and reaches its
// caller as a whole one with an empty or short body.
TEST_F(users_platform_test, AHeadThatBreaksOffIsNoSuccess) {
  engine_stand_in plain(loop_, {.generates = false});
  plain.Start("i-plain");
  PutPlainEndpoint("i-plain", plain.Port(), 500, plain.StartedAt());
  WaitUntilReady();
  const std::string head =
      "HTTP/1.1 200 OK\r\nrequest-id: r1\r\nserver-stamp: stamp\r\n";
  for (const std::string& cut :
       {head, head + "content-length: 0\r\n", head + "content-length: 9\r\n\r",
        head + "transfer-encoding: chunked\r\n", head + "id: 1\nda",
        "HTTP/1.1 100 Continue\r\n\r\n" + head,
        "HTTP/1.1 103 Early\r\ncontent-length: 0\r\n\r\n" + head,
        "HTTP/1.0" + head.substr(8), head.substr(0, 12), head.substr(0, 17)}) {
    for (const std::string target : {"/q/x", "/o/x", "/p/x"}) {
      engine_stand_in& engine = target == "/q/x" ? plain : engine_;
      engine.runs.clear();
      engine.raw_answer = cut;
      const auto answer = SendStream("r1", "a1", target);
      EXPECT_EQ(answer.failure, net::http_failure::none) << target << cut;
      EXPECT_FALSE(engine.raw_answer) << target << cut;
      const bool repeats = target == "/p/x";
      EXPECT_EQ(answer.status, repeats ? 200 : 502) << target << cut;
      EXPECT_EQ(engine.runs["r1"], repeats ? 2 : 1) << target << cut;
      EXPECT_EQ(repeats, answer.body == Events(5)) << target << cut;
      engine.raw_answer.reset();
    }
  }
}

// Guards against a malformed answer that reaches its caller. The request may
// have run, whatever its head says, so only requests that may be repeated are.
TEST_F(users_platform_test, AMalformedAnswerIsNotPassedOn) {
  engine_stand_in plain(loop_, {.generates = false});
  plain.Start("i-plain");
  PutPlainEndpoint("i-plain", plain.Port(), 500, plain.StartedAt());
  WaitUntilReady();
  for (const std::string& malformed : MalformedAnswers("r1")) {
    for (const std::string target : {"/q/x", "/i/x", "/f/x", "/o/x", "/p/x"}) {
      const bool generates = target == "/o/x" || target == "/p/x";
      engine_stand_in& engine = generates ? engine_ : plain;
      engine.runs.clear();
      engine.raw_answer = malformed;
      const auto sent_at = loop_.Now();
      const auto answer = SendStream("r1", "a1", target);
      EXPECT_FALSE(engine.raw_answer) << target << malformed;
      EXPECT_EQ(answer.failure, net::http_failure::none) << target << malformed;
      const bool repeats = target == "/i/x" || target == "/p/x";
      EXPECT_EQ(answer.status, repeats ? 200 : 502) << target << malformed;
      EXPECT_EQ(engine.runs["r1"], repeats ? 2 : 1) << target << malformed;
      const std::string sound = generates ? Events(5) : PlainText("r1");
      EXPECT_EQ(repeats, answer.body == sound) << target << malformed;
      EXPECT_EQ(answer.body.find("malformed"), std::string::npos)
          << target << malformed;
      // The shortest time limit of these routes.
      EXPECT_LT(loop_.Now() - sent_at, milliseconds(3000))
          << target << malformed;
      engine.raw_answer.reset();
    }
  }
}

// Guards against a malformed answer that ends up within a stream that another
// one has begun.
TEST_F(users_platform_test, AMalformedAnswerIsNotPartOfAResumedStream) {
  WaitUntilReady();
  for (const std::string& malformed : MalformedAnswers("r1")) {
    engine_.runs.clear();
    engine_.break_after = 3;
    engine_.on_run = [&](const net::http_request&) {
      if (engine_.runs["r1"] == 2) engine_.raw_answer = malformed;
    };
    const auto answer = SendStream("r1", "a1");
    EXPECT_EQ(engine_.runs["r1"], 3) << malformed;
    EXPECT_EQ(answer.status, 200) << malformed;
    EXPECT_EQ(answer.failure, net::http_failure::none) << malformed;
    EXPECT_EQ(answer.body, Events(5)) << malformed;
  }
}

// Guards against an engine that is taken out of use by a malformed report.
TEST_F(users_platform_test, AMalformedReportIsNotUsed) {
  WaitUntilReady();
  for (const char* line : {"bad name: x", "bad\x01name: x", "bad\xe9: x"}) {
    engine_.raw_report =
        std::string("HTTP/1.1 200 OK\r\nserver-leaving: 1\r\n") + line +
        "\r\ncontent-length: 2\r\n\r\n{}";
    ASSERT_TRUE(loop_.RunUntil([&] { return !engine_.raw_report; }, kTimeout));
    loop_.RunUntil([] { return false; }, milliseconds(300));
    EXPECT_EQ(SendStream("r1", "a1").status, 200) << line;
  }
}

TEST_F(users_platform_test, AStreamThatEndsInsideAnEventIsResumed) {
  WaitUntilReady();
  engine_.unframed = true;
  engine_.break_inside_event = 9;
  engine_.break_after = 3;
  const auto answer = SendStream("r1", "a1");
  EXPECT_EQ(answer.failure, net::http_failure::none);
  EXPECT_EQ(answer.body, Events(5));
  EXPECT_EQ(engine_.runs["r1"], 2);
}

// Guards against an outage while the sidecar is down: requests for loaded
// adapters are still served, and the restarted sidecar has a fencing token that
// is not lower.
TEST_F(users_platform_test, KeepsServingLoadedAdaptersWithoutTheSidecar) {
  WaitUntilReady();
  ASSERT_EQ(SendStream("r1", "a1").status, 200);
  sidecar_.reset();
  loop_.RunUntil([] { return false; }, milliseconds(200));
  EXPECT_EQ(SendStream("r2", "a1").status, 200);
  EXPECT_EQ(SendStream("r3", "a9").status, 503);
  StartSidecar();
  loop_.RunUntil([] { return false; }, milliseconds(1500));
  EXPECT_EQ(SendStream("r4", "a9").status, 200);
  EXPECT_FALSE(engine_.fencing_decreased);
}

// Guards against long delays from a sidecar that does not answer a grant
// request: the gateway stops waiting for it soon, however rarely it sends
// reports, and uses it again once it resumes.
TEST_F(users_platform_test, ASuspendedSidecarDelaysRequestsOnlyBriefly) {
  WaitUntilReady();
  ASSERT_EQ(SendStream("r1", "a1").status, 200);
  sidecar_->Signal(SIGSTOP);
  const auto sent_at = loop_.Now();
  EXPECT_EQ(SendStream("r2", "a1").status, 200);
  EXPECT_LT(loop_.Now() - sent_at, milliseconds(900));
  sidecar_->Signal(SIGCONT);
  loop_.RunUntil([] { return false; }, milliseconds(1500));
  EXPECT_EQ(SendStream("r3", "a2").status, 200);
  EXPECT_FALSE(sidecar_->HasEnded());
}

// Guards against a link on which the sidecar receives nothing while its own
// messages arrive: grant requests would be lost, and the slots of requests
// that have ended would never be released.
TEST_F(users_platform_test, NoticesALinkThatIsCutInOneDirection) {
  constexpr const char* kRelay = "127.0.0.2";
  tcp_relay agent_relay({kRelay, OwnPort(0)}, {kHost, OwnPort(0)});
  tcp_relay engine_relay({kRelay, engine_.Port()}, {kHost, engine_.Port()});
  PutEndpoint("ready", kRelay);
  WaitUntilReady();
  ASSERT_EQ(SendStream("r1", "a1").status, 200);
  agent_relay.SilenceOpenConnections(silenced::to_server, 1.0);
  loop_.RunUntil([] { return false; }, milliseconds(4000));
  EXPECT_EQ(SendStream("r2", "a2").status, 200);
}

TEST_F(users_platform_test, ServesThroughAnOutageOfTheStore) {
  WaitUntilReady();
  store_.SetMode(store_mode::unavailable);
  loop_.RunUntil([] { return false; }, milliseconds(3500));
  EXPECT_EQ(SendStream("r1", "a1").status, 200);
  EXPECT_EQ(Readiness(), 200);
}

// Guards against requests to an engine whose entry is removed after a store
// outage has ended: the engine has left, and nothing may reach it after
// DrainMs, which is 2,000 here.
TEST_F(users_platform_test, AnEngineThatLeavesAfterAnOutageGetsNothing) {
  WaitUntilReady();
  store_.SetMode(store_mode::unavailable);
  loop_.RunUntil([] { return false; }, milliseconds(3500));
  store_.SetMode(store_mode::up);
  loop_.RunUntil([] { return false; }, milliseconds(1000));
  store_.Remove("servers/i-1");
  loop_.RunUntil([] { return false; }, milliseconds(2000));
  SendStream("r1", "a1");
  EXPECT_EQ(engine_.runs.count("r1"), 0U);
}

// Guards against rejecting requests for a running engine whose entry expired
// during a store outage. Such entries return about two seconds after the store.
TEST_F(users_platform_test, AnEngineWhoseEntryExpiredInAnOutageKeepsServing) {
  WaitUntilReady();
  store_.SetMode(store_mode::unavailable);
  loop_.RunUntil([] { return false; }, milliseconds(3500));
  store_.Remove("servers/i-1");
  store_.SetMode(store_mode::up);
  for (int i = 0; i < 6; ++i) {
    loop_.RunUntil([] { return false; }, milliseconds(250));
    EXPECT_EQ(SendStream("r" + std::to_string(i), "a1").status, 200) << i;
  }
  PutEndpoint("ready");
  loop_.RunUntil([] { return false; }, milliseconds(2500));
  EXPECT_EQ(SendStream("after", "a1").status, 200);
}

// Guards against a request that is queued for an engine whose entry is removed,
// and that stays queued until its deadline because nothing answers it any more.
TEST_F(users_platform_test, ARequestQueuedForARemovedEngineIsAnswered) {
  WaitUntilReady();
  engine_.events = 100;
  const auto start = [&](const std::string& id,
                         std::optional<net::http_result>& result) {
    http_.Start(
        {.method = "POST",
         .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
         .target = "/p/x",
         .headers = {{"host", "h.example"},
                     {"request-id", id},
                     {"model", "m/a1"},
                     {"token-count", "100,20"},
                     {"deadline-ms", "5000"}},
         .total_timeout = kTimeout},
        {.on_done = [&](const net::http_result& done) { result = done; }});
  };
  std::vector<std::optional<net::http_result>> running(8);
  for (std::size_t i = 0; i < running.size(); ++i) {
    start("r" + std::to_string(i), running[i]);
  }
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return engine_.Running() == running.size(); }, kTimeout));
  std::optional<net::http_result> waiting;
  start("waits", waiting);
  loop_.RunUntil([] { return false; }, milliseconds(200));
  ASSERT_FALSE(waiting);
  store_.Remove("servers/i-1");
  EXPECT_TRUE(
      loop_.RunUntil([&] { return waiting.has_value(); }, milliseconds(1500)));
  ASSERT_TRUE(waiting);
  EXPECT_EQ(waiting->status, 503);
  // Requests already running on the engine complete normally.
  EXPECT_TRUE(loop_.RunUntil([&] { return running[0].has_value(); }, kTimeout));
  EXPECT_EQ(running[0]->status, 200);
}

TEST_F(users_platform_test, ALeavingEngineGetsNothing) {
  WaitUntilReady();
  PutEndpoint("draining");
  loop_.RunUntil([] { return false; }, milliseconds(800));
  EXPECT_EQ(SendStream("r1", "a1").status, 503);
  EXPECT_EQ(engine_.runs.count("r1"), 0U);
}

// Guards against a planned stop that truncates a stream: the open stream must
// complete before the process exits.
TEST_F(users_platform_test, SigtermLetsAnOpenStreamComplete) {
  WaitUntilReady();
  engine_.events = 60;
  std::optional<net::http_result> result;
  http_.Start(
      {.method = "POST",
       .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
       .target = "/p/x",
       .headers = {{"host", "h.example"},
                   {"request-id", "r1"},
                   {"model", "m/a1"},
                   {"token-count", "100,20"},
                   {"deadline-ms", "5000"}},
       .total_timeout = kTimeout},
      {.on_done = [&](const net::http_result& done) { result = done; }});
  loop_.RunUntil([&] { return engine_.runs.count("r1") > 0; }, kTimeout);
  gateway_->Signal(SIGTERM);
  loop_.RunUntil([] { return false; }, milliseconds(100));
  EXPECT_EQ(Readiness(), 503);
  ASSERT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kTimeout));
  EXPECT_EQ(result->failure, net::http_failure::none);
  EXPECT_EQ(result->body, Events(60));
  ASSERT_TRUE(loop_.RunUntil([&] { return gateway_->HasEnded(); }, kTimeout));
  EXPECT_EQ(gateway_->Status(), 0);
}

// Guards against one caller's request terminating the process for all callers:
// a name that is not valid UTF-8 cannot be written into an order.
TEST_F(users_platform_test, AnAdapterNameThatIsNotUtf8FailsOnlyItsRequest) {
  WaitUntilReady();
  EXPECT_EQ(SendStream("r1", "\xff\xfe").status, 503);
  EXPECT_EQ(SendStream("r2", "a2").status, 200);
  EXPECT_FALSE(sidecar_->HasEnded());
  EXPECT_FALSE(gateway_->HasEnded());
}

// Guards against an entry of another writer that ends each process that reads
// it, or after which a gateway does not follow the other entries any more.
TEST_F(users_platform_test, OddEntriesOfAnotherWriterAreSkipped) {
  WaitUntilReady();
  const std::string nested =
      std::string(70'000, '[') + std::string(70'000, ']');
  const auto with = [&](const std::string& field, const std::string& value) {
    json entry = {{"Service", "s"},   {"Addr", Address(engine_.Port())},
                  {"Zone", "z"},      {"Slots", 8},
                  {"State", "ready"}, {"born", 5}};
    entry[field] = "?";
    std::string text = entry.dump();
    return text.replace(text.find("\"?\""), 3, value);
  };
  const std::vector<std::string> odd = {
      with("Slots", nested),
      with("Models", nested),
      with("Models", R"([{"Name":"m","Adapters":[)" + nested + "]}]"),
      with("Slots", "18446744073709551615"),
      with("Slots", "1e999"),
      with("born", "18446744073709551615"),
      with("Addr", R"("127.0.0.1:99999")"),
      with("Addr", R"("127.0.0.1:0")"),
      nested,
      "\xff\xfe"};
  for (std::size_t i = 0; i < odd.size(); ++i) {
    store_.PutBytes("servers/odd-" + std::to_string(i), odd[i]);
    loop_.RunUntil([] { return false; }, milliseconds(60));
  }
  store_.Remove("servers/i-1");
  loop_.RunUntil([] { return false; }, milliseconds(3500));
  EXPECT_EQ(SendStream("r1", "a1").status, 503);
  PutEndpoint("ready");
  loop_.RunUntil([] { return false; }, milliseconds(1500));
  EXPECT_EQ(SendStream("r2", "a1").status, 200);
  // A process that starts reads all entries at once.
  gateway_.reset();
  sidecar_.reset();
  gateway_ = Start("gateway");
  StartSidecar();
  WaitUntilReady();
  EXPECT_EQ(SendStream("r3", "a1").status, 200);
  EXPECT_FALSE(gateway_->HasEnded());
  EXPECT_FALSE(sidecar_->HasEnded());
}

TEST_F(users_platform_test, AnEngineThatSaysItLeavesGetsNothingNew) {
  WaitUntilReady();
  ASSERT_EQ(SendStream("r1", "a1").status, 200);
  engine_.leaving = true;
  ASSERT_EQ(SendStream("r2", "a1").status, 200);
  // The platform still lists it as ready, also after a store outage.
  EXPECT_EQ(SendStream("r3", "a1").status, 503);
  store_.SetMode(store_mode::unavailable);
  loop_.RunUntil([] { return false; }, milliseconds(3500));
  store_.SetMode(store_mode::up);
  PutEndpoint("ready");
  loop_.RunUntil([] { return false; }, milliseconds(1500));
  EXPECT_EQ(SendStream("r4", "a1").status, 503);
  EXPECT_EQ(engine_.runs.count("r3") + engine_.runs.count("r4"), 0U);
}

/** Answers each connection with an endless sequence of bytes. */
class flooding_service {
 public:
  flooding_service(net::event_loop& loop, std::string start, std::string piece)
      : loop_(loop),
        start_(std::move(start)),
        socket_(net::tcp_socket::Listen(net::socket_address(kHost, 0))) {
    while (piece_.size() < 64 * 1024) piece_ += piece;
    timer_ =
        loop_.SchedulePeriodic(milliseconds(1), [this] { AcceptAndWrite(); });
  }
  ~flooding_service() { loop_.Cancel(timer_); }
  flooding_service(const flooding_service&) = delete;
  flooding_service& operator=(const flooding_service&) = delete;

  std::uint16_t Port() const {
    return net::socket_address::OfLocal(socket_.Descriptor()).Port();
  }
  std::size_t Accepted() const { return accepted_; }
  std::size_t Open() const { return open_.size(); }

 private:
  struct flooded_connection {
    net::tcp_socket socket;
    /** In the piece that is written again and again. */
    std::size_t position = 0;
  };

  void AcceptAndWrite() {
    for (auto next = socket_.Accept(); next.IsValid();
         next = socket_.Accept()) {
      ++accepted_;
      next.Write(start_.data(), start_.size());
      open_.push_back({std::move(next)});
    }
    std::erase_if(open_, [this](flooded_connection& connection) {
      const auto written =
          connection.socket.Write(piece_.data() + connection.position,
                                  piece_.size() - connection.position);
      connection.position =
          (connection.position + written.bytes) % piece_.size();
      return written.outcome == net::transfer_result::kind::ended;
    });
  }

  net::event_loop& loop_;
  std::string start_;
  std::string piece_;
  net::tcp_socket socket_;
  std::vector<flooded_connection> open_;
  std::size_t accepted_ = 0;
  net::timer_id timer_ = 0;
};

// Guards against unbounded memory when endpoints send endless heads or bodies
// on many connections at once. Each caller must get an error status, and each
// connection must be closed.
TEST_F(users_platform_test, EndlessAnswersDoNotExhaustMemory) {
  constexpr int kCallers = 200;
  // Well within the memory available on the smallest entry VMs (160 MB).
  constexpr long kMemoryKib = 64L * 1024;
  const std::string head =
      "HTTP/1.1 200 OK\r\nserver-stamp: s\r\nrequest-id: r1\r\n";
  struct flood {
    std::string start;
    std::string piece;
  };
  for (const flood& each :
       {flood{head, "x-more: 1\r\n"}, flood{"", "\x01\x02 no answer"},
        flood{"HTTP/1.1 200 OK\r\nx: ", "y"}, flood{head + "\r\n", "body"},
        flood{"", "HTTP/1.1 100 Continue\r\n\r\n"}, flood{head, "x"},
        flood{head + "transfer-encoding: chunked\r\n\r\n", "4\r\nmore\r\n"}}) {
    flooding_service service(loop_, each.start, each.piece);
    PutPlainEndpoint("i-f", service.Port());
    WaitUntilReady();
    loop_.RunUntil([] { return false; }, milliseconds(600));
    const long before = gateway_->ResidentKib();
    long most = before;
    std::vector<int> statuses;
    for (int i = 0; i < kCallers; ++i) {
      http_.Start(
          {.method = "POST",
           .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
           .target = "/q/x",
           .headers = {{"host", "h.example"},
                       {"request-id", "r1"},
                       {"deadline-ms", "3000"}},
           .total_timeout = kTimeout},
          {.on_done = [&](const net::http_result& done) {
            statuses.push_back(done.status);
          }});
    }
    EXPECT_TRUE(loop_.RunUntil(
        [&] {
          most = std::max(most, gateway_->ResidentKib());
          return statuses.size() == kCallers && service.Open() == 0;
        },
        kTimeout))
        << statuses.size() << ' ' << service.Open();
    EXPECT_LT(most - before, kMemoryKib) << each.piece;
    for (const int status : statuses) {
      EXPECT_TRUE(status == 502 || status == 504 || status == 503) << status;
    }
    EXPECT_GT(service.Accepted(), 0U);
    EXPECT_FALSE(gateway_->HasEnded());
    store_.Remove("servers/i-f");
  }
}

struct endless_bytes {
  const char* name;
  /** Sent once on each connection, and then `piece` without end. */
  std::string start;
  std::string piece;
  const char* target = "/q/x";
  /** The callers of the faulty endpoint read nothing. */
  bool is_unread = false;
};

void PrintTo(const endless_bytes& bytes, std::ostream* out) {
  *out << bytes.name;
}

/** One endpoint sends bytes without end; the sidecar's engine is sound. */
class endless_bytes_test : public users_platform_test,
                           public ::testing::WithParamInterface<endless_bytes> {
 protected:
  void SendFaulty() {
    auto call = std::make_shared<net::http_call_id>(0);
    net::http_callbacks callbacks;
    callbacks.on_data = [this, call](std::string_view) {
      if (GetParam().is_unread) http_.Hold(*call);
    };
    callbacks.on_done = [this](const net::http_result&) { ++faulty_ended_; };
    *call = http_.Start(
        {.method = "POST",
         .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
         .target = GetParam().target,
         .headers = {{"host", "h.example"},
                     {"request-id", "r1"},
                     {"deadline-ms", "3000"}},
         .total_timeout = milliseconds(4000),
         .fresh_connection = true},
        std::move(callbacks));
    ++faulty_;
  }
  void SendSound() {
    const std::string id = "s" + std::to_string(sound_++);
    http_.Start(
        {.method = "POST",
         .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
         .target = "/p/x",
         .headers = {{"host", "h.example"},
                     {"request-id", id},
                     {"model", "m/a1"},
                     {"token-count", "100,20"},
                     {"deadline-ms", "5000"}},
         .total_timeout = milliseconds(6000)},
        {.on_done = [this](const net::http_result& done) {
          ++sound_ended_;
          const bool is_whole =
              done.failure == net::http_failure::none && done.status == 200;
          sound_answered_ += is_whole ? 1 : 0;
          ++sound_outcomes_[is_whole ? "whole"
                                     : std::to_string(done.status) + ' ' +
                                           done.error_message];
        }});
  }

  int faulty_ = 0;
  int faulty_ended_ = 0;
  int sound_ = 0;
  int sound_ended_ = 0;
  int sound_answered_ = 0;
  std::map<std::string, int> sound_outcomes_;
};

// Guards against a faulty endpoint whose bytes take the gateway's loop or its
// memory, so that the requests of other callers end without an answer.
TEST_P(endless_bytes_test, SoundRequestsBesideThemAreAnswered) {
  // Well within the memory available on the smallest entry VMs (160 MB).
  constexpr long kMemoryKib = 64L * 1024;
  flooding_service service(loop_, GetParam().start, GetParam().piece);
  PutPlainEndpoint("i-f", service.Port());
  WaitUntilReady();
  loop_.RunUntil([] { return false; }, milliseconds(600));
  const long before = gateway_->ResidentKib();
  long most = before;
  const auto faulty =
      loop_.SchedulePeriodic(milliseconds(25), [this] { SendFaulty(); });
  const auto sound =
      loop_.SchedulePeriodic(milliseconds(40), [this] { SendSound(); });
  const auto measure = [&] {
    most = std::max(most, gateway_->ResidentKib());
    return false;
  };
  loop_.RunUntil(measure, milliseconds(5000));
  loop_.Cancel(faulty);
  loop_.Cancel(sound);
  EXPECT_TRUE(loop_.RunUntil(
      [&] {
        measure();
        return sound_ended_ == sound_ && faulty_ended_ == faulty_;
      },
      kTimeout))
      << sound_ended_ << " of " << sound_ << ", " << faulty_ended_ << " of "
      << faulty_;
  EXPECT_EQ(sound_answered_, sound_)
      << ::testing::PrintToString(sound_outcomes_);
  EXPECT_GT(sound_, 50);
  EXPECT_LT(most - before, kMemoryKib);
  EXPECT_FALSE(gateway_->HasEnded());
}

const std::string kAnswerHead =
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\nrequest-id: r1\r\n";
const std::string kStreamHead = kAnswerHead +
                                "content-type: text/event-stream\r\n"
                                "connection: close\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    engines, endless_bytes_test,
    ::testing::Values(
        endless_bytes{"header", kAnswerHead + "x: ", "y"},
        endless_bytes{
            "extension",
            kAnswerHead + "transfer-encoding: chunked\r\n\r\n5;a=", "x"},
        endless_bytes{"extensions",
                      kAnswerHead + "transfer-encoding: chunked\r\n\r\n",
                      "1;" + std::string(20'000, 'x') + "\r\nb\r\n"},
        endless_bytes{"body", kAnswerHead + "\r\n", "body"},
        endless_bytes{"unread_body",
                      kAnswerHead + "content-length: 4000000\r\n\r\n", "body",
                      "/q/x", true},
        endless_bytes{"empty_lines", kStreamHead, "\n", "/f/x"},
        endless_bytes{"comments", kStreamHead, ": comment\n\n", "/f/x"},
        endless_bytes{"events", kStreamHead,
                      "data: " + std::string(128 * 1024, 'd') + "\n\n", "/f/x"},
        endless_bytes{"unread_events", kStreamHead,
                      "data: " + std::string(128 * 1024, 'd') + "\n\n", "/f/x",
                      true},
        endless_bytes{"small_unread_events", kStreamHead, "data: d\n\n", "/f/x",
                      true}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against a refusal that an endpoint writes once more on a kept
// connection: the request that is due there runs, so its caller must not be
// told that it has not, and it must not run again elsewhere.
TEST_F(users_platform_test, ARepeatedRefusalIsNotTakenForTheNextAnswer) {
  engine_stand_in service(loop_, {.slots = 200, .generates = false});
  service.Start("i-1p");
  PutPlainEndpoint("i-1p", service.Port(), 200);
  WaitUntilReady();
  loop_.RunUntil([] { return false; }, milliseconds(600));
  const auto order = [&](const std::string& id) {
    return Call(
               {.method = "POST",
                .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
                .target = "/q/x",
                .headers = {{"host", "h.example"},
                            {"request-id", id},
                            {"deadline-ms", "3000"}}})
        .status;
  };
  using repeated = engine_stand_in::repeated_refusal;
  for (const repeated how : {repeated::unchanged, repeated::without_id}) {
    service.repeats_refusals = how;
    const std::string name = how == repeated::unchanged ? "u" : "w";
    // The first attempt is refused, the second one is sent to the same
    // endpoint, the only one.
    for (int refusals = 1; refusals <= 4; ++refusals) {
      service.refuse_next = refusals;
      for (int i = 0; i < 3; ++i) {
        const std::string id =
            name + std::to_string(refusals) + '-' + std::to_string(i);
        const int status = order(id);
        EXPECT_TRUE(status != 503 || service.runs.count(id) == 0) << id;
        EXPECT_LE(service.runs[id], 1) << id;
      }
    }
  }
}

// Guards against lost answers in a planned stop under load, with new and with
// persistent connections: each accepted request must get its complete answer.
TEST_F(users_platform_test, AStopUnderLoadLosesNoAnswers) {
  engine_stand_in service(loop_, {.slots = 200, .generates = false});
  PutPlainEndpoint("i-1p", service.Port(), 200);
  service.Start("i-1p");
  WaitUntilReady();
  loop_.RunUntil([] { return false; }, milliseconds(600));
  std::map<int, int> outcomes;
  int broken = 0;
  int number = 0;
  bool stop = false;
  std::function<void(bool)> call = [&](bool fresh) {
    const std::string id = "s" + std::to_string(++number);
    http_.Start(
        {.method = "POST",
         .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
         .target = "/q/x",
         .headers = {{"host", "h.example"},
                     {"request-id", id},
                     {"deadline-ms", "3000"}},
         .total_timeout = kTimeout,
         .fresh_connection = fresh,
         .may_resend = false},
        {.on_done = [&, fresh, id](const net::http_result& done) {
          if (done.failure == net::http_failure::broken) {
            // Closed without an answer; a fault only if the service ran the
            // request.
            if (service.runs.count(id) > 0) ++broken;
          } else if (done.failure == net::http_failure::none) {
            ++outcomes[done.status];
            EXPECT_TRUE(done.status != 200 || done.body == PlainText(id));
          }
          const bool ended = done.failure == net::http_failure::not_sent;
          if (!stop && !ended) call(fresh);
        }});
  };
  for (int i = 0; i < 40; ++i) call(i % 2 == 0);
  loop_.RunUntil([] { return false; }, milliseconds(300));
  gateway_->Signal(SIGTERM);
  EXPECT_TRUE(loop_.RunUntil([&] { return gateway_->HasEnded(); }, kTimeout));
  stop = true;
  loop_.RunUntil([] { return false; }, milliseconds(200));
  EXPECT_EQ(gateway_->Status(), 0);
  EXPECT_EQ(broken, 0);
  EXPECT_GT(outcomes[200], 100);
}

/** Callers' connections and bodies against the limits of the operator. */
class client_limits_test : public users_platform_test {
 protected:
  struct idle_connection {
    net::tcp_socket socket;
    core::time_point opened_at;
  };

  idle_connection Open() {
    auto socket =
        net::tcp_socket::Connect(net::socket_address(kHost, caller_port_));
    loop_.RunUntil([&] { return socket.ConnectError() == 0; }, kTimeout);
    return {std::move(socket), loop_.Now()};
  }
  static bool IsClosed(idle_connection& connection) {
    char byte = 0;
    return connection.socket.Read(&byte, 1).outcome ==
           net::transfer_result::kind::ended;
  }
  /** @returns how long the connection was open; nothing after `limit`. */
  std::optional<milliseconds> TimeOpen(idle_connection& connection,
                                       milliseconds limit) {
    const auto waker = loop_.SchedulePeriodic(milliseconds(20), [] {});
    const bool closed =
        loop_.RunUntil([&] { return IsClosed(connection); }, limit);
    loop_.Cancel(waker);
    if (!closed) return std::nullopt;
    return core::ToMilliseconds(loop_.Now() - connection.opened_at);
  }
  int StatusOf(std::size_t header_bytes, std::size_t body_bytes) {
    return Call(
               {.method = "POST",
                .url = net::url::Parse("http://" + Address(caller_port_) + "/"),
                .target = "/q/x",
                .headers = {{"host", "h.example"},
                            {"request-id", "r1"},
                            {"deadline-ms", "3000"},
                            {"x-large", std::string(header_bytes, 'x')}},
                .body = std::string(body_bytes, 'x')})
        .status;
  }
  void Wait(int ms) {
    loop_.RunUntil([] { return false; }, milliseconds(ms));
  }

  /** Time for a change of the configuration to be in force. */
  static constexpr int kChangeMs = 2000;
};

// Guards against an idle timeout that is not the operator's: callers would use
// connections again that were just closed.
TEST_F(client_limits_test, TheIdleTimeoutOfTheConfigurationIsInForce) {
  PutConfiguration(8, {{"IdleTimeoutMs", 2000}});
  gateway_ = Start("gateway");
  WaitUntilReady();
  auto first = Open();
  const auto open = TimeOpen(first, milliseconds(4000));
  ASSERT_TRUE(open.has_value());
  EXPECT_GE(*open, milliseconds(1900));

  auto waiting = Open();
  PutConfiguration(9, {{"IdleTimeoutMs", 5000}});
  Wait(4000);
  EXPECT_FALSE(IsClosed(waiting));

  // Callers may rely on the earlier timeout until their connections have ended.
  auto earlier = Open();
  PutConfiguration(10, {{"IdleTimeoutMs", 1000}});
  Wait(4500);
  EXPECT_FALSE(IsClosed(earlier));
  Wait(kChangeMs);
  auto later = Open();
  const auto lowered = TimeOpen(later, milliseconds(3000));
  ASSERT_TRUE(lowered.has_value());
  EXPECT_LT(*lowered, milliseconds(2000));
}

TEST_F(client_limits_test, TheSizesOfTheConfigurationAreInForce) {
  WaitUntilReady();
  EXPECT_EQ(StatusOf(100, 5'000'000), 413);
  PutConfiguration(8, {{"HeaderBytes", 32'768}, {"BodyBytes", 12'000'000}});
  Wait(kChangeMs);
  const int within = StatusOf(100, 1000);
  EXPECT_EQ(StatusOf(31'000, 10'000'000), within);
  PutConfiguration(9, {{"HeaderBytes", 3000}, {"BodyBytes", 1'000'000}});
  Wait(kChangeMs);
  EXPECT_EQ(StatusOf(100, 2'000'000), 413);
  EXPECT_EQ(StatusOf(5000, 1000), 431);
  EXPECT_EQ(StatusOf(2000, 900'000), within);
}

// A configuration with odd limits is a configuration all the same.
TEST_F(client_limits_test, OddLimitsDoNotKeepAConfigurationOut) {
  WaitUntilReady();
  int version = 8;
  for (const json& odd :
       {json(0), json(-5), json(1e300), json(18446744073709551615ULL),
        json("4 MB"), json(), json::array()}) {
    PutConfiguration(version, {{"HeaderBytes", odd},
                               {"BodyBytes", odd},
                               {"HeaderTimeoutMs", odd},
                               {"IdleTimeoutMs", odd}});
    Wait(500);
    const auto state =
        Call({.url = net::url::Parse("http://" + Address(admin_port_) +
                                     "/debug/state")})
            .body;
    EXPECT_NE(state.find("\"configuration_version\": " +
                         std::to_string(version) + ','),
              std::string::npos)
        << odd << state;
    EXPECT_EQ(SendStream("r" + std::to_string(version), "a1").status, 200)
        << odd;
    ++version;
  }
}

TEST_F(users_platform_test, ExplainsAWrongSettingsFile) {
  std::ofstream(Path("wrong")) << "{\"Node\":7}";
  settings_program failing(
      {Binary("gateway"), Path("wrong"), Path("wrong.log")});
  ASSERT_TRUE(loop_.RunUntil([&] { return failing.HasEnded(); }, kTimeout));
  EXPECT_EQ(failing.Status(), 2);
  std::ifstream log(Path("wrong.log"));
  std::string line;
  std::getline(log, line);
  EXPECT_NE(line.find("Node"), std::string::npos) << line;
}

TEST_F(users_platform_test, ALineAboutAFailedStartIsJson) {
  std::ofstream(Path("wrong"))
      << R"({"Node":"n","Ip":"127.0.0.1","Zone":"z","InternalPorts":[1,2],)"
      << R"("Seeds":[{"a":"b"}]})";
  settings_program failing(
      {Binary("gateway"), Path("wrong"), Path("wrong.log")});
  ASSERT_TRUE(loop_.RunUntil([&] { return failing.HasEnded(); }, kTimeout));
  std::ifstream log(Path("wrong.log"));
  std::string line;
  std::getline(log, line);
  EXPECT_TRUE(json::accept(line)) << line;
}

TEST_F(users_platform_test, MetricsHaveAPortOfTheirOwn) {
  WaitUntilReady();
  ::setenv("COMFREYSPRING_METRICS_PORT", std::to_string(OwnPort(5)).c_str(), 1);
  gateway_ = Start("gateway");
  ::setenv("COMFREYSPRING_METRICS_PORT", "70000", 1);
  settings_program wrong({Binary("gateway"), Path("gateway"), Path("bad.log")});
  ::unsetenv("COMFREYSPRING_METRICS_PORT");
  WaitUntilReady();
  const auto answer = Call(
      {.url = net::url::Parse("http://" + Address(OwnPort(5)) + "/metrics")});
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("gateway_catalog_age_ms"), std::string::npos);
  ASSERT_TRUE(loop_.RunUntil([&] { return wrong.HasEnded(); }, kTimeout));
  EXPECT_EQ(wrong.Status(), 2);
}

}  // namespace
}  // namespace comfreyspring::process_test

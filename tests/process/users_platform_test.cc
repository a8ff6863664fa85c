// Gateway and sidecar as real processes before small stand-ins of the users'
// platform: its store and one engine, which speak the platform's protocol.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

constexpr const char* kHost = "127.0.0.1";
constexpr milliseconds kLimit{8000};

/** Ports of one test process, below those that the system hands out. */
std::uint16_t OwnPort(int index) {
  constexpr int kFirst = 10000;
  constexpr int kPerProcess = 8;
  constexpr int kProcesses = 2500;
  return static_cast<std::uint16_t>(
      kFirst + ::getpid() % kProcesses * kPerProcess + index);
}

std::string Base64(const std::string& text) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

/** A program that is started with a settings file; killed at the end. */
class program {
 public:
  program(const std::string& binary, const std::string& settings,
          const std::string& log)
      : pid_(fork()) {
    if (pid_ != 0) return;
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::setenv("COMFREYSPRING_CONFIG", settings.c_str(), 1);
    ::execl(binary.c_str(), binary.c_str(), nullptr);
    ::_exit(127);
  }
  ~program() {
    if (!ended_) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }
  program(const program&) = delete;
  program& operator=(const program&) = delete;

  void Signal(int number) { ::kill(pid_, number); }
  /** True once it has ended; `Status` is its exit code then. */
  bool HasEnded() {
    int status = 0;
    if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      ended_ = true;
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return ended_;
  }
  int Status() const { return status_; }

 private:
  pid_t pid_;
  bool ended_ = false;
  int status_ = -1;
};

/** The store: one list of items, and waits that end when it changes. */
class store_stand_in {
 public:
  explicit store_stand_in(net::event_loop& loop)
      : loop_(loop), server_(loop, {.address = kHost}, [this](auto exchange) {
          Answer(std::move(exchange));
        }) {}

  void Put(const std::string& key, const json& value) {
    items_[key] = {{"Key", key},
                   {"Value", Base64(value.dump())},
                   {"Rev", ++revision_},
                   {"Created", 1},
                   {"Lease", 0}};
    std::vector<std::shared_ptr<net::http_exchange>> waiting;
    waiting.swap(waiting_);
    for (const auto& exchange : waiting) SendEvents(*exchange);
  }
  void SetDown(bool down) { down_ = down; }
  std::uint16_t Port() const { return server_.Port(); }

 private:
  void Answer(std::shared_ptr<net::http_exchange> exchange) {
    if (down_) {
      exchange->Respond({503, {}, ""});
      return;
    }
    const auto& request = exchange->Request();
    if (request.path == "/v1/kv-range") {
      json items = json::array();
      for (const auto& [key, item] : items_) items.push_back(item);
      exchange->Respond(
          {200,
           {},
           json{{"items", items}, {"Truncated", false}, {"AsOf", revision_}}
               .dump()});
      return;
    }
    if (std::stoll(request.query.at("after")) < revision_) {
      SendEvents(*exchange);
      return;
    }
    waiting_.push_back(exchange);
    loop_.Schedule(milliseconds(std::stoi(request.query.at("WaitMs"))),
                   [this, exchange] {
                     if (std::erase(waiting_, exchange) > 0) {
                       SendEvents(*exchange);
                     }
                   });
  }
  void SendEvents(net::http_exchange& exchange) {
    const auto after = std::stoll(exchange.Request().query.at("after"));
    json events = json::array();
    for (const auto& [key, item] : items_) {
      if (item.at("Rev").get<std::int64_t>() > after) events.push_back(item);
    }
    exchange.Respond(
        {200, {}, json{{"events", events}, {"AsOf", revision_}}.dump()});
  }

  net::event_loop& loop_;
  std::map<std::string, json> items_;
  std::int64_t revision_ = 100;
  bool down_ = false;
  std::vector<std::shared_ptr<net::http_exchange>> waiting_;
  net::http_server server_;
};

/** An engine with one model; counts runs and orders. */
class engine_stand_in {
 public:
  explicit engine_stand_in(net::event_loop& loop)
      : loop_(loop), server_(loop, {.address = kHost}, [this](auto exchange) {
          Answer(std::move(exchange));
        }) {}

  std::uint16_t Port() const { return server_.Port(); }
  std::set<std::string> held;
  std::map<std::string, int> runs;
  std::vector<std::string> targets;
  std::set<std::string> holders;
  std::int64_t highest_fencing = 0;
  bool fencing_fell = false;
  std::size_t most_held = 0;
  int events = 5;
  /** Ends the first run after so many events without its end. */
  int break_after = 0;

 private:
  void Answer(const std::shared_ptr<net::http_exchange>& exchange) {
    const auto& request = exchange->Request();
    if (request.path == "/v1/report") {
      json adapters = json::array();
      for (const auto& name : held) adapters.push_back(name + "@1");
      exchange->Respond(
          {200,
           {},
           json{{"born", 5},
                {"Seq", orders_},
                {"Busy", false},
                {"Models",
                 json::array({{{"Name", "m"}, {"Adapters", adapters}}})}}
               .dump()});
    } else if (request.path == "/v1/order") {
      TakeOrder(*exchange);
    } else {
      Run(exchange);
    }
  }
  void TakeOrder(net::http_exchange& exchange) {
    const auto order = json::parse(exchange.Request().body);
    ++orders_;
    holders.insert(order.at("Holder").get<std::string>());
    const auto fencing = order.at("Fence").get<std::int64_t>();
    fencing_fell = fencing_fell || fencing < highest_fencing;
    highest_fencing = std::max(highest_fencing, fencing);
    const auto name = order.at("Adapter").get<std::string>();
    if (order.at("Op") == "load") {
      held.insert(name);
    } else {
      held.erase(name);
    }
    most_held = std::max(most_held, held.size());
    exchange.Respond({order.at("Op") == "load" ? 202 : 200, {}, ""});
  }
  void Run(const std::shared_ptr<net::http_exchange>& exchange) {
    const auto& request = exchange->Request();
    const std::string id = request.headers.at("request-id");
    const std::string model = request.headers.at("model");
    if (request.headers.at("expect-instance") != "i-1" ||
        held.count(model.substr(2)) == 0) {
      exchange->Respond({421, {{"instance", "i-1"}}, ""});
      return;
    }
    ++runs[id];
    targets.push_back(request.target);
    const auto resumed = request.headers.find("last-event-id");
    const int first =
        resumed == request.headers.end() ? 1 : std::stoi(resumed->second) + 1;
    exchange->BeginStream(200, {{"content-type", "text/event-stream"},
                                {"server-stamp", "stamp"},
                                {"request-id", id}});
    SendEvent(exchange, first);
  }
  void SendEvent(const std::shared_ptr<net::http_exchange>& exchange, int id) {
    if (break_after > 0 && id > break_after) {
      break_after = 0;
      exchange->Abort();
      return;
    }
    exchange->Write("id: " + std::to_string(id) + "\ndata: x\n\n");
    if (id >= events) {
      exchange->EndStream();
      return;
    }
    loop_.Schedule(milliseconds(20),
                   [this, exchange, id] { SendEvent(exchange, id + 1); });
  }

  net::event_loop& loop_;
  std::int64_t orders_ = 0;
  net::http_server server_;
};

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
    gateway_ = std::make_unique<program>(Binary("gateway"), Path("gateway"),
                                         Path("gateway.log"));
  }
  void TearDown() override {
    gateway_.reset();
    sidecar_.reset();
    if (!HasFailure()) std::filesystem::remove_all(directory_);
  }

  void PutConfiguration(int version) {
    store_.Put(
        "op/config",
        {{"Version", version},
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
                                  {"Resumable", true}}})},
         {"Services",
          json::array({{{"Name", "s"},
                        {"MaxConns", 100},
                        {"Engine",
                         {{"Slots", 8},
                          {"AdapterSlots", 2},
                          {"KvCapacity", 100000},
                          {"Stride", 5},
                          {"Models", json::array({{{"Name", "m"}}})}}}}})}});
  }
  void PutEndpoint(const std::string& state) {
    store_.Put("servers/i-1", {{"Service", "s"},
                               {"Addr", Address(engine_.Port())},
                               {"Zone", "z"},
                               {"Slots", 8},
                               {"State", state},
                               {"born", 5}});
  }
  static std::string Address(std::uint16_t port) {
    return std::string(kHost) + ':' + std::to_string(port);
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
  void StartSidecar() {
    sidecar_ = std::make_unique<program>(Binary("sidecar"), Path("sidecar"),
                                         Path("sidecar.log"));
  }
  std::string Path(const std::string& name) const { return directory_ / name; }
  static std::string Binary(const std::string& name) {
    return std::string(COMFREYSPRING_BINARY_DIRECTORY) +
           "/platform/comfreyspring_" + name;
  }

  net::http_result Call(net::http_call call) {
    std::optional<net::http_result> result;
    call.total_timeout = kLimit;
    http_.Start(std::move(call), {.on_done = [&](const net::http_result& done) {
                  result = done;
                }});
    EXPECT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kLimit));
    return result.value_or(net::http_result{});
  }
  net::http_result Ask(const std::string& id, const std::string& adapter) {
    return Call({.method = "POST",
                 .url = "http://" + Address(caller_port_) + "/",
                 .target = "/p/x%20y?q=1",
                 .headers = {{"host", "h.example"},
                             {"request-id", id},
                             {"model", "m/" + adapter},
                             {"token-count", "100,20"},
                             {"deadline-ms", "5000"}}});
  }
  int Readiness() {
    return Call({.url = "http://" + Address(ready_port_) + "/ready"}).status;
  }
  void WaitUntilReady() {
    for (int i = 0; i < 100 && Readiness() != 200; ++i) {
      loop_.RunUntil([] { return false; }, milliseconds(50));
    }
    ASSERT_EQ(Readiness(), 200);
    // The sidecar's first status.
    loop_.RunUntil([] { return false; }, milliseconds(300));
  }
  std::string Events(int count) const {
    std::string text;
    for (int id = 1; id <= count; ++id) {
      text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    return text;
  }

  net::event_loop loop_;
  net::http_client http_{loop_};
  store_stand_in store_{loop_};
  engine_stand_in engine_{loop_};
  std::uint16_t caller_port_ = OwnPort(2);
  std::uint16_t ready_port_ = OwnPort(3);
  std::uint16_t admin_port_ = OwnPort(4);
  std::filesystem::path directory_;
  std::unique_ptr<program> sidecar_;
  std::unique_ptr<program> gateway_;
};

TEST_F(users_platform_test, ServesAStreamByteForByte) {
  WaitUntilReady();
  const auto answer = Ask("r1", "a1");
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(answer.failure, net::http_failure::none);
  EXPECT_EQ(answer.headers.at("server-stamp"), "stamp");
  EXPECT_EQ(answer.body, Events(5));
  ASSERT_EQ(engine_.targets.size(), 1U);
  EXPECT_EQ(engine_.targets[0], "/p/x%20y?q=1");
}

// Adapters beyond the engine's places: one holder, rising fencing numbers, and
// never more than it can hold.
TEST_F(users_platform_test, LoadsAdaptersWithinTheEnginesPlaces) {
  WaitUntilReady();
  for (const std::string adapter : {"a1", "a2", "a3", "a4", "a1"}) {
    EXPECT_EQ(Ask("r-" + adapter, adapter).status, 200) << adapter;
  }
  EXPECT_EQ(engine_.holders, std::set<std::string>{"sidecar-1"});
  EXPECT_FALSE(engine_.fencing_fell);
  EXPECT_LE(engine_.most_held, 2U);
}

TEST_F(users_platform_test, ABrokenStreamGoesOnInOneAnswer) {
  WaitUntilReady();
  engine_.break_after = 3;
  const auto answer = Ask("r1", "a1");
  EXPECT_EQ(answer.failure, net::http_failure::none);
  EXPECT_EQ(answer.body, Events(5));
  EXPECT_EQ(engine_.runs["r1"], 2);
}

// The agent dies: what its engine holds is served on, and it comes back with a
// higher fencing number.
TEST_F(users_platform_test, ServesOnWithoutTheSidecar) {
  WaitUntilReady();
  ASSERT_EQ(Ask("r1", "a1").status, 200);
  sidecar_.reset();
  loop_.RunUntil([] { return false; }, milliseconds(200));
  EXPECT_EQ(Ask("r2", "a1").status, 200);
  EXPECT_EQ(Ask("r3", "a9").status, 503);
  StartSidecar();
  loop_.RunUntil([] { return false; }, milliseconds(1500));
  EXPECT_EQ(Ask("r4", "a9").status, 200);
  EXPECT_FALSE(engine_.fencing_fell);
}

TEST_F(users_platform_test, ServesThroughAnOutageOfTheStore) {
  WaitUntilReady();
  store_.SetDown(true);
  loop_.RunUntil([] { return false; }, milliseconds(3500));
  EXPECT_EQ(Ask("r1", "a1").status, 200);
  EXPECT_EQ(Readiness(), 200);
}

TEST_F(users_platform_test, ALeavingEngineGetsNothing) {
  WaitUntilReady();
  PutEndpoint("draining");
  loop_.RunUntil([] { return false; }, milliseconds(800));
  EXPECT_EQ(Ask("r1", "a1").status, 503);
  EXPECT_EQ(engine_.runs.count("r1"), 0U);
}

// A planned stop cuts nothing: the open stream ends whole, then the process.
TEST_F(users_platform_test, SigtermLetsAStreamEnd) {
  WaitUntilReady();
  engine_.events = 60;
  std::optional<net::http_result> result;
  http_.Start(
      {.method = "POST",
       .url = "http://" + Address(caller_port_) + "/",
       .target = "/p/x",
       .headers = {{"host", "h.example"},
                   {"request-id", "r1"},
                   {"model", "m/a1"},
                   {"token-count", "100,20"},
                   {"deadline-ms", "5000"}},
       .total_timeout = kLimit},
      {.on_done = [&](const net::http_result& done) { result = done; }});
  loop_.RunUntil([&] { return engine_.runs.count("r1") > 0; }, kLimit);
  gateway_->Signal(SIGTERM);
  loop_.RunUntil([] { return false; }, milliseconds(100));
  EXPECT_EQ(Readiness(), 503);
  ASSERT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kLimit));
  EXPECT_EQ(result->failure, net::http_failure::none);
  EXPECT_EQ(result->body, Events(60));
  ASSERT_TRUE(loop_.RunUntil([&] { return gateway_->HasEnded(); }, kLimit));
  EXPECT_EQ(gateway_->Status(), 0);
}

TEST_F(users_platform_test, ExplainsAWrongSettingsFile) {
  std::ofstream(Path("wrong")) << "{\"Node\":7}";
  program failing(Binary("gateway"), Path("wrong"), Path("wrong.log"));
  ASSERT_TRUE(loop_.RunUntil([&] { return failing.HasEnded(); }, kLimit));
  EXPECT_EQ(failing.Status(), 2);
  std::ifstream log(Path("wrong.log"));
  std::string line;
  std::getline(log, line);
  EXPECT_NE(line.find("Node"), std::string::npos) << line;
}

}  // namespace
}  // namespace comfreyspring::process_test

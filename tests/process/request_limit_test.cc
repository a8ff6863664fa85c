// Runs several gateways and sidecars as real processes before endpoints that
// name request rate limits. What arrives at an endpoint is counted over all
// gateways.

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "arrival_record.h"
#include "engine_stand_in.h"
#include "fleet_layout.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "settings_program.h"
#include "store_stand_in.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

constexpr int kGateways = 4;
constexpr int kEngines = 3;
constexpr int kPlain = 2;
constexpr milliseconds kTimeout{8000};

class request_limit_test : public ::testing::Test {
 protected:
  struct endpoint {
    std::unique_ptr<engine_stand_in> engine;
    std::unique_ptr<settings_program> sidecar;
  };
  struct outcome {
    int status = 0;
    core::time_point sent_at;
    core::time_point answered_at;
    double retry_after_s = 0.0;
  };

  void SetUp() override {
    directory_ = std::filesystem::temp_directory_path() /
                 ("request_limit_" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory_);
    PutConfiguration();
    for (int i = 0; i < kEngines + kPlain; ++i) AddEndpoint(i);
    for (int i = 0; i < kGateways; ++i) {
      gateways_.push_back(Start("gateway", i, layout_.Gateway(i)));
    }
    WaitUntilReady();
  }
  void TearDown() override {
    loop_.Cancel(load_timer_);
    gateways_.clear();
    endpoints_.clear();
    if (!HasFailure()) std::filesystem::remove_all(directory_);
  }

  void PutConfiguration() {
    const auto route = [](const std::string& name, const std::string& kind,
                          const std::string& service) {
      return json{
          {"Name", name},  {"Host", "h.example"}, {"Prefix", '/' + name + '/'},
          {"Kind", kind},  {"TimeoutMs", 3000},   {"GoalMs", 600},
          {"Priority", 0}, {"Service", service},  {"Attempts", 2}};
    };
    json stream = route("stream", "stream", "model");
    stream["GapTargetMs"] = 300;
    stream["Resumable"] = true;
    store_.Put(
        "op/config",
        {{"Version", 1},
         {"Routes",
          json::array({stream, route("order", "non_idempotent", "plain")})},
         {"Services",
          json::array({{{"Name", "model"},
                        {"MaxConns", 200},
                        {"Engine",
                         {{"Slots", 8},
                          {"AdapterSlots", 2},
                          {"KvCapacity", 100000},
                          {"Stride", 5},
                          {"Models", json::array({{{"Name", "m"}}})}}}},
                       {{"Name", "plain"}, {"MaxConns", 200}}})}});
  }

  void AddEndpoint(int index) {
    const bool generates = index < kEngines;
    const std::string ip = layout_.EndpointRelay(index);
    endpoint added;
    added.engine = std::make_unique<engine_stand_in>(
        loop_, engine_options{.ip = ip,
                              .port = fleet_layout::kEndpointPort,
                              .generates = generates});
    engine_stand_in& engine = *added.engine;
    engine.Start("i-" + std::to_string(index));
    if (generates) engine.held = {"a1"};
    engine.on_arrival = [this, &engine](const std::string& id) {
      arrivals_.Arrived(engine.Instance(), GatewayOf(id), loop_.Now());
    };
    engine.on_limit_named = [this, &engine](const std::string& id) {
      arrivals_.Named(engine.Instance(), GatewayOf(id), loop_.Now());
    };
    store_.Put("servers/" + engine.Instance(),
               {{"Service", generates ? "model" : "plain"},
                {"Addr", fleet_layout::At(ip, fleet_layout::kEndpointPort)},
                {"Zone", "z"},
                {"Slots", 8},
                {"State", "ready"},
                {"born", engine.StartedAt()}});
    endpoints_.push_back(std::move(added));
    if (generates) StartSidecar(index);
  }

  void StartSidecar(int index) {
    endpoints_[static_cast<std::size_t>(index)].sidecar =
        Start("sidecar", index, layout_.EndpointRelay(index));
  }

  std::unique_ptr<settings_program> Start(const std::string& program, int index,
                                          const std::string& ip) {
    const std::string name = program + '-' + std::to_string(index);
    const auto at = [&ip](std::uint16_t port) {
      return fleet_layout::At(ip, port);
    };
    json file = {
        {"Node", name},
        {"Ip", ip},
        {"Zone", "z"},
        {"InternalPorts",
         {fleet_layout::kFirstInternalPort, fleet_layout::kLastInternalPort}},
        {"Bounds", {{"GraceS", 5}, {"BudgetExtra", 50}}},
        {"Provider",
         {{"Addr",
           fleet_layout::At(layout_.Store(), fleet_layout::kStorePort)}}}};
    file["Listen"] = json::object();
    if (program == "gateway") {
      file["Listen"] = {{"Front", at(fleet_layout::kCallerPort)},
                        {"Ready", at(fleet_layout::kReadyPort)},
                        {"Control", at(fleet_layout::kAdminPort)}};
    } else {
      file["app"] = at(fleet_layout::kEndpointPort);
    }
    const std::string path = directory_ / name;
    std::ofstream(path) << file;
    return std::make_unique<settings_program>(
        settings_program::options{std::string(COMFREYSPRING_BINARY_DIRECTORY) +
                                      "/platform/comfreyspring_" + program,
                                  path, path + ".log"});
  }

  void WaitUntilReady() {
    for (int i = 0; i < kGateways; ++i) {
      int status = 0;
      for (int tries = 0; tries < 100 && status != 200; ++tries) {
        std::optional<net::http_result> result;
        http_.Start(
            {.url = "http://" +
                    fleet_layout::At(layout_.Gateway(i),
                                     fleet_layout::kReadyPort) +
                    "/ready",
             .total_timeout = milliseconds(500)},
            {.on_done = [&](const net::http_result& done) { result = done; }});
        loop_.RunUntil([&] { return result.has_value(); }, kTimeout);
        status = result ? result->status : 0;
        if (status != 200) Wait(milliseconds(50));
      }
      ASSERT_EQ(status, 200);
    }
    Wait(milliseconds(500));
  }

  void Wait(milliseconds length) {
    loop_.RunUntil([] { return false; }, length);
  }

  // Load.

  static int GatewayOf(const std::string& id) { return id[0] - '0'; }

  /** Sends requests of this route to the first gateways in turn. */
  void StartLoad(const std::string& route, milliseconds period,
                 int gateways = kGateways) {
    load_timer_ = loop_.SchedulePeriodic(
        period, [this, route, gateways] { Send(route, ++sent_ % gateways); });
  }
  void StopLoad() {
    loop_.Cancel(load_timer_);
    loop_.RunUntil([this] { return answered_ == sent_; }, kTimeout);
  }

  void Send(const std::string& route, int gateway) {
    const std::string id =
        std::to_string(gateway) + '-' + std::to_string(sent_);
    net::http_call call = {.method = "POST",
                           .url = "http://" +
                                  fleet_layout::At(layout_.Gateway(gateway),
                                                   fleet_layout::kCallerPort) +
                                  '/',
                           .target = '/' + route + "/x",
                           .headers = {{"host", "h.example"},
                                       {"request-id", id},
                                       {"deadline-ms", "3000"}},
                           .total_timeout = kTimeout,
                           .may_resend = false};
    if (route == "stream") {
      call.headers["model"] = "m/a1";
      call.headers["token-count"] = "100,20";
    }
    const auto sent_at = loop_.Now();
    http_.Start(std::move(call),
                {.on_done = [this, sent_at](const net::http_result& done) {
                  ++answered_;
                  outcome result{done.status, sent_at, loop_.Now()};
                  const auto retry = done.headers.find("retry-after");
                  if (retry != done.headers.end()) {
                    result.retry_after_s = std::stod(retry->second);
                  }
                  outcomes_.push_back(result);
                }});
  }

  // Limits.

  engine_stand_in& Engine(int index) {
    return *endpoints_[static_cast<std::size_t>(index)].engine;
  }
  void SetLimit(int index, std::optional<double> per_second) {
    engine_stand_in& engine = Engine(index);
    engine.limit.reset();
    if (per_second) engine.limit = std::to_string(*per_second);
    arrivals_.LimitSet(engine.Instance(), per_second, loop_.Now());
  }
  void ExpectLimitsKept() {
    for (const arrival_record::span& worst :
         arrivals_.WorstSpans(loop_.Now())) {
      EXPECT_LE(worst.arrivals, worst.allowed) << worst.ToString();
    }
  }
  int ArrivedSince(int index, core::time_point begin) {
    return arrivals_.ArrivedBetween(Engine(index).Instance(), begin,
                                    loop_.Now());
  }
  double ServedShare(core::time_point since) const {
    int sent = 0;
    int served = 0;
    for (const outcome& each : outcomes_) {
      if (each.sent_at < since) continue;
      ++sent;
      if (each.status == 200) ++served;
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
  }

  net::event_loop loop_;
  net::http_client http_{loop_};
  fleet_layout layout_{::getpid()};
  store_stand_in store_{loop_, layout_.Store(), fleet_layout::kStorePort};
  std::filesystem::path directory_;
  arrival_record arrivals_;
  std::vector<endpoint> endpoints_;
  std::vector<std::unique_ptr<settings_program>> gateways_;
  net::timer_id load_timer_ = 0;
  int sent_ = 0;
  int answered_ = 0;
  std::vector<outcome> outcomes_;
};

// Guards against an engine in need that gets its usual share of the load from
// all gateways: its limit counts over all of them.
TEST_F(request_limit_test, AnEngineGetsNoMoreThanTheLimitThatItNames) {
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  SetLimit(0, 1.2);
  const auto named_at = loop_.Now();
  Wait(milliseconds(9000));
  StopLoad();
  ExpectLimitsKept();
  // The other engines take what the limited one cannot.
  EXPECT_GE(ServedShare(named_at), 0.99);
  EXPECT_GT(ArrivedSince(0, named_at + milliseconds(3000)), 0);
}

// Guards against the same for an engine whose reports do not name the limit,
// and whose sidecar is killed and restarted while the limit is in force.
TEST_F(request_limit_test, TheLimitOutlivesTheSidecarOfItsEngine) {
  Engine(0).limit_in_reports = false;
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  SetLimit(0, 2.0);
  Wait(milliseconds(3000));
  for (int i = 0; i < 2; ++i) {
    endpoints_[0].sidecar->Signal(SIGKILL);
    Wait(milliseconds(1500));
    StartSidecar(0);
    Wait(milliseconds(1500));
  }
  Wait(milliseconds(2000));
  StopLoad();
  ExpectLimitsKept();
}

// A plain endpoint has no sidecar, so that nothing counts its requests.
TEST_F(request_limit_test, APlainEndpointGetsNoMoreThanTheLimitThatItNames) {
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  SetLimit(kEngines, 2.0);
  const auto named_at = loop_.Now();
  Wait(milliseconds(9000));
  StopLoad();
  ExpectLimitsKept();
  EXPECT_GE(ServedShare(named_at), 0.99);
}

// Guards against a limit that is respected by serving nothing, and against
// callers that are held until their deadline for nothing.
TEST_F(request_limit_test, LimitsOfAllEnginesAreUsedAndTheRestIsRefusedAtOnce) {
  constexpr double kLimit = 3.0;
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, kLimit);
  Wait(milliseconds(3000));
  const auto since = loop_.Now();
  constexpr milliseconds kLength{8000};
  Wait(kLength);
  for (int i = 0; i < kEngines; ++i) {
    const double used = ArrivedSince(i, since) / (kLimit * 8.0);
    EXPECT_GE(used, 0.7) << "engine " << i;
  }
  StopLoad();
  ExpectLimitsKept();
  for (const outcome& each : outcomes_) {
    if (each.status != 503 || each.sent_at < since) continue;
    EXPECT_LT(each.answered_at - each.sent_at, milliseconds(2000));
    EXPECT_GT(each.retry_after_s, 0.0);
  }
}

TEST_F(request_limit_test, LimitsOfAllPlainEndpointsAreUsed) {
  constexpr double kLimit = 3.0;
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, kLimit);
  Wait(milliseconds(3000));
  const auto since = loop_.Now();
  Wait(milliseconds(8000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) {
    EXPECT_GE(ArrivedSince(i, since) / (kLimit * 8.0), 0.7) << "endpoint " << i;
  }
  StopLoad();
  ExpectLimitsKept();
}

// One gateway hears that the limits have ended, and all of them must.
TEST_F(request_limit_test, LimitsOfPlainEndpointsThatEndAreForgotten) {
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, 2.0);
  Wait(milliseconds(4000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, std::nullopt);
  Wait(milliseconds(2000));
  const auto since = loop_.Now();
  Wait(milliseconds(2000));
  StopLoad();
  ExpectLimitsKept();
  EXPECT_GE(ServedShare(since), 0.99);
}

// Guards against a gateway that does not learn an engine's limit from its
// sidecar because it has reported limits of other endpoints to that sidecar.
TEST_F(request_limit_test, LimitsInReportsReachGatewaysThatReportedOthers) {
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, 5.0);
  StartLoad("order", milliseconds(25), 1);
  Wait(milliseconds(1500));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, 2.0);
  Wait(milliseconds(1500));
  StopLoad();
  std::optional<net::http_result> state;
  http_.Start(
      {.url = "http://" +
              fleet_layout::At(layout_.Gateway(0), fleet_layout::kAdminPort) +
              "/debug/state",
       .total_timeout = kTimeout},
      {.on_done = [&](const net::http_result& done) { state = done; }});
  ASSERT_TRUE(loop_.RunUntil([&] { return state.has_value(); }, kTimeout));
  const json dump = json::parse(state->body);
  ASSERT_EQ(dump.at("endpoints").size(), endpoints_.size());
  for (const auto& each : dump.at("endpoints")) {
    EXPECT_NE(each.at("limit_per_s").get<std::string>(), "")
        << each.at("instance");
  }
}

// Guards against requests that wait until their deadline for the permit of a
// sidecar whose engine has left, and two sidecars that count for long.
TEST_F(request_limit_test, PermitsMoveWhenTheCountingSidecarLeaves) {
  StartLoad("order", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = kEngines; i < kEngines + kPlain; ++i) SetLimit(i, 2.0);
  Wait(milliseconds(3500));
  const auto changed = loop_.Now();
  for (int i = 0; i < kEngines - 1; ++i) {
    store_.Remove("servers/" + Engine(i).Instance());
  }
  Wait(milliseconds(4000));
  StopLoad();
  ExpectLimitsKept();
  for (const outcome& each : outcomes_) {
    if (each.sent_at < changed - milliseconds(1500)) continue;
    EXPECT_LT(each.answered_at - each.sent_at, milliseconds(2500))
        << each.status;
  }
  for (int i = kEngines; i < kEngines + kPlain; ++i) {
    EXPECT_GT(ArrivedSince(i, changed + milliseconds(1000)), 0);
  }
}

// Guards against a gateway that sends, when it is resumed, all requests that
// were granted one after another while it was suspended.
TEST_F(request_limit_test, AResumedGatewaySendsNoGrantsThatHaveWaited) {
  constexpr double kLimit = 10.0;
  StartLoad("stream", milliseconds(10), 1);
  Wait(milliseconds(1000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, kLimit);
  Wait(milliseconds(3000));
  gateways_[0]->Signal(SIGSTOP);
  Wait(milliseconds(2000));
  const auto resumed = loop_.Now();
  gateways_[0]->Signal(SIGCONT);
  Wait(milliseconds(300));
  for (int i = 0; i < kEngines; ++i) {
    EXPECT_LE(ArrivedSince(i, resumed), kLimit * 0.3 + 5.0) << "engine " << i;
  }
  StopLoad();
}

// Guards against a limit that is remembered for longer than the endpoint names
// it, by any gateway.
TEST_F(request_limit_test, ALimitThatIsNotNamedAnyMoreIsForgotten) {
  Engine(0).limit_in_reports = false;
  StartLoad("stream", milliseconds(25));
  Wait(milliseconds(1000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, 2.0);
  SetLimit(kEngines, 2.0);
  Wait(milliseconds(3000));
  for (int i = 0; i < kEngines; ++i) SetLimit(i, std::nullopt);
  SetLimit(kEngines, std::nullopt);
  Wait(milliseconds(3000));
  const auto since = loop_.Now();
  Wait(milliseconds(2000));
  StopLoad();
  ExpectLimitsKept();
  EXPECT_GE(ServedShare(since), 0.99);
}

}  // namespace
}  // namespace comfreyspring::process_test

#include "small_fleet.h"

#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace comfreyspring::process_test {

using core::milliseconds;
using nlohmann::json;

small_fleet_test::small_fleet_test(small_fleet_options options)
    : options_(std::move(options)), layout_(::getpid()) {}

void small_fleet_test::SetUp() {
  directory_ = std::filesystem::temp_directory_path() /
               (options_.name + '_' + std::to_string(::getpid()));
  std::filesystem::create_directories(directory_);
  PutConfiguration({});
  for (int i = 0; i < options_.engines + options_.plain; ++i) AddEndpoint(i);
  gateways_.resize(static_cast<std::size_t>(options_.gateways));
  for (int i = 0; i < options_.gateways; ++i) StartGateway(i);
  for (int i = 0; i < options_.gateways; ++i) WaitUntilReady(i);
  Wait(milliseconds(500));
}

void small_fleet_test::TearDown() {
  gateways_.clear();
  endpoints_.clear();
  if (!HasFailure()) std::filesystem::remove_all(directory_);
}

void small_fleet_test::PutConfiguration(const fleet_configuration& wanted) {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service) {
    return json{
        {"Name", name},  {"Host", "h.example"}, {"Prefix", '/' + name + '/'},
        {"Kind", kind},  {"TimeoutMs", 3000},   {"GoalMs", 600},
        {"Priority", 0}, {"Service", service},  {"Attempts", 2}};
  };
  json routes = json::array({route("order", "non_idempotent", "plain")});
  json services = json::array({{{"Name", "plain"}, {"MaxConns", 200}}});
  if (wanted.has_engine_service) {
    json stream = route("stream", "stream", "model");
    stream["GapTargetMs"] = 300;
    stream["Resumable"] = true;
    routes.push_back(std::move(stream));
    services.push_back({{"Name", "model"},
                        {"MaxConns", 200},
                        {"Engine",
                         {{"Slots", 8},
                          {"AdapterSlots", 2},
                          {"KvCapacity", 100000},
                          {"Stride", 5},
                          {"Models", json::array({{{"Name", "m"}}})}}}});
  }
  for (const std::string& name : wanted.added) {
    routes.push_back(route(name, "non_idempotent", "plain"));
  }
  json content = {{"Version", wanted.version},
                  {"Routes", std::move(routes)},
                  {"Services", std::move(services)}};
  if (!options_.caller_limits.is_null()) {
    content["Limits"] = options_.caller_limits;
  }
  store_.Put("op/config", content);
}

void small_fleet_test::AddEndpoint(int index) {
  const bool generates = index < options_.engines;
  endpoint added;
  added.engine = std::make_unique<engine_stand_in>(
      loop_, engine_options{.ip = layout_.EndpointRelay(index),
                            .port = fleet_layout::kEndpointPort,
                            .generates = generates,
                            .plain_time = options_.plain_time});
  Prepare(*added.engine);
  added.engine->Start("i-" + std::to_string(index));
  if (generates) added.engine->held = {"a1"};
  endpoints_.push_back(std::move(added));
  Register(index);
  if (generates) StartSidecar(index);
}

void small_fleet_test::Register(int index, const std::string& state) {
  const engine_stand_in& engine = Engine(index);
  store_.Put("servers/" + engine.Instance(),
             {{"Service", index < options_.engines ? "model" : "plain"},
              {"Addr", fleet_layout::At(layout_.EndpointRelay(index),
                                        fleet_layout::kEndpointPort)},
              {"Zone", "z"},
              {"Version", versions_.try_emplace(index, "v1").first->second},
              {"Slots", 8},
              {"State", state},
              {"born", engine.StartedAt()}});
}

void small_fleet_test::StartSidecar(int index) {
  auto& sidecar = Slot(index).sidecar;
  sidecar.reset();
  sidecar = Start("sidecar", index, layout_.EndpointRelay(index));
}

void small_fleet_test::StartGateway(int index) {
  auto& gateway = gateways_[static_cast<std::size_t>(index)];
  gateway.reset();
  gateway = Start("gateway", index, layout_.Gateway(index));
}

std::unique_ptr<settings_program> small_fleet_test::StartSecondGateway(
    int index) const {
  return Start("gateway", index, layout_.Gateway(index));
}

std::unique_ptr<settings_program> small_fleet_test::Start(
    const std::string& program, int index, const std::string& ip) const {
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
  if (options_.sheds_by_value) file["Contracts"] = {"pressure"};
  file["Listen"] = json::object();
  if (program == "gateway") {
    file["Listen"] = {{"Front", at(fleet_layout::kCallerPort)},
                      {"Ready", at(fleet_layout::kReadyPort)},
                      {"Control", at(fleet_layout::kAdminPort)}};
    if (!options_.machine_limits.is_null()) {
      file["Limits"] = options_.machine_limits;
    }
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

void small_fleet_test::WaitUntilReady(int gateway) {
  int status = 0;
  for (int tries = 0; tries < 100 && status != 200; ++tries) {
    std::optional<net::http_result> result;
    http_.Start(
        {.url = net::url::Parse("http://" +
                                fleet_layout::At(layout_.Gateway(gateway),
                                                 fleet_layout::kReadyPort) +
                                "/ready"),
         .total_timeout = milliseconds(500)},
        {.on_done = [&](const net::http_result& done) { result = done; }});
    loop_.RunUntil([&] { return result.has_value(); }, kTimeout);
    status = result ? result->status : 0;
    if (status != 200) Wait(milliseconds(50));
  }
  ASSERT_EQ(status, 200);
}

void small_fleet_test::Wait(milliseconds length) {
  loop_.RunUntil([] { return false; }, length);
}

std::string small_fleet_test::Send(const std::string& route, int gateway,
                                   net::header_map headers, std::string body) {
  const std::string id =
      std::to_string(gateway) + '-' + std::to_string(++sent_);
  headers["host"] = "h.example";
  headers["request-id"] = id;
  headers["deadline-ms"] = "3000";
  if (route == "stream") {
    headers.try_emplace("model", "m/a1");
    headers.try_emplace("token-count", "100,20");
  }
  const auto sent_at = loop_.Now();
  http_.Start(
      {.method = "POST",
       .url = net::url::Parse("http://" +
                              fleet_layout::At(layout_.Gateway(gateway),
                                               fleet_layout::kCallerPort) +
                              '/'),
       .target = '/' + route + "/x",
       .headers = std::move(headers),
       .body = std::move(body),
       .total_timeout = kTimeout,
       .may_resend = false},
      {.on_done = [this, id, sent_at](const net::http_result& done) {
        fleet_outcome result{id, done.status,
                             done.failure == net::http_failure::none, sent_at,
                             loop_.Now()};
        const auto retry = done.headers.find("retry-after");
        if (retry != done.headers.end()) {
          result.retry_after_s = std::stod(retry->second);
        }
        result.was_sent = done.failure != net::http_failure::not_sent;
        outcomes_.push_back(result);
      }});
  return id;
}

void small_fleet_test::WaitForAnswers() {
  loop_.RunUntil([this] { return static_cast<int>(outcomes_.size()) == sent_; },
                 kTimeout);
}

std::string small_fleet_test::AdminPage(int gateway, const std::string& path) {
  return Page(layout_.Gateway(gateway), fleet_layout::kAdminPort, path);
}

std::string small_fleet_test::Page(const std::string& ip, std::uint16_t port,
                                   const std::string& path) {
  std::optional<net::http_result> page;
  http_.Start(
      {.url = net::url::Parse("http://" + fleet_layout::At(ip, port) + path),
       .total_timeout = kTimeout},
      {.on_done = [&](const net::http_result& done) { page = done; }});
  EXPECT_TRUE(loop_.RunUntil([&] { return page.has_value(); }, kTimeout));
  return page ? page->body : std::string();
}

}  // namespace comfreyspring::process_test

#include "fleet.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <stdexcept>
#include <thread>

#include "config/documents.h"
#include "core/uuid.h"

namespace comfreyspring::process_test {
namespace {

const std::string kLoopback = "http://127.0.0.1:";
const std::string kPrompt = "hello";

std::string Binary(const std::string& path) {
  return std::string(COMFREYSPRING_BINARY_DIRECTORY) + "/" + path;
}

std::string Flag(const std::string& name, const std::string& value) {
  return "--" + name + "=" + value;
}

std::string Flag(const std::string& name, int value) {
  return Flag(name, std::to_string(value));
}

/** Ledgers refuse keys made before their start plus the allowed clock skew. */
constexpr std::chrono::milliseconds kLedgerStartupWait{2200};

core::wall_time WallNow() {
  return std::chrono::time_point_cast<core::milliseconds>(
      std::chrono::system_clock::now());
}

std::string TestName() {
  const auto* test = testing::UnitTest::GetInstance()->current_test_info();
  return test == nullptr
             ? "fleet"
             : std::string(test->test_suite_name()) + "." + test->name();
}

}  // namespace

std::string endpoint_processes::EndpointUrl() const {
  return kLoopback + std::to_string(endpoint->Port());
}

std::string endpoint_processes::AdminUrl() const {
  return kLoopback + std::to_string(agent->Port("admin"));
}

fleet::fleet(fleet_options options)
    : options_(std::move(options)),
      log_file_(testing::TempDir() + "comfreyspring-" + TestName() + "-" +
                std::to_string(::getpid()) + ".log") {
  platform_ = std::make_unique<child_process>(
      Binary("standins/platform/standin_platform"),
      std::vector<std::string>{"--port=0", "--vm_list_lag_ms=0"}, log_file_);
  for (int i = 0; i < options_.engines; ++i) {
    StartEndpoint("engine-" + std::to_string(i), true);
  }
  for (int i = 0; i < options_.services; ++i) {
    StartEndpoint("desk-" + std::to_string(i), false);
  }
  set_.models.push_back(core::model_id("base"));
  for (int i = 0; i < options_.adapters; ++i) {
    config::adapter_record adapter;
    adapter.adapter = core::adapter_id("adapter-" + std::to_string(i));
    adapter.model = core::model_id("base");
    adapter.versions = {core::version_id("v1"), core::version_id("v2")};
    adapter.default_version = core::version_id("v2");
    set_.adapters.push_back(adapter);
  }
  config::service_record orders;
  orders.service = core::service_id("orders");
  orders.repeatable = false;
  config::ownership_epoch epoch = {1, 0, {}};
  for (const endpoint_processes& target : endpoints_) {
    set_.endpoints.push_back(RecordOf(target));
    if (!target.engine) {
      epoch.members.push_back(core::endpoint_id(target.name));
    }
  }
  orders.epochs.push_back(epoch);
  if (!epoch.members.empty()) set_.services.push_back(orders);
  Publish();
  entries_.resize(static_cast<std::size_t>(options_.entries));
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
  if (options_.services > 0) WaitForLedgers();
  for (int i = 0; i < options_.entries; ++i) {
    const bool ready = Eventually([&] {
      const nlohmann::json state = State(EntryUrl(i));
      std::size_t available = 0;
      for (const auto& endpoint : state["membership"]["endpoints"]) {
        if (endpoint["availability"] == "available") ++available;
      }
      return available == endpoints_.size();
    });
    if (!ready)
      throw std::runtime_error(
          "entry did not report all endpoints as available");
  }
}

void fleet::WaitForLedgers() {
  std::this_thread::sleep_for(kLedgerStartupWait);
}

fleet::~fleet() {
  entries_.clear();
  endpoints_.clear();
  platform_.reset();
  if (!testing::Test::HasFailure()) ::unlink(log_file_.c_str());
}

void fleet::StartEndpoint(const std::string& name, bool engine) {
  endpoint_processes target;
  target.name = name;
  target.engine = engine;
  std::vector<std::string> flags = {"--port=0"};
  if (engine) {
    flags.insert(
        flags.end(),
        {Flag("slots", options_.slots),
         Flag("batch_limit", options_.batch_limit),
         Flag("token_ms", options_.token_ms), Flag("load_ms", options_.load_ms),
         Flag("model", "base"),
         Flag("checks_fencing", options_.checks_fencing ? "true" : "false")});
  }
  target.endpoint = std::make_unique<child_process>(
      Binary(engine ? "standins/standin_engine" : "standins/standin_service"),
      flags, log_file_);
  StartAgent(target);
  target.relay = std::make_unique<tcp_relay>(target.agent->Port("link"));
  endpoints_.push_back(std::move(target));
}

void fleet::StartAgent(endpoint_processes& target) {
  const int link = target.agent ? target.agent->Port("link") : 0;
  const int admin = target.agent ? target.agent->Port("admin") : 0;
  target.agent.reset();
  target.agent = NewAgent(target, link, admin);
}

std::unique_ptr<child_process> fleet::StartSecondAgent(
    const endpoint_processes& target) const {
  return NewAgent(target, 0, 0);
}

std::unique_ptr<child_process> fleet::NewAgent(const endpoint_processes& target,
                                               int link_port,
                                               int admin_port) const {
  std::vector<std::string> flags = {
      Flag("endpoint_id", target.name),
      Flag("vm_id", "vm-" + target.name),
      Flag("data_centre", "dc-1"),
      Flag("link_port", link_port),
      Flag("admin_port", admin_port),
      Flag("endpoint_kind", target.engine ? "engine" : "plain_service"),
      Flag("endpoint_url", target.EndpointUrl())};
  flags.insert(flags.end(), options_.agent_flags.begin(),
               options_.agent_flags.end());
  return std::make_unique<child_process>(
      Binary("src/agent/comfreyspring_agent"), flags, log_file_);
}

void fleet::CutFromEntry(endpoint_processes& target, int entry) {
  const child_process& process = Entry(entry);
  target.relay->CutClients(
      [&process](int port) { return process.OwnsTcpPort(port); });
}

void fleet::StartEntry(int index, const std::vector<std::string>& flags) {
  std::vector<std::string> all = {
      Flag("process_id", "entry-" + std::to_string(index)),
      Flag("data_centre", "dc-1"),
      "--port=0",
      Flag("platform_url", PlatformUrl()),
      Flag("vm_list_period_ms", 200),
      Flag("drain_notice_ms", 300)};
  all.insert(all.end(), flags.begin(), flags.end());
  entries_.at(static_cast<std::size_t>(index)) =
      std::make_unique<child_process>(Binary("src/entry/comfreyspring_entry"),
                                      all, log_file_);
}

config::endpoint_record fleet::RecordOf(
    const endpoint_processes& target) const {
  config::endpoint_record record;
  record.endpoint = core::endpoint_id(target.name);
  record.vm = core::vm_id("vm-" + target.name);
  record.kind = target.engine ? core::endpoint_kind::engine
                              : core::endpoint_kind::plain_service;
  record.data_centre = core::data_centre_id("dc-1");
  record.address = "127.0.0.1";
  record.agent_port = static_cast<std::uint16_t>(target.relay->Port());
  if (target.engine) {
    record.model = core::model_id("base");
    record.checks_fencing = options_.checks_fencing;
  } else {
    record.service = core::service_id("orders");
  }
  return record;
}

std::string fleet::EntryUrl(int index) const {
  return kLoopback +
         std::to_string(entries_.at(static_cast<std::size_t>(index))->Port());
}

std::string fleet::PlatformUrl() const {
  return kLoopback + std::to_string(platform_->Port());
}

http_answer fleet::Complete(int entry, const std::string& model, int tokens,
                            bool stream, long limit_ms,
                            const std::map<std::string, std::string>& headers) {
  const nlohmann::json body = {{"model", model},
                               {"prompt", kPrompt},
                               {"max_tokens", tokens},
                               {"stream", stream}};
  return Call("POST", EntryUrl(entry) + "/v1/completions", body.dump(), headers,
              limit_ms);
}

http_answer fleet::PlaceOrder(int entry, const std::string& key,
                              long limit_ms) {
  return Call("POST", EntryUrl(entry) + "/v1/services/orders/new",
              "{\"item\":1}",
              {{"Idempotency-Key", key}, {"Content-Type", "application/json"}},
              limit_ms);
}

std::string fleet::NewKey() {
  static core::random_source random(std::random_device{}());
  return core::MakeUuidV7(WallNow(), random);
}

std::string fleet::ExpectedText(const std::string& adapter_and_version,
                                int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i) {
    text += adapter_and_version + ":" + std::to_string(i) + " ";
  }
  return text;
}

void fleet::Publish() {
  ++set_.version.generation;
  set_.published_ms = core::UnixMilliseconds(WallNow());
  const config::document_set documents = config::EncodeSet(set_);
  for (const auto& [hash, bytes] : documents.parts) {
    Call("PUT", PlatformUrl() + "/standin/config/" + config::PartKey(hash),
         bytes);
  }
  Call("PUT", PlatformUrl() + "/standin/config/manifest",
       documents.manifest_bytes);
}

void fleet::SetPlatformMode(const std::string& json) {
  Call("POST", PlatformUrl() + "/standin/mode", json);
}

void fleet::PutVmList(std::int64_t revision,
                      const std::map<std::string, std::string>& states) {
  nlohmann::json vms = nlohmann::json::array();
  for (const auto& [vm, state] : states) {
    vms.push_back({{"id", vm}, {"state", state}});
  }
  Call("PUT", PlatformUrl() + "/standin/vms",
       nlohmann::json{{"revision", revision}, {"vms", vms}}.dump());
}

endpoint_processes& fleet::Endpoint(const std::string& name) {
  for (endpoint_processes& target : endpoints_) {
    if (target.name == name) return target;
  }
  throw std::runtime_error("no endpoint " + name);
}

void fleet::SetBehavior(endpoint_processes& target, const std::string& json) {
  Call("POST", target.EndpointUrl() + "/standin/behaviour", json);
}

std::map<std::string, int> fleet::Runs() {
  std::map<std::string, int> runs;
  for (const endpoint_processes& target : endpoints_) {
    if (target.engine) continue;
    const nlohmann::json counts =
        Call("GET", target.EndpointUrl() + "/standin/runs").Json();
    for (const auto& [key, count] : counts.items()) {
      runs[key] += count.get<int>();
    }
  }
  return runs;
}

nlohmann::json fleet::State(const std::string& url) {
  return Call("GET", url + "/debug/state").Json();
}

bool fleet::Eventually(const std::function<bool()>& done, int limit_ms) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (std::chrono::steady_clock::now() < end) {
    if (done()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return done();
}

}  // namespace comfreyspring::process_test

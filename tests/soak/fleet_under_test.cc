#include "fleet_under_test.h"

#include <unistd.h>

#include <fstream>
#include <set>
#include <utility>

namespace comfreyspring::soak {
namespace {

using core::milliseconds;
using nlohmann::json;
using process_test::engine_stand_in;
using process_test::tcp_relay;

constexpr core::seconds kStopGrace{8};
/** Tolerance beyond the grace period, for a busy machine. */
constexpr core::seconds kStopSlack{2};
/** Time until an engine that a request has ended is back. */
constexpr milliseconds kCrashedTime{1500};
/** Routes of older versions are removed. */
constexpr std::int64_t kVersionsWithRoutes = 6;
/** One less, since a route may be removed while a request to it is sent. */
constexpr std::int64_t kProbedVersions = kVersionsWithRoutes - 1;
/** Time after a restore until the operator has written again. */
constexpr milliseconds kOperatorWritesAgain{800};
/** Time after a restore until all endpoints have written again. */
constexpr int kEndpointsWriteAgainMs = 1900;
constexpr const char* kEngines = "engines";
constexpr const char* kDesk = "desk";

}  // namespace

fleet_under_test::fleet_under_test(net::event_loop& loop,
                                   promise_record& promises,
                                   fleet_options options)
    : loop_(loop),
      promises_(promises),
      options_(std::move(options)),
      layout_(::getpid()),
      kinds_{{"live", "/live/", kEngines, true, true},
             {"once", "/once/", kEngines, true, false},
             {"order", "/order/", kDesk, false, false},
             {"look", "/look/", kDesk, false, true}},
      store_(std::make_unique<process_test::store_stand_in>(
          loop, layout_.Store(), fleet_layout::kStorePort)) {
  std::filesystem::create_directories(options_.log_directory);
  PublishConfiguration();
  const int endpoints = options_.engines + options_.plain_endpoints;
  endpoints_.reserve(static_cast<std::size_t>(endpoints));
  for (int i = 0; i < endpoints; ++i) {
    const bool generates = i < options_.engines;
    AddEndpoint(i, generates ? kEngines : kDesk, generates);
  }
  for (int i = 0; i < options_.gateways; ++i) AddGateway(i);
  for (auto& slot : programs_) Start(slot);
}

fleet_under_test::~fleet_under_test() = default;

void fleet_under_test::AddGateway(int index) {
  const std::string relay = layout_.GatewayRelay(index);
  store_relays_.push_back(std::make_unique<tcp_relay>(
      process_test::relay_address{relay, fleet_layout::kStorePort},
      process_test::relay_address{layout_.Store(), fleet_layout::kStorePort}));
  store_relays_.back()->SetRate(options_.store_bytes_per_second);
  caller_relays_.push_back(std::make_unique<tcp_relay>(
      process_test::relay_address{relay, fleet_layout::kCallerPort},
      process_test::relay_address{layout_.Gateway(index),
                                  fleet_layout::kCallerPort}));
  programs_.push_back(
      {"gateway-" + std::to_string(index), index, true, nullptr});
}

void fleet_under_test::AddEndpoint(int index, const std::string& service,
                                   bool generates) {
  const std::string relay = layout_.EndpointRelay(index);
  const std::string own = layout_.Endpoint(index);
  endpoint_slot slot;
  slot.service = service;
  slot.engine = std::make_unique<engine_stand_in>(
      loop_, process_test::engine_options{.ip = own,
                                          .port = fleet_layout::kEndpointPort,
                                          .generates = generates,
                                          .events = kEvents,
                                          .event_period = milliseconds(30),
                                          .adapter_load = milliseconds(80)});
  slot.engine_relay = std::make_unique<tcp_relay>(
      process_test::relay_address{relay, fleet_layout::kEndpointPort},
      process_test::relay_address{own, fleet_layout::kEndpointPort});
  if (generates) {
    slot.sidecar_relay = std::make_unique<tcp_relay>(
        process_test::relay_address{relay, fleet_layout::kFirstInternalPort},
        process_test::relay_address{own, fleet_layout::kFirstInternalPort});
    programs_.push_back(
        {"sidecar-" + std::to_string(index), index, false, nullptr});
  }
  engine_stand_in& engine = *slot.engine;
  engine.on_run = [this, &engine, service](const net::http_request& request) {
    promises_.Ran(request, service, engine.Instance(), loop_.Now());
  };
  engine.on_end = [this](const std::string& id, bool complete) {
    if (!complete) promises_.RunEnded(id, loop_.Now());
  };
  engine.on_arrival = [this, &engine](const std::string& id) {
    promises_.Arrived(id, engine.Instance(), loop_.Now());
  };
  engine.on_limit_named = [this, &engine](const std::string& id) {
    promises_.LimitNamed(id, engine.Instance(), loop_.Now());
  };
  engine.deadly_parts = {kDeadlyPart};
  for (int i = 0; i < kRepeatedRequests; ++i) {
    engine.deadly_parts.insert(OwnPart(i));
  }
  engine.on_crash = [this, index](const std::string& id) {
    OnCrash(static_cast<std::size_t>(index), id);
  };
  engine.on_violation = [this, index](const std::string& what) {
    promises_.Violation("endpoint " + std::to_string(index) + ' ' + what);
  };
  endpoints_.push_back(std::move(slot));
  Restart(static_cast<std::size_t>(index));
}

void fleet_under_test::OnCrash(std::size_t endpoint, const std::string& id) {
  promises_.EngineCrashed(id, loop_.Now());
  promises_.EndpointsDisturbed(loop_.Now() + kCrashedTime);
  loop_.Schedule(kCrashedTime, [this, endpoint] {
    // Another fault may have restarted it.
    if (!endpoints_.at(endpoint).engine->IsUp()) Restart(endpoint);
  });
}

// Configuration and registrations.

void fleet_under_test::PublishConfiguration(configuration_change change) {
  ++version_;
  if (options_.adds_routes) {
    const std::string name = "v" + std::to_string(version_);
    added_kinds_[version_] = {name, '/' + name + '/', kDesk, false,
                              true, version_};
  }
  switch (change) {
    case configuration_change::none:
      break;
    case configuration_change::timeout:
      has_short_timeouts_ = !has_short_timeouts_;
      break;
    case configuration_change::idle_limit:
      has_short_idle_limit_ = !has_short_idle_limit_;
      break;
    case configuration_change::goal:
      has_long_goals_ = !has_long_goals_;
  }
  PutConfiguration();
}

const request_kind* fleet_under_test::AddedKind(std::int64_t version) const {
  const auto found = added_kinds_.find(version);
  return found == added_kinds_.end() || version <= version_ - kProbedVersions
             ? nullptr
             : &found->second;
}

void fleet_under_test::PutConfiguration() {
  json routes = json::array();
  const auto add = [this, &routes](const request_kind& kind,
                                   const std::string& prefix) {
    json route = {
        {"Name", kind.route},
        {"Host", "soak.example"},
        {"Prefix", prefix},
        {"Kind", kind.streams     ? "stream"
                 : kind.may_retry ? "idempotent"
                                  : "non_idempotent"},
        {"TimeoutMs",
         (kind.streams ? 6000 : 2000) -
             (has_short_timeouts_ ? kTimeoutReduction.count() : 0)},
        {"GoalMs", (kind.streams ? 600 : 150) * (has_long_goals_ ? 2 : 1)},
        {"Priority", 0},
        {"Service", kind.service},
        {"Attempts", 2}};
    if (kind.streams) route["GapTargetMs"] = 300;
    if (kind.streams && kind.may_retry) route["Resumable"] = true;
    routes.push_back(std::move(route));
  };
  for (const auto& kind : kinds_) add(kind, kind.path);
  if (version_ % 2 == 1) add(kinds_.back(), "/more/");
  for (const auto& [version, kind] : added_kinds_) {
    if (version > version_ - kVersionsWithRoutes) add(kind, kind.path);
  }
  for (int i = 0; i < options_.unused_routes; ++i) {
    const std::string name = "unused" + std::to_string(i);
    add({name, '/' + name + '/', kDesk, false, true, 0}, '/' + name + '/');
  }
  store_->Put("op/config",
              {{"Version", version_},
               {"Routes", routes},
               {"Limits",
                {{"HeaderBytes", 16384},
                 {"BodyBytes", 4194304},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", has_short_idle_limit_ ? 5000 : 15000}}},
               {"Services",
                json::array({{{"Name", kEngines},
                              {"MaxConns", 200},
                              {"Engine",
                               {{"Slots", 8},
                                {"AdapterSlots", 2},
                                {"KvCapacity", 100000},
                                {"Stride", 5},
                                {"Models", json::array({{{"Name", "m"}}})}}}},
                             {{"Name", kDesk}, {"MaxConns", 200}}})}});
  promises_.ConfigurationAcknowledged(version_, loop_.Now());
}

void fleet_under_test::RestoreStore(milliseconds age) {
  store_->Restore(age);
  promises_.StoreRestored(loop_.Now() - age);
  loop_.Schedule(kOperatorWritesAgain, [this] { PutConfiguration(); });
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const milliseconds delay(kEndpointsWriteAgainMs * static_cast<int>(i + 1) /
                             static_cast<int>(endpoints_.size()));
    loop_.Schedule(delay, [this, i] {
      const endpoint_slot& slot = endpoints_[i];
      if (!slot.registered || !slot.engine->IsUp()) return;
      Register(i);
      if (slot.leaving) promises_.Leaving(slot.engine->Instance(), loop_.Now());
    });
  }
  loop_.Schedule(milliseconds(kEndpointsWriteAgainMs),
                 [this] { ExpireEntries(); });
}

void fleet_under_test::ExpireEntries() {
  std::set<std::string> registered;
  for (const endpoint_slot& slot : endpoints_) {
    if (slot.registered) {
      registered.insert("servers/" + slot.engine->Instance());
    }
  }
  // The entries of other writers stay.
  for (int i = 1; i <= last_instance_; ++i) {
    const std::string key = "servers/instance-" + std::to_string(i);
    if (registered.count(key) == 0) store_->Remove(key);
  }
}

void fleet_under_test::Register(std::size_t endpoint) {
  endpoint_slot& slot = endpoints_.at(endpoint);
  slot.registered = true;
  store_->Put("servers/" + slot.engine->Instance(),
              {{"Service", slot.service},
               {"Addr", fleet_layout::At(
                            layout_.EndpointRelay(static_cast<int>(endpoint)),
                            fleet_layout::kEndpointPort)},
               {"Zone", "z"},
               {"Slots", 8},
               {"State", slot.leaving ? "draining" : "ready"},
               {"born", slot.engine->StartedAt()}});
}

void fleet_under_test::SetLimit(std::size_t endpoint,
                                std::optional<double> per_second) {
  engine_stand_in& engine = *endpoints_.at(endpoint).engine;
  engine.limit.reset();
  if (per_second) engine.limit = std::to_string(*per_second);
  promises_.LimitSet(engine.Instance(), per_second, loop_.Now());
}

void fleet_under_test::Unregister(std::size_t endpoint) {
  endpoints_.at(endpoint).registered = false;
  store_->Remove("servers/" + endpoints_.at(endpoint).engine->Instance());
}

void fleet_under_test::Restart(std::size_t endpoint) {
  Unregister(endpoint);
  endpoint_slot& slot = endpoints_.at(endpoint);
  slot.leaving = false;
  slot.engine->Start("instance-" + std::to_string(++last_instance_));
  Register(endpoint);
}

// Processes.

std::filesystem::path fleet_under_test::File(
    const program_slot& slot, const std::string& extension) const {
  return options_.log_directory / (slot.name + extension);
}

json fleet_under_test::Settings(const program_slot& slot) const {
  const std::string ip = slot.is_gateway ? layout_.Gateway(slot.index)
                                         : layout_.Endpoint(slot.index);
  json settings = {
      {"Node", slot.name},
      {"Ip", ip},
      {"Zone", "z"},
      {"InternalPorts",
       {fleet_layout::kFirstInternalPort, fleet_layout::kLastInternalPort}},
      {"Bounds",
       {{"GraceS", kStopGrace.count()},
        {"RetryRatio", kRetryRatio},
        {"BudgetExtra", kRetryBudgetExtra},
        {"BudgetWindowS", kRetryBudgetWindow.count()}}},
      {"Provider",
       {{"Addr",
         fleet_layout::At(slot.is_gateway ? layout_.GatewayRelay(slot.index)
                                          : layout_.Store(),
                          fleet_layout::kStorePort)}}}};
  if (slot.is_gateway) {
    settings["Listen"] = {
        {"Front", fleet_layout::At(ip, fleet_layout::kCallerPort)},
        {"Ready", fleet_layout::At(ip, fleet_layout::kReadyPort)},
        {"Control", fleet_layout::At(ip, fleet_layout::kAdminPort)}};
  } else {
    settings["Listen"] = json::object();
    settings["app"] = fleet_layout::At(ip, fleet_layout::kEndpointPort);
  }
  return settings;
}

void fleet_under_test::RewriteSettings(const program_slot& slot) {
  json settings = Settings(slot);
  settings["NewField"] = version_;
  std::ofstream(File(slot, ".json")) << settings;
}

void fleet_under_test::Start(program_slot& slot) {
  std::ofstream(File(slot, ".json")) << Settings(slot);
  if (!std::filesystem::exists(File(slot, ".clock"))) {
    SetClockOffset(slot, milliseconds(0));
  }
  ::setenv("SHIFTED_CLOCK_FILE", File(slot, ".clock").c_str(), 1);
  slot.process = std::make_unique<process_test::settings_program>(
      process_test::settings_program::options{
          options_.binary_directory + "/platform/comfreyspring_" +
              (slot.is_gateway ? "gateway" : "sidecar"),
          File(slot, ".json"), File(slot, ".log"), options_.clock_library});
  slot.started_at = loop_.Now();
  slot.is_stopping = false;
  slot.is_paused = false;
  slot.stop_was_disturbed = false;
}

void fleet_under_test::SetClockOffset(const program_slot& slot,
                                      milliseconds offset) {
  // Padded so that a shorter number fully overwrites a longer one.
  std::string text = std::to_string(offset.count());
  text.resize(12, ' ');
  std::ofstream(File(slot, ".clock")) << text;
}

void fleet_under_test::CheckProcesses() {
  for (auto& slot : programs_) {
    const bool ended = slot.process->HasEnded();
    const int status = slot.process->Status();
    if (ended && !slot.is_stopping) {
      promises_.Violation(slot.name + " exited unexpectedly with status " +
                          std::to_string(status));
      Start(slot);
    }
    if (!ended && options_.maximum_kib > 0 &&
        slot.process->PeakResidentKib() > options_.maximum_kib) {
      promises_.Violation(slot.name + " uses more than " +
                          std::to_string(options_.maximum_kib) + " KiB");
    }
    const auto since = loop_.Now() - slot.stopping_since;
    if (!ended && slot.is_stopping && !slot.is_paused &&
        !slot.stop_was_disturbed && since > kStopGrace + kStopSlack) {
      promises_.Violation(
          slot.name + " did not exit within its grace period after SIGTERM");
      slot.stop_was_disturbed = true;
    }
  }
}

void fleet_under_test::CheckLogs() {
  for (const auto& slot : programs_) {
    std::ifstream log(File(slot, ".log"));
    for (std::string line; std::getline(log, line);) {
      if (!json::accept(line)) {
        promises_.Violation(slot.name +
                            " logged a line that is not JSON: " + line);
        break;
      }
    }
  }
}

// Addresses.

std::vector<tcp_relay*> fleet_under_test::Relays() {
  std::vector<tcp_relay*> all;
  for (const auto& relay : store_relays_) all.push_back(relay.get());
  for (const auto& relay : caller_relays_) all.push_back(relay.get());
  for (const auto& slot : endpoints_) {
    all.push_back(slot.engine_relay.get());
    if (slot.sidecar_relay) all.push_back(slot.sidecar_relay.get());
  }
  return all;
}

std::string fleet_under_test::CallerUrl(int gateway) const {
  return "http://" + fleet_layout::At(layout_.GatewayRelay(gateway),
                                      fleet_layout::kCallerPort);
}

std::string fleet_under_test::ReadinessUrl(int gateway) const {
  return "http://" +
         fleet_layout::At(layout_.Gateway(gateway), fleet_layout::kReadyPort) +
         "/ready";
}

}  // namespace comfreyspring::soak

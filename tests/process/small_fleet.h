#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "engine_stand_in.h"
#include "fleet_layout.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "settings_program.h"
#include "store_stand_in.h"

namespace comfreyspring::process_test {

struct small_fleet_options {
  /** Also names the directory of the logs. */
  std::string name;
  int gateways = 4;
  /** Engines with a sidecar each. */
  int engines = 3;
  /** Endpoints of a plain service. */
  int plain = 0;
  core::milliseconds plain_time{15};
  /** `Limits` of the gateways' settings files; left out if null. */
  nlohmann::json machine_limits;
  /** `Limits` of the configuration; left out if null. */
  nlohmann::json caller_limits;
  /** The settings name the contract for insufficient capacity. */
  bool sheds_by_value = false;
};

/** What the operator of a fleet configures. */
struct fleet_configuration {
  std::int64_t version = 1;
  /** Without the engines' service, its route is left out too. */
  bool has_engine_service = true;
  /** Names of further routes, to the plain service. */
  std::vector<std::string> added;
};

/** Answer to one request of the test's load. */
struct fleet_outcome {
  std::string id;
  int status = 0;
  /** The whole answer has arrived. */
  bool complete = false;
  core::time_point sent_at;
  core::time_point answered_at;
  /** 0 if the answer names no time. */
  double retry_after_s = 0.0;
  /** False if the gateway cannot have received any part of the request. */
  bool was_sent = true;
};

/**
 * Runs several gateways and sidecars as processes before stand-ins for the
 * endpoints. Ids of requests begin with the number of their gateway.
 */
class small_fleet_test : public ::testing::Test {
 protected:
  explicit small_fleet_test(small_fleet_options options);

  void SetUp() override;
  void TearDown() override;
  /** Called for each endpoint before its first start. */
  virtual void Prepare(engine_stand_in& /*engine*/) {}

  engine_stand_in& Engine(int index) { return *Slot(index).engine; }
  /** Writes the endpoint's entry, under its current instance. */
  void Register(int index, const std::string& state = "ready");
  void PutConfiguration(const fleet_configuration& wanted);
  /** Kills the sidecar if it runs, and starts it. */
  void StartSidecar(int index);
  settings_program& Sidecar(int index) { return *Slot(index).sidecar; }
  /** Kills the gateway if it runs, and starts it. */
  void StartGateway(int index);
  /** Starts one more process with the settings of the gateway. */
  std::unique_ptr<settings_program> StartSecondGateway(int index) const;
  settings_program& Gateway(int index) {
    return *gateways_[static_cast<std::size_t>(index)];
  }
  void WaitUntilReady(int gateway);
  void Wait(core::milliseconds length);

  static int GatewayOf(const std::string& id) { return id[0] - '0'; }
  /** Sends a request to the route; its id begins with the gateway's number. */
  std::string Send(const std::string& route, int gateway,
                   net::header_map headers = {}, std::string body = {});
  /** Waits for the answers to all requests. */
  void WaitForAnswers();
  /** Gets a page of the gateway's admin address. */
  std::string AdminPage(int gateway, const std::string& path);
  /** Gets a page of an address. */
  std::string Page(const std::string& ip, std::uint16_t port,
                   const std::string& path);

  static constexpr core::milliseconds kTimeout{8000};

  small_fleet_options options_;
  net::event_loop loop_;
  net::http_client http_{loop_};
  /** Software versions in the entries of endpoints; `v1` if not named. */
  std::map<int, std::string> versions_;
  fleet_layout layout_;
  store_stand_in store_{loop_, layout_.Store(), fleet_layout::kStorePort};
  std::filesystem::path directory_;
  int sent_ = 0;
  std::vector<fleet_outcome> outcomes_;

 private:
  struct endpoint {
    std::unique_ptr<engine_stand_in> engine;
    std::unique_ptr<settings_program> sidecar;
  };

  endpoint& Slot(int index) {
    return endpoints_[static_cast<std::size_t>(index)];
  }
  void AddEndpoint(int index);
  std::unique_ptr<settings_program> Start(const std::string& program, int index,
                                          const std::string& ip) const;

  std::vector<endpoint> endpoints_;
  std::vector<std::unique_ptr<settings_program>> gateways_;
};

}  // namespace comfreyspring::process_test

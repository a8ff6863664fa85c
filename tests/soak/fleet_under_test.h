#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "engine_stand_in.h"
#include "fleet_layout.h"
#include "net/event_loop.h"
#include "promise_record.h"
#include "settings_program.h"
#include "store_stand_in.h"
#include "tcp_relay.h"

namespace comfreyspring::soak {

using process_test::fleet_layout;

/** Size of the fleet, paths of its programs and its log directory. */
struct fleet_options {
  std::string binary_directory;
  std::string clock_library;
  std::filesystem::path log_directory;
  int gateways = 3;
  int engines = 4;
  int plain_endpoints = 2;
  /** Each version of the configuration has a route of its own. */
  bool adds_routes = false;
  /** Routes that nobody calls, for a configuration of some size. */
  int unused_routes = 0;
  /** Of the link between each gateway and the store; 0 for no limit. */
  std::size_t store_bytes_per_second = 0;
  /** Memory that a program may use; 0 for no limit. */
  long maximum_kib = 0;
};

/** What a new configuration changes, besides the routes that it adds. */
enum class configuration_change { none, timeout, idle_limit, goal };

/** A program under test, its process and the faults that affect it. */
struct program_slot {
  std::string name;
  /** Index among the gateways or the endpoints. */
  int index = 0;
  bool is_gateway = false;
  std::unique_ptr<process_test::settings_program> process;
  /** The soak has sent SIGTERM or SIGKILL. */
  bool is_stopping = false;
  bool is_paused = false;
  /** A fault affected its stop, so that the grace period is not checked. */
  bool stop_was_disturbed = false;
  core::time_point started_at;
  core::time_point stopping_since;
};

/** An endpoint that the fleet serves, with its registration and its relays. */
struct endpoint_slot {
  std::string service;
  bool leaving = false;
  /** Has an entry, unless the store has lost it. */
  bool registered = false;
  std::unique_ptr<process_test::engine_stand_in> engine;
  std::unique_ptr<process_test::tcp_relay> engine_relay;
  /** None for plain services. */
  std::unique_ptr<process_test::tcp_relay> sidecar_relay;
};

/**
 * Runs gateways and sidecars as processes, stand-ins for the store and the
 * endpoints in this process, and TCP relays between them.
 */
class fleet_under_test {
 public:
  /** Part of a prompt that ends the engines. */
  static constexpr const char* kDeadlyPart = "deadly";
  /** Requests that end the engines whenever they come again. */
  static constexpr int kRepeatedRequests = 3;
  /** The last part of the prompt of such a request. */
  static std::string OwnPart(int request) {
    return "repeated" + std::to_string(request);
  }
  /** Number of events in each stream. */
  static constexpr int kEvents = 12;

  fleet_under_test(net::event_loop& loop, promise_record& promises,
                   fleet_options options);
  ~fleet_under_test();
  fleet_under_test(const fleet_under_test&) = delete;
  fleet_under_test& operator=(const fleet_under_test&) = delete;

  // Parts.

  const std::vector<request_kind>& Kinds() const { return kinds_; }
  std::vector<program_slot>& Programs() { return programs_; }
  std::vector<endpoint_slot>& Endpoints() { return endpoints_; }
  process_test::store_stand_in& Store() { return *store_; }
  std::vector<std::unique_ptr<process_test::tcp_relay>>& StoreRelays() {
    return store_relays_;
  }
  std::vector<std::unique_ptr<process_test::tcp_relay>>& CallerRelays() {
    return caller_relays_;
  }
  /** Every relay of the fleet. */
  std::vector<process_test::tcp_relay*> Relays();
  std::string CallerUrl(int gateway) const;
  std::string ReadinessUrl(int gateway) const;

  // Changes.

  void Start(program_slot& slot);
  /** Shifts the wall clock of a program by `offset`. */
  void SetClockOffset(const program_slot& slot, core::milliseconds offset);
  /** Rewrites the settings file with an additional, unknown field. */
  void RewriteSettings(const program_slot& slot);
  /** Publishes a new configuration; odd versions have an extra route. */
  void PublishConfiguration(
      configuration_change change = configuration_change::none);
  /** Kind of the requests to the route of a version; null if it has none. */
  const request_kind* AddedKind(std::int64_t version) const;
  /**
   * The store comes back from a copy of this age. The operator and the
   * endpoints write again what was lost, and entries of endpoints that have
   * ended expire.
   */
  void RestoreStore(core::milliseconds age);
  /** Writes the endpoint's current state to its entry in the store. */
  void Register(std::size_t endpoint);
  /** The endpoint names this request rate limit; nothing: it names none. */
  void SetLimit(std::size_t endpoint, std::optional<double> per_second);
  void Unregister(std::size_t endpoint);
  /** Starts the endpoint as a new instance, registered in place of the old. */
  void Restart(std::size_t endpoint);

  /** Reports processes that exited unexpectedly or ignore SIGTERM. */
  void CheckProcesses();
  /** Reports log lines that are not valid JSON. */
  void CheckLogs();

 private:
  void AddGateway(int index);
  void AddEndpoint(int index, const std::string& service, bool generates);
  /** A request has ended the engine; it comes back after some time. */
  void OnCrash(std::size_t endpoint, const std::string& id);
  void PutConfiguration();
  void ExpireEntries();
  nlohmann::json Settings(const program_slot& slot) const;
  std::filesystem::path File(const program_slot& slot,
                             const std::string& extension) const;

  net::event_loop& loop_;
  promise_record& promises_;
  fleet_options options_;
  fleet_layout layout_;
  std::vector<request_kind> kinds_;
  std::unique_ptr<process_test::store_stand_in> store_;
  std::vector<std::unique_ptr<process_test::tcp_relay>> store_relays_;
  std::vector<std::unique_ptr<process_test::tcp_relay>> caller_relays_;
  std::vector<endpoint_slot> endpoints_;
  std::vector<program_slot> programs_;
  int last_instance_ = 0;
  int version_ = 0;
  /** Kinds of the routes that versions have added. */
  std::map<std::int64_t, request_kind> added_kinds_;
  bool has_short_timeouts_ = false;
  bool has_short_idle_limit_ = false;
  bool has_long_goals_ = false;
};

}  // namespace comfreyspring::soak

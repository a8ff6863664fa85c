#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "config/configuration.h"
#include "tcp_relay.h"
#include "test_http.h"

namespace comfreyspring::process_test {

struct fleet_options {
  int engines = 2;
  int services = 2;
  int entries = 2;
  int adapters = 8;
  int slots = 4;
  int batch_limit = 8;
  int token_ms = 5;
  int load_ms = 30;
  /** Engines reject commands with a stale fencing number. */
  bool checks_fencing = true;
  std::vector<std::string> agent_flags;
};

/** One endpoint with its agent and the relay in front of the agent. */
struct endpoint_processes {
  std::string name;
  bool engine = true;
  std::unique_ptr<child_process> endpoint;
  std::unique_ptr<child_process> agent;
  std::unique_ptr<tcp_relay> relay;

  std::string EndpointUrl() const;
  std::string AdminUrl() const;
};

/**
 * Platform, endpoints, agents and entries as real processes on loopback.
 * Adapters are `adapter-0` … with versions v1 and v2 (default v2); service
 * `orders` is non-repeatable.
 */
class fleet {
 public:
  explicit fleet(fleet_options options);
  ~fleet();

  // Callers.

  std::string EntryUrl(int index) const;
  /** POST /v1/completions through an entry. */
  http_answer Complete(int entry, const std::string& model, int tokens,
                       bool stream = false, long limit_ms = 20000,
                       const std::map<std::string, std::string>& headers = {});
  /** POST to service `orders` with this key. */
  http_answer PlaceOrder(int entry, const std::string& key,
                         long limit_ms = 20000);
  static std::string NewKey();
  /** Waits until agents that have just started accept newly made keys. */
  static void WaitForLedgers();
  /** Text that the stand-in engine generates for `Complete`. */
  static std::string ExpectedText(const std::string& adapter_and_version,
                                  int tokens);

  // Operators.

  config::configuration& Set() { return set_; }
  /** Publishes `Set()` with the next generation. */
  void Publish();
  void SetPlatformMode(const std::string& json);
  void PutVmList(std::int64_t revision,
                 const std::map<std::string, std::string>& states);
  std::string PlatformUrl() const;

  // Processes.

  std::vector<endpoint_processes>& Endpoints() { return endpoints_; }
  endpoint_processes& Endpoint(const std::string& name);
  child_process& Entry(int index) { return *entries_.at(index); }
  void StartEntry(int index, const std::vector<std::string>& flags = {});
  /** Starts the agent, or restarts it on the ports it had before. */
  void StartAgent(endpoint_processes& target);
  /** Starts another agent for the same endpoint, on other free ports. */
  std::unique_ptr<child_process> StartSecondAgent(
      const endpoint_processes& target) const;
  /**
   * Partitions this entry from the endpoint until `relay->Heal()`; other
   * entries still reach it.
   */
  void CutFromEntry(endpoint_processes& target, int entry);
  void SetBehavior(endpoint_processes& target, const std::string& json);
  /** Runs of all keys of `orders`, over all stand-ins. */
  std::map<std::string, int> Runs();
  nlohmann::json State(const std::string& url);
  const std::string& LogFile() const { return log_file_; }

  /**
   * Polls until `done` returns true or `limit_ms` has passed. For conditions
   * that must come true, not for measuring how fast they do.
   */
  static bool Eventually(const std::function<bool()>& done,
                         int limit_ms = 20000);

 private:
  void StartEndpoint(const std::string& name, bool engine);
  std::unique_ptr<child_process> NewAgent(const endpoint_processes& target,
                                          int link_port, int admin_port) const;
  config::endpoint_record RecordOf(const endpoint_processes& target) const;

  fleet_options options_;
  std::string log_file_;
  config::configuration set_;
  std::unique_ptr<child_process> platform_;
  std::vector<endpoint_processes> endpoints_;
  std::vector<std::unique_ptr<child_process>> entries_;
};

}  // namespace comfreyspring::process_test

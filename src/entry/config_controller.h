#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config/config_store.h"
#include "core/random_source.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "wire/messages.h"

namespace comfreyspring::entry {

/**
 * Keeps the configuration in force: reads the platform's service, asks agents
 * for what they hold, and serves agents that are behind.
 */
class config_controller {
 public:
  /** How the controller reaches agents. */
  using send_function = std::function<bool(const core::endpoint_id& endpoint,
                                           const wire::message& message)>;
  using adopted_function =
      std::function<void(std::shared_ptr<const config::configuration>)>;

  /** @param platform_url empty: configuration comes from agents only. */
  config_controller(net::event_loop& loop, net::http_client_interface& http,
                    std::string platform_url, std::uint64_t random_seed,
                    send_function send, adopted_function on_adopted);
  ~config_controller();
  config_controller(const config_controller&) = delete;
  config_controller& operator=(const config_controller&) = delete;

  /** Starts to read; no callback comes before this call. */
  void Start();

  // Events from agents.

  void OnPeerVersion(const core::endpoint_id& endpoint,
                     core::config_version version);
  void OnConfigRequest(const core::endpoint_id& endpoint,
                       const wire::config_request& message);
  void OnConfigPart(const core::endpoint_id& endpoint,
                    const wire::config_part& message);

  // State.

  std::shared_ptr<const config::configuration> Current() const;
  core::config_version CurrentVersion() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

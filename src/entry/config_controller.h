#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config_store.h"
#include "config/reader_selection.h"
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
                    std::string platform_url,
                    config::reader_selection selection, send_function send,
                    adopted_function on_adopted);
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

  /** An agent tells which entries are alive and when one read the service. */
  void OnReaders(const wire::heartbeat_reply& message);

  // Reading of the platform.

  /** Whether this entry reads the platform, or leaves it to others. */
  bool ReadsPlatform();
  /** Age of the last answer of the service; nullopt if there was none. */
  std::optional<std::int64_t> ServiceReadAgeMs() const;

  // State.

  std::shared_ptr<const config::configuration> Current() const;
  core::config_version CurrentVersion() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

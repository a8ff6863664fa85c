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
 * Keeps the current configuration: reads the platform's configuration service,
 * requests newer documents from agents, and sends documents to agents that
 * request them.
 */
class config_controller {
 public:
  /** Sends a message to an agent. @returns false if no link is open. */
  using send_function = std::function<bool(const core::endpoint_id& endpoint,
                                           const wire::message& message)>;
  using adopted_function =
      std::function<void(std::shared_ptr<const config::configuration>)>;

  /** @param platform_url if empty, configurations come from agents only. */
  config_controller(net::event_loop& loop, net::http_client_interface& http,
                    net::url platform_url, config::reader_selection selection,
                    send_function send, adopted_function on_adopted);
  ~config_controller();
  config_controller(const config_controller&) = delete;
  config_controller& operator=(const config_controller&) = delete;

  /** Starts reading; callbacks are made only after this call. */
  void Start();

  // Events from agents.

  void OnPeerVersion(const core::endpoint_id& endpoint,
                     core::config_version version);
  void OnConfigRequest(const core::endpoint_id& endpoint,
                       const wire::config_request& message);
  void OnConfigPart(const core::endpoint_id& endpoint,
                    const wire::config_part& message);

  /** Takes the live entries and the age of the last read by any entry. */
  void OnReaderStatus(const wire::heartbeat_reply& message);

  // Reads of the platform.

  /** True if this entry reads the platform; otherwise other entries do. */
  bool ShouldReadPlatform();
  /** Age of the last response of the service; nullopt if there was none. */
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

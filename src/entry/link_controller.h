#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "settings/flag_checks.h"
#include "wire/messages.h"

namespace comfreyspring::entry {

/** Receives the events of the link controller. */
class link_listener {
 public:
  virtual ~link_listener() = default;
  /** The agent's hello has arrived; `resumed` if the instance is unchanged. */
  virtual void OnLinkUp(const core::endpoint_id& endpoint,
                        const wire::hello& message, bool resumed) = 0;
  /** The link is closed; the agent's process may still be running. */
  virtual void OnLinkDown(const core::endpoint_id& endpoint) = 0;
  /** The agent's process has ended or was unreachable for the loss timeout. */
  virtual void OnEndpointLost(const core::endpoint_id& endpoint) = 0;
  /** Called for every message except hello. */
  virtual void OnMessage(const core::endpoint_id& endpoint,
                         const wire::message& message) = 0;
};

struct link_options {
  core::process_id process;
  core::data_centre_id data_centre;
  /** Start of this process, milliseconds since the Unix epoch. */
  std::int64_t instance_ms = 0;
  core::milliseconds minimum_heartbeat_period{1000};
  /** Bandwidth limit for the heartbeats of all links together. */
  std::int64_t heartbeat_budget_bytes_per_second = 8 * 1024;
  /** An endpoint whose link stays down for this long counts as lost. */
  core::milliseconds loss_timeout{3000};
  std::uint64_t random_seed = 1;
};

/**
 * Maintains the links to agents: connects, exchanges hellos, sends heartbeats,
 * replaces silent links, and reconnects with backoff.
 */
class link_controller {
 public:
  link_controller(net::event_loop& loop, link_options options,
                  link_listener& listener);
  ~link_controller();
  link_controller(const link_controller&) = delete;
  link_controller& operator=(const link_controller&) = delete;

  // Selection of agents.

  /** Connects to agents before any configuration is known. */
  void ConnectSeeds(const std::vector<settings::socket_address>& seeds);
  /** Connects to the endpoints of the link plan, reconnects those with a new
   * address and removes all others. */
  void OnConfiguration(const config::configuration& current);

  // Messages.

  /** @returns false if there is no open link to the endpoint. */
  bool Send(const core::endpoint_id& endpoint, const wire::message& message);
  /** Sets the versions that hellos and heartbeats contain from now on. */
  void SetVersions(core::config_version version, std::int64_t vm_list_revision);
  /** Sends a heartbeat on every link now. */
  void SendHeartbeats();
  /** Sends a heartbeat now to the agents that have not reported the version of
   * SetVersions. */
  void AnnounceVersion();
  /**
   * Asks the relay agents which entries are alive and when one of them last
   * read the configuration service.
   * @param service_read_age_ms age of this entry's last read, for the agents.
   */
  void RequestReaderStatus(std::optional<std::int64_t> service_read_age_ms);
  /** Nonce of the next heartbeat to the endpoint; 0 if it is unknown. */
  std::uint64_t NextNonce(const core::endpoint_id& endpoint) const;
  /** Few agents, the same for all entries of the data centre, that relay data
   * between the entries. */
  std::vector<core::endpoint_id> RelayAgents() const;
  /** Opens a second link, which replaces the first when the agent's hello
   * arrives on it. */
  void ReplaceLink(const core::endpoint_id& endpoint);

  // State.

  /** Time without messages after which a link is replaced. */
  core::milliseconds SilenceTimeout() const;
  std::size_t OpenLinkCount() const;
  std::size_t EndpointCount() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

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

/** What the link controller tells the rest of the entry. */
class link_listener {
 public:
  virtual ~link_listener() = default;
  /** The agent's hello has arrived; `resumed` if it is the same instance. */
  virtual void OnLinkUp(const core::endpoint_id& endpoint,
                        const wire::hello& message, bool resumed) = 0;
  /** The link ended; the instance may still be alive. */
  virtual void OnLinkDown(const core::endpoint_id& endpoint) = 0;
  /** The agent's instance is gone or out of reach for too long. */
  virtual void OnEndpointLost(const core::endpoint_id& endpoint) = 0;
  /** Any message but hello. */
  virtual void OnMessage(const core::endpoint_id& endpoint,
                         const wire::message& message) = 0;
};

struct link_options {
  core::process_id process;
  core::data_centre_id data_centre;
  /** Start of this process, milliseconds since the Unix epoch. */
  std::int64_t instance_ms = 0;
  core::milliseconds minimum_heartbeat{1000};
  /** Bytes a second that heartbeats of all links may take together. */
  std::int64_t heartbeat_budget_bytes_per_second = 8 * 1024;
  /** A link that stays down this long means that the instance is lost. */
  core::milliseconds lost_after{3000};
  std::uint64_t random_seed = 1;
};

/**
 * Links to agents: connects, greets, sends heartbeats, replaces silent links,
 * and reconnects with backoff.
 */
class link_controller {
 public:
  link_controller(net::event_loop& loop, link_options options,
                  link_listener& listener);
  ~link_controller();
  link_controller(const link_controller&) = delete;
  link_controller& operator=(const link_controller&) = delete;

  // Which agents to talk to.

  /** Agents to ask before any configuration is known. */
  void ConnectSeeds(const std::vector<settings::socket_address>& seeds);
  /** Connects to the endpoints of the link plan, moves changed ones and drops
   * the others. */
  void OnConfiguration(const config::configuration& current);

  // Messages.

  /** @returns false if there is no open link to the endpoint. */
  bool Send(const core::endpoint_id& endpoint, const wire::message& message);
  /** Versions that hellos and heartbeats carry from now on. */
  void SetVersions(core::config_version version, std::int64_t vm_list_revision);
  /** Sends a heartbeat on every link now. */
  void HeartbeatNow();
  /** Sends a heartbeat now to the agents that are not known to hold the version
   * of SetVersions. */
  void AnnounceVersion();
  /**
   * Asks the few agents that all entries of the data centre ask which entries
   * are alive and when one of them last read the configuration service.
   */
  void AskForReaders(std::optional<std::int64_t> service_read_age_ms);
  /** Nonce of the next heartbeat to this endpoint; 0 if it is not linked. */
  std::uint64_t NextNonce(const core::endpoint_id& endpoint) const;
  /** The agents that AskForReaders asks. */
  std::vector<core::endpoint_id> ReaderAgents() const;
  /** Opens a second link; it replaces the first as soon as it answers. */
  void Suspect(const core::endpoint_id& endpoint);

  // State.

  /** Age at which a link without any message counts as silent. */
  core::milliseconds SilenceLimit() const;
  std::size_t OpenLinks() const;
  std::size_t Endpoints() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/network_address.h"
#include "core/time.h"

namespace comfreyspring::settings {

/** What a process on the users' VMs is told at its start. */
struct node_settings {
  core::process_id node;
  core::data_centre_id data_centre;
  std::string ip;

  // Addresses.

  /** For callers; set on entry VMs. */
  std::optional<core::network_address> caller_listener;
  /** For the balancer's question whether this entry takes new callers. */
  std::optional<core::network_address> readiness_listener;
  /** For operators and other entries. */
  std::optional<core::network_address> admin_listener;
  /** Port for scrapers of metrics, besides the admin address. */
  std::optional<std::uint16_t> metrics_port;
  /** Ports for the processes of this system, both ends included. */
  std::uint16_t first_internal_port = 0;
  std::uint16_t last_internal_port = 0;
  /** Admin addresses of a few entries; they may be stale. */
  std::vector<core::network_address> seeds;
  core::network_address platform;
  /** The engine of this VM; set on endpoint VMs. */
  std::optional<core::network_address> engine;

  // What the platform promises and asks for.

  /** Time from SIGTERM to SIGKILL. */
  core::milliseconds stop_grace{8000};
  /** Repeats of requests to a service: this share of its requests ... */
  double retry_share = 0.2;
  /** ... and this many more, over all processes ... */
  double retry_extra = 0.0;
  /** ... in any window of this length. */
  core::milliseconds retry_window{10000};
  /** Time in which a change of the configuration or of endpoints is known. */
  core::milliseconds change_bound{2000};
  /** The sender of orders to an engine may change after this silence. */
  core::milliseconds order_lease{3000};
  /** Engines refuse orders with an old fencing number. */
  bool engines_check_fencing = false;
  /** Loads of a model from the weight store: factor on its rate ... */
  double load_rate_allowance = 1.0;
  /** ... in any window of this length. */
  core::milliseconds load_rate_window{5000};
};

}  // namespace comfreyspring::settings

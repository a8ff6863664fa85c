#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/network_address.h"
#include "core/time.h"

namespace comfreyspring::settings {

/** Settings that a process on a user's VM receives when it starts. */
struct node_settings {
  core::process_id node;
  core::data_centre_id data_centre;
  std::string ip;

  // Addresses.

  /** Listens for callers; set on entry VMs. */
  std::optional<core::network_address> caller_listener;
  /** Listens for readiness checks of the load balancer. */
  std::optional<core::network_address> readiness_listener;
  /** Listens for operators and other entries. */
  std::optional<core::network_address> admin_listener;
  /** Additional port that serves metrics, besides the admin address. */
  std::optional<std::uint16_t> metrics_port;
  /** Port range for connections between processes of this system, inclusive. */
  std::uint16_t first_internal_port = 0;
  std::uint16_t last_internal_port = 0;
  /** Admin addresses of some entries for discovery; may be out of date. */
  std::vector<core::network_address> seeds;
  core::network_address platform;
  /** The engine of this VM; set on endpoint VMs. */
  std::optional<core::network_address> engine;

  // Limits of the machine; nothing if they are not known.

  std::optional<std::size_t> memory_bytes;
  std::optional<std::size_t> maximum_descriptors;

  // Limits that the platform guarantees or requires.

  /** Time from SIGTERM to SIGKILL. */
  core::milliseconds stop_grace{8000};
  /** Limit on retries to a service: this share of its requests ... */
  double retry_share = 0.2;
  /** ... plus this number, shared by all processes ... */
  double retry_extra = 0.0;
  /** ... within any window of this length. */
  core::milliseconds retry_window{10000};
  /** Time within which a configuration or endpoint change must be known. */
  core::milliseconds change_bound{2000};
  /** Removed keys must stop working, whether or not the store is reachable ...
   */
  bool strict_revocation = false;
  /** ... for requests that are sent this long after their removal. */
  core::milliseconds revocation_bound{5000};
  /** An engine's orders may come from another sender after this silence. */
  core::milliseconds order_lease{3000};
  /** Whether engines reject orders with an outdated fencing number. */
  bool engines_check_fencing = false;
  /** Factor on the weight store's permitted rate of model loads ... */
  double load_rate_allowance = 1.0;
  /** ... within any window of this length. */
  core::milliseconds load_rate_window{5000};
  /**
   * When capacity is insufficient, requests are delayed and refused by what
   * callers lose, not by arrival.
   */
  bool sheds_by_value = false;
};

}  // namespace comfreyspring::settings

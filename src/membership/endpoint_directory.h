#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "wire/messages.h"

namespace comfreyspring::membership {

/** Why an endpoint takes no new work; `available` if it does. */
enum class availability {
  available,
  not_configured,
  planned_stop,
  vm_leaving,
  no_link,
  stale_heartbeat,
  draining,
  endpoint_down,
  /** This process was paused and has not heard from the endpoint since. */
  unverified_after_pause,
};

std::string_view ToString(availability value);

/** View that one process has of one endpoint. */
struct endpoint_view {
  config::endpoint_record record;
  bool connected = false;
  std::int64_t instance_ms = 0;
  core::config_version version;
  std::optional<wire::endpoint_report> report;
  core::time_point last_heard;
};

/**
 * View of endpoint availability from the configuration, the VM list,
 * heartbeats and leaving notices. The first negative signal stops new work.
 */
class endpoint_directory {
 public:
  /** @param heartbeat_limit age at which a link counts as stale. */
  explicit endpoint_directory(core::milliseconds heartbeat_limit);
  ~endpoint_directory();
  endpoint_directory(const endpoint_directory&) = delete;
  endpoint_directory& operator=(const endpoint_directory&) = delete;

  // Events.

  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  /** Ignores a list with a lower revision than the last one. */
  void OnVmList(const wire::vm_list& list);
  void OnHello(const core::endpoint_id& endpoint, const wire::hello& message,
               core::time_point now);
  /** A report on any message counts as heartbeat. */
  void OnReport(const core::endpoint_id& endpoint,
                const wire::endpoint_report& report, core::time_point now);
  void OnVersion(const core::endpoint_id& endpoint,
                 core::config_version version);
  void OnLeaving(const core::endpoint_id& endpoint, core::time_point now);
  void OnLinkLost(const core::endpoint_id& endpoint, core::time_point now);
  /** This process was paused: no view counts until it is heard again. */
  void OnPause(core::time_point now);
  /** Wall time decides about planned stops. */
  void OnWallTime(core::wall_time now);
  void SetHeartbeatLimit(core::milliseconds limit);

  // Queries.

  availability AvailabilityOf(const core::endpoint_id& endpoint,
                              core::time_point now) const;
  /** @returns nullptr if the configuration does not list it. */
  const endpoint_view* Find(const core::endpoint_id& endpoint) const;
  /** Configured engines of a model, whatever their availability. */
  std::vector<core::endpoint_id> Engines(const core::model_id& model) const;
  /** Configured endpoints of a service, whatever their availability. */
  std::vector<core::endpoint_id> ServiceEndpoints(
      const core::service_id& service) const;
  std::vector<core::endpoint_id> All() const;
  /** Changes whenever the configured endpoints may have changed. */
  std::uint64_t ListRevision() const;
  /** True if the list has shown the VM and no longer shows it. */
  bool WasSeenAndIsGone(const core::vm_id& vm) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::membership

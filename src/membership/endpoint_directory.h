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

/** Reason why an endpoint gets no new work; `available` if it may. */
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

/** State of one endpoint as known to this process. */
struct endpoint_view {
  config::endpoint_record record;
  bool connected = false;
  /** Identifies the process behind the endpoint; newer ones are larger. */
  std::int64_t instance_ms = 0;
  core::config_version version;
  std::optional<wire::endpoint_report> report;
  core::time_point last_heard;
};

/**
 * Derives the availability of endpoints from the configuration, the VM list,
 * heartbeats and leaving notices. A single negative signal stops new work.
 */
class endpoint_directory {
 public:
  /** @param heartbeat_limit age above which a heartbeat is stale. */
  explicit endpoint_directory(core::milliseconds heartbeat_limit);
  ~endpoint_directory();
  endpoint_directory(const endpoint_directory&) = delete;
  endpoint_directory& operator=(const endpoint_directory&) = delete;

  // Events.

  /** Ignores a configuration with a lower version than the last one. */
  void OnConfiguration(std::shared_ptr<const config::configuration> current);
  /** Ignores a list with a lower revision than the last one. */
  void OnVmList(const wire::vm_list& list);
  void OnHello(const core::endpoint_id& endpoint, const wire::hello& message,
               core::time_point now);
  /** A report counts as a heartbeat, whichever message carries it. */
  void OnReport(const core::endpoint_id& endpoint,
                const wire::endpoint_report& report, core::time_point now);
  void OnVersion(const core::endpoint_id& endpoint,
                 core::config_version version);
  void OnLeaving(const core::endpoint_id& endpoint, core::time_point now);
  void OnLinkLost(const core::endpoint_id& endpoint, core::time_point now);
  /**
   * This process was paused: endpoints stay unavailable until they are heard
   * from again.
   */
  void OnPause(core::time_point now);
  /** Sets the wall-clock time that planned stops are compared with. */
  void OnWallTime(core::wall_time now);
  void SetHeartbeatLimit(core::milliseconds limit);

  // Queries.

  availability AvailabilityOf(const core::endpoint_id& endpoint,
                              core::time_point now) const;
  /** @returns nullptr if the endpoint is not configured. */
  const endpoint_view* Find(const core::endpoint_id& endpoint) const;
  /** Configured engines of a model, whatever their availability. */
  std::vector<core::endpoint_id> Engines(const core::model_id& model) const;
  /** Configured endpoints of a service, whatever their availability. */
  std::vector<core::endpoint_id> ServiceEndpoints(
      const core::service_id& service) const;
  /** All configured endpoints, in configuration order. */
  std::vector<core::endpoint_id> All() const;
  /** Changes whenever the configured endpoints may have changed. */
  std::uint64_t ListRevision() const;
  /** True if an earlier VM list had the VM and the latest one does not. */
  bool HasLeftVmList(const core::vm_id& vm) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::membership

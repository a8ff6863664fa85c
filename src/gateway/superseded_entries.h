#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catalog/endpoint_record.h"
#include "core/ids.h"
#include "core/network_address.h"

namespace comfreyspring::gateway {

/**
 * Knows which entries of the catalog describe an endpoint that has started
 * again since. Performs no I/O.
 *
 * Load pattern: engines restart together, as after a loss of power. The entries
 * of their earlier instances stay listed for some heartbeats, and every request
 * that is sent for such an instance is returned unrun and costs a retry.
 */
class superseded_entries {
 public:
  /** An entry was listed or has changed. */
  void OnListed(const catalog::endpoint_record& record);
  /** An entry was removed. */
  void OnGone(const catalog::endpoint_record& record);
  /**
   * The sidecar on an endpoint VM reports when its engine started.
   * @param ip address of the VM.
   * @param started_unix_ms 0 if unknown.
   */
  void OnReported(const std::string& ip, const core::service_id& service,
                  std::int64_t started_unix_ms);

  /**
   * Whether a later start is known of the engine at the address of this entry.
   */
  bool IsSuperseded(const catalog::endpoint_record& record) const;

 private:
  /** Start times of the listed entries of an address, by instance. */
  std::map<core::network_address, std::map<catalog::instance_id, std::int64_t>>
      listed_;
  struct reported_start {
    core::service_id service;
    std::int64_t started_unix_ms = 0;
  };
  std::map<std::string, reported_start> reported_;
};

}  // namespace comfreyspring::gateway

#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "gateway/endpoint_choice.h"

namespace comfreyspring::gateway {

/**
 * Knows the VMs from which nothing has arrived since their sidecar stopped to
 * answer. Performs no I/O.
 *
 * Load pattern: a VM is suspended or cut off while requests for its engine keep
 * arriving. Its kernel or the network accepts what is sent there, and the
 * engine receives it when the VM goes on, seconds after the callers have left.
 * A sidecar that ends is different: its VM says so, and the engine still
 * serves.
 */
class silent_vms {
 public:
  /** @param ip address of the VM of the sidecar that does not answer. */
  void OnSidecarSilent(const std::string& ip);
  /**
   * Something arrived that the VM has sent: from its sidecar, from its engine,
   * or the refusal of a connection.
   */
  void OnHeard(const std::string& ip);
  /** No endpoint is listed on the VM any more. */
  void OnGone(const std::string& ip);

  bool IsSilent(const std::string& ip) const { return silent_.count(ip) > 0; }
  std::size_t Count() const { return silent_.size(); }
  /**
   * Removes the endpoints on silent VMs. Keeps them if there are no others: a
   * sidecar may hang while its engine serves.
   */
  void LeaveOut(endpoint_views& candidates) const;

 private:
  std::set<std::string> silent_;
};

}  // namespace comfreyspring::gateway

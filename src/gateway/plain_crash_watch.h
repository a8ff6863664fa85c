#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "catalog/endpoint_record.h"
#include "core/time.h"
#include "quarantine/crash_record.h"

namespace comfreyspring::gateway {

/**
 * Tells the end of an endpoint without a sidecar from the end of a connection
 * to it, and names the requests that may have ended it: those whose connection
 * broke. Nobody but the gateways sees such an end. Each names its own requests,
 * and records of the same end are merged.
 *
 * Load pattern that it answers: overloaded endpoints reset many connections, so
 * that each endpoint is probed at most a few times a second. Pure: depends only
 * on the events and the time passed in.
 */
class plain_crash_watch {
 public:
  /** An endpoint that accepts no connection this long after a loss has ended.
   */
  static constexpr core::milliseconds kLossMemory{1000};
  static constexpr core::milliseconds kProbeInterval{200};
  static constexpr std::size_t kMaximumLosses = 64;

  /**
   * The connection of a request broke before any part of its response.
   * @param blamed what the request is suspected of, when it was sent.
   * @returns true if a connection to the endpoint should be tried.
   */
  bool OnLost(const catalog::endpoint_record& endpoint,
              const std::vector<quarantine::suspected_part>& blamed,
              core::time_point now);
  /**
   * A connection to the endpoint was tried.
   * @param refused nothing listens at its address.
   * @returns the end of the endpoint, if it has ended.
   */
  std::optional<quarantine::crash_record> OnProbed(
      const catalog::endpoint_record& endpoint, bool refused,
      core::time_point now);

 private:
  struct loss {
    core::time_point at;
    std::vector<quarantine::suspected_part> blamed;
  };
  struct endpoint_losses {
    std::vector<loss> losses;
    core::time_point probed_at;
    /** It has ended; what is lost from now on was lost with it. */
    bool has_ended = false;
  };

  void Forget(core::time_point now);

  std::map<catalog::instance_id, endpoint_losses> endpoints_;
};

}  // namespace comfreyspring::gateway

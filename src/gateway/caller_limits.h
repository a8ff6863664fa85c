#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "catalog/route.h"
#include "core/time.h"
#include "net/http_server.h"

namespace comfreyspring::gateway {

/** What the callers' server can offer, whatever the configuration asks for. */
struct caller_limit_bounds {
  /** Fixed when the server starts. */
  std::size_t maximum_header_bytes = 0;
  std::size_t maximum_body_bytes = 0;
  core::milliseconds minimum_timeout{1000};
  core::milliseconds maximum_timeout{std::chrono::hours(1)};
};

/**
 * The limits on callers that are in force. Callers may still go by a
 * configuration that has just been replaced: its limits remain if they are
 * wider, the idle timeout until the connections that rely on it have ended.
 */
class caller_limits {
 public:
  /**
   * @param initial in force until the first configuration.
   * @param overlap time for which a replaced configuration may still be used.
   */
  caller_limits(const net::http_server_limits& initial,
                const caller_limit_bounds& bounds, core::milliseconds overlap);

  /** @returns the names of the limits that are out of bounds. */
  std::vector<std::string> Adopt(const catalog::client_limits& limits,
                                 core::time_point now);
  /** The limits in force. */
  net::http_server_limits At(core::time_point now);
  /** When the limits in force change next without a configuration. */
  std::optional<core::time_point> NextChange(core::time_point now) const;

 private:
  struct replaced {
    net::http_server_limits limits;
    core::time_point ends_at;
    core::time_point idle_ends_at;
  };

  caller_limit_bounds bounds_;
  core::milliseconds overlap_;
  net::http_server_limits current_;
  bool is_initial_ = true;
  std::vector<replaced> replaced_;
};

}  // namespace comfreyspring::gateway

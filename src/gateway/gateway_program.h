#pragma once

#include <cstdint>
#include <memory>

#include "catalog/catalog_source.h"
#include "gateway/traffic_protocol.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/tcp_socket.h"
#include "settings/node_settings.h"
#include "telemetry/event_log.h"

namespace comfreyspring::gateway {

/**
 * The gateway process on an entry VM: listeners, catalog, links and requests.
 */
class gateway_program {
 public:
  /**
   * The referenced objects must outlive the program.
   * @param caller_listener accepts callers. It excludes a second gateway on the
   *     VM, so nothing is read or sent before it is open.
   * @throws net::listen_error if an address of the settings cannot be used.
   * @throws core::invalid_value_error if the settings lack a listener.
   */
  gateway_program(net::event_loop& loop,
                  const settings::node_settings& settings,
                  catalog::catalog_source& source,
                  const traffic_protocol& protocol,
                  net::http_client_interface& http, telemetry::event_log& log,
                  net::tcp_socket caller_listener);
  ~gateway_program();
  gateway_program(const gateway_program&) = delete;
  gateway_program& operator=(const gateway_program&) = delete;

  std::uint16_t CallerPort() const;
  std::uint16_t ReadinessPort() const;
  std::uint16_t AdminPort() const;
  /** True if the balancer may send new callers to this gateway. */
  bool IsReady() const;
  /** Drains: becomes unready, serves the open requests, then stops the loop. */
  void Stop();
  /**
   * Serves the operators' requests (metrics and state) as on the admin address.
   */
  void AnswerOperator(net::http_exchange& exchange);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::gateway

#pragma once

#include <memory>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/tcp_socket.h"
#include "settings/node_settings.h"
#include "sidecar/engine_port.h"
#include "telemetry/event_log.h"

namespace comfreyspring::sidecar {

/** The agent process of one engine: links to gateways, scheduling, metrics. */
class sidecar_program {
 public:
  /**
   * The referenced objects must outlive the program.
   * @param link_listener accepts gateways. It excludes a second sidecar on the
   *     VM, so nothing is ordered before it is open.
   * @throws net::listen_error if an address of the settings cannot be used.
   */
  sidecar_program(net::event_loop& loop,
                  const settings::node_settings& settings, engine_port& engine,
                  telemetry::event_log& log, net::tcp_socket link_listener);
  ~sidecar_program();
  sidecar_program(const sidecar_program&) = delete;
  sidecar_program& operator=(const sidecar_program&) = delete;

  std::uint16_t LinkPort() const;
  std::uint16_t AdminPort() const;
  /** Refuses new requests and stops the event loop after a short delay. */
  void Stop();
  /** Responds to operators and metrics scrapers, as on the admin port. */
  void AnswerOperator(net::http_exchange& exchange);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::sidecar

#pragma once

#include <memory>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "settings/node_settings.h"
#include "sidecar/engine_port.h"
#include "telemetry/event_log.h"

namespace comfreyspring::sidecar {

/** The agent process of one engine: links to gateways, scheduling, metrics. */
class sidecar_program {
 public:
  /**
   * The referenced objects must outlive the program.
   * @throws net_error if an address cannot be bound.
   */
  sidecar_program(net::event_loop& loop,
                  const settings::node_settings& settings, engine_port& engine,
                  telemetry::event_log& log);
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

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "agent/engine_controller.h"
#include "agent/link_controller.h"
#include "agent/service_controller.h"
#include "core/ids.h"
#include "core/types.h"
#include "ledger/call_ledger.h"
#include "net/event_loop.h"

namespace comfreyspring::agent {

/** Validated settings of an agent. */
struct agent_settings {
  core::endpoint_id endpoint;
  core::vm_id vm;
  core::data_centre_id data_centre;
  core::endpoint_kind kind = core::endpoint_kind::engine;
  link_options links;
  /** Port of the health check, state dump and metrics; 0 lets the system
   * choose. */
  std::uint16_t admin_port = 0;
  engine_options engine;
  service_options service;
  core::seconds drain_timeout{60};
  std::size_t maximum_queue = 4096;
  std::size_t maximum_ledger_records = 100000;
  std::size_t maximum_replay_bytes = 32 * 1024 * 1024;
  std::uint64_t random_seed = 1;
  /** File for the trace of scheduler decisions; empty: no trace. */
  std::string trace_file;
  std::size_t trace_limit_events = 100000;
};

/** One agent: its controllers and their wiring. */
class agent_program {
 public:
  /** @throws net::net_error if an address cannot be bound. */
  agent_program(net::event_loop& loop, const agent_settings& settings);
  ~agent_program();
  agent_program(const agent_program&) = delete;
  agent_program& operator=(const agent_program&) = delete;

  std::uint16_t LinkPort() const;
  std::uint16_t AdminPort() const;
  /** Starts the graceful shutdown, which stops the loop when it is done. A
   * second call stops the loop at once. */
  void Drain();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent

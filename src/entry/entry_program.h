#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "entry/filters.h"
#include "net/event_loop.h"
#include "net/url.h"
#include "settings/flag_checks.h"

namespace comfreyspring::entry {

/** Validated settings of an entry. */
struct entry_settings {
  core::process_id process;
  core::data_centre_id data_centre;
  std::string address = "127.0.0.1";
  /** 0 selects a free port. */
  std::uint16_t port = 0;
  /** If empty, configuration and VM list come from agents only. */
  net::url platform_url;
  std::vector<settings::socket_address> seed_agents;
  core::milliseconds vm_list_period{2000};
  request_limits limits;
  std::size_t maximum_requests = 20000;
  std::size_t maximum_header_bytes = 32 * 1024;
  unsigned maximum_connections = 8192;
  /** After SIGTERM, time for the load balancer to see /readyz fail. */
  core::milliseconds drain_notice{3000};
  /** After drain_notice, maximum time for open requests to finish. */
  core::seconds drain_limit{60};
  std::uint64_t random_seed = 1;
  /** If empty, no trace is recorded. */
  std::string trace_file;
  std::size_t trace_limit_events = 100000;
};

/** One entry: creates and connects the HTTP API and the controllers. */
class entry_program {
 public:
  /** @throws net::net_error if the address cannot be bound. */
  entry_program(net::event_loop& loop, entry_settings settings);
  ~entry_program();
  entry_program(const entry_program&) = delete;
  entry_program& operator=(const entry_program&) = delete;

  std::uint16_t Port() const;
  /** Starts a graceful shutdown, at the end of which the loop is stopped. */
  void Drain();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::entry

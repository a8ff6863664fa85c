#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "standins/json_exchange.h"

namespace comfreyspring::standins {

/**
 * Simulates a plain service. Each call counts as one run of its key, which is
 * the `Idempotency-Key` header or, if there is none, the path.
 */
class service_server {
 public:
  service_server(net::event_loop& loop, const std::string& address,
                 std::uint16_t port);
  service_server(const service_server&) = delete;
  service_server& operator=(const service_server&) = delete;

  std::uint16_t Port() const { return server_.Port(); }

 private:
  struct behaviour {
    core::milliseconds delay{0};
    /** Response status of calls that have run; 0 means 200. */
    int fail_status = 0;
    bool drop_after_run = false;
    bool silent = false;
  };

  void Handle(const exchange_pointer& exchange);
  void ShowRuns(const exchange_pointer& exchange);
  void SetBehaviour(const exchange_pointer& exchange);
  void Run(const exchange_pointer& exchange);
  void RespondToRun(const exchange_pointer& exchange, const std::string& key,
                    std::uint64_t run);

  net::event_loop& loop_;
  behaviour behaviour_;
  std::map<std::string, std::uint64_t> runs_;
  std::vector<exchange_pointer> held_exchanges_;
  net::http_server server_;
};

}  // namespace comfreyspring::standins

#pragma once

#include <memory>
#include <string>

#include "agent/endpoint_runner.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace comfreyspring::agent {

struct service_options {
  std::string url;
  /** Calls that run at the same time. */
  std::size_t concurrency = 16;
  core::milliseconds connect_timeout{1000};
  /** Limit of one call. A call that may not be repeated is not cut short by
   * its caller's deadline, so that its answer reaches the ledger. */
  core::milliseconds call_timeout{30000};
  /** After a refused connection the service counts as down for this long. */
  core::milliseconds down_duration{500};
};

/**
 * Calls to a plain service. A call is sent at most once per run; a connection
 * that was never made means not run, one that broke means unknown.
 */
class service_controller : public endpoint_runner {
 public:
  service_controller(net::event_loop& loop, net::http_client_interface& http,
                     service_options options);
  ~service_controller() override;

  void SetListener(endpoint_listener& listener) override;
  void Begin() override;
  void Run(run_request run) override;
  void Cancel(const core::attempt_id& attempt) override;
  /** A plain service has no adapters: never called. */
  void Load(const core::adapter_reference& adapter,
            const std::optional<core::adapter_reference>& evict) override;
  void Revalidate() override {}
  bool IsUp() const override;
  bool IsReady() const override;
  nlohmann::json ToJson() const override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent

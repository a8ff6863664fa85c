#pragma once

#include <memory>
#include <string>

#include "agent/endpoint_runner.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace comfreyspring::agent {

struct service_options {
  net::url url;
  /** Maximum number of concurrent calls. */
  std::size_t concurrency = 16;
  core::milliseconds connect_timeout{1000};
  /** Timeout of one call. A non-idempotent call is not cut short by its
   * caller's deadline, so that its response reaches the ledger. */
  core::milliseconds call_timeout{30000};
  /** The service counts as down for this long after a refused connection. */
  core::milliseconds down_duration{500};
};

/**
 * Sends calls to a plain service, at most once per run. A connection that could
 * not be established means `not_run`, one that broke means `unknown`.
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
  /** Must not be called: a plain service has no adapters. */
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

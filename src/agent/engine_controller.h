#pragma once

#include <memory>

#include "agent/endpoint_runner.h"
#include "agent/engine_stream.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace comfreyspring::agent {

struct engine_options {
  engine_stream_options stream;
  /** Start of this agent in milliseconds since the Unix epoch, from which its
   * fencing number derives. */
  std::int64_t started_unix_ms = 0;
  core::milliseconds status_period{2000};
  core::milliseconds status_timeout{1500};
  core::milliseconds load_timeout{30000};
  /** A yield ends after this time without a new fencing number of another
   * agent. */
  core::milliseconds yield_time{60000};
};

/**
 * The only sender of commands to a model engine: polls its status and
 * reconciles the queue with it, loads and unloads adapters with fencing
 * numbers, runs and cancels completions, detects restarts, and yields to a
 * newer agent.
 */
class engine_controller : public endpoint_runner {
 public:
  engine_controller(net::event_loop& loop, net::http_client_interface& http,
                    engine_options options);
  ~engine_controller() override;

  void SetListener(endpoint_listener& listener) override;
  void Begin() override;
  void Run(run_request run) override;
  void Cancel(const core::attempt_id& attempt) override;
  void Load(const core::adapter_reference& adapter,
            const std::optional<core::adapter_reference>& evict) override;
  void Revalidate() override;
  bool IsUp() const override;
  bool IsReady() const override;
  nlohmann::json ToJson() const override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent

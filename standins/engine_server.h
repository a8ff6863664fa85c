#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/engine_adapters.h"
#include "standins/engine_batch.h"
#include "standins/json_exchange.h"

namespace comfreyspring::standins {

struct engine_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string model = "base";
  std::size_t slots = 8;
  std::size_t batch_limit = 32;
  bool checks_fencing = true;
  /** Duration of a step with an empty batch; larger batches take longer. */
  core::milliseconds token_time{10};
  /** Weight store; a load is GET <weights_url>/<adapter>/<version>. */
  net::url weights_url;
  /** Load time without a weight store. */
  core::milliseconds load_time{250};
  core::milliseconds load_report_lag{500};
};

/** Simulates a model engine with its published HTTP protocol. */
class engine_server {
 public:
  engine_server(net::event_loop& loop, engine_options options);
  ~engine_server();
  engine_server(const engine_server&) = delete;
  engine_server& operator=(const engine_server&) = delete;

  std::uint16_t Port() const { return server_.Port(); }

 private:
  struct counters {
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t loads = 0;
    std::uint64_t load_failures = 0;
    std::uint64_t unloads = 0;
    std::uint64_t unloads_with_running_streams = 0;
    std::uint64_t fencing_refusals = 0;
    std::uint64_t resumes = 0;
    std::uint64_t cancels = 0;
  };
  struct behaviour {
    double slow_factor = 1.0;
    std::int64_t fail_loads = 0;
    bool silent = false;
  };
  /** Client side of a stream; `exchange` is null while none is connected. */
  struct stream_connection {
    exchange_pointer exchange;
    std::size_t next_offset = 0;
    bool stream_id_sent = false;
    net::timer_id expiry = 0;
  };
  struct load_sample {
    core::time_point taken;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };

  void Handle(const exchange_pointer& exchange);
  void Route(const exchange_pointer& exchange);
  void RouteStream(const exchange_pointer& exchange);

  // Control requests.

  void ShowStatus(const exchange_pointer& exchange);
  void ShowCounts(const exchange_pointer& exchange);
  /**
   * Responds 409 if fencing is checked and the number is stale; otherwise keeps
   * the highest number. @returns true if the command was rejected.
   */
  bool RejectIfStale(const exchange_pointer& exchange,
                     const nlohmann::json& body);
  void LoadAdapter(const exchange_pointer& exchange);
  void StartLoad(const adapter_key& adapter);
  void FinishLoad(const adapter_key& adapter, bool loaded);
  void UnloadAdapter(const exchange_pointer& exchange);
  void SetBehaviour(const exchange_pointer& exchange);
  void DropConnections();
  void Restart();

  // Streams.

  void Complete(const exchange_pointer& exchange);
  void Resume(const exchange_pointer& exchange, const std::string& id);
  void Cancel(const exchange_pointer& exchange, const std::string& id);
  void Attach(const std::string& id, const exchange_pointer& exchange,
              std::size_t offset);
  void Detach(const std::string& id);
  void ScheduleExpiry(const std::string& id);
  void RemoveStream(const std::string& id);
  /** Sends the tokens and the end event that the client does not have yet. */
  void SendTokens(const std::string& id);
  void SendEvent(const std::string& id, nlohmann::json event);
  void SendEnd(const std::string& id);
  void ScheduleStep();
  void Step();
  core::microseconds StepTime() const;
  void SampleLoad();

  net::event_loop& loop_;
  engine_options options_;
  engine_adapters adapters_;
  engine_batch batch_;
  counters counters_;
  behaviour behaviour_;
  std::uint64_t restarts_ = 0;
  std::string instance_id_;
  std::int64_t started_ms_ = 0;
  std::uint64_t fencing_number_ = 0;
  std::map<adapter_key, std::vector<exchange_pointer>> load_waiters_;
  std::map<std::string, stream_connection> connections_;
  std::vector<exchange_pointer> held_exchanges_;
  std::deque<load_sample> load_samples_;
  net::timer_id step_timer_ = 0;
  core::time_point last_step_;
  net::http_client client_;
  net::http_server server_;
};

}  // namespace comfreyspring::standins

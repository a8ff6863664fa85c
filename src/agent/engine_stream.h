#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "agent/endpoint_runner.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace comfreyspring::agent {

struct engine_stream_options {
  net::url url;
  /** Timeout for the first event of the stream. */
  core::milliseconds first_token_timeout{10000};
  /** Timeout between two events. */
  core::milliseconds idle_timeout{3000};
  core::milliseconds connect_timeout{1000};
  /** Maximum number of consecutive resumptions without a new event. */
  int maximum_resumes = 3;
  core::milliseconds retry_delay{100};
};

/** What a stream needs from the controller that owns it. */
class engine_stream_host {
 public:
  virtual ~engine_stream_host() = default;
  virtual std::int64_t FencingNumber() const = 0;
  /** The engine rejected the fencing number. */
  virtual void OnFencingRefused() = 0;
  /** The engine cannot be reached or has stopped responding. */
  virtual void OnEngineUnresponsive() = 0;
  /** The adapters of the engine differ from the expected ones. */
  virtual void OnStateMismatch() = 0;
  /** The run has ended; the host drops the stream. */
  virtual void OnStreamEnded(const core::attempt_id& attempt) = 0;
};

/**
 * One run of a completion at an engine: reads and resumes its event stream,
 * cancels it, and checks that the requested adapter answers. Must be owned by a
 * shared_ptr. A run that is not abandoned ends with one call to the host's
 * OnStreamEnded.
 */
class engine_stream : public std::enable_shared_from_this<engine_stream> {
 public:
  engine_stream(net::event_loop& loop, net::http_client_interface& http,
                engine_stream_host& host, endpoint_listener& listener,
                const engine_stream_options& options, run_request run);
  ~engine_stream();
  engine_stream(const engine_stream&) = delete;
  engine_stream& operator=(const engine_stream&) = delete;

  void Start();
  /** Cancels the run at the engine; confirmed by OnCancelled unless the run
   * ends first. */
  void Cancel();
  /** Drops all calls without a callback, for a run that the engine has lost. */
  void Abandon();
  /** Checks the timeouts; call several times a second. */
  void OnTick(core::time_point now);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent

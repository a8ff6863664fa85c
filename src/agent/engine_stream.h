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
  std::string url;
  /** Longest wait for the first event. */
  core::milliseconds first_token_timeout{10000};
  /** Longest wait between two events. */
  core::milliseconds idle_timeout{3000};
  core::milliseconds connect_timeout{1000};
  /** Resumptions in a row that bring no new event. */
  int maximum_resumes = 3;
  core::milliseconds retry_delay{100};
};

/** What a stream needs from the controller that owns it. */
class engine_stream_host {
 public:
  virtual ~engine_stream_host() = default;
  virtual std::int64_t FencingNumber() const = 0;
  /** The engine refused the fencing number. */
  virtual void OnFencingRefused() = 0;
  /** The engine cannot be reached or has gone silent. */
  virtual void OnEngineUnresponsive() = 0;
  /** The engine holds something else than it should. */
  virtual void OnStateMismatch() = 0;
  /** The run has ended; the host drops the stream. */
  virtual void OnStreamEnded(const core::attempt_id& attempt) = 0;
};

/**
 * One run of a completion at an engine: its event stream, resumption of the
 * stream, its cancel, and the check that the right adapter answers. Hold it as
 * shared pointer; it ends with one call to the host's OnStreamEnded.
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
  /** Cancels at the engine; confirmed by OnCancelled unless the run ends. */
  void Cancel();
  /** Drops everything without a callback: the engine has lost the run. */
  void Abandon();
  /** Checks the time limits; call a few times a second. */
  void OnTick(core::time_point now);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent

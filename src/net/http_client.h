#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/url.h"

namespace comfreyspring::net {

/** Handle of a running call; 0 is never a valid handle. */
using http_call_id = std::uint64_t;

struct http_call {
  std::string method = "GET";
  net::url url;
  /** Sent unchanged in place of the path and query of `url`, unless empty. */
  std::string target;
  header_map headers;
  shared_body body;
  core::milliseconds connect_timeout{1000};
  /** Limit for the whole call; 0 for none (streams). */
  core::milliseconds total_timeout{10000};
  /** Ends the call when no byte arrives for this long; 0 for none. */
  core::milliseconds idle_timeout{0};
  /** Opens a new connection instead of reusing an idle one. */
  bool fresh_connection = false;
  /** If false, the connection is closed after the call. */
  bool keep_connection = true;
  /** An idle connection that is older than this is not reused. */
  core::seconds maximum_connection_idle{30};
  /**
   * If false, the call is never sent a second time, not even for a safe method
   * whose reused connection closes without a response.
   */
  bool may_resend = true;
  /**
   * Limit for the response headers, including interim responses and trailers. A
   * larger response fails the call and closes its connection.
   */
  std::size_t maximum_header_bytes = 16 * 1024;
  std::size_t maximum_headers = 128;
  /**
   * Limit for a buffered response body; not applied if `on_data` is set. A
   * response that announces more fails before its body is read.
   */
  std::size_t maximum_body_bytes = 16 * 1024 * 1024;
};

/** Whether a failed call may have reached the peer. */
enum class http_failure {
  none,
  /** The request was not sent: the peer has received no part of it. */
  not_sent,
  /** The connection broke or timed out after bytes may have been sent. */
  broken,
};

/** What marks the end of a response body. */
enum class body_end {
  /** The message: its length, its last chunk, or a status without a body. */
  framed,
  /** Only the end of the connection, which also follows a response that the
   * sender has broken off. */
  connection,
};

const char* ToString(body_end end);

struct http_result {
  http_failure failure = http_failure::none;
  /** Nothing listens at the peer's address; `failure` is `not_sent`. */
  bool connection_refused = false;
  /** The body exceeds the limit of the call; `failure` is `broken`. */
  bool body_too_large = false;
  /** Meaningful if `failure` is `none`. */
  body_end end = body_end::framed;
  /** 0 unless the headers arrived completely. */
  int status = 0;
  header_map headers;
  /** Whole body; empty if `on_data` was set. */
  std::string body;
  std::string error_message;
};

struct http_callbacks {
  /** Optional; called when the headers are complete. */
  std::function<void(int status, const header_map& headers)> on_headers;
  /** Optional; receives the body in pieces as they arrive. */
  std::function<void(std::string_view data)> on_data;
  /** Called exactly once unless the call is cancelled. */
  std::function<void(const http_result& result)> on_done;
};

/** Interface that applications depend on, so that tests can mock it. */
class http_client_interface {
 public:
  virtual ~http_client_interface() = default;
  /**
   * Starts a call. One whose method, target or headers are not in the grammar
   * of HTTP is not sent.
   */
  virtual http_call_id Start(http_call call, http_callbacks callbacks) = 0;
  /** Aborts a call without calling `on_done`; closes its connection. */
  virtual void Cancel(http_call_id call) = 0;
  /**
   * Stops reading the body of a call, so that its peer has to wait. At most one
   * more piece of the body (4 KiB) is kept. The call's timeouts go on.
   */
  virtual void Hold(http_call_id call) = 0;
  /** Continues to read the body. */
  virtual void Release(http_call_id call) = 0;
};

/** libcurl multi-socket client on an event loop. */
class http_client : public http_client_interface {
 public:
  explicit http_client(event_loop& loop);
  ~http_client() override;

  http_call_id Start(http_call call, http_callbacks callbacks) override;
  void Cancel(http_call_id call) override;
  void Hold(http_call_id call) override;
  void Release(http_call_id call) override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::net

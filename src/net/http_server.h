#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/time.h"
#include "net/body_budget.h"
#include "net/event_loop.h"
#include "net/shared_body.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {

/** Header names in lower case. */
using header_map = std::map<std::string, std::string>;

struct http_request {
  std::string method;
  /** Request target as the client sent it: path and query, not decoded. */
  std::string target;
  /** Path without the query string, percent-decoded. */
  std::string path;
  std::map<std::string, std::string> query;
  header_map headers;
  /** Empty again once a whole response is being sent. */
  shared_body body;
};

struct http_response {
  int status = 200;
  header_map headers;
  std::string body;
};

/**
 * One request and its response. Hold the shared pointer until the response is
 * complete. Calls after the client has disconnected are ignored.
 */
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual const http_request& Request() const = 0;
  /** Sends a whole response. */
  virtual void Respond(http_response response) = 0;
  /** Starts a streamed response of unknown length. */
  virtual void BeginStream(int status, header_map headers) = 0;
  /** Appends to a streamed response. */
  virtual void Write(std::string data) = 0;
  /** Ends a streamed response. */
  virtual void EndStream() = 0;
  /** Sends what was written to a stream, then aborts. */
  virtual void EndIncomplete() = 0;
  /** Closes the connection so that the client sees a truncated response. */
  virtual void Abort() = 0;
  /** Called once if the client disconnects before the response is complete. */
  virtual void OnClientGone(std::function<void()> callback) = 0;
  /** Bytes written and not yet read by the daemon for sending. */
  virtual std::size_t PendingBytes() const = 0;
  /**
   * Calls `callback` once, in a later turn of the loop, when at most `bytes`
   * are pending. Replaces an earlier callback.
   */
  virtual void OnDrained(std::size_t bytes, std::function<void()> callback) = 0;
};

/** A request that a server ended to stay within its memory or connections. */
struct overload_event {
  enum class kind {
    /** The connection of an incomplete body was closed. */
    body_closed,
    /** A large body gets a 503, because complete ones fill the budget. */
    body_refused,
    /**
     * A connection without progress, which held an incomplete request or was
     * idle, was closed for a new one.
     */
    connection_closed,
  };
  kind what = kind::body_closed;
  /** Bytes of the body that had been received. */
  std::size_t body_bytes = 0;
  /** Bytes that bodies hold after the event. */
  std::size_t held_bytes = 0;
};

const char* ToString(overload_event::kind what);

/** A request that a server refused itself, without its handler. */
struct refusal_event {
  int status = 0;
  /** Short name of the cause, such as `malformed_request`. */
  std::string type;
  /** A sentence without any text of the request. */
  std::string reason;
};

struct http_server_options {
  /** IP address to listen on. */
  std::string address = "127.0.0.1";
  /** 0 for a port chosen by the system. */
  std::uint16_t port = 0;
  /** A larger body gets a 413; the handler is not called. */
  std::size_t maximum_body_bytes = 1024 * 1024;
  /**
   * Memory of one connection for the request line, the headers, a record for
   * each header, cookie and parameter, and the head of the response. A request
   * that leaves no room for a response gets a 414 or 431.
   */
  std::size_t maximum_header_bytes = 32 * 1024;
  /**
   * When it is reached, connections with an incomplete request are closed that
   * have made no progress for longest, then those that are idle.
   */
  unsigned maximum_connections = 4096;
  /** Closed connections that are kept until their clients have read all. */
  std::size_t maximum_lingering_connections = 256;
  /** For all bodies together; always has room for one of the largest size. */
  body_budget_limits body_memory;
  /** Optional; called for each event. */
  std::function<void(const overload_event& event)> on_overload;
  /** Optional; called for each request that the server refuses itself. */
  std::function<void(const refusal_event& event)> on_refusal;
  /**
   * Limit for all whole responses that clients have not read. Beyond it the
   * connections of the largest ones are closed.
   */
  std::size_t maximum_unread_bytes = 16 * 1024 * 1024;
  /**
   * A request or a response without progress is closed after this. Also the
   * first value of the timeouts that may change.
   */
  core::seconds idle_timeout{60};
};

/** Limits on clients that may change while a server runs. */
struct http_server_limits {
  /**
   * Larger header fields get a 431. The memory limit of the options, which is
   * fixed, applies as well.
   */
  std::size_t maximum_header_bytes = 32 * 1024;
  /** A larger body gets a 413; the handler is not called. */
  std::size_t maximum_body_bytes = 1024 * 1024;
  /** A connection is closed if its headers take longer. */
  core::milliseconds header_timeout{60000};
  /** A connection is closed if it has been idle between requests for this. */
  core::milliseconds idle_timeout{60000};
};

/** HTTP/1.1 server on an event loop. */
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;

  /** @throws net_error if the address cannot be bound. */
  http_server(event_loop& loop, http_server_options options,
              handler on_request);
  /** Accepts from a listening socket; the address of the options is unused. */
  http_server(event_loop& loop, http_server_options options, handler on_request,
              tcp_socket listener);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t Port() const;
  /** Applies to open connections too, but not to requests that have begun. */
  void SetLimits(const http_server_limits& limits);
  /** Stops accepting connections; open ones remain. */
  void StopAccepting();
  std::size_t ConnectionCount() const;
  /** Requests whose responses have not been written completely. */
  std::size_t UnfinishedCount() const;
  /** Bytes of the bodies of all requests. */
  std::size_t BodyBytes() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::net

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/body_budget.h"
#include "net/head_memory.h"
#include "net/http_server.h"
#include "net/io_watcher.h"
#include "net/request_head.h"

struct MHD_Connection;

namespace comfreyspring::net {

/** Interface of the server as used by its exchanges. */
class http_daemon {
 public:
  virtual ~http_daemon() = default;
  virtual event_loop& Loop() = 0;
  /** Schedules a run of the daemon at the end of the turn. */
  virtual void RequestRun() = 0;
  /**
   * Asks for memory for a body that holds `bytes` in total. May drop the bodies
   * of other exchanges.
   */
  virtual body_budget::verdict GrowBody(body_id body, std::size_t bytes) = 0;
  virtual void ReportRefusal(const refusal_event& event) = 0;
};

/** A response with a JSON body that closes its connection. */
http_response RefusalResponse(const refusal_event& event,
                              const std::string& outcome = "not_run");

/**
 * Server side of one request. The connection is suspended while there is
 * nothing to send, and resumed when a response or more data is available.
 */
class http_exchange_state
    : public std::enable_shared_from_this<http_exchange_state> {
 public:
  /** `body` is the number of its body in `budget`. */
  http_exchange_state(http_daemon& daemon, MHD_Connection* connection,
                      std::size_t maximum_body_bytes,
                      std::shared_ptr<body_budget> budget, body_id body);

  // Called by the server.

  /** Reads the method, path, query, version and headers. */
  void ReadHead(std::string target, const char* url, const char* method,
                std::string_view version);
  /** Returns true if the body is too large and gets a 413 without being read.
   */
  bool MustRefuseUnread() const;
  /** Adds body data. @returns false if the connection must be closed. */
  bool AppendBody(std::string_view data);
  /** Sets a 413 response and discards the body received so far. */
  void RefuseBody();
  /** Discards an incomplete body; its connection must be closed. */
  void DropBody();
  std::size_t ReceivedBodyBytes() const { return body_bytes_; }
  bool IsBodyDropped() const { return body_dropped_; }
  body_id Body() const { return body_; }
  /** Sets a 431 response; the body is not read. */
  void RefuseHeaders();
  /**
   * Sets a 414 or 431 response; the body is not read. For a head after which
   * the pool of the connection has no room for the head of a response.
   */
  void RefuseManyParts();
  /** What the head of the request takes from the pool of the connection. */
  const head_memory& HeadMemory() const { return head_memory_; }
  /**
   * Sets a 400 or 501 response if the head is not in the grammar of HTTP, or
   * doesn't tell where the body ends; the body is not read. The daemon accepts
   * such heads, which other servers read in other ways.
   * @returns true if it has set a response.
   */
  bool RefuseMalformed();
  /** Bytes of the header fields, without the request line. */
  std::size_t HeaderBytes() const { return header_bytes_; }
  /** The connection waits for the response, or for more of it. */
  bool IsSuspended() const { return suspended_; }
  /** The whole request has been received. */
  void MarkDispatched();
  bool IsDispatched() const { return dispatched_; }
  bool IsAnswered() const { return response_ || streaming_ || aborted_; }
  /**
   * Queues the response with the daemon, or suspends the connection until there
   * is one. @returns false if the connection is to be closed.
   */
  bool Answer();
  /** Bytes of a whole response that is being sent. */
  std::size_t QueuedBytes() const { return queued_bytes_; }
  /**
   * The response for a daemon that closes the connection by itself before it
   * has sent any of the response; nothing if there should be none.
   */
  std::optional<http_response> ResponseForClose() const;
  /** Clears the connection when the daemon has completed the request. */
  void Detach();
  void ReportGone();

  // Called through the handle.

  const http_request& Request() const { return request_; }
  void Respond(http_response response);
  void BeginStream(int status, header_map headers);
  void Write(std::string data);
  void EndStream();
  void EndIncomplete();
  void Abort();
  void OnClientGone(std::function<void()> callback);
  std::size_t PendingBytes() const {
    return stream_data_.size() - stream_sent_;
  }
  void OnDrained(std::size_t bytes, std::function<void()> callback);

 private:
  /** Reads and checks the header fields; sets `malformed_` if they fail. */
  void ReadFields(std::string_view head, std::size_t request_line_bytes,
                  std::string_view version);
  /** Value of the Content-Length header; 0 if there is none. */
  std::size_t AnnouncedBodyBytes() const;
  static ssize_t ReadStream(void* self, std::uint64_t position, char* target,
                            std::size_t capacity) noexcept;

  /** Resets the connection if nothing else marks a stream as incomplete. */
  void MarkIncomplete() const;
  int Descriptor() const;
  /** Sets a response that closes the connection. */
  void Refuse(int status, const char* type, const std::string& message);
  /** @returns false after setting a 500 response if a field is malformed. */
  bool AcceptFields(const header_map& headers);
  /** @returns false if there is no memory for the received bytes. */
  bool ReserveBody();
  void DiscardBody();
  bool QueueWhole();
  bool QueueStream();
  void Suspend();
  void Resume();
  void ReportDrained();
  void WatchForDisconnect();
  void CheckForDisconnect();

  http_daemon* daemon_;
  MHD_Connection* connection_;
  http_request request_;
  /** Streams to the client end with the connection, without a last chunk. */
  bool lacks_chunks_ = false;
  std::size_t header_bytes_ = 0;
  head_memory head_memory_;
  body_framing framing_;
  std::optional<head_error> malformed_;
  std::size_t maximum_body_bytes_;
  std::size_t body_bytes_ = 0;
  /** The body until it is complete. */
  std::string incoming_body_;
  std::shared_ptr<body_budget> budget_;
  body_id body_;
  body_lease lease_;
  /** Bytes that the budget has granted. */
  std::size_t granted_bytes_ = 0;
  bool body_refused_ = false;
  bool body_dropped_ = false;
  bool dispatched_ = false;

  // The response: whole, or streamed.
  std::optional<http_response> response_;
  bool streaming_ = false;
  int stream_status_ = 200;
  header_map stream_headers_;
  std::string stream_data_;
  std::size_t stream_sent_ = 0;
  bool stream_ended_ = false;
  std::size_t drained_bytes_ = 0;
  std::function<void()> on_drained_;
  /** The end of the stream is no complete response. */
  bool incomplete_ = false;
  bool aborted_ = false;
  bool queued_ = false;
  /** The daemon has begun to send the body of a stream. */
  bool stream_read_ = false;
  std::size_t queued_bytes_ = 0;

  // The daemon does not poll a suspended connection, so a watcher detects a
  // disconnect.
  bool suspended_ = false;
  std::optional<io_watcher> disconnect_watcher_;
  bool watch_ended_ = false;
  bool gone_ = false;
  std::function<void()> on_gone_;
};

/**
 * Exchange that is passed to the request handler. Destroying it without a
 * response sends a 500, so that the client does not wait forever.
 */
class http_exchange_handle final : public http_exchange {
 public:
  explicit http_exchange_handle(std::shared_ptr<http_exchange_state> state)
      : state_(std::move(state)) {}
  ~http_exchange_handle() override;
  http_exchange_handle(const http_exchange_handle&) = delete;
  http_exchange_handle& operator=(const http_exchange_handle&) = delete;

  const http_request& Request() const override { return state_->Request(); }
  void Respond(http_response response) override {
    state_->Respond(std::move(response));
  }
  void BeginStream(int status, header_map headers) override {
    state_->BeginStream(status, std::move(headers));
  }
  void Write(std::string data) override { state_->Write(std::move(data)); }
  void EndStream() override { state_->EndStream(); }
  void EndIncomplete() override { state_->EndIncomplete(); }
  void Abort() override { state_->Abort(); }
  void OnClientGone(std::function<void()> callback) override {
    state_->OnClientGone(std::move(callback));
  }
  std::size_t PendingBytes() const override { return state_->PendingBytes(); }
  void OnDrained(std::size_t bytes, std::function<void()> callback) override {
    state_->OnDrained(bytes, std::move(callback));
  }

 private:
  std::shared_ptr<http_exchange_state> state_;
};

}  // namespace comfreyspring::net

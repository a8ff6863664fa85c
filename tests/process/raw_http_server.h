#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace comfreyspring::process_test {

/** What marks the end of a streamed response. */
enum class stream_framing { chunks, connection };

/** @returns a chunk of a body; the last one if `data` is empty. */
std::string Chunk(const std::string& data);

/** Exchange that can also violate the protocol. */
class raw_exchange : public net::http_exchange {
 public:
  /**
   * Must be called ahead of `BeginStream`. Without chunks, an aborted stream is
   * reset.
   */
  virtual void SetFraming(stream_framing framing) = 0;
  /** Number of the connection, from 1. */
  virtual std::uint64_t Connection() const = 0;
  /** Sends bytes as they are, whatever the state of the response. */
  virtual void SendRaw(std::string bytes) = 0;
  /** Ends the connection in order once all bytes are sent. */
  virtual void CloseInOrder() = 0;
  /** Lets the next request on the connection begin after `SendRaw`. */
  virtual void FinishRaw() = 0;
};

/**
 * HTTP/1.1 server for stand-ins, written on sockets so that its responses may
 * lack any framing. Reads requests with a length, one at a time on a
 * connection. Its destruction aborts all responses.
 */
class raw_http_server {
 public:
  using handler = std::function<void(std::shared_ptr<raw_exchange>)>;

  /** @throws net_error if the address cannot be bound. */
  raw_http_server(net::event_loop& loop, const std::string& ip,
                  std::uint16_t port, handler on_request);
  ~raw_http_server();
  raw_http_server(const raw_http_server&) = delete;
  raw_http_server& operator=(const raw_http_server&) = delete;

  std::uint16_t Port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::process_test

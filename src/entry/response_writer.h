#pragma once

#include <cstdint>
#include <string>

#include "entry/request_context.h"
#include "entry/request_error.h"
#include "wire/messages.h"

namespace comfreyspring::entry {

/**
 * Writes one response to its caller: as OpenAI events, as one OpenAI object, or
 * as the response of a plain service. Exactly one of Finish and Fail ends it.
 */
class response_writer {
 public:
  explicit response_writer(const request_context& context);

  /** Writes or buffers the next part of the output, in order. */
  void Write(const std::string& data);
  /** Ends the response as complete. */
  void Finish(const wire::finished& message);
  /** Ends it with an error; a response that has begun gets an error event. */
  void Fail(const request_error& failure);
  /** True once the caller may have received a part of the response. */
  bool HasBegun() const { return begun_; }
  /** Bytes that are not yet sent to the caller. */
  std::size_t PendingBytes() const { return exchange_->PendingBytes(); }

 private:
  net::header_map ResponseHeaders(const std::string& content_type) const;
  std::string EventFor(const std::string& text,
                       const char* finish_reason) const;
  std::string CompletionBody(const wire::finished& message) const;

  std::shared_ptr<net::http_exchange> exchange_;
  core::request_id request_;
  response_format format_;
  bool stream_;
  core::adapter_reference adapter_;
  std::uint64_t generation_;
  std::int64_t created_unix_seconds_;
  bool begun_ = false;
  std::string buffered_output_;
};

}  // namespace comfreyspring::entry

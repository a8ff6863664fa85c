#pragma once

#include <cstdint>
#include <string>

#include "entry/request_context.h"
#include "entry/request_error.h"
#include "wire/messages.h"

namespace comfreyspring::entry {

/**
 * Renders one answer to its caller: as OpenAI events, as one OpenAI object, or
 * as the answer of a plain service. Exactly one of Finish and Fail ends it.
 */
class answer_writer {
 public:
  explicit answer_writer(const request_context& context);

  /** Passes on the next piece of the answer, in order. */
  void Write(const std::string& data);
  /** Ends the answer as complete. */
  void Finish(const wire::finished& message);
  /** Ends it with an error; an answer that has begun gets an error event. */
  void Fail(const request_error& failure);
  /** True once the caller may have received a part of the answer. */
  bool Begun() const { return begun_; }
  /** Bytes that the caller has not taken yet. */
  std::size_t PendingBytes() const { return exchange_->PendingBytes(); }

 private:
  net::header_map AnswerHeaders(const std::string& content_type) const;
  std::string EventFor(const std::string& text,
                       const char* finish_reason) const;
  std::string WholeCompletion(const wire::finished& message) const;

  std::shared_ptr<net::http_exchange> exchange_;
  core::request_id request_;
  answer_format format_;
  bool stream_;
  core::adapter_reference adapter_;
  std::uint64_t generation_;
  std::int64_t created_unix_seconds_;
  bool begun_ = false;
  std::string collected_;
};

}  // namespace comfreyspring::entry

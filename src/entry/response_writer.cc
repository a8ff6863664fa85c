#include "entry/response_writer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Event(const std::string& data) { return "data: " + data + "\n\n"; }

}  // namespace

response_writer::response_writer(const request_context& context)
    : exchange_(context.exchange),
      request_(context.request),
      format_(context.format),
      stream_(context.stream),
      adapter_(context.adapter),
      generation_(context.configuration->version.generation),
      created_unix_seconds_(core::UnixMilliseconds(context.received_wall_time) /
                            1000) {}

void response_writer::Write(const std::string& data) {
  if (!stream_) {
    buffered_output_ += data;
    return;
  }
  if (!begun_) {
    begun_ = true;
    exchange_->BeginStream(kOk, ResponseHeaders("text/event-stream"));
  }
  exchange_->Write(Event(EventFor(data, nullptr)));
}

void response_writer::Finish(const wire::finished& message) {
  if (stream_) {
    if (!begun_) {
      begun_ = true;
      exchange_->BeginStream(kOk, ResponseHeaders("text/event-stream"));
    }
    exchange_->Write(Event(EventFor("", "stop")) + Event("[DONE]"));
    exchange_->EndStream();
    return;
  }
  begun_ = true;
  net::http_response response;
  if (format_ == response_format::service) {
    response.status = message.status;
    response.headers = ResponseHeaders(message.content_type);
    response.body = std::move(buffered_output_);
  } else {
    response.headers = ResponseHeaders("application/json");
    response.body = CompletionBody(message);
  }
  exchange_->Respond(std::move(response));
}

void response_writer::Fail(const request_error& failure) {
  if (!begun_) {
    begun_ = true;
    exchange_->Respond(failure.ToResponse(request_));
    return;
  }
  // Neither [DONE] nor the end of the message follows, so that a client does
  // not take the stream as complete.
  exchange_->Write("event: error\n" + Event(failure.Body(request_)));
  exchange_->EndIncomplete();
}

net::header_map response_writer::ResponseHeaders(
    const std::string& content_type) const {
  net::header_map headers = {
      {"x-request-id", request_.Value()},
      {"x-config-generation", std::to_string(generation_)}};
  if (!content_type.empty()) headers["content-type"] = content_type;
  if (format_ != response_format::service) {
    headers["x-adapter"] = adapter_.adapter.Value();
    headers["x-adapter-version"] = adapter_.version.Value();
  }
  return headers;
}

std::string response_writer::EventFor(const std::string& text,
                                      const char* finish_reason) const {
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (finish_reason != nullptr) choice["finish_reason"] = finish_reason;
  if (format_ == response_format::chat) {
    choice["delta"] = json::object();
    if (!text.empty()) choice["delta"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  return Dump(
      {{"id", request_.Value()},
       {"object", format_ == response_format::chat ? "chat.completion.chunk"
                                                   : "text_completion"},
       {"created", created_unix_seconds_},
       {"model", core::ToString(adapter_)},
       {"choices", json::array({choice})}});
}

std::string response_writer::CompletionBody(
    const wire::finished& message) const {
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (format_ == response_format::chat) {
    choice["message"] = {{"role", "assistant"}, {"content", buffered_output_}};
  } else {
    choice["text"] = buffered_output_;
  }
  return Dump({{"id", request_.Value()},
               {"object", format_ == response_format::chat ? "chat.completion"
                                                           : "text_completion"},
               {"created", created_unix_seconds_},
               {"model", core::ToString(adapter_)},
               {"choices", json::array({choice})},
               {"usage", {{"completion_tokens", message.tokens.value}}}});
}

}  // namespace comfreyspring::entry

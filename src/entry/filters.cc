#include "entry/filters.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/json_parser.h"
#include "core/uuid.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kContentTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr core::milliseconds kAllowedClockSkew{2000};
constexpr std::string_view kServicePrefix = "/v1/services/";

request_error BadRequest(const std::string& message) {
  return request_error(kBadRequest, "invalid_request", message);
}

std::string HeaderValue(const request_context& context,
                        const std::string& name) {
  const net::header_map& headers = context.exchange->Request().headers;
  const auto position = headers.find(name);
  return position == headers.end() ? "" : position->second;
}

json ParseBody(const std::string& body) {
  json parsed = core::TryParseJson(body);
  if (parsed.is_discarded()) throw BadRequest("the body is not valid JSON");
  if (!parsed.is_object()) throw BadRequest("the body is not a JSON object");
  return parsed;
}

std::string StringField(const json& body, const char* name) {
  const auto position = body.find(name);
  if (position == body.end() || !position->is_string()) {
    throw BadRequest("field '" + std::string(name) +
                     "' is missing or not a string");
  }
  return position->get<std::string>();
}

bool BoolField(const json& body, const char* name) {
  const auto position = body.find(name);
  if (position == body.end()) return false;
  if (!position->is_boolean()) {
    throw BadRequest("field '" + std::string(name) + "' is not a boolean");
  }
  return position->get<bool>();
}

/** Text of a message: a string, or an array of parts of type `text`. */
std::string MessageText(const json& content) {
  if (content.is_string()) return content.get<std::string>();
  if (!content.is_array()) {
    throw BadRequest("field 'content' is neither a string nor an array");
  }
  std::string text;
  for (const json& part : content) {
    if (!part.is_object() || !part.contains("type") || part["type"] != "text") {
      throw BadRequest("only content parts of type 'text' are supported");
    }
    text += StringField(part, "text");
  }
  return text;
}

std::string ChatPrompt(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    throw BadRequest("field 'messages' is missing or not a non-empty array");
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content")) {
      throw BadRequest("a message is not an object with role and content");
    }
    prompt += StringField(message, "role") + ": " +
              MessageText(message.at("content")) + "\n";
  }
  return prompt;
}

std::int64_t TokenLimit(const json& body, const request_limits& limits) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto position = body.find(name);
    if (position == body.end() || position->is_null()) continue;
    const std::string allowed = "1 to " + std::to_string(limits.maximum_tokens);
    if (!position->is_number_integer() || position->get<std::int64_t>() < 1 ||
        position->get<std::int64_t>() > limits.maximum_tokens) {
      throw BadRequest("field '" + std::string(name) +
                       "' is not an integer from " + allowed);
    }
    return position->get<std::int64_t>();
  }
  return limits.default_tokens;
}

std::int64_t ParseNumber(const std::string& text) {
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, failure] = std::from_chars(text.data(), last, value);
  return failure == std::errc() && end == last ? value : -1;
}

bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD";
}

}  // namespace

void request_id_filter::Apply(request_context& context) {
  context.request =
      core::request_id(core::MakeUuidV7(context.received_wall_time, random_));
}

void size_limit_filter::Apply(request_context& context) {
  const std::size_t size = context.exchange->Request().body.size();
  if (size <= limits_.maximum_body_bytes) return;
  throw request_error(
      kContentTooLarge, "body_too_large",
      "the body has " + std::to_string(size) + " bytes; at most " +
          std::to_string(limits_.maximum_body_bytes) + " are allowed");
}

void parse_filter::Apply(request_context& context) {
  const net::http_request& request = context.exchange->Request();
  if (request.path.rfind(kServicePrefix, 0) == 0) {
    ParseServiceCall(context);
    return;
  }
  const bool chat = request.path == "/v1/chat/completions";
  if (!chat && request.path != "/v1/completions") {
    throw request_error(kNotFound, "unknown_path",
                        "path '" + request.path + "' does not exist");
  }
  if (request.method != "POST") {
    throw request_error(kMethodNotAllowed, "method_not_allowed",
                        "path '" + request.path + "' accepts only POST");
  }
  context.format = chat ? response_format::chat : response_format::text;
  ParseCompletion(context);
}

void parse_filter::ParseCompletion(request_context& context) {
  const json body = ParseBody(context.exchange->Request().body);
  context.kind = core::request_kind::completion;
  context.requested_model = StringField(body, "model");
  context.stream = BoolField(body, "stream");
  context.maximum_tokens = TokenLimit(body, limits_);
  context.prompt = context.format == response_format::chat
                       ? ChatPrompt(body)
                       : StringField(body, "prompt");
  if (body.contains("n") && body["n"] != 1) {
    throw BadRequest("field 'n' must be 1");
  }
}

void parse_filter::ParseServiceCall(request_context& context) {
  const std::string& path = context.exchange->Request().path;
  const std::string rest = path.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  context.kind = core::request_kind::service_call;
  context.format = response_format::service;
  context.service = core::service_id(rest.substr(0, slash));
  context.service_path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (context.service.empty()) throw BadRequest("the path has no service name");
}

void resolve_filter::Apply(request_context& context) {
  if (context.configuration == nullptr) {
    request_error failure(kServiceUnavailable, "no_configuration",
                          "no configuration has been received yet");
    throw failure.WithRetryAfter(core::milliseconds(1000));
  }
  if (context.kind == core::request_kind::service_call) {
    if (context.configuration->FindService(context.service) != nullptr) return;
    throw request_error(
        kNotFound, "unknown_service",
        "service '" + context.service.Value() + "' does not exist");
  }
  const std::size_t at = context.requested_model.find('@');
  const core::adapter_id name(context.requested_model.substr(0, at));
  const config::adapter_record* adapter =
      context.configuration->FindAdapter(name);
  if (adapter == nullptr) {
    throw request_error(kNotFound, "unknown_adapter",
                        "adapter '" + name.Value() + "' does not exist");
  }
  context.model = adapter->model;
  context.adapter = {name, adapter->default_version};
  if (at == std::string::npos) return;
  const core::version_id version(context.requested_model.substr(at + 1));
  for (const core::version_id& known : adapter->versions) {
    if (known != version) continue;
    context.adapter.version = version;
    return;
  }
  throw request_error(kNotFound, "unknown_version",
                      "adapter '" + name.Value() + "' has no version '" +
                          version.Value() + "'");
}

void priority_filter::Apply(request_context& context) {
  core::milliseconds deadline{0};
  if (context.kind == core::request_kind::completion) {
    const auto* adapter =
        context.configuration->FindAdapter(context.adapter.adapter);
    context.priority = adapter->priority;
    deadline = adapter->deadline;
  } else {
    const auto* service = context.configuration->FindService(context.service);
    context.priority = service->priority;
    deadline = service->deadline;
  }
  const std::string priority = HeaderValue(context, "x-priority");
  if (priority == "may-wait") {
    context.priority = core::priority_class::may_wait;
  } else if (!priority.empty() && priority != "urgent") {
    throw BadRequest("header X-Priority is neither 'urgent' nor 'may-wait'");
  }
  const std::string limit = HeaderValue(context, "x-request-deadline-ms");
  if (!limit.empty()) {
    const std::int64_t value = ParseNumber(limit);
    if (value < 1 || value > limits_.maximum_deadline.count()) {
      throw BadRequest(
          "header X-Request-Deadline-Ms is not an integer from 1 to " +
          std::to_string(limits_.maximum_deadline.count()));
    }
    deadline = core::milliseconds(value);
  }
  context.deadline = context.received + deadline;
}

void idempotency_filter::Apply(request_context& context) {
  if (context.kind == core::request_kind::completion) return;
  const config::service_record& service =
      *context.configuration->FindService(context.service);
  if (service.repeatable || IsSafeMethod(context.exchange->Request().method)) {
    return;
  }
  context.idempotent = false;
  const std::string key = HeaderValue(context, "idempotency-key");
  if (key.empty()) {
    throw BadRequest("service '" + service.service.Value() +
                     "' is not repeatable: header Idempotency-Key with a "
                     "new UUIDv7 for each call is required");
  }
  try {
    const core::wall_time created_at = core::UuidV7Time(key);
    if (created_at > context.received_wall_time + kAllowedClockSkew) {
      throw BadRequest("the timestamp of the Idempotency-Key is in the future");
    }
    context.key = core::idempotency_key(key);
    context.key_owner = ledger::OwnerOfKey(service, context.key);
  } catch (const core::invalid_value_error& failure) {
    throw BadRequest(std::string("header Idempotency-Key: ") + failure.what());
  }
  if (context.key_owner) return;
  request_error failure(kBadGateway, "key_too_old",
                        "the Idempotency-Key is older than the kept records; "
                        "check whether the call has run before repeating it");
  throw failure.WithOutcome(core::outcome::unknown);
}

void overload_filter::Apply(request_context&) {
  const entry_load load = load_();
  if (load.draining) {
    request_error failure(kServiceUnavailable, "draining",
                          "this entry is shutting down");
    throw failure.WithRetryAfter(core::milliseconds(1000));
  }
  if (load.open_requests < load.maximum_requests) return;
  request_error failure(kTooManyRequests, "overloaded",
                        "this entry has reached its maximum of " +
                            std::to_string(load.maximum_requests) +
                            " open requests");
  throw failure.WithRetryAfter(core::milliseconds(1000));
}

}  // namespace comfreyspring::entry

#include "entry/request_error.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::entry {
namespace {

constexpr int kBadGateway = 502;
constexpr int kConflict = 409;
constexpr int kGatewayTimeout = 504;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;
constexpr core::milliseconds kDefaultRetryAfter{1000};

bool IsOverload(const std::string& reason) {
  return reason == "overloaded" || reason == "queue_full" ||
         reason == "expected_wait_exceeds_deadline" || reason == "ledger_full";
}

int StatusFor(core::outcome outcome, const std::string& reason) {
  if (reason == "key_conflict") return kConflict;
  if (outcome != core::outcome::not_run) return kBadGateway;
  if (reason == "deadline_exceeded") return kGatewayTimeout;
  return IsOverload(reason) ? kTooManyRequests : kServiceUnavailable;
}

}  // namespace

request_error::request_error(int status, std::string type,
                             const std::string& message)
    : core::error(message), status_(status), type_(std::move(type)) {}

request_error& request_error::WithOutcome(core::outcome value) {
  outcome_ = value;
  return *this;
}

request_error& request_error::WithRetryAfter(core::milliseconds value) {
  retry_after_ = value;
  return *this;
}

std::string request_error::Body(const core::request_id& request) const {
  const nlohmann::json body = {
      {"error",
       {{"type", type_},
        {"message", what()},
        {"outcome", std::string(core::ToString(outcome_))},
        {"request_id", request.Value()},
        {"retry_after_ms", retry_after_.count()}}}};
  // Messages can quote bytes of the request, which may be invalid UTF-8.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::http_response request_error::ToResponse(
    const core::request_id& request) const {
  net::http_response response;
  response.status = status_;
  response.headers["content-type"] = "application/json";
  response.headers["x-request-id"] = request.Value();
  response.headers["x-outcome"] = std::string(core::ToString(outcome_));
  if (retry_after_.count() > 0) {
    const auto whole_seconds = (retry_after_.count() + 999) / 1000;
    response.headers["retry-after"] = std::to_string(whole_seconds);
  }
  response.body = Body(request);
  return response;
}

request_error ErrorForFailure(core::outcome outcome, const std::string& reason,
                              const std::string& message,
                              core::milliseconds retry_after) {
  const int status = StatusFor(outcome, reason);
  const bool retry_helps =
      status == kTooManyRequests || status == kServiceUnavailable;
  if (retry_helps && retry_after.count() == 0) {
    retry_after = kDefaultRetryAfter;
  }
  request_error failure(status, reason, message);
  failure.WithOutcome(outcome).WithRetryAfter(retry_after);
  return failure;
}

}  // namespace comfreyspring::entry

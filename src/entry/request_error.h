#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "net/http_server.h"

namespace comfreyspring::entry {

/** Error with which a request ends, as reported to the caller. */
class request_error : public core::error {
 public:
  request_error(int status, std::string type, const std::string& message);

  /** Sets what is known about the execution; `not_run` by default. */
  request_error& WithOutcome(core::outcome value);
  /** Sets the time after which the caller may retry. */
  request_error& WithRetryAfter(core::milliseconds value);

  int Status() const { return status_; }
  const std::string& Type() const { return type_; }
  core::outcome Outcome() const { return outcome_; }
  core::milliseconds RetryAfter() const { return retry_after_; }

  /** JSON body, the same for error responses and error events. */
  std::string Body(const core::request_id& request) const;
  /** Complete HTTP response; has a Retry-After header if a time is set. */
  net::http_response ToResponse(const core::request_id& request) const;

 private:
  int status_;
  std::string type_;
  core::outcome outcome_ = core::outcome::not_run;
  core::milliseconds retry_after_{0};
};

/**
 * Creates the error of a request that the router has failed.
 * @param reason machine-readable identifier from routing::fail_request.
 */
request_error ErrorForFailure(core::outcome outcome, const std::string& reason,
                              const std::string& message,
                              core::milliseconds retry_after);

}  // namespace comfreyspring::entry

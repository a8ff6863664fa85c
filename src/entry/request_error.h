#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "net/http_server.h"

namespace comfreyspring::entry {

/** Why a request ends without its answer, as the caller sees it. */
class request_error : public core::error {
 public:
  request_error(int status, std::string type, const std::string& message);

  /** Sets what is known about the execution. */
  request_error& WithOutcome(core::outcome value);
  /** Tells the caller when to ask again. */
  request_error& WithRetryAfter(core::milliseconds value);

  int Status() const { return status_; }
  const std::string& Type() const { return type_; }
  core::outcome Outcome() const { return outcome_; }
  core::milliseconds RetryAfter() const { return retry_after_; }

  /** JSON body of the error, the same for whole answers and events. */
  std::string Body(const core::request_id& request) const;
  /** Whole HTTP answer with Retry-After where asking again helps. */
  net::http_response ToResponse(const core::request_id& request) const;

 private:
  int status_;
  std::string type_;
  core::outcome outcome_ = core::outcome::not_run;
  core::milliseconds retry_after_{0};
};

/**
 * HTTP status for a request that the router has given up.
 * @param reason fixed short name from routing::fail_request.
 */
request_error ErrorForFailure(core::outcome outcome, const std::string& reason,
                              const std::string& message,
                              core::milliseconds retry_after);

}  // namespace comfreyspring::entry

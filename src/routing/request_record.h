#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "routing/request_router.h"

namespace comfreyspring::routing {

enum class attempt_state {
  open,
  /** Confirmed by the agent as not run, or never sent. */
  not_run,
  /** Ended without proof that it has not run. */
  may_have_run,
};

struct attempt_record {
  core::attempt_id attempt;
  core::endpoint_id endpoint;
  core::time_point submitted_at;
  std::optional<core::time_point> first_chunk_at;
  /** Number of chunks at the last progress update, and its time. */
  std::uint64_t chunks = 0;
  core::time_point progress_at;
  attempt_state state = attempt_state::open;
  bool acknowledged = false;
  bool suspected = false;
  /** On arrival, the adapter was loaded and the batch had a free slot. */
  bool uncontended = false;
  bool hedge = false;
};

/** Why an attempt ended without a complete response. */
struct attempt_failure {
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
  /** The attempt has not run; earlier attempts may have. */
  bool not_run = false;
};

/** An open request with all its attempts, in the order of submission. */
struct request_record {
  request_attributes attributes;
  std::vector<attempt_record> attempts;
  std::optional<std::size_t> selected;
  int retries = 0;
  int continuations = 0;
  /** Output of an earlier attempt was delivered and is being continued. */
  bool continued = false;
  /** The output so far is not kept for a continuation. */
  bool continuation_disallowed = false;
  bool hedged = false;
  /** An attempt ended in a way that forbids another run. */
  bool retry_forbidden = false;

  /** True for calls that go to one endpoint only, without retries or hedges. */
  bool SingleAttempt() const {
    return !attributes.idempotent || attributes.home.has_value();
  }
  /** Output was delivered; another attempt can only continue it. */
  bool HasOutput() const { return selected.has_value() || continued; }
  /** A second run is safe, and its output can continue earlier output. */
  bool IsRepeatableCompletion() const {
    return !SingleAttempt() &&
           attributes.kind == core::request_kind::completion;
  }
  bool HasOpenAttempt() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& item) {
      return item.state == attempt_state::open;
    });
  }
  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& item) {
      return item.state != attempt_state::not_run;
    });
  }
  /** The most specific outcome that the attempts prove. */
  core::outcome Outcome() const {
    if (!MayHaveRun()) return core::outcome::not_run;
    // Only the endpoint's record shows whether a non-repeatable call has run to
    // completion, even after a part of its response.
    const bool partial = HasOutput() && attributes.idempotent;
    return partial ? core::outcome::incomplete : core::outcome::unknown;
  }
  attempt_record* Find(const core::attempt_id& attempt) {
    for (attempt_record& item : attempts) {
      if (item.attempt == attempt) return &item;
    }
    return nullptr;
  }
};

}  // namespace comfreyspring::routing

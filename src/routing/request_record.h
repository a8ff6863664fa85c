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
  /** Confirmed by the agent, or never sent. */
  not_run,
  /** Ended without proof that it has not run. */
  may_have_run,
};

struct attempt_record {
  core::attempt_id attempt;
  core::endpoint_id endpoint;
  core::time_point submitted_at;
  std::optional<core::time_point> first_chunk_at;
  /** Chunks counted by the last sign of progress, and its time. */
  std::uint64_t chunks = 0;
  core::time_point progress_at;
  attempt_state state = attempt_state::open;
  bool acknowledged = false;
  bool suspected = false;
  /** On arrival the adapter was loaded and the batch had a place. */
  bool unobstructed = false;
  bool hedge = false;
};

/** Why an attempt ended without a whole answer. */
struct attempt_failure {
  std::string reason;
  std::string message;
  core::milliseconds retry_after{0};
  /** The attempt has not run; earlier attempts may have. */
  bool not_run = false;
};

/** An open request with all its attempts, in the order of submission. */
struct request_record {
  request_attributes facts;
  std::vector<attempt_record> attempts;
  std::optional<std::size_t> selected;
  int retries = 0;
  int continuations = 0;
  /** Output of an earlier attempt was passed on and is being continued. */
  bool continued = false;
  /** The output so far is not kept for a continuation. */
  bool continuation_barred = false;
  bool hedged = false;
  /** An attempt ended in a way that allows no other run. */
  bool retry_barred = false;

  /** Calls that go to one endpoint only have neither retries nor hedges. */
  bool SingleAttempt() const {
    return !facts.idempotent || facts.home.has_value();
  }
  /** Output was passed on; another attempt can only continue it. */
  bool HasOutput() const { return selected.has_value() || continued; }
  /** A second run does no harm, and its output can follow earlier output. */
  bool IsRepeatableCompletion() const {
    return !SingleAttempt() && facts.kind == core::request_kind::completion;
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
  /** Strongest statement that the attempts allow. */
  core::outcome Outcome() const {
    if (!MayHaveRun()) return core::outcome::not_run;
    // Only the endpoint's record tells whether a non-repeatable call has run
    // to its end, even after a part of its answer.
    const bool partial = HasOutput() && facts.idempotent;
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

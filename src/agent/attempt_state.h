#pragma once

#include <memory>
#include <string>

#include "agent/entry_instance.h"
#include "core/time.h"
#include "core/types.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/** What is true of a run of this request that ended in the middle. */
inline core::outcome PartialOutcome(const wire::submit& request) {
  return request.kind == core::request_kind::completion
             ? core::outcome::incomplete
             : core::outcome::unknown;
}

/** Milliseconds with fraction, for metrics and dumps. */
inline double MillisecondsBetween(core::time_point from, core::time_point to) {
  return static_cast<double>((to - from).count()) / 1000.0;
}

/** Where an attempt is. */
enum class attempt_phase {
  queued,
  running,
  /** Cancelled at the endpoint to be continued later. */
  preempting,
  /** Cancelled at the endpoint because nobody wants it any more. */
  withdrawing,
  /** Waits for the answer of another attempt with the same key. */
  joined,
};

inline const char* ToString(attempt_phase phase) {
  switch (phase) {
    case attempt_phase::queued:
      return "queued";
    case attempt_phase::running:
      return "running";
    case attempt_phase::preempting:
      return "preempting";
    case attempt_phase::withdrawing:
      return "withdrawing";
    case attempt_phase::joined:
      return "joined";
  }
  return "invalid";
}

/** One open attempt at this agent. */
struct attempt_state {
  std::shared_ptr<const wire::submit> request;
  entry_instance entry;
  attempt_phase phase = attempt_phase::queued;
  core::time_point received;
  core::time_point deadline;
  core::time_point dispatched;
  /** The endpoint may have worked on it in an earlier run. */
  bool may_have_run = false;
  /** A withdrawal in the queue is answered as refusal. */
  bool refuse_on_withdrawal = false;
  /** The run was lost before any output; it is repeated when released. */
  bool retry_pending = false;
  int run_count = 0;
  core::token_count delivered_tokens;
  /** Output sent so far; kept only if a later run may have to continue it. */
  std::string delivered_text;

  bool IsAtEndpoint() const {
    return phase == attempt_phase::running ||
           phase == attempt_phase::preempting ||
           phase == attempt_phase::withdrawing;
  }
  bool MayBePreempted() const {
    return request->idempotent &&
           request->kind == core::request_kind::completion &&
           request->priority == core::priority_class::may_wait;
  }
};

}  // namespace comfreyspring::agent

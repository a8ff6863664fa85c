#pragma once

#include <memory>
#include <string>

#include "agent/entry_instance.h"
#include "core/time.h"
#include "core/types.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * Outcome of a run that ended before its response was complete: `incomplete`
 * for a completion, `unknown` for a service call.
 */
inline core::outcome PartialOutcome(const wire::submit& request) {
  return request.kind == core::request_kind::completion
             ? core::outcome::incomplete
             : core::outcome::unknown;
}

/** Elapsed time in milliseconds with fraction, for metrics and state dumps. */
inline double MillisecondsBetween(core::time_point from, core::time_point to) {
  return static_cast<double>((to - from).count()) / 1000.0;
}

/** Life cycle phase of an attempt. */
enum class attempt_phase {
  queued,
  running,
  /** A cancel was sent to the endpoint; the attempt is requeued afterwards. */
  preempting,
  /** A cancel was sent to the endpoint because the attempt was withdrawn. */
  withdrawing,
  /** Waits for the response to another attempt with the same key. */
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
  /** The endpoint may have processed part of the attempt, so that it is never
   * reported as `not_run`. */
  bool may_have_run = false;
  /** The agent takes the attempt out of the queue because the endpoint is down;
   * it is answered with `refused` instead of `withdrawn`. */
  bool refuse_on_withdrawal = false;
  /** The run was lost before any output; it is retried after OnReleased. */
  bool retry_pending = false;
  int run_count = 0;
  core::token_count delivered_tokens;
  /** Output sent so far; stored only for attempts that may be preempted, whose
   * next run continues after it. */
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

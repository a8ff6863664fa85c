#include "routing/request_lifecycle.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace comfreyspring::routing {
namespace {

constexpr int kMaximumRetries = 2;
constexpr int kMaximumContinuations = 2;
constexpr double kRetryShare = 0.10;
constexpr double kHedgeShare = 0.05;
// The loss of one endpoint out of 12 fails a batch of requests at once; the
// burst allows these to be retried even if few requests came before.
constexpr double kRetryBurst = 50.0;
constexpr double kHedgeBurst = 10.0;
// Long enough for a link to be reopened or a heartbeat to arrive.
constexpr core::milliseconds kRetryAfterNoEndpoint{1000};

std::vector<core::endpoint_id> TriedEndpoints(const request_record& request) {
  std::vector<core::endpoint_id> tried;
  for (const attempt_record& attempt : request.attempts) {
    tried.push_back(attempt.endpoint);
  }
  return tried;
}

attempt_failure NoEndpoint() {
  return {"no_endpoint", "No endpoint is available.", kRetryAfterNoEndpoint,
          true};
}

attempt_failure HomeUnreachable() {
  return {"home_unreachable", "The home of this call is not reachable.",
          kRetryAfterNoEndpoint, true};
}

attempt_failure Overloaded(core::milliseconds retry_after) {
  return {"overloaded", "The expected wait exceeds the deadline.",
          std::max(retry_after, core::milliseconds(100))};
}

}  // namespace

request_lifecycle::request_lifecycle(const router_options& options,
                                     endpoint_selector& selector)
    : options_(options),
      selector_(selector),
      retry_budget_(kRetryShare, kRetryBurst),
      hedge_budget_(kHedgeShare, kHedgeBurst) {}

// Requests.

request_lifecycle::actions request_lifecycle::OnRequest(
    const request_attributes& attributes, core::time_point now) {
  assert(!requests_.contains(attributes.request));
  actions out;
  ++counters_.requests;
  retry_budget_.OnRequest();
  hedge_budget_.OnRequest();
  if (attributes.deadline <= now) {
    RejectRequest(attributes,
                  {"deadline_exceeded", "The deadline has passed.", {}}, out);
  } else if (requests_.size() >= options_.maximum_requests) {
    ++counters_.refused_overload;
    RejectRequest(attributes, Overloaded(kRetryAfterNoEndpoint), out);
  } else {
    selector_.OnRequest(attributes, now);
    Start(attributes, now, out);
  }
  return out;
}

void request_lifecycle::Start(const request_attributes& attributes,
                              core::time_point now, actions& out) {
  core::endpoint_id endpoint;
  if (attributes.home) {
    if (!selector_.IsAvailable(*attributes.home, now)) {
      RejectRequest(attributes, HomeUnreachable(), out);
      return;
    }
    endpoint = *attributes.home;
  } else if (!attributes.idempotent) {
    // Without a home endpoint, no record prevents a second run.
    RejectRequest(attributes, HomeUnreachable(), out);
    return;
  } else {
    const selection selected = selector_.Select(attributes, {}, false, now);
    if (selected.endpoint.empty()) {
      if (selected.overloaded) ++counters_.refused_overload;
      RejectRequest(
          attributes,
          selected.overloaded ? Overloaded(selected.retry_after) : NoEndpoint(),
          out);
      return;
    }
    endpoint = selected.endpoint;
  }
  request_record& request = requests_[attributes.request];
  request.attributes = attributes;
  Submit(request, endpoint, false, now, out);
}

request_lifecycle::actions request_lifecycle::OnCallerGone(
    const core::request_id& request, core::time_point /*now*/) {
  actions out;
  const auto found = requests_.find(request);
  if (found == requests_.end()) return out;
  request_record& record = found->second;
  for (attempt_record& attempt : record.attempts) {
    if (attempt.state != attempt_state::open) continue;
    if (record.attributes.idempotent) {
      Withdraw(record, attempt, out);
    } else {
      // The call is not cancelled: the ledger of its home endpoint keeps the
      // result.
      CloseAttempt(record, attempt, attempt_state::may_have_run);
    }
  }
  EraseRequest(request);
  return out;
}

// Events from the agents.

request_lifecycle::actions request_lifecycle::OnAccepted(
    const core::attempt_id& attempt, const wire::endpoint_report& report,
    core::time_point now) {
  const open_attempt found = FindAttemptOfFrame(attempt);
  if (found.attempt == nullptr) return {};
  Acknowledge(*found.request, *found.attempt);
  found.attempt->uncontended = report.resident &&
                               report.expected_wait.count() == 0 &&
                               report.running < report.batch_limit;
  selector_.OnReport(found.request->attributes, found.attempt->endpoint, report,
                     now);
  return {};
}

request_lifecycle::actions request_lifecycle::OnFirstChunk(
    const core::attempt_id& attempt, core::time_point now) {
  const open_attempt found = FindAttemptOfFrame(attempt);
  if (found.attempt == nullptr || found.attempt->first_chunk_at) return {};
  actions out;
  Acknowledge(*found.request, *found.attempt);
  found.attempt->first_chunk_at = now;
  found.attempt->chunks = 1;
  found.attempt->progress_at = now;
  selector_.OnFirstChunk(found.request->attributes, found.attempt->endpoint,
                         now - found.attempt->submitted_at,
                         found.attempt->uncontended, now);
  SelectAttempt(*found.request, *found.attempt, out);
  return out;
}

void request_lifecycle::OnProgress(const core::attempt_id& attempt,
                                   std::uint64_t chunks, core::time_point now) {
  const open_attempt found = FindAttempt(attempt);
  if (found.attempt == nullptr || !found.attempt->first_chunk_at) return;
  attempt_record& state = *found.attempt;
  if (chunks <= state.chunks) return;
  const auto added = static_cast<std::int64_t>(chunks - state.chunks);
  selector_.OnProgress(found.request->attributes, state.endpoint,
                       (now - state.progress_at) / added, now);
  state.chunks = chunks;
  state.progress_at = now;
}

request_lifecycle::actions request_lifecycle::OnFinished(
    const wire::finished& message, core::time_point now) {
  const open_attempt found = FindAttemptOfFrame(message.attempt);
  if (found.attempt == nullptr) return {};
  actions out;
  request_record& request = *found.request;
  attempt_record& attempt = *found.attempt;
  Acknowledge(request, attempt);
  selector_.OnReport(request.attributes, attempt.endpoint, message.report, now);
  const core::time_point since =
      attempt.first_chunk_at.value_or(attempt.submitted_at);
  selector_.OnServed(request.attributes, attempt.endpoint, message.tokens,
                     now - since, now);
  Complete(request, attempt, attempt_state::may_have_run, out);
  return out;
}

request_lifecycle::actions request_lifecycle::OnNothingToContinue(
    const core::attempt_id& attempt, core::time_point /*now*/) {
  const open_attempt found = FindAttempt(attempt);
  if (found.attempt == nullptr || !found.request->continued) return {};
  actions out;
  Complete(*found.request, *found.attempt, attempt_state::not_run, out);
  return out;
}

void request_lifecycle::DisallowContinuation(const core::request_id& request) {
  const auto found = requests_.find(request);
  if (found != requests_.end()) found->second.continuation_disallowed = true;
}

void request_lifecycle::Complete(request_record& request,
                                 attempt_record& attempt, attempt_state state,
                                 actions& out) {
  SelectAttempt(request, attempt, out);
  CloseAttempt(request, attempt, state);
  const core::request_id id = request.attributes.request;
  out.push_back(complete_request{id, attempt.attempt});
  EraseRequest(id);
}

request_lifecycle::actions request_lifecycle::OnRefused(
    const wire::refused& message, core::time_point now) {
  const open_attempt found = FindAttemptOfFrame(message.attempt);
  if (found.attempt == nullptr) return {};
  actions out;
  request_record& request = *found.request;
  Acknowledge(request, *found.attempt);
  selector_.OnReport(request.attributes, found.attempt->endpoint,
                     message.report, now);
  // An attempt with output has run in part, whatever outcome the agent reports.
  const bool not_run = message.outcome == core::outcome::not_run &&
                       !found.attempt->first_chunk_at;
  CloseAttempt(request, *found.attempt,
               not_run ? attempt_state::not_run : attempt_state::may_have_run);
  const bool may_retry =
      not_run || (message.outcome != core::outcome::unknown &&
                  request.IsRepeatableCompletion());
  HandleFailure(request,
                {message.reason, message.message, message.retry_after, not_run},
                may_retry, now, out);
  return out;
}

request_lifecycle::actions request_lifecycle::OnWithdrawn(
    const wire::withdrawn& message, core::time_point now) {
  const open_attempt found = FindAttempt(message.attempt);
  if (found.attempt == nullptr) return {};
  actions out;
  const bool not_run = message.outcome == core::outcome::not_run &&
                       !found.attempt->first_chunk_at;
  CloseAttempt(*found.request, *found.attempt,
               not_run ? attempt_state::not_run : attempt_state::may_have_run);
  HandleFailure(*found.request,
                {"outcome_unknown", "The agent gave the attempt up.", {}},
                not_run, now, out);
  return out;
}

request_lifecycle::actions request_lifecycle::OnBrokenAnswer(
    const core::attempt_id& attempt, const std::string& reason,
    core::time_point now, bool output_valid) {
  const open_attempt found = FindAttemptOfFrame(attempt);
  if (found.attempt == nullptr) return {};
  actions out;
  const bool may_continue =
      output_valid && found.attempt->first_chunk_at.has_value();
  Withdraw(*found.request, *found.attempt, out);
  HandleFailure(*found.request, {"stream_interrupted", reason, {}},
                may_continue, now, out);
  return out;
}

request_lifecycle::actions request_lifecycle::OnNotSent(
    const core::attempt_id& attempt, core::time_point now) {
  const open_attempt found = FindAttempt(attempt);
  if (found.attempt == nullptr) return {};
  actions out;
  CloseAttempt(*found.request, *found.attempt, attempt_state::not_run);
  HandleFailure(
      *found.request,
      found.request->attributes.home ? HomeUnreachable() : NoEndpoint(), true,
      now, out);
  return out;
}

request_lifecycle::actions request_lifecycle::OnEndpointLost(
    const core::endpoint_id& endpoint, core::time_point now) {
  actions out;
  selector_.OnReplaced(endpoint);
  std::vector<core::attempt_id> lost;
  for (const auto& [id, request] : requests_) {
    for (const attempt_record& attempt : request.attempts) {
      const bool open = attempt.state == attempt_state::open;
      if (open && attempt.endpoint == endpoint) lost.push_back(attempt.attempt);
    }
  }
  // The iteration order of the hash table is unspecified; sorting makes the
  // actions reproducible.
  std::sort(lost.begin(), lost.end());
  for (const core::attempt_id& attempt : lost) {
    const open_attempt found = FindAttempt(attempt);
    if (found.attempt == nullptr) continue;
    const bool chunk_seen = found.attempt->first_chunk_at.has_value();
    CloseAttempt(*found.request, *found.attempt, attempt_state::may_have_run);
    HandleFailure(*found.request,
                  {chunk_seen ? "stream_interrupted" : "outcome_unknown",
                   "The endpoint was lost.",
                   {}},
                  true, now, out);
  }
  return out;
}

// Time.

request_lifecycle::actions request_lifecycle::OnTick(core::time_point now) {
  actions out;
  selector_.OnTick(now);
  std::vector<core::request_id> expired;
  for (auto& [id, request] : requests_) {
    if (request.attributes.deadline <= now) {
      expired.push_back(id);
      continue;
    }
    if (request.selected) continue;
    CheckAcknowledgements(request, now, out);
    TryHedge(request, now, out);
  }
  for (const core::request_id& id : expired) {
    Fail(requests_.at(id),
         {"deadline_exceeded", "The deadline has passed.", {}}, out);
  }
  return out;
}

void request_lifecycle::CheckAcknowledgements(request_record& request,
                                              core::time_point now,
                                              actions& out) {
  for (attempt_record& attempt : request.attempts) {
    const bool waiting =
        attempt.state == attempt_state::open && !attempt.acknowledged;
    if (!waiting || attempt.suspected) continue;
    if (now - attempt.submitted_at < options_.acknowledge_limit) continue;
    attempt.suspected = true;
    selector_.OnSuspected(attempt.endpoint, now);
    // One new link per acknowledge_limit is enough for all attempts on the old
    // one.
    const auto [last, first_time] =
        suspected_at_.try_emplace(attempt.endpoint, now);
    if (!first_time && now - last->second < options_.acknowledge_limit) {
      continue;
    }
    last->second = now;
    out.push_back(suspect_link{attempt.endpoint});
  }
}

void request_lifecycle::TryHedge(request_record& request, core::time_point now,
                                 actions& out) {
  const request_attributes& attributes = request.attributes;
  if (request.SingleAttempt() || request.hedged || request.continued) return;
  if (attributes.priority != core::priority_class::urgent) return;
  if (!hedge_budget_.Available()) return;
  const std::optional<core::microseconds> delay =
      selector_.HedgeDelay(attributes);
  if (!delay || now - request.attempts.back().submitted_at < *delay) return;
  const selection selected =
      selector_.Select(attributes, TriedEndpoints(request), true, now);
  if (selected.endpoint.empty()) return;
  const bool granted = hedge_budget_.TryTake();
  assert(granted);
  static_cast<void>(granted);
  request.hedged = true;
  ++counters_.hedges;
  Submit(request, selected.endpoint, true, now, out);
}

// Attempts.

request_lifecycle::open_attempt request_lifecycle::FindAttempt(
    const core::attempt_id& attempt) {
  const auto owner = attempts_.find(attempt);
  if (owner == attempts_.end()) return {};
  request_record& request = requests_.at(owner->second);
  return {&request, request.Find(attempt)};
}

request_lifecycle::open_attempt request_lifecycle::FindAttemptOfFrame(
    const core::attempt_id& attempt) {
  const open_attempt found = FindAttempt(attempt);
  if (found.attempt == nullptr) ++counters_.late_frames_dropped;
  return found;
}

void request_lifecycle::Submit(request_record& request,
                               const core::endpoint_id& endpoint, bool hedge,
                               core::time_point now, actions& out) {
  assert(request.attributes.idempotent || request.attempts.empty());
  const std::size_t number = request.attempts.size() + 1;
  core::attempt_id attempt(request.attributes.request.Value() + "." +
                           std::to_string(number));
  attempts_[attempt] = request.attributes.request;
  request.attempts.push_back({.attempt = attempt,
                              .endpoint = endpoint,
                              .submitted_at = now,
                              .hedge = hedge});
  selector_.OnSubmitted(request.attributes, endpoint, now);
  out.push_back(submit_attempt{request.attributes.request, std::move(attempt),
                               endpoint, hedge, request.continued});
}

void request_lifecycle::Acknowledge(const request_record& request,
                                    attempt_record& attempt) {
  if (attempt.acknowledged) return;
  attempt.acknowledged = true;
  selector_.OnAcknowledged(request.attributes, attempt.endpoint);
}

void request_lifecycle::CloseAttempt(const request_record& request,
                                     attempt_record& attempt,
                                     attempt_state state) {
  assert(attempt.state == attempt_state::open);
  attempt.state = state;
  attempts_.erase(attempt.attempt);
  selector_.OnEnded(request.attributes, attempt.endpoint, attempt.acknowledged);
}

void request_lifecycle::Withdraw(const request_record& request,
                                 attempt_record& attempt, actions& out) {
  CloseAttempt(request, attempt, attempt_state::may_have_run);
  out.push_back(withdraw_attempt{attempt.attempt, attempt.endpoint});
}

void request_lifecycle::SelectAttempt(request_record& request,
                                      attempt_record& attempt, actions& out) {
  if (request.selected) return;
  request.selected =
      static_cast<std::size_t>(&attempt - request.attempts.data());
  // The outcomes of the attempts that were not selected no longer matter.
  request.retry_forbidden = false;
  if (attempt.hedge) ++counters_.hedges_won;
  out.push_back(select_attempt{request.attributes.request, attempt.attempt});
  for (attempt_record& other : request.attempts) {
    const bool open = other.state == attempt_state::open;
    if (open && &other != &attempt) Withdraw(request, other, out);
  }
}

// Failures.

void request_lifecycle::HandleFailure(request_record& request,
                                      attempt_failure failure, bool may_retry,
                                      core::time_point now, actions& out) {
  if (!may_retry) request.retry_forbidden = true;
  if (request.HasOpenAttempt()) return;
  if (!request.retry_forbidden && TryRetry(request, now, out)) return;
  Fail(request, std::move(failure), out);
}

bool request_lifecycle::MayRetry(const request_record& request) {
  if (request.SingleAttempt()) return false;
  if (!request.HasOutput()) return request.retries < kMaximumRetries;
  return request.IsRepeatableCompletion() && !request.continuation_disallowed &&
         request.continuations < kMaximumContinuations;
}

bool request_lifecycle::TryRetry(request_record& request, core::time_point now,
                                 actions& out) {
  if (!MayRetry(request)) return false;
  if (request.attributes.deadline <= now || !retry_budget_.Available())
    return false;
  const selection selected =
      selector_.Select(request.attributes, TriedEndpoints(request), false, now);
  if (selected.endpoint.empty()) return false;
  const bool granted = retry_budget_.TryTake();
  assert(granted);
  static_cast<void>(granted);
  if (request.HasOutput()) {
    request.continued = true;
    request.selected.reset();
    ++request.continuations;
    ++counters_.continuations;
  } else {
    ++request.retries;
    ++counters_.retries;
  }
  Submit(request, selected.endpoint, false, now, out);
  return true;
}

void request_lifecycle::Fail(request_record& request, attempt_failure failure,
                             actions& out) {
  for (attempt_record& attempt : request.attempts) {
    if (attempt.state == attempt_state::open) Withdraw(request, attempt, out);
  }
  const core::outcome outcome = request.Outcome();
  if (outcome == core::outcome::unknown && failure.not_run) {
    // The last attempt has not run, but an earlier one may have.
    failure.reason = "outcome_unknown";
  }
  const core::request_id id = request.attributes.request;
  out.push_back(fail_request{id, outcome, std::move(failure.reason),
                             std::move(failure.message), failure.retry_after});
  EraseRequest(id);
}

void request_lifecycle::RejectRequest(const request_attributes& attributes,
                                      attempt_failure failure, actions& out) {
  out.push_back(fail_request{attributes.request, core::outcome::not_run,
                             std::move(failure.reason),
                             std::move(failure.message), failure.retry_after});
}

void request_lifecycle::EraseRequest(const core::request_id& request) {
  const auto found = requests_.find(request);
  assert(found != requests_.end());
  for (const attempt_record& attempt : found->second.attempts) {
    attempts_.erase(attempt.attempt);
  }
  requests_.erase(found);
}

}  // namespace comfreyspring::routing

#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "resilience/ratio_budget.h"
#include "routing/endpoint_selector.h"
#include "routing/request_record.h"
#include "routing/request_router.h"

namespace comfreyspring::routing {

/**
 * Manages the open requests of an entry. Events and actions are those of
 * request_router.
 */
class request_lifecycle {
 public:
  /** `selector` must outlive the object. */
  request_lifecycle(const router_options& options, endpoint_selector& selector);

  using actions = std::vector<router_action>;

  actions OnRequest(const request_attributes& attributes, core::time_point now);
  actions OnCallerGone(const core::request_id& request, core::time_point now);
  actions OnAccepted(const core::attempt_id& attempt,
                     const wire::endpoint_report& report, core::time_point now);
  actions OnFirstChunk(const core::attempt_id& attempt, core::time_point now);
  void OnProgress(const core::attempt_id& attempt, std::uint64_t chunks,
                  core::time_point now);
  actions OnFinished(const wire::finished& message, core::time_point now);
  actions OnRefused(const wire::refused& message, core::time_point now);
  actions OnWithdrawn(const wire::withdrawn& message, core::time_point now);
  actions OnBrokenAnswer(const core::attempt_id& attempt,
                         const std::string& reason, core::time_point now,
                         bool output_valid);
  actions OnNothingToContinue(const core::attempt_id& attempt,
                              core::time_point now);
  void DisallowContinuation(const core::request_id& request);
  actions OnNotSent(const core::attempt_id& attempt, core::time_point now);
  actions OnEndpointLost(const core::endpoint_id& endpoint,
                         core::time_point now);
  actions OnTick(core::time_point now);

  std::size_t OpenRequests() const { return requests_.size(); }
  const router_counters& Counters() const { return counters_; }

 private:
  /** An open attempt and its request; both null if the attempt is unknown. */
  struct open_attempt {
    request_record* request = nullptr;
    attempt_record* attempt = nullptr;
  };

  open_attempt FindAttempt(const core::attempt_id& attempt);
  /** As FindAttempt; counts the frame as late if the attempt is unknown. */
  open_attempt FindAttemptOfFrame(const core::attempt_id& attempt);

  void Submit(request_record& request, const core::endpoint_id& endpoint,
              bool hedge, core::time_point now, actions& out);
  void Acknowledge(const request_record& request, attempt_record& attempt);
  void CloseAttempt(const request_record& request, attempt_record& attempt,
                    attempt_state state);
  void Withdraw(const request_record& request, attempt_record& attempt,
                actions& out);
  void SelectAttempt(request_record& request, attempt_record& attempt,
                     actions& out);

  /** The attempt has delivered the complete response, or the rest of it. */
  void Complete(request_record& request, attempt_record& attempt,
                attempt_state state, actions& out);
  /**
   * Handles the failure of an attempt: waits for other open attempts of the
   * request, else retries or continues it, else fails it.
   */
  void HandleFailure(request_record& request, attempt_failure failure,
                     bool may_retry, core::time_point now, actions& out);
  /** True if one more attempt is within the limits of the request. */
  static bool MayRetry(const request_record& request);
  bool TryRetry(request_record& request, core::time_point now, actions& out);
  void TryHedge(request_record& request, core::time_point now, actions& out);
  /** Withdraws open attempts, reports the failure and erases the request. */
  void Fail(request_record& request, attempt_failure failure, actions& out);
  void EraseRequest(const core::request_id& request);

  void CheckAcknowledgements(request_record& request, core::time_point now,
                             actions& out);
  void RejectRequest(const request_attributes& attributes,
                     attempt_failure failure, actions& out);
  void Start(const request_attributes& attributes, core::time_point now,
             actions& out);

  router_options options_;
  endpoint_selector& selector_;
  resilience::ratio_budget retry_budget_;
  resilience::ratio_budget hedge_budget_;
  std::unordered_map<core::request_id, request_record> requests_;
  std::unordered_map<core::attempt_id, core::request_id> attempts_;
  std::unordered_map<core::endpoint_id, core::time_point> suspected_at_;
  router_counters counters_;
};

}  // namespace comfreyspring::routing

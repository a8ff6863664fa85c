#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "adapters/decayed_value.h"
#include "core/ids.h"
#include "core/time.h"
#include "overload/slot_types.h"

namespace comfreyspring::overload {

/**
 * Gives the slots of plain services' endpoints to the requests of all gateways.
 * All gateways ask the same sidecar for one service, so that requests wait in
 * one order before they are sent, instead of being turned away by endpoints.
 *
 * Load pattern: gateways that do not know of each other send more requests than
 * a service's few endpoints process (bursts of 2.5 times the usual load,
 * callers that retry immediately), while endpoints fail, flap, slow down and
 * are replaced.
 *
 * Order: by priority; then requests that can still be answered by their target
 * time, the earliest due first; then late ones, the earliest deadline first. A
 * request that cannot be answered before its deadline is refused as soon as
 * that is known; retry times follow each other at the rate of service.
 *
 * An endpoint runs its slots and a small reserve, which covers the time between
 * an answer and the arrival of the next request. This number falls when the
 * endpoint turns requests away, fails or slows down, and rises again with its
 * answers. An endpoint that only fails is paused and then probed with one
 * request at a time.
 */
class slot_queue {
 public:
  using actions = std::vector<slot_action>;

  // Events.

  actions OnRequest(slot_request request, core::time_point now);
  /** The gateway does not want the slot any more; it was not used. */
  actions OnWithdrawn(const core::request_key& key, core::time_point now);
  actions OnReleased(const core::request_key& key, slot_result result,
                     core::time_point now);
  /** The connection to a gateway was lost. Its requests are dropped. */
  actions OnLinkLost(std::uint64_t link, core::time_point now);
  /** Refuses all waiting and future requests. */
  actions OnStopping(core::time_point now);
  /** Call every 10 to 50 ms. */
  actions OnTick(core::time_point now);

  // State.

  bool IsWaiting(const core::request_key& key) const;
  std::size_t Waiting() const;
  /** Permits that are in use. */
  std::size_t Running() const { return permits_.size(); }

  struct endpoint_load {
    core::service_id service;
    limits::endpoint_incarnation endpoint;
    std::size_t slots = 0;
    std::size_t running = 0;
    /** Requests that it may run now. */
    std::size_t allowed = 0;
    core::milliseconds run_time{0};
    double failure_share = 0.0;
    bool is_paused = false;
  };
  std::vector<endpoint_load> Endpoints(core::time_point now) const;

 private:
  struct endpoint_state {
    std::size_t slots = 1;
    std::size_t running = 0;
    /** Times of the permits in use. */
    std::multiset<core::time_point> permitted_at;
    /** Requests that it may run; not rounded. */
    double allowed = 1.0;
    /** Mean time from the permit to the end, and its mean deviation. */
    double run_time_ms = 0.0;
    double deviation_ms = 0.0;
    /** The lowest recent mean. */
    double best_run_time_ms = 0.0;
    /** At the last failure or answer; see `FailureShare`. */
    double failure_share = 0.0;
    core::time_point judged_at;
    /** Failures and requests turned away since the last answer. */
    int failures_in_row = 0;
    core::time_point paused_until;
    core::time_point reduced_at;
    core::time_point listed_at;
  };
  using endpoint_map = std::map<limits::endpoint_incarnation, endpoint_state>;

  struct service_state {
    endpoint_map endpoints;
    std::vector<slot_request> waiting;
    /** Recent arrivals by priority. */
    std::map<int, adapters::decayed_value> arrivals;
    /** Time that the next refused caller is told to retry at. */
    core::time_point next_return_at;
    core::time_point used_at;
  };
  struct permit {
    core::service_id service;
    limits::endpoint_incarnation endpoint;
    core::time_point issued_at;
    core::time_point deadline;
  };
  /** What the estimates of a service are based on. */
  struct service_speed {
    /** Requests a second. */
    double rate = 0.0;
    /** Time in which a request that gets a slot is very likely answered. */
    double run_time_ms = 0.0;
  };

  /** Fades, so that an endpoint without requests gets some again. */
  static double FailureShare(const endpoint_state& endpoint,
                             core::time_point now);
  static std::size_t Capacity(const endpoint_state& endpoint,
                              core::time_point now);
  static service_speed SpeedOf(const service_state& service,
                               core::time_point now);
  static bool IsLate(const slot_request& request, const service_speed& speed,
                     core::time_point now);
  static bool ComesBefore(const slot_request& left, const slot_request& right,
                          const service_speed& speed, core::time_point now);
  /** Wait of a request with `ahead` others before it. */
  static core::milliseconds WaitFor(std::size_t ahead, bool is_late,
                                    int priority, const service_state& service,
                                    const service_speed& speed,
                                    core::time_point now);
  static std::optional<std::size_t> FreeCandidate(const service_state& service,
                                                  const slot_request& request,
                                                  core::time_point now);
  static bool HasFree(const service_state& service, core::time_point now);
  static void NoteListed(service_state& service, const slot_request& request,
                         core::time_point now);
  static void OnAnswered(service_state& service, endpoint_state& endpoint,
                         double run_time_ms, core::time_point now);
  static void OnFailed(endpoint_state& endpoint, slot_result result,
                       core::time_point now);
  void Refuse(const slot_request& request, slot_refusal_reason reason,
              core::milliseconds wait, service_state& service,
              core::time_point now, actions& out);
  void RefuseHopeless(service_state& service, core::time_point now,
                      actions& out);
  void Serve(const core::service_id& id, service_state& service,
             core::time_point now, actions& out);
  void Free(std::map<core::request_key, permit>::iterator position,
            slot_result result, core::time_point now, actions& out);

  std::map<core::service_id, service_state> services_;
  std::map<core::request_key, permit> permits_;
  bool stopping_ = false;
};

}  // namespace comfreyspring::overload

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "grants/engine_speed.h"
#include "grants/grant_types.h"
#include "grants/prompt_pacer.h"
#include "grants/slot_table.h"
#include "limits/limit_record.h"
#include "limits/token_bucket.h"
#include "overload/request_value.h"

namespace comfreyspring::grants {

/**
 * Exponential moving average of durations. The first samples have a larger
 * weight, so that it converges quickly from the initial value.
 */
class smoothed_time {
 public:
  explicit smoothed_time(core::milliseconds initial) : value_(initial) {}

  void Add(core::milliseconds sample);
  core::milliseconds Value() const { return value_; }

 private:
  core::milliseconds value_;
  int samples_ = 0;
};

struct grant_options {
  std::uint64_t random_seed = 1;
  /**
   * Maximum number of concurrent adapter loads from the weight store for this
   * engine. The store's bandwidth is shared by all engines, so additional loads
   * during congestion only delay the most valuable ones.
   */
  std::size_t maximum_cold_loads = 2;
  std::size_t congested_cold_loads = 1;
  /** Maximum number of concurrent loads of any kind that the engine accepts. */
  std::size_t maximum_loads = 4;
  /** Initial estimate of an adapter load from an uncongested weight store. */
  core::milliseconds initial_load_time{250};
  /**
   * Initial estimate of the load of an adapter that the engine unloaded
   * recently.
   */
  core::milliseconds initial_warm_load_time{40};
  /**
   * Initial estimate of a request's run time. It is low on purpose: a new agent
   * that refuses requests it could serve does more harm than a short wait.
   */
  core::milliseconds initial_run_time{1000};
  /**
   * Initial estimate of the engine's prefill rate, in prompt tokens per
   * millisecond.
   */
  double initial_prefill_rate = 20.0;
  /** Age at which a state report of the engine expires. */
  core::milliseconds state_lifetime{1000};
  /**
   * Requests are ordered and refused by what callers lose, not by arrival; see
   * `overload::request_value`.
   */
  bool sheds_by_value = false;
};

/**
 * Schedules the requests, grants and adapter loads of one engine.
 *
 * Load patterns that it handles:
 * - Bursts of prompts: prefill delays the running streams, so the start of
 *   prompts is paced (see prompt_pacer).
 * - Overload: requests are served by priority, then those that can still meet
 *   their first-output target before late ones. A request that could not start
 *   before its deadline is refused immediately with a retry time, and a slot is
 *   reserved for that time. With `sheds_by_value`, requests of one priority
 *   are ordered by what is lost while they wait, are refused while they wait
 *   once they cannot start in time, and the one whose refusal costs least is
 *   refused instead of the last to arrive.
 * - Demand that shifts to other adapters, or a congested weight store: the load
 *   with the highest value per load time goes first, with few loads in
 *   parallel, and it replaces only adapters that no request uses or waits for.
 * - Gateways with outdated status reports: a request that would have to wait
 *   here is returned immediately if its gateway knows of less loaded engines.
 * - An engine in need that limits its request rate: grants are counted against
 *   the limit, over all gateways. The limit shortens the queue that may wait
 *   here; the rest is returned or refused immediately.
 * - Prompts that may end the engine: one at a time is ahead of its first
 *   output, so that a crash tells which one it was; few wait for their turn,
 *   the rest is refused immediately.
 * - Long answers on a slow engine: a request whose answer cannot end in time
 *   here is returned immediately, so that its gateway chooses a faster engine.
 * - Restart of the engine or the agent: no adapter is assumed to be loaded
 *   until the engine has reported its state.
 */
class grant_scheduler {
 public:
  using actions = std::vector<grant_action>;

  explicit grant_scheduler(grant_options options);

  // Requests.

  actions OnRequest(engine_request request, core::time_point now);
  /**
   * The gateway has cancelled the request, whether it is waiting or granted.
   */
  actions OnWithdrawn(const request_key& key, core::time_point now);
  /** A granted request has produced its first output. */
  actions OnStarted(const request_key& key, core::time_point now);
  /**
   * A granted request has ended.
   * @param adapter_missing the engine did not have the adapter loaded.
   * @param output_tokens after its first output; 0 if it did not end well.
   */
  actions OnEnded(const request_key& key, bool adapter_missing,
                  core::time_point now, std::int64_t output_tokens = 0);
  /** A gateway has detected that the engine's streams are stalled. */
  void OnStreamsStalled(core::time_point now) { pacer_.OnStreamsStalled(now); }
  /** The connection to a gateway was lost. Its requests are dropped. */
  actions OnLinkLost(std::uint64_t link, core::time_point now);

  // Engine.

  void SetConfig(const engine_config& config);
  /** @param requested_at time at which the report was requested. */
  actions OnState(const engine_state& state, core::time_point requested_at,
                  core::time_point now);
  /** The engine does not respond. */
  actions OnEngineDown(core::time_point now);
  /** A gateway has received a response of the engine. */
  actions OnLimitObserved(const limit_observation& observation,
                          core::time_point now);
  actions OnOrderEnded(const engine_order& order, order_result result,
                       core::time_point now);
  /**
   * The process was suspended. No orders are issued until the engine has
   * reported its state again.
   */
  void OnPaused(core::time_point now);
  /** Refuses all waiting and future requests. */
  actions OnStopping(core::time_point now);
  /**
   * Refuses requests whose deadline has passed and continues scheduling. Call
   * every 10 to 50 ms.
   */
  actions OnTick(core::time_point now);

  // State.

  engine_status Status(core::time_point now) const;
  /** The request rate limit in force at the engine. */
  const std::optional<limits::request_rate>& Limit() const {
    return limit_.Rate();
  }
  std::size_t Running() const { return running_.size(); }
  std::size_t Waiting() const { return waiting_.size(); }
  bool IsWaiting(const request_key& key) const {
    return waiting_.count(key) > 0;
  }
  /** Nothing if the request does not run. */
  std::optional<granted_run> FindRunning(const request_key& key) const;
  /** Granted requests without output. */
  std::vector<granted_run> RunningWithoutOutput() const;
  /** Links of the gateways that have waiting requests. */
  std::set<std::uint64_t> LinksWithWaitingRequests() const;
  const slot_table& Slots() const { return slots_; }
  /** Number of adapter slots by use. Each slot is counted once. */
  struct slot_usage {
    std::size_t running = 0;
    std::size_t loading = 0;
    std::size_t waited_for = 0;
    std::size_t reserved = 0;
    std::size_t unused = 0;
  };
  slot_usage SlotUsage(core::time_point now) const;
  core::milliseconds LoadTime() const { return load_time_.Value(); }
  core::milliseconds RunTime() const { return run_time_.Value(); }
  /** Requests refused for others that cost more to refuse. */
  std::size_t Displaced() const { return displaced_; }
  /** Requests refused while they waited since they could not start in time. */
  std::size_t Hopeless() const { return hopeless_; }
  /** Prompt tokens that the engine prefills per millisecond. */
  double PrefillRate() const { return pacer_.Rate(); }
  /** Time per output token; 0 if unknown. */
  core::microseconds TokenTime() const { return speed_.TokenTime(); }

 private:
  struct running_item {
    engine_request request;
    core::time_point granted_at;
    core::time_point started_at;
    bool started = false;
    /** The grant was counted against the limit. */
    bool took_token = false;
    /** No other prompt was in prefill at the time of the grant or since. */
    bool prefills_alone = false;
  };
  /**
   * Slot kept for a refused request until its caller retries. The adapter is
   * loaded by then if possible.
   */
  struct reservation {
    core::time_point due;
    catalog::adapter_name adapter;
    std::int64_t minimum_version = 0;
    int priority = 0;
  };

  void OnLimitChange(limits::limit_change change, core::time_point now,
                     actions& out);
  void ForgetLimit();
  void ReturnUnservable(core::time_point now, actions& out);
  /** Time until the limit allows this many grants, one after another. */
  core::milliseconds LimitWait(double grants, core::time_point now) const;
  /** Time until the limit allows this request, after those before it. */
  core::milliseconds QueueWaitForLimit(const engine_request& request,
                                       core::time_point now) const;
  bool IsServing(core::time_point now) const;
  /** The answer ends after it is due even if the estimate is far too long. */
  bool CannotFinish(const engine_request& request, core::milliseconds wait,
                    core::time_point now) const;
  bool ExceedsLoadBound(const engine_request& request,
                        core::time_point now) const;
  bool HoldsModel(const core::model_id& model) const;
  bool IsReady(const engine_request& request) const;
  /** An isolated request is ahead of its first output. */
  bool IsIsolationTaken() const;
  std::size_t IsolatedWaiting() const;
  bool IsLate(const engine_request& request, core::time_point now) const;
  bool ComesBefore(const engine_request& left, const engine_request& right,
                   core::time_point now) const;
  void Refuse(const engine_request& request, refusal_reason reason,
              core::milliseconds expected_wait, core::time_point now,
              actions& out);
  void Reserve(const engine_request& request, core::time_point due);
  void RefuseAll(refusal_reason reason, core::time_point now, actions& out);
  void RefuseExpired(core::time_point now, actions& out);
  overload::request_prospect ProspectOf(const engine_request& request,
                                        core::time_point now) const;
  /** The waiting requests in the order in which they are to be granted. */
  std::vector<overload::request_prospect> Prospects(core::time_point now) const;
  /**
   * Refuses a waiting request that costs less than this one, if this one can
   * then start in time.
   */
  bool MakeRoomFor(const engine_request& request, core::time_point now,
                   actions& out);
  void RefuseHopeless(core::time_point now, actions& out);
  void Schedule(core::time_point now, actions& out);
  void GrantReady(core::time_point now, actions& out);
  bool CanHold(const engine_request& request, core::time_point now) const;
  bool CanStart(const engine_request& request, core::time_point now) const;
  void PlanOrder(core::time_point now, actions& out);
  /** Demand for an adapter that is not loaded. */
  struct load_demand {
    double value = 0.0;
    std::int64_t minimum_version = 0;
    core::time_point earliest_due;
  };
  /** Slots that are empty or hold an adapter that no request needs now. */
  std::size_t UnusedSlots(core::time_point now) const;
  std::map<catalog::adapter_name, load_demand> LoadDemand(
      core::time_point now) const;
  /** The load with the highest value, whether or not a slot is free. */
  std::optional<engine_order> NextLoad(core::time_point now) const;
  double ValueOf(const engine_request& request, core::time_point now) const;
  bool IsCongested() const;
  std::size_t ColdLoadLimit() const;
  core::milliseconds LoadTimeOf(const catalog::adapter_name& adapter,
                                core::time_point now) const;
  void PlanModelLoad(core::time_point now, actions& out);
  void Issue(engine_order order, core::time_point now, actions& out);
  void Send(actions& out);
  /** No order is issued before a report that is requested from now on. */
  void RequireState(core::time_point now);
  /** What a report shows, compared with what is known of the engine. */
  enum class report_kind {
    /** The engine after the answered orders. */
    current,
    /** An engine that has lost its adapters and orders. */
    restarted,
    /** An earlier state, as a late copy of a report does. */
    outdated,
  };
  report_kind Compare(const engine_state& state, core::time_point requested_at);
  /** Ends an order whose answer was lost if the engine has accepted it. */
  void ResolveOrder(const engine_state& state);
  bool IsDueSoon(const reservation& reserved, core::time_point now) const;
  bool IsInUse(const catalog::adapter_name& adapter,
               core::time_point now) const;
  std::int64_t PendingPrefillTokens(core::time_point now) const;
  core::milliseconds ExpectedWait(const engine_request& request,
                                  core::time_point now) const;
  core::milliseconds ExpectedLoad(const engine_request& request,
                                  core::time_point now) const;
  bool TakeReservation(const catalog::adapter_name& adapter,
                       core::time_point now);
  void RemoveRunning(std::map<request_key, running_item>::iterator position,
                     core::time_point now);

  grant_options options_;
  core::random_source random_;
  engine_config config_;
  slot_table slots_;
  std::map<request_key, engine_request> waiting_;
  std::map<request_key, running_item> running_;
  /** Number of running requests per adapter. */
  std::map<catalog::adapter_name, std::size_t> in_use_;
  std::deque<reservation> reservations_;
  std::optional<engine_state> state_;
  core::time_point state_at_;
  core::model_id last_model_;
  /** The order that was sent and whose effect is not known. */
  std::optional<engine_order> open_order_;
  /** It was sent and has not been answered; otherwise it is sent again. */
  bool is_order_sent_ = false;
  /** An earlier copy of it may still reach the engine. */
  bool may_arrive_late_ = false;
  std::uint64_t last_order_ = 0;
  /** Orders that the engine is known to have accepted since its start. */
  std::int64_t orders_accepted_ = 0;
  /** Successive reports that show fewer orders than are known. */
  int older_reports_ = 0;
  core::time_point order_backoff_until_;
  std::map<catalog::adapter_name, core::time_point> unavailable_until_;
  limits::limit_record limit_;
  /** Start of the engine that named the limit; 0 if unknown. */
  std::int64_t limit_started_unix_ms_ = 0;
  /** Reports name the limit in force, so they also show its end. */
  bool reports_name_limit_ = false;
  limits::token_bucket tokens_;
  bool stopping_ = false;
  bool needs_state_ = true;
  core::time_point needs_state_since_{core::time_point::min()};
  int grants_since_oldest_ = 0;
  int loads_since_oldest_ = 0;
  std::size_t displaced_ = 0;
  std::size_t hopeless_ = 0;
  /** Load times from the weight store and of recently unloaded adapters. */
  smoothed_time load_time_;
  smoothed_time warm_load_time_;
  smoothed_time run_time_;
  prompt_pacer pacer_;
  engine_speed speed_;
};

}  // namespace comfreyspring::grants

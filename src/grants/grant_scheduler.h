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
#include "grants/grant_types.h"
#include "grants/prompt_pacer.h"
#include "grants/slot_table.h"

namespace comfreyspring::grants {

/** A mean of recent times that gives way to the first samples quickly. */
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
   * Adapters on their way from the weight store to this engine at once. The
   * store serves all engines at the same total speed, so while it is congested
   * more only delays the most wanted ones.
   */
  std::size_t maximum_cold_loads = 2;
  std::size_t congested_cold_loads = 1;
  /** Loads of any kind at once, as the engines allow. */
  std::size_t maximum_loads = 4;
  /** Load of an adapter from an uncongested weight store. */
  core::milliseconds initial_load_time{250};
  /** Load of an adapter that the engine held shortly before. */
  core::milliseconds initial_warm_load_time{40};
  /**
   * Time that a request runs, until it has been measured; assumed low, because
   * a new agent that refuses what it could serve does more harm than a wait.
   */
  core::milliseconds initial_run_time{1000};
  /** Prompt tokens that an engine reads in a millisecond, until measured. */
  double initial_prefill_rate = 20.0;
  /** A report of the engine that is older than this says nothing. */
  core::milliseconds state_lifetime{1000};
};

/**
 * Queue, grants and adapter loads of one engine.
 *
 * Load patterns that it answers:
 * - many prompts at once: they would be read between the tokens of running
 *   streams and make all of these late, so prompts are paced (prompt_pacer);
 * - more work than the engine can start in time: the most urgent rank goes
 *   first, in it work that still meets its goal, then what is late; what would
 *   start after it gives up is refused at once and told when to return, and a
 *   place is kept for it then;
 * - demand that moves to other adapters, or a weight store that cannot keep
 *   up: the adapter that most waiting requests want for its load time comes
 *   first, few at a time, over adapters that nobody uses or waits for;
 * - many gateways, whose beliefs grow old between statuses: what would have to
 *   wait here although its gateway knows of engines with less to do is sent
 *   back to it at once;
 * - a restarted engine or agent: nothing is assumed to be loaded until the
 *   engine has said so.
 */
class grant_scheduler {
 public:
  using actions = std::vector<grant_action>;

  explicit grant_scheduler(grant_options options);

  // Requests.

  actions OnRequest(engine_request request, core::time_point now);
  /** The gateway no longer wants it, waiting or granted. */
  actions OnWithdrawn(const request_key& key, core::time_point now);
  /** A granted request has produced output. */
  actions OnStarted(const request_key& key, core::time_point now);
  /** A granted request has ended; `missing`: the engine lacked the adapter. */
  actions OnEnded(const request_key& key, bool adapter_missing,
                  core::time_point now);
  /** A gateway sees streams of the engine in a long pause. */
  void OnStreamsStalled(core::time_point now) { pacer_.OnStreamsStalled(now); }
  /** A gateway's link has ended; its requests end with it. */
  actions OnLinkLost(std::uint64_t link, core::time_point now);

  // The engine.

  void SetConfig(const engine_config& config);
  /** @param requested_at when the report was asked for. */
  actions OnState(const engine_state& state, core::time_point requested_at,
                  core::time_point now);
  /** The engine does not answer. */
  actions OnEngineDown(core::time_point now);
  actions OnOrderEnded(const engine_order& order, order_result result,
                       core::time_point now);
  /** After a pause nothing is decided until the engine has reported. */
  void OnPaused();
  /** Refuses what waits and all that comes. */
  actions OnStopping(core::time_point now);
  /** Ends waits. Call each 10 to 50 ms. */
  actions OnTick(core::time_point now);

  // State.

  engine_status Status(core::time_point now) const;
  std::size_t Running() const { return running_.size(); }
  std::size_t Waiting() const { return waiting_.size(); }
  bool IsWaiting(const request_key& key) const {
    return waiting_.count(key) > 0;
  }
  /** Links of gateways whose requests wait. */
  std::set<std::uint64_t> LinksWithWaitingRequests() const;
  const slot_table& Slots() const { return slots_; }
  /** What the places for adapters are taken by; each counts once. */
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
  /** Prompt tokens that the engine reads in a millisecond. */
  double PrefillRate() const { return pacer_.Rate(); }

 private:
  struct running_item {
    engine_request request;
    core::time_point granted_at;
    bool started = false;
    /** No other prompt was unread at the grant, nor has one come since. */
    bool prefills_alone = false;
  };
  /**
   * A refused request that was told when to return. Its adapter is loaded by
   * then, if it can be.
   */
  struct reservation {
    core::time_point due;
    catalog::adapter_name adapter;
    std::int64_t minimum_version = 0;
    int priority = 0;
  };

  bool IsServing(core::time_point now) const;
  bool ExceedsLoadBound(const engine_request& request,
                        core::time_point now) const;
  bool HoldsModel(const core::model_id& model) const;
  bool IsReady(const engine_request& request) const;
  bool IsLate(const engine_request& request, core::time_point now) const;
  bool ComesBefore(const engine_request& left, const engine_request& right,
                   core::time_point now) const;
  void Refuse(const engine_request& request, refusal_reason reason,
              core::milliseconds expected_wait, core::time_point now,
              actions& out);
  void Reserve(const engine_request& request, core::time_point due);
  void RefuseAll(refusal_reason reason, core::time_point now, actions& out);
  void RefuseExpired(core::time_point now, actions& out);
  void Schedule(core::time_point now, actions& out);
  void GrantReady(core::time_point now, actions& out);
  bool CanHold(const engine_request& request, core::time_point now) const;
  bool CanStart(const engine_request& request, core::time_point now) const;
  void PlanOrder(core::time_point now, actions& out);
  /** What waits for an adapter that is not loaded. */
  struct load_demand {
    double value = 0.0;
    std::int64_t minimum_version = 0;
    core::time_point earliest_due;
  };
  /** Places that are empty or hold an adapter that nobody needs now. */
  std::size_t UnusedSlots(core::time_point now) const;
  std::map<catalog::adapter_name, load_demand> LoadDemand(
      core::time_point now) const;
  /** The load that is worth most now, whether or not there is a place. */
  std::optional<engine_order> NextLoad(core::time_point now) const;
  double ValueOf(const engine_request& request, core::time_point now) const;
  bool IsCongested() const;
  std::size_t ColdLoadLimit() const;
  core::milliseconds LoadTimeOf(const catalog::adapter_name& adapter,
                                core::time_point now) const;
  void PlanModelLoad(core::time_point now, actions& out);
  void Issue(const engine_order& order, core::time_point now, actions& out);
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
  /** Running requests by adapter. */
  std::map<catalog::adapter_name, std::size_t> in_use_;
  std::deque<reservation> reservations_;
  std::optional<engine_state> state_;
  core::time_point state_at_;
  core::model_id last_model_;
  std::optional<engine_order> order_in_flight_;
  core::time_point order_backoff_until_;
  std::map<catalog::adapter_name, core::time_point> unavailable_until_;
  bool stopping_ = false;
  bool needs_state_ = true;
  int grants_since_oldest_ = 0;
  int loads_since_oldest_ = 0;
  /** Loads from the weight store, and of adapters held shortly before. */
  smoothed_time load_time_;
  smoothed_time warm_load_time_;
  smoothed_time run_time_;
  prompt_pacer pacer_;
};

}  // namespace comfreyspring::grants

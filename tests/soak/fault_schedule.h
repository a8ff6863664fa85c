#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet_under_test.h"
#include "net/event_loop.h"
#include "other_writer.h"
#include "promise_record.h"

namespace comfreyspring::soak {

/**
 * Which faults a schedule draws from. `all` leaves out `leaving` and the
 * families after it, so that the schedules of older seeds stay as they were.
 * `limits` also draws faults of processes and links, `streams` those of
 * endpoints besides, and `deadly` those of `streams`, beside prompts that end
 * engines. `restores` also draws those of `all`; `silences` draws nothing that
 * explains a request without an answer. `repeats` draws what `deadly` does,
 * beside requests that end engines whenever they come again. `thin` draws
 * faults of links and the store and storms of configurations, before store
 * links with little bandwidth. `malformed` draws what `streams` does,
 * beside malformed heads of answers and reports. `suspensions` draws kills of
 * gateways and planned work beside VMs of engines that stand still, one at a
 * time. `keys` draws kills of gateways, planned work and faults of the store
 * beside another writer of the store, whose lists have short pages.
 */
enum class fault_family {
  all,
  processes,
  links,
  store,
  endpoints,
  clocks,
  leaving,
  limits,
  streams,
  deadly,
  restores,
  silences,
  repeats,
  thin,
  malformed,
  suspensions,
  keys,
};

/**
 * Injects random, overlapping faults. Every fault ends by itself; `StopAndHeal`
 * ends those that are still active.
 */
class fault_schedule {
 public:
  fault_schedule(net::event_loop& loop, fleet_under_test& fleet,
                 promise_record& promises, unsigned seed,
                 fault_family drawn_from);
  ~fault_schedule();
  fault_schedule(const fault_schedule&) = delete;
  fault_schedule& operator=(const fault_schedule&) = delete;

  void Start();
  /** Injects no new faults, ends active ones and restarts what is down. */
  void StopAndHeal();
  /** One line per fault: time, name, target and duration. */
  const std::vector<std::string>& History() const { return history_; }

 private:
  struct fault {
    const char* name;
    fault_family family;
    void (fault_schedule::*inject)(core::milliseconds length);
  };
  static const std::vector<fault>& Faults();

  void ScheduleNext();
  void InjectOne();
  /** Runs `heal` after `length`, or earlier in `StopAndHeal`. */
  void HealAfter(core::milliseconds length, std::function<void()> heal);

  // Processes.
  void KillOne(core::milliseconds length);
  void KillMany(core::milliseconds length);
  void Terminate(core::milliseconds length);
  void TerminateProgram(program_slot& slot);
  void Pause(core::milliseconds length);
  void Hangup(core::milliseconds length);
  void Kill(program_slot& slot, core::milliseconds downtime);
  void StartAgain(program_slot& slot);

  // Links.
  void ResetConnections(core::milliseconds length);
  void SilenceConnections(core::milliseconds length);
  void SilenceOneWay(core::milliseconds length);
  void DelayLink(core::milliseconds length);
  void CutLink(core::milliseconds length);
  void CutLinkSilently(core::milliseconds length);

  // The store.
  void StoreUnavailable(core::milliseconds length);
  void StoreThrottles(core::milliseconds length);
  void StoreSilent(core::milliseconds length);
  void StoreSlow(core::milliseconds length);
  void StoreForgets(core::milliseconds length);
  void Reconfigure(core::milliseconds length);
  /** The store is away, and comes back from an older copy. */
  void StoreRestored(core::milliseconds length);
  /** The operator changes the configuration several times a second. */
  void StormOfConfigurations(core::milliseconds length);
  void SetStoreMode(process_test::store_mode mode, core::milliseconds length);

  // Endpoints.
  void CrashEndpoint(core::milliseconds length);
  void CrashThird(core::milliseconds length);
  void ReplaceEndpoint(core::milliseconds length);
  void DrainEndpoint(core::milliseconds length);
  /** Removes the endpoint's entry without draining; it keeps serving. */
  void LeaveUnannounced(core::milliseconds length);
  /** Endpoints leave shortly after the store has recovered. */
  void LeaveAfterOutage(core::milliseconds length);
  /** Entries of running endpoints expire during a store outage. */
  void LapseInOutage(core::milliseconds length);
  enum class notice { draining, none };
  void Leave(std::size_t endpoint, notice given);
  /** @returns false if the previous store outage was too recent. */
  bool BeginOutage();
  void SlowEndpoint(core::milliseconds length);
  void MuteEndpoint(core::milliseconds length);
  void BreakAnswers(core::milliseconds length);
  void RefuseRequests(core::milliseconds length);

  // Suspended VMs.
  /** The sidecar stands still and the engine sends nothing. */
  void SuspendVm(core::milliseconds length);
  void KillGateway(core::milliseconds length);

  // Another writer of the store.
  void KillGateways(core::milliseconds length);
  void ChangePages(core::milliseconds length);
  /** The pages of one family's list go round. */
  void ListsGoRound(core::milliseconds length);
  void BurstOfKeys(core::milliseconds length);

  // Silences, and planned work beside them.
  void SilenceEngine(core::milliseconds length);
  /** Half of the endpoints fall silent at the same time. */
  void SilenceEngines(core::milliseconds length);
  void Silence(std::size_t endpoint);
  /** Stops one gateway or one sidecar at a time. */
  void TerminateOne(core::milliseconds length);
  void ChangeTimeouts(core::milliseconds length);
  void ChangeIdleLimit(core::milliseconds length);
  void ChangeGoals(core::milliseconds length);
  void Publish(configuration_change change);

  // Limits.
  /** An endpoint names a request rate limit for a while. */
  void NameLimit(core::milliseconds length);
  /** Half of the endpoints name limits at the same time. */
  void NameLimits(core::milliseconds length);
  /** An endpoint that names a limit names another one. */
  void ChangeLimit(core::milliseconds length);
  /** An endpoint names something that is not a rate. */
  void NameUnreadableLimit(core::milliseconds length);
  /** Kills the sidecar of an engine that names a limit. */
  void KillLimitedSidecar(core::milliseconds length);
  void Limit(std::size_t endpoint, core::milliseconds length);
  double DrawRate();

  // Streams.
  /** An endpoint's answers end with their connection. */
  void UnframeAnswers(core::milliseconds length);
  /** Streams end in order inside an event. */
  void BreakInsideEvents(core::milliseconds length);
  /** Heads of answers and reports break the grammar of HTTP. */
  void MalformHeads(core::milliseconds length);
  /** The same at half of the endpoints. */
  void MalformManyHeads(core::milliseconds length);
  void Malform(std::size_t endpoint, core::milliseconds length);

  // Clocks.
  void StepClock(core::milliseconds length);

  int Pick(std::size_t count);
  program_slot& PickProgram();
  std::size_t PickEndpoint();
  process_test::tcp_relay& PickRelay();
  void RecordDisturbanceOfAll(core::milliseconds length);
  void RecordDisturbance(const program_slot& slot, core::milliseconds length);
  /** The slot is restarted, suspended or cut off. */
  void RecordInterruption(const program_slot& slot, core::milliseconds length);
  void RecordLinkFault(const process_test::tcp_relay& relay,
                       core::milliseconds length);
  void RecordCrossing(crossing what, std::optional<int> gateway,
                      core::milliseconds length);
  /** A process is stopped or its settings are changed. */
  void RecordCrossing(crossing what, const program_slot& slot,
                      core::milliseconds length);
  void SetTarget(const std::string& target) { target_ = target; }

  net::event_loop& loop_;
  fleet_under_test& fleet_;
  promise_record& promises_;
  std::mt19937 random_;
  std::vector<const fault*> choices_;
  core::time_point started_;
  core::time_point outage_ends_at_;
  bool is_restoring_ = false;
  /** Endpoints that name a limit, with their instances. */
  std::map<std::size_t, std::string> limited_;
  bool stopped_ = false;
  std::string target_;
  bool has_suspended_vm_ = false;
  std::optional<other_writer> writer_;
  std::size_t page_items_ = 0;
  std::vector<std::string> history_;
  std::vector<std::shared_ptr<std::function<void()>>> pending_;
};

}  // namespace comfreyspring::soak

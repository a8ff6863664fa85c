#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "fleet_under_test.h"
#include "net/event_loop.h"
#include "promise_record.h"

namespace comfreyspring::soak {

/**
 * Which faults a schedule draws from. `all` leaves out `leaving`, so that the
 * schedules of older seeds stay as they were.
 */
enum class fault_family {
  all,
  processes,
  links,
  store,
  endpoints,
  clocks,
  leaving,
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

  // Clocks.
  void StepClock(core::milliseconds length);

  int Pick(std::size_t count);
  program_slot& PickProgram();
  std::size_t PickEndpoint();
  process_test::tcp_relay& PickRelay();
  void RecordDisturbanceOfAll(core::milliseconds length);
  void RecordDisturbance(const program_slot& slot, core::milliseconds length);
  void SetTarget(const std::string& target) { target_ = target; }

  net::event_loop& loop_;
  fleet_under_test& fleet_;
  promise_record& promises_;
  std::mt19937 random_;
  std::vector<const fault*> choices_;
  core::time_point started_;
  core::time_point outage_ends_at_;
  bool stopped_ = false;
  std::string target_;
  std::vector<std::string> history_;
  std::vector<std::shared_ptr<std::function<void()>>> pending_;
};

}  // namespace comfreyspring::soak

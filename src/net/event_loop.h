#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

#include "core/error.h"
#include "core/time.h"

class ACE_Event_Handler;
class ACE_Reactor;

namespace comfreyspring::net {

/** A socket that could not be opened, bound or connected. */
class net_error : public core::error {
 public:
  using core::error::error;
};

/** Handle of a timer; 0 is never a valid handle. */
using timer_id = std::uint64_t;

/**
 * Single-threaded event loop on an epoll reactor. One iteration of the loop is
 * called a turn.
 */
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Time.

  core::time_point Now() const;
  core::wall_time WallNow() const;

  // Timers and deferred calls.

  /** Runs `callback` once after `delay`. */
  timer_id Schedule(core::milliseconds delay, std::function<void()> callback);
  /** Runs `callback` every `period` until cancelled. */
  timer_id SchedulePeriodic(core::milliseconds period,
                            std::function<void()> callback);
  /** Cancels a timer; an unknown or expired handle is ignored. */
  void Cancel(timer_id timer);
  /** Runs `callback` in the next turn of the loop. */
  void Post(std::function<void()> callback);

  // Process events.

  /**
   * Calls `callback` with the delay when a turn of the loop starts more than
   * `threshold` later than it was due: the process or its VM was paused.
   */
  void OnPause(core::milliseconds threshold,
               std::function<void(core::milliseconds)> callback);
  /**
   * Sets the handler of exceptions thrown by callbacks; the loop continues
   * after it, so that an error in one request does not end the process. Without
   * a handler, or above 100 errors per second, the exception propagates from
   * Run.
   */
  void OnError(std::function<void(const std::exception& failure)> callback);
  /** Calls `callback` on the loop when the process receives the signal. */
  void OnSignal(int signal_number, std::function<void()> callback);

  // Running.

  /** Runs until Stop is called. */
  void Run();
  /** Ends Run after the current turn. */
  void Stop();
  /**
   * Runs turns until `done()` is true; for tests.
   * @returns false if `limit` has passed first.
   */
  bool RunUntil(const std::function<bool()>& done, core::milliseconds limit);

  /**
   * Runs `callback` at the end of the current turn, before the loop waits; for
   * classes of this module only, such as those that batch their writes.
   */
  void AtEndOfTurn(std::function<void()> callback);
  /** Runs `step`, passing exceptions to OnError; for this module only. */
  void Guard(const std::function<void()>& step);
  /** The reactor, for classes of this module only. */
  ACE_Reactor* Reactor();
  /**
   * Slot for the reactor handler of a descriptor number, kept for the lifetime
   * of the loop; for classes of this module only.
   */
  std::shared_ptr<ACE_Event_Handler>& DescriptorHandler(int descriptor);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::net

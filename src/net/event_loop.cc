#include "net/event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Time_Value.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <ctime>
#include <exception>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/io_watcher.h"
#include "net/timer_queue.h"

namespace comfreyspring::net {
namespace {

// The reactor allocates its handler table for this many descriptors at once.
constexpr rlim_t kMaximumDescriptors = 65536;
// Bounds the delay of timers under a flood of socket events.
constexpr int kMaximumEventsPerTurn = 64;
// A loop with more errors than this per kErrorWindow makes no progress; the
// exception is then rethrown.
constexpr int kMaximumErrors = 100;
constexpr core::milliseconds kErrorWindow{1000};
// Wait of a loop without timers or events.
constexpr core::milliseconds kMaximumWait{60000};

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
  return std::min(limit.rlim_max, kMaximumDescriptors);
}

std::unique_ptr<ACE_Reactor> MakeReactor() {
  // A signal such as SIGCONT must interrupt the wait, so that the loop starts a
  // new turn.
  constexpr bool kRestart = false;
  constexpr int kNoNotifyPipe = 1;
  constexpr int kLeaveSignalMask = 0;
  auto implementation = std::make_unique<ACE_Dev_Poll_Reactor>(
      DescriptorLimit(), kRestart, nullptr, nullptr, kNoNotifyPipe, nullptr,
      kLeaveSignalMask);
  if (!implementation->initialized()) {
    throw net_error("cannot open the epoll reactor");
  }
  constexpr bool kDeleteImplementation = true;
  return std::make_unique<ACE_Reactor>(implementation.release(),
                                       kDeleteImplementation);
}

ACE_Time_Value ToAceTime(core::milliseconds duration) {
  return ACE_Time_Value(
      static_cast<time_t>(duration.count() / 1000),
      static_cast<suseconds_t>(duration.count() % 1000 * 1000));
}

class owned_descriptor {
 public:
  explicit owned_descriptor(int value) : value_(value) {}
  ~owned_descriptor() {
    if (value_ >= 0) ::close(value_);
  }
  owned_descriptor(const owned_descriptor&) = delete;
  owned_descriptor& operator=(const owned_descriptor&) = delete;
  int Value() const { return value_; }

 private:
  int value_;
};

struct signal_source {
  std::unique_ptr<owned_descriptor> descriptor;
  std::unique_ptr<io_watcher> watcher;
};

struct pause_listener {
  core::milliseconds threshold;
  std::function<void(core::milliseconds)> callback;
};

}  // namespace

struct event_loop::impl {
  using callback_list = std::vector<std::function<void()>>;

  /** Declared before the reactor, which may refer to them until destroyed. */
  std::unordered_map<int, std::shared_ptr<ACE_Event_Handler>>
      descriptor_handlers;
  std::unique_ptr<ACE_Reactor> reactor = MakeReactor();
  timer_queue timers;
  callback_list posted;
  callback_list at_end_of_turn;
  std::vector<pause_listener> pause_listeners;
  std::vector<signal_source> signals;
  core::time_point turn_started{};
  bool stopped = false;
  std::function<void(const std::exception&)> on_error;
  int errors = 0;
  core::time_point errors_since{};

  core::milliseconds WaitFor(core::time_point now, core::milliseconds limit) {
    if (!posted.empty() || !at_end_of_turn.empty()) {
      return core::milliseconds(0);
    }
    core::milliseconds wait = limit;
    if (const auto due = timers.NextDue()) {
      wait = std::min(wait, std::chrono::ceil<core::milliseconds>(*due - now));
    }
    // A pause that falls within a long wait looks like the wait.
    for (const pause_listener& listener : pause_listeners) {
      wait = std::min(wait, listener.threshold / 4);
    }
    return std::max(wait, core::milliseconds(0));
  }

  void ReportPause(core::time_point due, core::time_point now) {
    const auto delay = core::ToMilliseconds(now - due);
    for (std::size_t i = 0; i < pause_listeners.size(); ++i) {
      if (delay <= pause_listeners[i].threshold) continue;
      const auto callback = pause_listeners[i].callback;
      callback(delay);
    }
  }

  static void RunAll(event_loop& loop, callback_list& list) {
    callback_list current;
    current.swap(list);
    for (const auto& callback : current) loop.Guard(callback);
  }

  void Turn(event_loop& loop, core::milliseconds limit) {
    const core::milliseconds wait = WaitFor(loop.Now(), limit);
    reactor->work_pending(ToAceTime(wait));
    const core::time_point now = loop.Now();
    const core::time_point due = turn_started + wait;
    turn_started = now;
    // Must precede the events and timers that became due during the pause.
    ReportPause(due, now);
    for (int i = 0; i < kMaximumEventsPerTurn; ++i) {
      ACE_Time_Value zero;
      const int handled = reactor->handle_events(zero);
      // The pause may have begun while an event was handled.
      const core::time_point after = loop.Now();
      ReportPause(std::exchange(turn_started, after), after);
      if (handled <= 0) break;
    }
    timers.RunDue(loop.Now(), [&](const auto& step) { loop.Guard(step); });
    RunAll(loop, posted);
    RunAll(loop, at_end_of_turn);
  }
};

event_loop::event_loop() : impl_(std::make_unique<impl>()) {
  // A write to a connection closed by the peer must return EPIPE instead of
  // terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
  // Callbacks may own objects whose destructors use the loop, and these may
  // queue further callbacks.
  impl_->signals.clear();
  impl_->timers.Clear();
  while (!impl_->posted.empty() || !impl_->at_end_of_turn.empty()) {
    impl::callback_list().swap(impl_->posted);
    impl::callback_list().swap(impl_->at_end_of_turn);
  }
}

core::time_point event_loop::Now() const {
  // CLOCK_MONOTONIC does not advance while the machine is suspended, so that
  // cached state would not age during a suspend.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return core::time_point(std::chrono::duration_cast<core::microseconds>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

core::wall_time event_loop::WallNow() const {
  return std::chrono::time_point_cast<core::milliseconds>(
      std::chrono::system_clock::now());
}

timer_id event_loop::Schedule(core::milliseconds delay,
                              std::function<void()> callback) {
  return impl_->timers.Add(Now() + delay, core::milliseconds(0),
                           std::move(callback));
}

timer_id event_loop::SchedulePeriodic(core::milliseconds period,
                                      std::function<void()> callback) {
  assert(period.count() > 0);
  return impl_->timers.Add(Now() + period, period, std::move(callback));
}

void event_loop::Cancel(timer_id timer) { impl_->timers.Cancel(timer); }

void event_loop::Post(std::function<void()> callback) {
  impl_->posted.push_back(std::move(callback));
}

void event_loop::AtEndOfTurn(std::function<void()> callback) {
  impl_->at_end_of_turn.push_back(std::move(callback));
}

void event_loop::OnPause(core::milliseconds threshold,
                         std::function<void(core::milliseconds)> callback) {
  assert(threshold.count() > 0);
  impl_->pause_listeners.push_back({threshold, std::move(callback)});
}

void event_loop::OnError(
    std::function<void(const std::exception& failure)> callback) {
  impl_->on_error = std::move(callback);
}

void event_loop::Guard(const std::function<void()>& step) {
  if (!impl_->on_error) {
    step();
    return;
  }
  try {
    step();
  } catch (const std::exception& failure) {
    const auto now = Now();
    if (now - impl_->errors_since > kErrorWindow) {
      impl_->errors_since = now;
      impl_->errors = 0;
    }
    if (++impl_->errors > kMaximumErrors) throw;
    impl_->on_error(failure);
  }
}

void event_loop::OnSignal(int signal_number, std::function<void()> callback) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, signal_number);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  auto descriptor = std::make_unique<owned_descriptor>(
      signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (descriptor->Value() < 0) {
    throw net_error("cannot watch signal " + std::to_string(signal_number));
  }
  const int number = descriptor->Value();
  const auto on_readable = [number, callback = std::move(callback)] {
    signalfd_siginfo info{};
    while (::read(number, &info, sizeof(info)) == sizeof(info)) callback();
  };
  auto watcher =
      std::make_unique<io_watcher>(*this, number, io_interest::read,
                                   io_watcher::callbacks{on_readable, nullptr});
  impl_->signals.push_back({std::move(descriptor), std::move(watcher)});
}

void event_loop::Run() {
  impl_->stopped = false;
  impl_->turn_started = Now();
  while (!impl_->stopped) impl_->Turn(*this, kMaximumWait);
}

void event_loop::Stop() { impl_->stopped = true; }

bool event_loop::RunUntil(const std::function<bool()>& done,
                          core::milliseconds limit) {
  const core::time_point end = Now() + limit;
  impl_->turn_started = Now();
  while (!done()) {
    const core::time_point now = Now();
    if (now >= end) return false;
    impl_->Turn(*this, std::chrono::ceil<core::milliseconds>(end - now));
  }
  return true;
}

std::shared_ptr<ACE_Event_Handler>& event_loop::DescriptorHandler(
    int descriptor) {
  return impl_->descriptor_handlers[descriptor];
}

ACE_Reactor* event_loop::Reactor() { return impl_->reactor.get(); }

}  // namespace comfreyspring::net

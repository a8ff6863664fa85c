#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "core/time.h"

namespace comfreyspring::net {

/**
 * Timers of one loop, ordered by due time. The reactor's own queue is not
 * used because it rounds waits down to whole milliseconds and then spins for
 * the rest, and because it follows the wall clock.
 */
class timer_queue {
 public:
  using callback = std::function<void()>;

  /** Adds a timer; `period` 0 means once. @returns a handle that is never 0. */
  std::uint64_t Add(core::time_point due, core::milliseconds period,
                    callback on_due);
  /** Removes a timer; an unknown or expired handle is ignored. */
  void Cancel(std::uint64_t timer);
  /** Removes all timers without running them. */
  void Clear();

  /** Due time of the earliest timer. */
  std::optional<core::time_point> NextDue() const;
  /** Passes the timers that are due at `now` to `run`, earliest first. */
  void RunDue(core::time_point now,
              const std::function<void(const callback&)>& run);

 private:
  struct key {
    core::time_point due;
    std::uint64_t timer;
    bool operator<(const key& other) const {
      return std::tie(due, timer) < std::tie(other.due, other.timer);
    }
  };
  struct entry {
    core::milliseconds period;
    std::shared_ptr<callback> on_due;
  };

  void Insert(const key& position, entry value);

  std::map<key, entry> entries_;
  std::unordered_map<std::uint64_t, core::time_point> due_times_;
  std::uint64_t last_timer_ = 0;
};

}  // namespace comfreyspring::net

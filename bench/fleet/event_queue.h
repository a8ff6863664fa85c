#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace comfreyspring::bench {

/**
 * Event queue of a simulation. Events run in order of time; events with the
 * same time run in the order in which they were added.
 */
class event_queue {
 public:
  using action = std::function<void()>;

  core::time_point Now() const { return now_; }
  void At(core::time_point time, action callback) {
    queue_.push({time, next_++, std::move(callback)});
  }
  void After(core::microseconds delay, action callback) {
    At(now_ + delay, std::move(callback));
  }
  /**
   * Advances the clock to the next event and runs it.
   * @returns false if the queue is empty.
   */
  bool RunNext() {
    if (queue_.empty()) return false;
    event next = queue_.top();
    queue_.pop();
    now_ = next.time;
    next.callback();
    return true;
  }

 private:
  struct event {
    core::time_point time;
    std::uint64_t order = 0;
    action callback;
    friend bool operator<(const event& left, const event& right) {
      if (left.time != right.time) return left.time > right.time;
      return left.order > right.order;
    }
  };

  core::time_point now_{core::seconds(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<event> queue_;
};

}  // namespace comfreyspring::bench

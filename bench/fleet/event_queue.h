#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace comfreyspring::bench {

/** Events of a simulated run in order of time; ties keep their order. */
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
  /** Runs the next event. @returns false if there is none. */
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

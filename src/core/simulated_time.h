#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace comfreyspring::core {

/** For replays in tests: runs events in the order of their time. */
class simulated_time {
 public:
  time_point Now() const { return now_; }
  void After(milliseconds delay, std::function<void()> step) {
    steps_.push({now_ + delay, ++last_, std::move(step)});
  }
  void RunFor(milliseconds length) {
    const time_point end = now_ + length;
    while (!steps_.empty() && steps_.top().at <= end) {
      auto step = steps_.top();
      steps_.pop();
      now_ = step.at;
      step.run();
    }
    now_ = end;
  }

 private:
  struct entry {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const entry& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  time_point now_{std::chrono::seconds(1000)};
  std::uint64_t last_ = 0;
  std::priority_queue<entry> steps_;
};

}  // namespace comfreyspring::core

#include "net/timer_queue.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::net {

std::uint64_t timer_queue::Add(core::time_point due, core::milliseconds period,
                               callback on_due) {
  const std::uint64_t timer = ++last_timer_;
  Insert({due, timer}, {period, std::make_shared<callback>(std::move(on_due))});
  return timer;
}

void timer_queue::Insert(const key& position, entry value) {
  due_times_[position.timer] = position.due;
  entries_.emplace(position, std::move(value));
}

void timer_queue::Cancel(std::uint64_t timer) {
  const auto found = due_times_.find(timer);
  if (found == due_times_.end()) return;
  // The callback's captures may cancel other timers when they are destroyed.
  const auto removed = entries_.extract({found->second, timer});
  due_times_.erase(found);
}

void timer_queue::Clear() {
  while (!entries_.empty()) Cancel(entries_.begin()->first.timer);
}

std::optional<core::time_point> timer_queue::NextDue() const {
  if (entries_.empty()) return std::nullopt;
  return entries_.begin()->first.due;
}

void timer_queue::RunDue(core::time_point now,
                         const std::function<void(const callback&)>& run) {
  // Timers that the callbacks add wait for the next turn.
  const std::uint64_t last_before = last_timer_;
  while (!entries_.empty() && entries_.begin()->first.due <= now) {
    const key position = entries_.begin()->first;
    if (position.timer > last_before) break;
    const entry value = entries_.begin()->second;
    Cancel(position.timer);
    if (value.period.count() > 0) {
      // Skips the periods that were missed during a pause.
      const core::time_point next = position.due + value.period;
      Insert({next > now ? next : now + value.period, position.timer}, value);
    }
    run(*value.on_due);
  }
}

}  // namespace comfreyspring::net

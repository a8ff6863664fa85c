#include "admission/running_table.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace comfreyspring::admission {

void running_table::Add(running_item item) {
  assert(!items_.contains(item.item.work.attempt));
  UpdateCounts(item, 1);
  const core::attempt_id attempt = item.item.work.attempt;
  items_.emplace(attempt, std::move(item));
}

running_item* running_table::Find(const core::attempt_id& attempt) {
  const auto found = items_.find(attempt);
  return found == items_.end() ? nullptr : &found->second;
}

std::optional<running_item> running_table::Take(
    const core::attempt_id& attempt) {
  const auto found = items_.find(attempt);
  if (found == items_.end()) return std::nullopt;
  running_item item = std::move(found->second);
  UpdateCounts(item, -1);
  items_.erase(found);
  return item;
}

void running_table::Clear() {
  items_.clear();
  counts_ = running_counts();
}

bool running_table::RunsLong(const core::adapter_reference& adapter) const {
  return std::any_of(items_.begin(), items_.end(), [&](const auto& entry) {
    const queued_item& item = entry.second.item;
    return item.long_work && item.work.adapter == adapter;
  });
}

std::size_t running_table::LongAdapters() const {
  std::set<core::adapter_reference> adapters;
  for (const auto& [attempt, running] : items_) {
    if (running.item.long_work) adapters.insert(running.item.work.adapter);
  }
  return adapters.size();
}

std::size_t running_table::Preempting() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(), [](const auto& entry) {
        return entry.second.state == running_state::preempting;
      }));
}

void running_table::UpdateCounts(const running_item& running, int change) {
  const auto step = static_cast<std::size_t>(change);
  switch (WorkClassOf(running.item.work.priority, running.item.long_work)) {
    case work_class::urgent_short:
      counts_.urgent_short += step;
      break;
    case work_class::urgent_long:
      counts_.urgent_long += step;
      break;
    case work_class::may_wait_short:
      counts_.may_wait_short += step;
      break;
    case work_class::may_wait_long:
      counts_.may_wait_long += step;
      break;
  }
}

}  // namespace comfreyspring::admission

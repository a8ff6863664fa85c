#include "standins/platform/vm_history.h"

#include <utility>

namespace comfreyspring::standins {
namespace {

// Exceeds the number of changes that a test makes within the longest lag.
constexpr std::size_t kMaximumEntries = 256;

}  // namespace

void vm_history::Put(vm_snapshot list, core::time_point now) {
  entries_.push_back({now, std::move(list)});
  if (entries_.size() > kMaximumEntries) entries_.pop_front();
}

vm_snapshot vm_history::VisibleAt(core::time_point now) const {
  for (auto item = entries_.rbegin(); item != entries_.rend(); ++item) {
    if (item->changed_at + lag_ <= now) return item->list;
  }
  return {};
}

std::int64_t vm_history::LatestRevision() const {
  return entries_.empty() ? 0 : entries_.back().list.revision;
}

}  // namespace comfreyspring::standins

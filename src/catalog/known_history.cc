#include "catalog/known_history.h"

#include <algorithm>
#include <iterator>

namespace comfreyspring::catalog {

void known_history::OnAllRead(const catalog_position& position) {
  if (position.era != position_.era) ranges_.clear();
  position_ = position;
  OnRange(position.revision, position.revision, core::time_point::min());
}

std::optional<core::time_point> known_history::OnRange(
    std::int64_t after, std::int64_t revision, core::time_point read_at) {
  range merged{revision, read_at};
  // Joins all ranges that overlap with the new one or touch it.
  auto next = ranges_.lower_bound(after);
  if (next != ranges_.begin() && std::prev(next)->second.revision >= after) {
    --next;
  }
  while (next != ranges_.end() && next->first <= merged.revision) {
    after = std::min(after, next->first);
    const range& other = next->second;
    if (other.revision > merged.revision) {
      merged = other;
    } else if (other.revision == merged.revision) {
      merged.read_at = std::max(merged.read_at, other.read_at);
    }
    next = ranges_.erase(next);
  }
  if (after > position_.revision) {
    ranges_[after] = merged;
    if (ranges_.size() > kMaximumRanges) ranges_.erase(--ranges_.end());
    return std::nullopt;
  }
  if (merged.revision < position_.revision) return std::nullopt;
  position_.revision = merged.revision;
  return merged.read_at;
}

}  // namespace comfreyspring::catalog

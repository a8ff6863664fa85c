#include "quarantine/part_history.h"

namespace comfreyspring::quarantine {

void part_history::OnAnswered(const std::vector<core::prompt_part_id>& parts,
                              core::time_point now) {
  for (const core::prompt_part_id& part : parts) {
    const auto found = index_.find(part);
    if (found != index_.end()) {
      found->second->answered_at = now;
      entries_.splice(entries_.begin(), entries_, found->second);
      continue;
    }
    entries_.push_front({part, now});
    index_[part] = entries_.begin();
    if (entries_.size() <= kMaximumParts) continue;
    index_.erase(entries_.back().part);
    entries_.pop_back();
  }
}

bool part_history::IsRecent(const core::prompt_part_id& part,
                            core::time_point now) const {
  const auto found = index_.find(part);
  return found != index_.end() && now - found->second->answered_at < kRecent;
}

std::vector<core::prompt_part_id> part_history::Blamed(
    const std::vector<core::prompt_part_id>& parts,
    core::time_point now) const {
  std::vector<core::prompt_part_id> blamed;
  const core::prompt_part_id* oldest = nullptr;
  core::time_point oldest_at;
  for (const core::prompt_part_id& part : parts) {
    if (!IsRecent(part, now)) {
      blamed.push_back(part);
      continue;
    }
    const auto answered_at = index_.at(part)->answered_at;
    if (oldest == nullptr || answered_at <= oldest_at) {
      oldest = &part;
      oldest_at = answered_at;
    }
  }
  if (blamed.empty() && oldest != nullptr) blamed.push_back(*oldest);
  return blamed;
}

}  // namespace comfreyspring::quarantine

#include "catalog/endpoint_table.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace comfreyspring::catalog {
namespace {

/**
 * Ignores the loaded models: heartbeats change them, and the agent of the
 * engine reports them earlier.
 */
bool DiffersInUse(const endpoint_record& left, const endpoint_record& right) {
  const auto used = [](const endpoint_record& record) {
    return std::tie(record.service, record.address, record.data_centre,
                    record.slots, record.leaving, record.started_unix_ms);
  };
  return used(left) != used(right);
}

}  // namespace

std::string_view ToString(endpoint_change::kind kind) {
  switch (kind) {
    case endpoint_change::kind::added:
      return "added";
    case endpoint_change::kind::updated:
      return "updated";
    case endpoint_change::kind::leaving:
      return "leaving";
    case endpoint_change::kind::lapsed:
      return "lapsed";
    case endpoint_change::kind::returned:
      return "returned";
    case endpoint_change::kind::gone:
      return "gone";
  }
  return "unknown";
}

endpoint_table::changes endpoint_table::OnSnapshot(
    const std::vector<listed_entry>& entries, const removal_grace& grace,
    core::time_point now) {
  changes out;
  std::set<instance_id> listed;
  for (const listed_entry& each : entries) {
    listed.insert(each.record.instance);
    for (endpoint_change& change : OnRecord(each)) {
      out.push_back(std::move(change));
    }
  }
  for (auto position = entries_.begin(); position != entries_.end();) {
    const auto next = std::next(position);
    if (listed.count(position->first) == 0) {
      Remove(position, grace, now, out);
    }
    position = next;
  }
  return out;
}

endpoint_table::changes endpoint_table::OnRecord(const listed_entry& listed) {
  using kind = endpoint_change::kind;
  const endpoint_record& record = listed.record;
  const entry fresh{.record = record, .position = listed.position};
  const auto found = entries_.find(record.instance);
  if (found == entries_.end()) {
    entries_[record.instance] = fresh;
    return {{record.leaving ? kind::leaving : kind::added, record}};
  }
  const bool was_leaving = found->second.record.leaving;
  const bool had_lapsed = found->second.grace.has_value();
  const bool differs = DiffersInUse(found->second.record, record);
  found->second = fresh;
  if (record.leaving && !was_leaving) return {{kind::leaving, record}};
  if (had_lapsed) return {{kind::returned, record}};
  if (!differs) return {};
  return {{kind::updated, record}};
}

endpoint_table::changes endpoint_table::OnRemoved(const instance_id& instance,
                                                  const removal_grace& grace,
                                                  core::time_point now) {
  changes out;
  const auto found = entries_.find(instance);
  if (found != entries_.end()) Remove(found, grace, now, out);
  return out;
}

void endpoint_table::Remove(std::map<instance_id, entry>::iterator position,
                            const removal_grace& grace, core::time_point now,
                            changes& out) {
  entry& removed = position->second;
  if (removed.grace) return;
  // An endpoint that has announced its shutdown does not come back.
  const bool may_live = grace.usable_until > now && !removed.record.leaving &&
                        removed.position <= grace.outage_position;
  if (may_live) {
    removed.grace = grace;
    removed.removed_at = now;
    out.push_back({endpoint_change::kind::lapsed, removed.record,
                   core::ToMilliseconds(grace.usable_until - now)});
    return;
  }
  out.push_back({endpoint_change::kind::gone, removed.record});
  entries_.erase(position);
}

void endpoint_table::ShortenGrace(
    const std::function<core::time_point(const removal_grace&)>& usable_until) {
  for (auto& [instance, known] : entries_) {
    if (!known.grace) continue;
    auto& until = known.grace->usable_until;
    until = std::min(until, usable_until(*known.grace));
  }
}

endpoint_table::changes endpoint_table::OnTick(core::time_point now) {
  changes out;
  for (auto position = entries_.begin(); position != entries_.end();) {
    const auto next = std::next(position);
    const auto& grace = position->second.grace;
    if (grace && grace->usable_until <= now) {
      out.push_back({endpoint_change::kind::gone, position->second.record});
      entries_.erase(position);
    }
    position = next;
  }
  return out;
}

void endpoint_table::ForEachUsable(
    const std::function<void(const endpoint_record&)>& visit) const {
  for (const auto& [instance, known] : entries_) {
    if (!known.record.leaving) visit(known.record);
  }
}

const endpoint_record* endpoint_table::FindUsable(
    const instance_id& instance) const {
  const auto found = entries_.find(instance);
  if (found == entries_.end() || found->second.record.leaving) return nullptr;
  return &found->second.record;
}

std::optional<core::milliseconds> endpoint_table::LapsedFor(
    const instance_id& instance, core::time_point now) const {
  const auto found = entries_.find(instance);
  if (found == entries_.end() || !found->second.grace) {
    return std::nullopt;
  }
  return core::ToMilliseconds(now - found->second.removed_at);
}

}  // namespace comfreyspring::catalog

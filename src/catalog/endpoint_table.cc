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
                    record.version, record.slots, record.leaving,
                    record.started_unix_ms);
  };
  return used(left) != used(right);
}

/** Departed endpoints are remembered for this long. */
constexpr core::milliseconds kDepartedMemory{300'000};
constexpr std::size_t kMaximumDeparted = 4096;

/** Whether both describe runs of known start times that differ. */
bool AreDifferentRuns(const endpoint_record& left,
                      const endpoint_record& right) {
  return left.started_unix_ms > 0 && right.started_unix_ms > 0 &&
         left.started_unix_ms != right.started_unix_ms;
}

bool IsEarlierRun(const endpoint_record& record,
                  const endpoint_record& of_other) {
  return AreDifferentRuns(record, of_other) &&
         record.started_unix_ms < of_other.started_unix_ms;
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
    for (endpoint_change& change : OnRecord(each, now)) {
      out.push_back(std::move(change));
    }
    const auto known = entries_.find(each.record.instance);
    if (known != entries_.end() && !known->second.grace &&
        !IsEarlierRun(each.record, known->second.record)) {
      listed.insert(each.record.instance);
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

endpoint_table::changes endpoint_table::OnRecord(const listed_entry& listed,
                                                 core::time_point now) {
  using kind = endpoint_change::kind;
  changes out;
  if (HasDeparted(listed)) return out;
  entry fresh{.record = listed.record,
              .position = listed.position,
              .registered_at = listed.position};
  const endpoint_record& record = fresh.record;
  const auto found = entries_.find(record.instance);
  if (found == entries_.end()) {
    if (!TakeAddress(listed, now, out)) return out;
    departed_.erase(record.instance);
    out.push_back({record.leaving ? kind::leaving : kind::added, record});
    entries_.emplace(record.instance, std::move(fresh));
    return out;
  }
  entry& known = found->second;
  // The entry of a later writer may lack the start time.
  if (record.started_unix_ms == 0) {
    fresh.record.started_unix_ms = known.record.started_unix_ms;
  }
  const bool had_lapsed = known.grace.has_value();
  if (listed.position < known.position || IsEarlierRun(record, known.record) ||
      (had_lapsed && MayBeRestored(listed.position))) {
    // Whatever else is outdated, a shutdown that was announced goes on.
    if (record.leaving && !known.record.leaving &&
        !AreDifferentRuns(record, known.record)) {
      known.record.leaving = true;
      out.push_back({kind::leaving, known.record});
    }
    return out;
  }
  // An endpoint that has announced its shutdown does not come back.
  const bool was_leaving = known.record.leaving;
  if (was_leaving && !AreDifferentRuns(record, known.record)) {
    fresh.record.leaving = true;
  }
  const bool differs = DiffersInUse(known.record, record);
  if (differs && !TakeAddress(listed, now, out)) {
    // The known run has ended all the same.
    if (AreDifferentRuns(record, known.record)) {
      Depart(found, listed.position, now, out);
    }
    return out;
  }
  if (record.leaving && !was_leaving) {
    out.push_back({kind::leaving, record});
  } else if (had_lapsed) {
    out.push_back({kind::returned, record});
  } else if (differs) {
    out.push_back({kind::updated, record});
  }
  if (!had_lapsed) fresh.registered_at = known.registered_at;
  known = std::move(fresh);
  return out;
}

endpoint_table::changes endpoint_table::OnRemoved(const instance_id& instance,
                                                  const removal_grace& grace,
                                                  core::time_point now) {
  changes out;
  const auto found = entries_.find(instance);
  if (found != entries_.end()) {
    Remove(found, grace, now, out);
    return out;
  }
  const auto departed = departed_.find(instance);
  if (departed != departed_.end()) {
    catalog_position& position = departed->second.position;
    position = std::max(position, grace.removal_position);
  }
  return out;
}

void endpoint_table::OnRestored(const catalog_position& read) {
  if (read.era == restored_by_.era) {
    restored_by_ = std::min(restored_by_, read);
  } else if (read.era > restored_by_.era) {
    restored_by_ = read;
  }
}

bool endpoint_table::MayBeRestored(const catalog_position& position) const {
  return position.era == restored_by_.era && position <= restored_by_;
}

bool endpoint_table::HasDeparted(const listed_entry& listed) const {
  const auto found = departed_.find(listed.record.instance);
  if (found == departed_.end()) return false;
  const departed_endpoint& departed = found->second;
  if (AreDifferentRuns(listed.record, departed.record)) {
    return IsEarlierRun(listed.record, departed.record);
  }
  return departed.record.leaving || listed.position <= departed.position ||
         MayBeRestored(listed.position);
}

bool endpoint_table::TakeAddress(const listed_entry& listed,
                                 core::time_point now, changes& out) {
  const endpoint_record& record = listed.record;
  for (auto other = entries_.begin(); other != entries_.end();) {
    const endpoint_record& holder = other->second.record;
    if (holder.instance == record.instance ||
        holder.service == record.service || holder.address != record.address) {
      ++other;
      continue;
    }
    if (AreDifferentRuns(record, holder)) {
      if (IsEarlierRun(record, holder)) return false;
      other = Depart(other, listed.position, now, out);
      continue;
    }
    if (MayBeRestored(listed.position) &&
        !MayBeRestored(other->second.position)) {
      return false;
    }
    ++other;
  }
  return true;
}

endpoint_table::entry_map::iterator endpoint_table::Depart(
    entry_map::iterator gone, const catalog_position& position,
    core::time_point now, changes& out) {
  const endpoint_record& record = gone->second.record;
  out.push_back({endpoint_change::kind::gone, record});
  departed_[record.instance] = {record, position, now};
  if (departed_.size() > kMaximumDeparted) {
    departed_.erase(std::min_element(departed_.begin(), departed_.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second.at < right.second.at;
                                     }));
  }
  return entries_.erase(gone);
}

void endpoint_table::Remove(entry_map::iterator removed,
                            const removal_grace& grace, core::time_point now,
                            changes& out) {
  entry& known = removed->second;
  // It was registered after the removal.
  if (grace.removal_position < known.position) return;
  // A second restoration may have undone that an endpoint registered again.
  if (known.grace &&
      known.grace->outage_position.era >= grace.outage_position.era) {
    return;
  }
  const bool was_registered_unseen =
      grace.known_before && known.registered_at > *grace.known_before;
  // An endpoint that has announced its shutdown does not come back.
  const bool may_live = grace.usable_until > now && !known.record.leaving &&
                        known.position <= grace.outage_position &&
                        !was_registered_unseen;
  if (!may_live) {
    Depart(removed, grace.removal_position, now, out);
    return;
  }
  const bool had_lapsed = known.grace.has_value();
  known.grace = grace;
  if (known.position.era < grace.outage_position.era) {
    // Its registration was lost, so that the copy never listed it.
    known.grace->removal_position = {grace.outage_position.era, 0};
  }
  if (had_lapsed) return;
  known.removed_at = now;
  out.push_back({endpoint_change::kind::lapsed, known.record,
                 core::ToMilliseconds(grace.usable_until - now)});
}

void endpoint_table::ShortenGrace(
    const std::function<core::time_point(const removal_grace&)>& usable_until) {
  for (auto& [instance, known] : entries_) {
    if (!known.grace) continue;
    auto& until = known.grace->usable_until;
    until = std::min(until, usable_until(*known.grace));
  }
}

endpoint_table::changes endpoint_table::OnTick(core::time_point now,
                                               bool can_register) {
  changes out;
  for (auto position = entries_.begin(); position != entries_.end();) {
    const auto& grace = position->second.grace;
    const bool may_register_later =
        grace && !can_register &&
        grace->removal_position <= grace->outage_position;
    position = grace && grace->usable_until <= now && !may_register_later
                   ? Depart(position, grace->removal_position, now, out)
                   : std::next(position);
  }
  std::erase_if(departed_, [now](const auto& each) {
    return now - each.second.at > kDepartedMemory;
  });
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

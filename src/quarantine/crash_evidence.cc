#include "quarantine/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "quarantine/request_fingerprint.h"

namespace comfreyspring::quarantine {
namespace {

/** Other crashes within this time of a crash speak for a common reason. */
constexpr core::milliseconds kStormWindow{1000};
/** Weight of a crash beside none, one, and more unexplained ones. */
constexpr double kWeightAlone = 1.0;
constexpr double kWeightBesideOne = 0.75;
constexpr double kWeightInStorm = 0.5;
/** Crashes, one after the other, that make a part a likely explanation. */
constexpr std::size_t kChainThatExplains = 2;
/**
 * Copies of a request that are sent before the first crash is known end engines
 * too. More crashes than these count, whether or not they follow each other.
 */
constexpr std::size_t kCrashesOfCopies = 2;

/** Crashes of a request that count, of so many on so many levels. */
std::size_t CountedCrashes(std::size_t crashes, std::size_t levels) {
  return std::max(levels, crashes - std::min(crashes, kCrashesOfCopies));
}

}  // namespace

std::string_view ToString(part_state state) {
  switch (state) {
    case part_state::clear:
      return "clear";
    case part_state::suspected:
      return "suspected";
    case part_state::quarantined:
      return "quarantined";
  }
  return "clear";
}

// Events.

std::optional<crash_record> crash_evidence::OnCrash(const crash_record& record,
                                                    core::time_point now) {
  if (record.age >= kRecordLifetime) return std::nullopt;
  const auto [position, is_new] = records_.try_emplace(record.crash);
  entry& known = position->second;
  const auto at = now - std::max(record.age, core::milliseconds(0));
  known.at = is_new ? at : std::min(known.at, at);
  crash_record news{.crash = record.crash,
                    .age = core::ToMilliseconds(now - known.at)};
  part_list affected;
  for (const suspected_part& reported : record.parts) {
    const auto [found, inserted] =
        known.parts.size() < kMaximumPartsPerRecord
            ? known.parts.try_emplace(reported.part, reported)
            : std::pair(known.parts.find(reported.part), false);
    if (found == known.parts.end()) continue;
    suspected_part& part = found->second;
    const suspected_part before = part;
    part.level = std::max(part.level, reported.level);
    part.cleared |= reported.cleared;
    if (!inserted && part == before) continue;
    if (part.cleared) {
      Forget(part.part, record.crash);
    } else {
      parts_[part.part].levels[record.crash] = part.level;
    }
    affected.push_back(part.part);
    news.parts.push_back(part);
  }
  if (!is_new && affected.empty()) return std::nullopt;
  Update(affected, now);
  LimitRecords(now);
  return news;
}

std::vector<crash_record> crash_evidence::OnAnswered(
    const std::vector<core::prompt_part_id>& parts, core::time_point now) {
  std::map<crash_id, crash_record> news;
  part_list affected;
  for (const auto& part : parts) {
    const auto found = parts_.find(part);
    if (found == parts_.end()) continue;
    // Most requests never come again, so that nobody needs to know that one of
    // those that were there in a crash was answered.
    const bool is_news = !IsRequest(part) || found->second.levels.size() > 1;
    affected.push_back(part);
    for (const auto& [crash, level] : found->second.levels) {
      entry& known = records_.at(crash);
      suspected_part& cleared = known.parts.at(part);
      cleared.cleared = true;
      if (!is_news) continue;
      crash_record& record = news[crash];
      record.crash = crash;
      record.age = core::ToMilliseconds(now - known.at);
      record.parts.push_back(cleared);
    }
    found->second.levels.clear();
  }
  if (affected.empty()) return {};
  Update(affected, now);
  std::vector<crash_record> result;
  for (auto& [crash, record] : news) result.push_back(std::move(record));
  return result;
}

void crash_evidence::OnTick(core::time_point now) {
  for (auto position = records_.begin(); position != records_.end();) {
    const auto next = std::next(position);
    if (now - position->second.at >= kRecordLifetime) Remove(position, now);
    position = next;
  }
  Update({}, now);
}

void crash_evidence::Remove(std::map<crash_id, entry>::iterator position,
                            core::time_point now) {
  const auto removed = records_.extract(position);
  part_list affected;
  for (const auto& [part, suspected] : removed.mapped().parts) {
    if (suspected.cleared) continue;
    Forget(part, removed.key());
    affected.push_back(part);
  }
  Update(affected, now);
}

void crash_evidence::Forget(const core::prompt_part_id& part,
                            const crash_id& crash) {
  const auto found = parts_.find(part);
  if (found != parts_.end()) found->second.levels.erase(crash);
}

void crash_evidence::Update(const part_list& changed, core::time_point now) {
  for (const core::prompt_part_id& part : changed) UpdateChain(part);
  const auto before = std::exchange(quarantines_, {});
  UpdateQuarantines(now);
  UpdateStates(changed);
  for (const quarantined_parts& each : before) UpdateStates(each.parts);
  for (const quarantined_parts& each : quarantines_) UpdateStates(each.parts);
}

void crash_evidence::UpdateChain(const core::prompt_part_id& part) {
  const auto found = parts_.find(part);
  if (found == parts_.end()) return;
  std::set<int> levels;
  for (const auto& [crash, level] : found->second.levels) levels.insert(level);
  found->second.chain_length =
      IsRequest(part)
          ? CountedCrashes(found->second.levels.size(), levels.size())
          : levels.size();
  if (found->second.chain_length >= kCrashesToQuarantine) {
    candidates_.insert(part);
  } else {
    candidates_.erase(part);
  }
}

void crash_evidence::UpdateStates(const part_list& parts) {
  for (const core::prompt_part_id& part : parts) {
    const auto found = parts_.find(part);
    if (found == parts_.end()) continue;
    if (found->second.levels.empty()) {
      SetState(part, found->second, part_state::clear);
      parts_.erase(found);
      continue;
    }
    const bool is_quarantined =
        std::any_of(quarantines_.begin(), quarantines_.end(),
                    [&part](const quarantined_parts& each) {
                      return std::find(each.parts.begin(), each.parts.end(),
                                       part) != each.parts.end();
                    });
    SetState(part, found->second,
             is_quarantined ? part_state::quarantined : part_state::suspected);
  }
}

/**
 * Requests explain their crashes first, since no others share them; then the
 * parts with the most weight.
 */
void crash_evidence::UpdateQuarantines(core::time_point now) {
  std::set<crash_id> explained;
  for (const core::prompt_part_id& candidate : candidates_) {
    if (!IsRequest(candidate)) continue;
    const auto crashes = parts_.at(candidate).chain_length;
    Quarantine({candidate}, static_cast<double>(crashes), now, explained);
  }
  while (true) {
    double highest = 0.0;
    part_list best;
    for (const core::prompt_part_id& candidate : candidates_) {
      if (IsRequest(candidate)) continue;
      const double weight =
          WeightOf(candidate, parts_.at(candidate), explained);
      if (weight < kCrashesToQuarantine || weight < highest) continue;
      if (weight > highest) best.clear();
      highest = weight;
      best.push_back(candidate);
    }
    if (best.empty()) return;
    // Others with the same weight, but other crashes, have their own turn.
    part_list group;
    for (const core::prompt_part_id& candidate : best) {
      const auto shares = [&](const core::prompt_part_id& member) {
        return SharesCrashes(candidate, member, explained);
      };
      if (group.empty() || std::any_of(group.begin(), group.end(), shares)) {
        group.push_back(candidate);
      }
    }
    Quarantine(std::move(group), highest, now, explained);
  }
}

bool crash_evidence::SharesCrashes(const core::prompt_part_id& part,
                                   const core::prompt_part_id& other,
                                   const std::set<crash_id>& explained) const {
  const auto& levels = parts_.at(other).levels;
  return std::any_of(levels.begin(), levels.end(), [&](const auto& crash) {
    return explained.count(crash.first) == 0 &&
           parts_.at(part).levels.count(crash.first) > 0;
  });
}

void crash_evidence::Quarantine(part_list parts, double weight,
                                core::time_point now,
                                std::set<crash_id>& explained) {
  core::time_point latest;
  for (const core::prompt_part_id& part : parts) {
    for (const auto& [crash, level] : parts_.at(part).levels) {
      explained.insert(crash);
      latest = std::max(latest, records_.at(crash).at);
    }
  }
  auto length = kFirstQuarantine;
  for (double needed = kCrashesToQuarantine + 1; needed <= weight;
       needed += 1.0) {
    length = std::min(2 * length, kLongestQuarantine);
  }
  if (now >= latest + length) return;
  quarantines_.push_back({std::move(parts), latest + length});
}

void crash_evidence::SetState(const core::prompt_part_id& part, summary& total,
                              part_state state) {
  const part_state before = std::exchange(total.state, state);
  if (before == state) return;
  // Each crash suspects the requests that were there; few are of interest.
  if (IsRequest(part) && before != part_state::quarantined &&
      state != part_state::quarantined) {
    return;
  }
  changes_.push_back({part, before, state, total.levels.size()});
}

double crash_evidence::WeightOf(const core::prompt_part_id& part,
                                const summary& total,
                                const std::set<crash_id>& explained) const {
  std::map<int, double> highest;
  std::set<core::prompt_part_id> requests;
  for (const auto& [crash, level] : InOrder(total.levels)) {
    if (explained.count(crash) > 0 || !AddRequests(crash, requests)) continue;
    const auto others = UnexplainedNear(records_.at(crash).at, part);
    const double weight = others == 0   ? kWeightAlone
                          : others == 1 ? kWeightBesideOne
                                        : kWeightInStorm;
    highest[level] = std::max(highest[level], weight);
  }
  double sum = 0.0;
  for (const auto& [level, weight] : highest) sum += weight;
  return sum;
}

std::vector<std::pair<crash_id, int>> crash_evidence::InOrder(
    const std::map<crash_id, int>& levels) {
  std::vector<std::pair<crash_id, int>> order(levels.begin(), levels.end());
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& left, const auto& right) {
                     return left.second < right.second;
                   });
  return order;
}

bool crash_evidence::AddRequests(
    const crash_id& crash, std::set<core::prompt_part_id>& requests) const {
  bool has_known = false;
  for (const auto& [suspect, each] : records_.at(crash).parts) {
    if (each.cleared || !IsRequest(suspect)) continue;
    has_known |= !requests.insert(suspect).second;
  }
  return !has_known;
}

std::size_t crash_evidence::UnexplainedNear(
    core::time_point at, const core::prompt_part_id& part) const {
  const auto explains = [this](const auto& suspected) {
    if (suspected.second.cleared) return false;
    const auto found = parts_.find(suspected.first);
    return found != parts_.end() &&
           found->second.chain_length >= kChainThatExplains;
  };
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& known) {
        const entry& other = known.second;
        return other.at > at - kStormWindow && other.at < at + kStormWindow &&
               other.parts.count(part) == 0 &&
               std::none_of(other.parts.begin(), other.parts.end(), explains);
      }));
}

// State.

part_state crash_evidence::StateOf(const core::prompt_part_id& part) const {
  const auto found = parts_.find(part);
  return found == parts_.end() ? part_state::clear : found->second.state;
}

int crash_evidence::LevelOf(const core::prompt_part_id& part) const {
  const auto found = parts_.find(part);
  if (found == parts_.end()) return 0;
  int highest = 0;
  for (const auto& [crash, level] : found->second.levels) {
    highest = std::max(highest, level);
  }
  return highest + 1;
}

std::size_t crash_evidence::CrashesOf(const core::prompt_part_id& part) const {
  const auto found = parts_.find(part);
  return found == parts_.end() ? 0 : found->second.levels.size();
}

const quarantined_parts* crash_evidence::QuarantineOf(
    const std::vector<core::prompt_part_id>& parts) const {
  const auto is_in_prompt = [&parts](const core::prompt_part_id& part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  const auto found = std::find_if(
      quarantines_.begin(), quarantines_.end(),
      [&](const quarantined_parts& each) {
        return std::all_of(each.parts.begin(), each.parts.end(), is_in_prompt);
      });
  return found == quarantines_.end() ? nullptr : &*found;
}

std::vector<crash_record> crash_evidence::Records(core::time_point now) const {
  std::vector<crash_record> result;
  result.reserve(records_.size());
  for (const auto& [crash, known] : records_) {
    result.push_back(RecordOf(crash, known, now));
  }
  return result;
}

std::vector<part_change> crash_evidence::Parts() const {
  std::vector<part_change> result;
  for (const auto& [part, known] : parts_) {
    if (IsRequest(part) && known.state != part_state::quarantined) continue;
    result.push_back({part, known.state, known.state, known.levels.size()});
  }
  return result;
}

std::vector<part_change> crash_evidence::TakeChanges() {
  return std::exchange(changes_, {});
}

crash_record crash_evidence::RecordOf(const crash_id& crash, const entry& known,
                                      core::time_point now) {
  crash_record record{.crash = crash,
                      .age = core::ToMilliseconds(now - known.at)};
  for (const auto& [part, suspected] : known.parts) {
    record.parts.push_back(suspected);
  }
  return record;
}

bool crash_evidence::SupportsQuarantine(const entry& known) const {
  const auto is_suspected = [&known](const core::prompt_part_id& part) {
    const auto found = known.parts.find(part);
    return found != known.parts.end() && !found->second.cleared;
  };
  return std::any_of(quarantines_.begin(), quarantines_.end(),
                     [&](const quarantined_parts& each) {
                       return std::any_of(each.parts.begin(), each.parts.end(),
                                          is_suspected);
                     });
}

void crash_evidence::LimitRecords(core::time_point now) {
  while (records_.size() > kMaximumRecords) {
    // The oldest one, those of quarantined parts last.
    const auto removed = std::min_element(
        records_.begin(), records_.end(),
        [this](const auto& left, const auto& right) {
          return std::pair(SupportsQuarantine(left.second), left.second.at) <
                 std::pair(SupportsQuarantine(right.second), right.second.at);
        });
    Remove(removed, now);
  }
}

}  // namespace comfreyspring::quarantine

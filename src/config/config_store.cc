#include "config/config_store.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "config/documents.h"
#include "config/validation.h"
#include "core/hash.h"

namespace comfreyspring::config {
namespace {

/** A fetch without an answer for this long is sent to another source. */
constexpr core::seconds kFetchTimeout{2};
/** Rounds over all sources after which a version yields to lower ones. */
constexpr int kMaximumRounds = 3;
/** How long an unobtainable version yields before it is tried again. */
constexpr core::seconds kUnobtainablePause{30};
/** Versions considered at a time; more than any orderly rollout has. */
constexpr std::size_t kMaximumCandidates = 16;
/** Refused versions that are remembered, so that each is reported once. */
constexpr std::size_t kMaximumRejections = 64;

/** A version above the current one that some source has reported. */
struct candidate {
  std::optional<manifest> list;
  std::string manifest_bytes;
  std::set<source_id> sources;
  std::optional<core::time_point> paused_until;
};

/** One document of the target that is being asked for; see fetch_key. */
struct fetch {
  source_id source;
  core::time_point asked_at;
  /** Sources that failed in this round. */
  std::set<source_id> tried;
  int rounds = 0;
  /** No source is being asked. */
  bool idle = true;
};

/** Hash of a part, or empty for the manifest. */
using fetch_key = std::optional<std::uint64_t>;

}  // namespace

struct config_store::impl {
  using actions = std::vector<store_action>;

  // Set in force.
  std::shared_ptr<const configuration> current;
  core::config_version current_version;
  manifest current_list;
  std::string manifest_bytes;
  /** Parts of the current set and of candidates. */
  std::map<std::uint64_t, std::string> parts;
  part_cache read_parts;

  // Sets that may come into force.
  std::map<core::config_version, candidate> candidates;
  std::optional<core::config_version> target;
  std::map<fetch_key, fetch> fetches;
  std::deque<core::config_version> rejected_versions;
  std::optional<rejected> last_rejected;

  bool IsRejected(core::config_version version) const {
    return std::find(rejected_versions.begin(), rejected_versions.end(),
                     version) != rejected_versions.end();
  }

  void Reject(core::config_version version, const std::string& reason,
              actions& out) {
    candidates.erase(version);
    if (IsRejected(version)) return;
    rejected_versions.push_back(version);
    if (rejected_versions.size() > kMaximumRejections) {
      rejected_versions.pop_front();
    }
    last_rejected = rejected{version, reason};
    out.emplace_back(*last_rejected);
  }

  /** Reports the loser when two operators published the same generation. */
  void ReportTie(core::config_version loser, core::config_version winner,
                 actions& out) {
    if (loser == winner || loser.generation != winner.generation) return;
    Reject(loser,
           "two sets have generation " + std::to_string(loser.generation) +
               "; the set with hash " + HashText(winner.manifest_hash) +
               " wins the tie",
           out);
  }

  /** @returns nullptr if the version is not to be considered. */
  candidate* AddSource(core::config_version version, const source_id& source) {
    if (version <= current_version || IsRejected(version)) return nullptr;
    candidate& entry = candidates[version];
    if (entry.sources.insert(source).second) entry.paused_until.reset();
    return &entry;
  }

  void DropExcessCandidates() {
    while (candidates.size() > kMaximumCandidates) {
      auto victim = std::find_if(
          candidates.begin(), candidates.end(),
          [](const auto& entry) { return entry.second.paused_until; });
      if (victim == candidates.end()) victim = candidates.begin();
      candidates.erase(victim);
    }
  }

  bool IsNeeded(std::uint64_t hash) const {
    const auto lists = [hash](const manifest& list) {
      return std::any_of(
          list.parts.begin(), list.parts.end(),
          [hash](const part_reference& part) { return part.hash == hash; });
    };
    if (current != nullptr && lists(current_list)) return true;
    return std::any_of(candidates.begin(), candidates.end(),
                       [&lists](const auto& entry) {
                         return entry.second.list && lists(*entry.second.list);
                       });
  }

  void DropUnneeded() {
    candidates.erase(candidates.begin(),
                     candidates.upper_bound(current_version));
    std::erase_if(candidates, [](const auto& entry) {
      return !entry.second.list && entry.second.sources.empty();
    });
    DropExcessCandidates();
    std::erase_if(parts, [this](const auto& part) {
      if (IsNeeded(part.first)) return false;
      read_parts.Forget(part.first);
      return true;
    });
  }

  /** The greatest version that can be had, paused ones last. */
  std::optional<core::config_version> ChooseTarget(core::time_point now) {
    std::optional<core::config_version> paused;
    for (auto entry = candidates.rbegin(); entry != candidates.rend();
         ++entry) {
      std::optional<core::time_point>& until = entry->second.paused_until;
      if (until && now >= *until) until.reset();
      if (!until) return entry->first;
      if (!paused) paused = entry->first;
    }
    return paused;
  }

  /** Works towards the greatest version until only answers are missing. */
  void Advance(core::time_point now, actions& out) {
    while (true) {
      DropUnneeded();
      const auto chosen = ChooseTarget(now);
      if (chosen != target) fetches.clear();
      target = chosen;
      if (!target) return;
      candidate& entry = candidates.at(*target);
      if (FetchMissing(entry, now, out)) return;
      Conclude(*target, out);
    }
  }

  /** @returns false if nothing is missing. */
  bool FetchMissing(candidate& entry, core::time_point now, actions& out) {
    if (!entry.list) {
      Fetch(std::nullopt, entry, now, out);
      return true;
    }
    bool is_missing = false;
    for (const part_reference& part : entry.list->parts) {
      if (parts.count(part.hash) != 0) continue;
      is_missing = true;
      Fetch(part.hash, entry, now, out);
    }
    return is_missing;
  }

  void Fetch(fetch_key key, const candidate& entry, core::time_point now,
             actions& out) {
    fetch& state = fetches[key];
    if (!state.idle) return;
    const source_id* source = ChooseSource(key, entry, state);
    if (source == nullptr) return;
    state.source = *source;
    state.asked_at = now;
    state.idle = false;
    if (key) {
      out.emplace_back(fetch_part{*source, *key});
    } else {
      out.emplace_back(fetch_manifest{*source});
    }
  }

  /** Spreads the parts of a set over its sources. */
  static const source_id* ChooseSource(fetch_key key, const candidate& entry,
                                       const fetch& state) {
    const std::string item = HashText(key.value_or(0));
    const source_id* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const source_id& source : entry.sources) {
      if (state.tried.count(source) != 0) continue;
      const std::uint64_t weight = core::RendezvousWeight(item, source);
      if (best != nullptr && weight <= best_weight) continue;
      best = &source;
      best_weight = weight;
    }
    return best;
  }

  /** Adopts or rejects the target, whose documents are all here. */
  void Conclude(core::config_version version, actions& out) {
    candidate& entry = candidates.at(version);
    const auto find_part = [this](std::uint64_t hash) -> const std::string* {
      const auto found = parts.find(hash);
      return found == parts.end() ? nullptr : &found->second;
    };
    try {
      auto set = std::make_shared<const configuration>(
          DecodeSet(entry.manifest_bytes, find_part, read_parts));
      assert(set->version == version && version > current_version);
      const core::config_version previous = current_version;
      current = std::move(set);
      current_version = version;
      current_list = std::move(*entry.list);
      manifest_bytes = std::move(entry.manifest_bytes);
      candidates.erase(version);
      out.emplace_back(adopted{current});
      if (previous.generation != 0) ReportTie(previous, version, out);
    } catch (const core::error& failure) {
      Reject(version, failure.what(), out);
    }
  }

  /** Reads the part on arrival, so that adoption has less left to do. */
  void KeepPart(std::uint64_t hash, std::string_view bytes) {
    fetches.erase(hash);
    const auto [part, is_new] = parts.emplace(hash, std::string(bytes));
    if (!is_new) return;
    try {
      read_parts.Read(hash, part->second);
    } catch (const document_error&) {
      // Conclude reads it again and rejects the set with this reason.
    }
  }

  void FailFetch(const source_id& source, fetch_key key) {
    const auto found = fetches.find(key);
    if (found == fetches.end() || found->second.source != source) return;
    found->second.tried.insert(source);
    found->second.idle = true;
  }

  /** The source turned out not to hold the target's manifest. */
  void ForgetSource(const source_id& source) {
    if (!target) return;
    const auto found = candidates.find(*target);
    if (found == candidates.end() || found->second.list) return;
    found->second.sources.erase(source);
  }

  void TakeManifest(const source_id& source, std::string_view bytes,
                    manifest list, actions& out) {
    const core::config_version version = VersionOf(list, bytes);
    if (target && version != *target) {
      FailFetch(source, std::nullopt);
      ForgetSource(source);
    }
    if (version < current_version) ReportTie(version, current_version, out);
    candidate* entry = AddSource(version, source);
    if (entry == nullptr || entry->list) return;
    entry->list = std::move(list);
    entry->manifest_bytes = std::string(bytes);
    if (target == version) fetches.erase(std::nullopt);
  }

  void RefuseManifest(const source_id& source, std::string_view bytes,
                      const std::string& reason, actions& out) {
    FailFetch(source, std::nullopt);
    core::config_version version{0, core::Hash64(bytes)};
    for (const auto& [known, entry] : candidates) {
      if (known.manifest_hash == version.manifest_hash) version = known;
    }
    Reject(version, reason, out);
  }

  void ExpireFetch(fetch& state, candidate& entry, core::time_point now) {
    if (now - state.asked_at < kFetchTimeout) return;
    if (!state.idle) state.tried.insert(state.source);
    state.idle = true;
    const bool is_exhausted = std::all_of(
        entry.sources.begin(), entry.sources.end(),
        [&state](const source_id& it) { return state.tried.count(it) != 0; });
    if (!is_exhausted) return;
    state.tried.clear();
    if (++state.rounds < kMaximumRounds) return;
    state.rounds = 0;
    entry.paused_until = now + kUnobtainablePause;
  }
};

config_store::config_store() : impl_(std::make_unique<impl>()) {}
config_store::~config_store() = default;

std::vector<store_action> config_store::OnVersionSeen(
    const source_id& source, core::config_version version,
    core::time_point now) {
  // Every message of a peer carries its version; most bring nothing new.
  if (impl_->AddSource(version, source) == nullptr) return {};
  std::vector<store_action> out;
  impl_->Advance(now, out);
  return out;
}

std::vector<store_action> config_store::OnManifest(const source_id& source,
                                                   std::string_view bytes,
                                                   core::time_point now) {
  std::vector<store_action> out;
  try {
    impl_->TakeManifest(source, bytes, DecodeManifest(bytes), out);
  } catch (const core::error& failure) {
    impl_->RefuseManifest(source, bytes, failure.what(), out);
  }
  impl_->Advance(now, out);
  return out;
}

std::vector<store_action> config_store::OnPart(const source_id& source,
                                               std::uint64_t hash,
                                               std::string_view bytes,
                                               core::time_point now) {
  std::vector<store_action> out;
  if (bytes.size() > kMaximumPartBytes || core::Hash64(bytes) != hash) {
    impl_->FailFetch(source, hash);
  } else if (impl_->IsNeeded(hash)) {
    impl_->KeepPart(hash, bytes);
  }
  impl_->Advance(now, out);
  return out;
}

std::vector<store_action> config_store::OnFetchFailed(
    const source_id& source, std::optional<std::uint64_t> hash,
    core::time_point now) {
  std::vector<store_action> out;
  impl_->FailFetch(source, hash);
  if (!hash) impl_->ForgetSource(source);
  impl_->Advance(now, out);
  return out;
}

std::vector<store_action> config_store::OnTick(core::time_point now) {
  std::vector<store_action> out;
  if (impl_->target) {
    candidate& entry = impl_->candidates.at(*impl_->target);
    for (auto& [key, state] : impl_->fetches) {
      impl_->ExpireFetch(state, entry, now);
    }
  }
  impl_->Advance(now, out);
  return out;
}

std::shared_ptr<const configuration> config_store::Current() const {
  return impl_->current;
}

core::config_version config_store::CurrentVersion() const {
  return impl_->current_version;
}

const std::string* config_store::ManifestBytes() const {
  return impl_->current == nullptr ? nullptr : &impl_->manifest_bytes;
}

const std::string* config_store::PartBytes(std::uint64_t hash) const {
  const auto found = impl_->parts.find(hash);
  return found == impl_->parts.end() ? nullptr : &found->second;
}

const std::optional<rejected>& config_store::LastRejected() const {
  return impl_->last_rejected;
}

}  // namespace comfreyspring::config

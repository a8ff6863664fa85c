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

/** A fetch unanswered for this long is retried from another source. */
constexpr core::seconds kFetchTimeout{2};
/** Failed rounds over all sources before a version is put on backoff. */
constexpr int kMaximumFetchRounds = 3;
/** Duration of the backoff, during which lower versions are preferred. */
constexpr core::seconds kUnobtainableBackoff{30};
/** Bounds the versions considered at a time; a normal rollout has fewer. */
constexpr std::size_t kMaximumCandidates = 16;
/** Bounds the list of rejected versions, which is kept to report each once. */
constexpr std::size_t kMaximumRejections = 64;

/** A version that a source has reported and that exceeds the current one. */
struct candidate {
  /** Empty until the manifest has been received. */
  std::optional<manifest> set_manifest;
  std::string manifest_bytes;
  /** Sources that have reported this version. */
  std::set<source_id> sources;
  std::optional<core::time_point> backoff_until;
};

/** State of the fetch of one document of the target version. */
struct fetch {
  source_id source;
  core::time_point requested_at;
  /** Sources that have failed in the current round. */
  std::set<source_id> failed_sources;
  /** Completed rounds in which every source failed. */
  int rounds = 0;
  /** True while no request is in flight. */
  bool idle = true;
};

/** Hash of the part to fetch, or empty for the manifest. */
using fetch_key = std::optional<std::uint64_t>;

}  // namespace

struct config_store::impl {
  using actions = std::vector<store_action>;

  // Set in force.
  std::shared_ptr<const configuration> current;
  core::config_version current_version;
  manifest current_manifest;
  std::string manifest_bytes;
  /** Parts of the current set and of candidates. */
  std::map<std::uint64_t, std::string> parts;
  /** Decoded records of `parts`. */
  part_cache decoded_parts;

  // Sets that may be adopted.
  std::map<core::config_version, candidate> candidates;
  /** The candidate being fetched. */
  std::optional<core::config_version> target;
  /** Fetches of the target's documents. */
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

  /** Rejects the lower of two versions with the same generation. */
  void ResolveTie(core::config_version loser, core::config_version winner,
                  actions& out) {
    if (loser == winner || loser.generation != winner.generation) return;
    Reject(loser,
           "generation " + std::to_string(loser.generation) +
               " was published twice; the set with manifest hash " +
               HashText(winner.manifest_hash) + " takes precedence",
           out);
  }

  /**
   * Records a source of a candidate; a new source ends the backoff.
   * @returns nullptr if the version is not newer or was rejected.
   */
  candidate* AddSource(core::config_version version, const source_id& source) {
    if (version <= current_version || IsRejected(version)) return nullptr;
    candidate& entry = candidates[version];
    if (entry.sources.insert(source).second) entry.backoff_until.reset();
    return &entry;
  }

  /** Drops candidates on backoff first, then the lowest versions. */
  void DropExcessCandidates() {
    while (candidates.size() > kMaximumCandidates) {
      auto victim = std::find_if(
          candidates.begin(), candidates.end(),
          [](const auto& entry) { return entry.second.backoff_until; });
      if (victim == candidates.end()) victim = candidates.begin();
      candidates.erase(victim);
    }
  }

  /** Whether the current set or a candidate lists this part. */
  bool IsReferenced(std::uint64_t hash) const {
    const auto lists = [hash](const manifest& value) {
      return std::any_of(
          value.parts.begin(), value.parts.end(),
          [hash](const part_reference& part) { return part.hash == hash; });
    };
    if (current != nullptr && lists(current_manifest)) return true;
    return std::any_of(
        candidates.begin(), candidates.end(), [&lists](const auto& entry) {
          return entry.second.set_manifest && lists(*entry.second.set_manifest);
        });
  }

  /** Drops obsolete and excess candidates, and unreferenced parts. */
  void DropUnused() {
    candidates.erase(candidates.begin(),
                     candidates.upper_bound(current_version));
    std::erase_if(candidates, [](const auto& entry) {
      return !entry.second.set_manifest && entry.second.sources.empty();
    });
    DropExcessCandidates();
    std::erase_if(parts, [this](const auto& part) {
      if (IsReferenced(part.first)) return false;
      decoded_parts.Erase(part.first);
      return true;
    });
  }

  /** @returns the greatest version not on backoff, or else the greatest. */
  std::optional<core::config_version> ChooseTarget(core::time_point now) {
    std::optional<core::config_version> on_backoff;
    for (auto entry = candidates.rbegin(); entry != candidates.rend();
         ++entry) {
      std::optional<core::time_point>& until = entry->second.backoff_until;
      if (until && now >= *until) until.reset();
      if (!until) return entry->first;
      if (!on_backoff) on_backoff = entry->first;
    }
    return on_backoff;
  }

  /**
   * Fetches, then adopts or rejects, the greatest candidate, then the next,
   * until no candidate is left or its documents are still missing.
   */
  void Advance(core::time_point now, actions& out) {
    while (true) {
      DropUnused();
      const auto chosen = ChooseTarget(now);
      if (chosen != target) fetches.clear();
      target = chosen;
      if (!target) return;
      candidate& entry = candidates.at(*target);
      if (FetchMissing(entry, now, out)) return;
      AdoptOrReject(*target, out);
    }
  }

  /** @returns true if the candidate still lacks a document. */
  bool FetchMissing(candidate& entry, core::time_point now, actions& out) {
    if (!entry.set_manifest) {
      Fetch(std::nullopt, entry, now, out);
      return true;
    }
    bool is_missing = false;
    for (const part_reference& part : entry.set_manifest->parts) {
      if (parts.count(part.hash) != 0) continue;
      is_missing = true;
      Fetch(part.hash, entry, now, out);
    }
    return is_missing;
  }

  /** Sends a request unless one is in flight or every source has failed. */
  void Fetch(fetch_key key, const candidate& entry, core::time_point now,
             actions& out) {
    fetch& state = fetches[key];
    if (!state.idle) return;
    const source_id* source = ChooseSource(key, entry, state);
    if (source == nullptr) return;
    state.source = *source;
    state.requested_at = now;
    state.idle = false;
    if (key) {
      out.emplace_back(fetch_part{*source, *key});
    } else {
      out.emplace_back(fetch_manifest{*source});
    }
  }

  /**
   * Uses rendezvous hashing to spread the parts of a set over its sources.
   * @returns nullptr if every source has failed in this round.
   */
  static const source_id* ChooseSource(fetch_key key, const candidate& entry,
                                       const fetch& state) {
    const std::string item = HashText(key.value_or(0));
    const source_id* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const source_id& source : entry.sources) {
      if (state.failed_sources.count(source) != 0) continue;
      const std::uint64_t weight = core::RendezvousWeight(item, source);
      if (best != nullptr && weight <= best_weight) continue;
      best = &source;
      best_weight = weight;
    }
    return best;
  }

  /** Decodes and validates a version whose documents are all present. */
  void AdoptOrReject(core::config_version version, actions& out) {
    candidate& entry = candidates.at(version);
    const auto find_part = [this](std::uint64_t hash) -> const std::string* {
      const auto found = parts.find(hash);
      return found == parts.end() ? nullptr : &found->second;
    };
    try {
      auto set = std::make_shared<const configuration>(
          DecodeSet(entry.manifest_bytes, find_part, decoded_parts));
      assert(set->version == version && version > current_version);
      const core::config_version previous = current_version;
      current = std::move(set);
      current_version = version;
      current_manifest = std::move(*entry.set_manifest);
      manifest_bytes = std::move(entry.manifest_bytes);
      candidates.erase(version);
      out.emplace_back(adopted{current});
      if (previous.generation != 0) ResolveTie(previous, version, out);
    } catch (const core::error& failure) {
      Reject(version, failure.what(), out);
    }
  }

  /** Decodes the part on arrival, which shortens the later adoption. */
  void StorePart(std::uint64_t hash, std::string_view bytes) {
    fetches.erase(hash);
    const auto [part, is_new] = parts.emplace(hash, std::string(bytes));
    if (!is_new) return;
    try {
      decoded_parts.Read(hash, part->second);
    } catch (const document_error&) {
      // AdoptOrReject decodes the part again and rejects the set.
    }
  }

  /** Marks the request as failed unless another source is now being tried. */
  void FailFetch(const source_id& source, fetch_key key) {
    const auto found = fetches.find(key);
    if (found == fetches.end() || found->second.source != source) return;
    found->second.failed_sources.insert(source);
    found->second.idle = true;
  }

  /** Removes a source from the target if the manifest is still missing. */
  void RemoveSource(const source_id& source) {
    if (!target) return;
    const auto found = candidates.find(*target);
    if (found == candidates.end() || found->second.set_manifest) return;
    found->second.sources.erase(source);
  }

  void AcceptManifest(const source_id& source, std::string_view bytes,
                      manifest received, actions& out) {
    const core::config_version version = VersionOf(received, bytes);
    if (target && version != *target) {
      FailFetch(source, std::nullopt);
      RemoveSource(source);
    }
    if (version < current_version) ResolveTie(version, current_version, out);
    candidate* entry = AddSource(version, source);
    if (entry == nullptr || entry->set_manifest) return;
    entry->set_manifest = std::move(received);
    entry->manifest_bytes = std::string(bytes);
    if (target == version) fetches.erase(std::nullopt);
  }

  /** Rejects the candidate with this manifest hash, or else generation 0. */
  void RejectManifest(const source_id& source, std::string_view bytes,
                      const std::string& reason, actions& out) {
    FailFetch(source, std::nullopt);
    core::config_version version{0, core::Hash64(bytes)};
    for (const auto& [known, entry] : candidates) {
      if (known.manifest_hash == version.manifest_hash) version = known;
    }
    Reject(version, reason, out);
  }

  void CheckFetchTimeout(fetch& state, candidate& entry, core::time_point now) {
    if (now - state.requested_at < kFetchTimeout) return;
    if (!state.idle) state.failed_sources.insert(state.source);
    state.idle = true;
    const bool have_all_failed =
        std::all_of(entry.sources.begin(), entry.sources.end(),
                    [&state](const source_id& it) {
                      return state.failed_sources.count(it) != 0;
                    });
    if (!have_all_failed) return;
    state.failed_sources.clear();
    if (++state.rounds < kMaximumFetchRounds) return;
    state.rounds = 0;
    entry.backoff_until = now + kUnobtainableBackoff;
  }
};

config_store::config_store() : impl_(std::make_unique<impl>()) {}
config_store::~config_store() = default;

std::vector<store_action> config_store::OnVersionSeen(
    const source_id& source, core::config_version version,
    core::time_point now) {
  // Every message of a peer carries its version, so most calls change nothing.
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
    impl_->AcceptManifest(source, bytes, DecodeManifest(bytes), out);
  } catch (const core::error& failure) {
    impl_->RejectManifest(source, bytes, failure.what(), out);
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
  } else if (impl_->IsReferenced(hash)) {
    impl_->StorePart(hash, bytes);
  }
  impl_->Advance(now, out);
  return out;
}

std::vector<store_action> config_store::OnFetchFailed(
    const source_id& source, std::optional<std::uint64_t> hash,
    core::time_point now) {
  std::vector<store_action> out;
  impl_->FailFetch(source, hash);
  if (!hash) impl_->RemoveSource(source);
  impl_->Advance(now, out);
  return out;
}

std::vector<store_action> config_store::OnTick(core::time_point now) {
  std::vector<store_action> out;
  if (impl_->target) {
    candidate& entry = impl_->candidates.at(*impl_->target);
    for (auto& [key, state] : impl_->fetches) {
      impl_->CheckFetchTimeout(state, entry, now);
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

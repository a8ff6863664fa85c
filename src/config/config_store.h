#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/configuration.h"
#include "core/types.h"

namespace comfreyspring::config {

/** Identifies where documents are fetched: the platform's service or a peer. */
using source_id = std::string;

/** Request the current manifest from `source`. */
struct fetch_manifest {
  source_id source;
};
/** Request the part with this hash from `source`. */
struct fetch_part {
  source_id source;
  std::uint64_t hash = 0;
};
/** `set` is now in force. */
struct adopted {
  std::shared_ptr<const configuration> set;
};
/**
 * A set was rejected as a whole, because it is invalid or because another set
 * of the same generation takes precedence. The set in force is unaffected.
 */
struct rejected {
  core::config_version version;
  std::string reason;
};
using store_action =
    std::variant<fetch_manifest, fetch_part, adopted, rejected>;

/**
 * Decides which configuration set is in force and which documents to fetch.
 * Does no I/O: the caller reports events and executes the returned actions.
 * A set is adopted only if it is complete, valid and of a greater version than
 * the current one.
 */
class config_store {
 public:
  config_store();
  ~config_store();
  config_store(const config_store&) = delete;
  config_store& operator=(const config_store&) = delete;

  // Events.

  /** `source` has reported that it holds this version. */
  std::vector<store_action> OnVersionSeen(const source_id& source,
                                          core::config_version version,
                                          core::time_point now);
  /** `source` has answered with these manifest bytes. */
  std::vector<store_action> OnManifest(const source_id& source,
                                       std::string_view bytes,
                                       core::time_point now);
  /** `source` has answered a request for part `hash` with these bytes. */
  std::vector<store_action> OnPart(const source_id& source, std::uint64_t hash,
                                   std::string_view bytes,
                                   core::time_point now);
  /**
   * `source` does not hold the document or is unreachable. An empty `hash`
   * means the manifest.
   */
  std::vector<store_action> OnFetchFailed(const source_id& source,
                                          std::optional<std::uint64_t> hash,
                                          core::time_point now);
  /** Retries fetches unanswered for 2 s, preferring sources not yet tried. */
  std::vector<store_action> OnTick(core::time_point now);

  // State.

  /** @returns nullptr before the first adoption. */
  std::shared_ptr<const configuration> Current() const;
  core::config_version CurrentVersion() const;
  /** @returns the current manifest, to serve to peers; nullptr if absent. */
  const std::string* ManifestBytes() const;
  /** @returns a cached part, to serve to peers; nullptr if absent. */
  const std::string* PartBytes(std::uint64_t hash) const;
  /** The set that was rejected last, for the state dump. */
  const std::optional<rejected>& LastRejected() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::config

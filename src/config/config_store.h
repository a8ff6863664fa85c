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

/** Where a document can be asked for: the platform's service or a peer. */
using source_id = std::string;

/** Ask `source` for the manifest. */
struct fetch_manifest {
  source_id source;
};
/** Ask `source` for the part with this hash. */
struct fetch_part {
  source_id source;
  std::uint64_t hash = 0;
};
/** A new set is in force. */
struct adopted {
  std::shared_ptr<const configuration> set;
};
/** A set was refused whole; the last good one stays. */
struct rejected {
  core::config_version version;
  std::string reason;
};
using store_action =
    std::variant<fetch_manifest, fetch_part, adopted, rejected>;

/**
 * Decides which configuration set is in force. Pure: bytes and versions in,
 * actions out. A set is adopted only whole, valid and with a greater version
 * than the current one.
 */
class config_store {
 public:
  config_store();
  ~config_store();
  config_store(const config_store&) = delete;
  config_store& operator=(const config_store&) = delete;

  // Events.

  /** A peer or the service has reported that it holds this version. */
  std::vector<store_action> OnVersionSeen(const source_id& source,
                                          core::config_version version,
                                          core::time_point now);
  /** Manifest bytes have arrived. */
  std::vector<store_action> OnManifest(const source_id& source,
                                       std::string_view bytes,
                                       core::time_point now);
  /** Part bytes have arrived. */
  std::vector<store_action> OnPart(const source_id& source, std::uint64_t hash,
                                   std::string_view bytes,
                                   core::time_point now);
  /** The source has not got the document or cannot be reached. */
  std::vector<store_action> OnFetchFailed(const source_id& source,
                                          std::optional<std::uint64_t> hash,
                                          core::time_point now);
  /** Retries fetches that have had no answer for 2 s from another source. */
  std::vector<store_action> OnTick(core::time_point now);

  // State.

  /** nullptr before the first adoption. */
  std::shared_ptr<const configuration> Current() const;
  core::config_version CurrentVersion() const;
  /** Documents of the current set, to be served to peers; nullptr if absent. */
  const std::string* ManifestBytes() const;
  const std::string* PartBytes(std::uint64_t hash) const;
  /** Last refused set, for the state dump. */
  const std::optional<rejected>& LastRejected() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::config

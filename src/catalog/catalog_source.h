#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/endpoint_record.h"
#include "catalog/outage_record.h"
#include "catalog/route.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** An entry that cannot be read; it names nothing that could be used. */
struct unreadable_entry {
  std::string key;
  std::string reason;
};
struct endpoint_removed {
  instance_id instance;
};
struct adapter_version_announced {
  adapter_name adapter;
  std::int64_t version = 0;
};
/** One change that the platform reports. */
using catalog_change =
    std::variant<configuration, endpoint_record, endpoint_removed,
                 adapter_version_announced, unreadable_entry>;

/** A change in the form of its source, which can be passed on and decoded. */
struct change_document {
  /** Position in the platform's history. */
  std::int64_t revision = 0;
  std::string text;
};
/** A change with where it stands in the platform's history. */
struct published_change {
  /** Of a change without a revision nothing is known: it is always applied. */
  std::int64_t revision = 0;
  catalog_change content;
  /** Form of the source; empty if it cannot be passed on. */
  std::string document;
};

/**
 * What a process has read of the catalog since `after`. Whoever knows
 * everything up to `after` knows everything up to `revision` with it.
 */
struct change_batch {
  std::int64_t after = 0;
  std::int64_t revision = 0;
  /** Time since the read. */
  core::milliseconds age{0};
  /** The last outage that the reader knows of, if it ended lately. */
  std::optional<reported_outage> last_outage;
  /** What has changed but for heartbeats, oldest first. */
  std::vector<change_document> documents;
};

/** How a read of the platform ended. */
enum class read_outcome {
  done,
  /** The platform no longer knows what has changed since the position. */
  history_lost,
  /** Too many calls; nothing was read. */
  throttled,
  /** No usable answer. */
  unavailable,
};

struct catalog_read {
  read_outcome outcome = read_outcome::unavailable;
  std::vector<published_change> changes;
  /** Position in the platform's history to go on from. */
  std::int64_t revision = 0;
  /** Why there is no result, for the log. */
  std::string error;
};

/** Reads of the platform; one call at a time. */
class catalog_source {
 public:
  using read_callback = std::function<void(catalog_read)>;

  virtual ~catalog_source() = default;

  /** Reads everything. */
  virtual void ReadAll(core::milliseconds timeout, read_callback on_done) = 0;
  /**
   * Waits for changes after `revision`, at most `wait`.
   * @param timeout when an answer that does not come is given up.
   */
  virtual void ReadChanges(std::int64_t revision, core::milliseconds wait,
                           core::milliseconds timeout,
                           read_callback on_done) = 0;
  /** Decodes a change that another process has read. */
  virtual published_change Decode(const change_document& document) const = 0;
};

}  // namespace comfreyspring::catalog

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/catalog_position.h"
#include "catalog/endpoint_record.h"
#include "catalog/outage_record.h"
#include "catalog/route.h"
#include "core/time.h"

namespace comfreyspring::catalog {

/** An entry that cannot be decoded and therefore is ignored. */
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
/** One change published by the platform. */
using catalog_change =
    std::variant<configuration, endpoint_record, endpoint_removed,
                 adapter_version_announced, unreadable_entry>;

/** A change in the encoding of its source, which other processes can decode. */
struct change_document {
  /** Revision in the era of the batch. */
  std::int64_t revision = 0;
  std::string text;
};
/** A change and its revision in the era of the read. */
struct published_change {
  /** 0 if unknown; such a change is always applied. */
  std::int64_t revision = 0;
  catalog_change content;
  /** The source's encoding; empty if the change cannot be relayed. */
  std::string document;
};

/** Whether the change is of the entry of an endpoint. */
inline bool IsOfEndpoint(const published_change& change) {
  return std::holds_alternative<endpoint_record>(change.content) ||
         std::holds_alternative<endpoint_removed>(change.content);
}

/**
 * Changes that a process has read after the revision `after`. A process that
 * knows everything up to `after` is up to date to `revision` once it has
 * applied the batch.
 */
struct change_batch {
  std::int64_t after = 0;
  std::int64_t revision = 0;
  /** Time since the read. */
  core::milliseconds age{0};
  /** The last outage known to the reader, if it ended recently. */
  std::optional<reported_outage> last_outage;
  /** All changes except heartbeats, oldest first. */
  std::vector<change_document> documents;
  /** Era of all revisions of the batch; 0 if unknown. */
  std::int64_t era = 0;
  /**
   * The sender's clock when `age` was measured; comparable only with that of
   * other batches of the same sender. Earlier versions do not tell it.
   */
  std::optional<core::milliseconds> sent_at;

  catalog_position After() const { return {era, after}; }
  catalog_position Position() const { return {era, revision}; }
};

/** Result of a read. */
enum class read_outcome {
  done,
  /** The platform no longer has the history from the requested position on. */
  history_lost,
  /** The changes exceed the size limit of the read; nothing was read. */
  too_long,
  /** Rate limited; nothing was read. */
  throttled,
  /** No usable response. */
  unavailable,
};

struct catalog_read {
  read_outcome outcome = read_outcome::unavailable;
  std::vector<published_change> changes;
  /** Revision from which to continue. */
  std::int64_t revision = 0;
  /** Reason of a failure, or a defect of a usable response, for the log. */
  std::string error;
  /** Era of the response, also of a failure; 0 if unknown. */
  std::int64_t era = 0;
  /** Bytes of response bodies that were received, also by a failed read. */
  std::size_t received_bytes = 0;
  /** Responses that a read of the whole catalog has consisted of. */
  std::size_t pages = 0;
  /** Items that are of no interest, such as those of other writers. */
  std::size_t ignored_items = 0;
  /** The read has failed because a response could not be decoded. */
  bool is_undecodable = false;

  catalog_position Position() const { return {era, revision}; }
};

/** Which changes to read, and what the read may cost. */
struct change_query {
  std::int64_t after_revision = 0;
  /** Time for which the platform waits for changes if there are none. */
  core::milliseconds wait{0};
  /**
   * Time without a byte after which the call fails, including the wait.
   * Transfers that make progress go on.
   */
  core::milliseconds timeout{0};
  /** Size of the response above which the outcome is `too_long`. */
  std::size_t maximum_bytes = 0;
};

/**
 * Reads the catalog from the platform. One call for endpoints may be in flight
 * beside one other.
 */
class catalog_source {
 public:
  using read_callback = std::function<void(catalog_read)>;

  virtual ~catalog_source() = default;

  /**
   * Reads the whole catalog.
   * @param timeout time without a byte after which the call fails. Transfers
   *     that make progress go on.
   */
  virtual void ReadAll(core::milliseconds timeout, read_callback on_done) = 0;
  /** Waits for changes. */
  virtual void ReadChanges(const change_query& query,
                           read_callback on_done) = 0;
  /**
   * Reads the changes of endpoints alone, which are small, without waiting for
   * any. The position that the response names is not reached for other changes.
   */
  virtual void ReadEndpointChanges(const change_query& query,
                                   read_callback on_done) = 0;
  /** Decodes a change read by another process. */
  virtual published_change Decode(const change_document& document) const = 0;
};

}  // namespace comfreyspring::catalog

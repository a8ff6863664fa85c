#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "catalog/backlog_age.h"
#include "catalog/catalog_source.h"
#include "catalog/endpoint_table.h"
#include "catalog/outage_record.h"
#include "catalog/read_schedule.h"
#include "catalog/route_table.h"
#include "core/random_source.h"
#include "net/event_loop.h"
#include "telemetry/event_log.h"

namespace comfreyspring::catalog {

struct follower_options {
  /**
   * Time in which changes must be in force. The waits of reads for changes, the
   * pauses between them (heartbeats of endpoints would end each wait at once,
   * and every read has its price) and their limits are fractions of it.
   */
  core::milliseconds change_bound{2000};
  /** First pause after a failed read; doubles up to the longest. */
  core::milliseconds initial_retry_delay{50};
  core::milliseconds maximum_retry_delay{200};
  /** Entries that an outage removed are back within this time. */
  core::milliseconds reregistration_time{
      removal_grace_limits().reregistration_time};
  /** Failures for this long count as an outage of the platform. */
  core::milliseconds outage_threshold{1000};
  std::uint64_t random_seed = 1;
};

/** Receives what has changed. */
class follower_listener {
 public:
  virtual ~follower_listener() = default;
  virtual void OnConfiguration(
      const std::shared_ptr<const route_table>& table) = 0;
  virtual void OnEndpoint(const endpoint_change& change) = 0;
  /** An own read has ended well; other processes can do without one. */
  virtual void OnLocalRead(const change_batch& batch) = 0;
};

/**
 * Keeps the views of what the platform publishes current: reads everything,
 * then waits for changes or hears of them from other processes that read, and
 * starts over when history is lost. The views stay in force while the platform
 * cannot be read; a version of the configuration never gives way to a lower
 * one.
 */
class catalog_follower {
 public:
  /** The referenced objects must outlive the follower. */
  catalog_follower(net::event_loop& loop, catalog_source& source,
                   follower_options options, follower_listener& listener,
                   telemetry::event_log& log);
  ~catalog_follower();
  catalog_follower(const catalog_follower&) = delete;
  catalog_follower& operator=(const catalog_follower&) = delete;

  void Start();
  /** The process was paused: reads that are under way may be dead. */
  void OnPaused(core::milliseconds length);
  /** Another process has read the catalog. */
  void OnPeerRead(const change_batch& batch);
  /** Place among the processes that may read; nothing if it is not known. */
  void SetReaderRank(std::optional<std::size_t> rank);

  /** Null until the first configuration is known. */
  const std::shared_ptr<const route_table>& Routes() const { return routes_; }
  const endpoint_table& Endpoints() const { return endpoints_; }
  /** Newest known version of an adapter; 0 if none was announced. */
  std::int64_t VersionOf(const adapter_name& adapter) const;
  /** Everything was read once since the start. */
  bool IsComplete() const { return complete_; }
  /** Time since the platform last answered. */
  core::milliseconds Age() const;

 private:
  /** Longest wait of one read for changes. */
  core::milliseconds MaximumWait() const;
  /** An answer that is later than this is given up. */
  core::milliseconds ReadTimeout();
  void ReadAll();
  void ReadChanges();
  void OnAll(catalog_read read);
  void OnChanges(catalog_read read);
  void OnFailure(const char* call, const catalog_read& read);
  /** @param revision position of the answer in the platform's history. */
  void OnContact(std::int64_t revision);
  void RetryLater();
  void ReadWhenDue();
  /** What is known of the read that has brought changes. */
  struct read_context {
    const char* origin;
    /** Position of the answer in the platform's history. */
    std::int64_t revision = 0;
    /** Everything was known up to then before it. */
    core::time_point known_until;
  };
  void Apply(std::vector<published_change> changes, const read_context& read,
             std::vector<change_document>& applied);
  /** @returns whether the change was news. */
  bool ApplyOne(published_change& change, const read_context& read);
  bool ApplyConfiguration(configuration content, const char* origin);
  bool Publish(const endpoint_table::changes& changes);
  void DetectMassRemoval(const std::vector<published_change>& changes,
                         std::int64_t known_before);
  /** @param removed_at as for UsableUntil. */
  removal_grace GraceFor(std::int64_t removed_at,
                         const read_context& read) const;
  /** @param origin from where its end is known. */
  void LogOutage(const char* origin);

  net::event_loop& loop_;
  catalog_source& source_;
  follower_options options_;
  follower_listener& listener_;
  telemetry::event_log& log_;
  core::random_source random_;
  read_schedule schedule_;
  std::shared_ptr<const route_table> routes_;
  endpoint_table endpoints_;
  adapter_versions versions_;
  bool complete_ = false;
  std::int64_t revision_ = 0;
  /** Answers to reads of an earlier generation are ignored. */
  std::uint64_t generation_ = 0;
  core::milliseconds retry_delay_;
  core::time_point last_contact_;
  bool connected_ = false;
  /** While not connected: when the first read failed. */
  core::time_point failing_since_;
  outage_record outages_;
  backlog_age backlog_;
  /** The next read; 0 while one is under way. */
  net::timer_id read_timer_ = 0;
  net::timer_id tick_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreyspring::catalog

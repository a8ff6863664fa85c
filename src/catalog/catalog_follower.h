#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "catalog/backlog_age.h"
#include "catalog/catalog_source.h"
#include "catalog/endpoint_table.h"
#include "catalog/known_history.h"
#include "catalog/outage_record.h"
#include "catalog/read_schedule.h"
#include "catalog/route_table.h"
#include "core/random_source.h"
#include "net/event_loop.h"
#include "telemetry/event_log.h"

namespace comfreyspring::catalog {

struct follower_options {
  /**
   * Time within which changes must be in force. Reads wait for changes, and
   * readers pause between reads, because heartbeats of endpoints would end each
   * wait immediately and every read has a cost. These waits, pauses and their
   * limits are fractions of this time.
   */
  core::milliseconds change_bound{2000};
  /** Delay after the first failed read. It doubles up to the maximum. */
  core::milliseconds initial_retry_delay{50};
  core::milliseconds maximum_retry_delay{200};
  /**
   * Endpoints whose entries were removed by an outage re-register within this
   * time.
   */
  core::milliseconds reregistration_time{
      removal_grace_limits().reregistration_time};
  /** Failures for at least this long count as an outage of the platform. */
  core::milliseconds outage_threshold{1000};
  std::uint64_t random_seed = 1;
};

/** What it costs a process to follow the catalog, since its start. */
struct follower_statistics {
  std::uint64_t failed_reads = 0;
  /** Bytes of responses that were received in vain. */
  std::uint64_t discarded_bytes = 0;
  /** Batches of other processes that begin after the position of this one. */
  std::uint64_t batches_after_gap = 0;
};

/** Receives changes of the catalog. */
class follower_listener {
 public:
  virtual ~follower_listener() = default;
  virtual void OnConfiguration(
      const std::shared_ptr<const route_table>& table) = 0;
  virtual void OnEndpoint(const endpoint_change& change) = 0;
  /**
   * A read of this process has succeeded, so that other processes need not
   * read. An empty batch of a later era tells them to read everything.
   */
  virtual void OnLocalRead(const change_batch& batch) = 0;
};

/**
 * Keeps the process's view of the catalog up to date.
 *
 * It reads the whole catalog first, then waits for changes or receives them
 * from other processes that read. If the platform's history is lost or is
 * longer than the catalog, or the platform was restored from a copy, it reads
 * everything again, so that the cost of catching up does not depend on the time
 * away. What it knows is ordered by era and revision; responses and batches of
 * an earlier era than the latest known one are ignored. The view remains in
 * force while the platform is unavailable, and a version of the configuration
 * is never replaced by a lower one.
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
  /**
   * The process was suspended, or busy for as long. After more than the longest
   * timeout of a read, the connection of the one in flight may be dead.
   */
  void OnPaused(core::milliseconds length);
  /** Handles a batch read by another process. */
  void OnPeerRead(const change_batch& batch);
  /** Sets the rank of this process among the readers; nullopt if unknown. */
  void SetReaderRank(std::optional<std::size_t> rank);

  /** Null until the first configuration has been read. */
  const std::shared_ptr<const route_table>& Routes() const { return routes_; }
  const endpoint_table& Endpoints() const { return endpoints_; }
  /** Newest known version of an adapter; 0 if none was announced. */
  std::int64_t VersionOf(const adapter_name& adapter) const;
  /** The whole catalog has been read at least once. */
  bool IsComplete() const { return complete_; }
  /** Time since the last confirmation that the view is up to date. */
  core::milliseconds Age() const;
  const follower_statistics& Statistics() const { return statistics_; }

 private:
  /** Events that recur with each retry are logged once in a period. */
  struct recurring_event {
    core::time_point logged_at;
    /** Events since then. */
    std::int64_t count = 0;
    std::int64_t bytes = 0;
  };

  /** Where and when the changes of a read come from. */
  struct read_context {
    const char* origin;
    /** Position of the response in the platform's history. */
    catalog_position position;
    /** Everything up to this time was known before the read. */
    core::time_point known_until;
    /** The history up to this position was known before the read. */
    catalog_position known_before;
  };

  /** Maximum time for which one read waits for changes. */
  core::milliseconds MaximumWait() const;
  /** Timeout of the next read in addition to its wait. */
  core::milliseconds ReadTimeout();
  /** The longest timeout of a read. */
  core::milliseconds FullTimeout() const;
  void ReadAll();
  void ReadChanges();
  void OnAll(catalog_read read);
  void OnChanges(catalog_read read);
  /**
   * Reads the changes of endpoints alone if the view is older than their limit,
   * beside whatever else is being read.
   */
  void ReadEndpointsWhenDue();
  void OnEndpointChanges(catalog_read read, core::time_point began);
  void OnFailure(const char* call, const catalog_read& read);
  void LogFailure(const char* call, const catalog_read& read);
  void LogGap(const change_batch& batch);
  /** The response of the current read has taken long to arrive. */
  void LogSlowRead(const char* call, const catalog_read& read);
  /** The read of everything in flight has taken long so far. */
  void LogPendingRead();
  /** Items of a read of everything, by what they are to this process. */
  struct listing {
    std::size_t items = 0;
    std::size_t endpoints = 0;
    std::size_t unreadable = 0;
  };
  void LogListing(const catalog_read& read, const listing& listed,
                  const endpoint_table::changes& changes);
  /**
   * Counts an event that recurs.
   * @returns true if a line about the events since the last one is due.
   */
  bool IsDue(recurring_event& event, std::size_t bytes);
  /** A response that is older than what is known. */
  void OnStaleAnswer(const char* call, const catalog_read& read);
  /** @returns true if the era is later than all known ones. */
  bool OnEra(std::int64_t era);
  /** A batch of a later era than that of the view. */
  void OnLaterEra(const change_batch& batch);
  /** The first read after the platform was restored from a copy. */
  void OnRestored(const catalog_position& before,
                  const std::vector<endpoint_table::listed_entry>& entries,
                  std::vector<change_document> applied,
                  const read_context& read);
  /** Reads everything, after a pause if the last such read was of no use. */
  void ReadAllAgain();
  void LogDefect(const char* call, const catalog_read& read);
  std::optional<reported_outage> OutageToReport() const;
  /** Passes on what this process has read. */
  void Report(change_batch batch);
  /** The latest time at which the response was surely up to date. */
  core::time_point KnownAt(const catalog_read& read) const;
  /** @param known_at when the response was up to date. */
  void OnContact(const catalog_position& position, core::time_point known_at);
  void RetryLater();
  void ReadWhenDue();
  void Apply(std::vector<published_change> changes, const read_context& read,
             std::vector<change_document>& applied);
  /** Changes already received from another process are not applied again. */
  void EraseKnown(std::vector<published_change>& changes) const;
  bool IsNewsToOthers(const published_change& change);
  /** @returns true if the change has altered the view. */
  bool ApplyOne(published_change& change, const read_context& read);
  bool ApplyConfiguration(configuration content, const char* origin);
  bool Publish(const endpoint_table::changes& changes);
  void DetectMassRemoval(const std::vector<published_change>& changes,
                         const catalog_position& known_before);
  /** @param removed_at see UsableUntil. */
  removal_grace GraceFor(const catalog_position& removed_at,
                         const read_context& read) const;
  void ShortenGracePeriods();
  removal_grace_limits GraceLimits() const;
  /** @param origin source of the information that the outage has ended. */
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
  known_history history_;
  /**
   * Endpoints of the last full read of a new era whose next entry has not been
   * passed on yet.
   */
  std::set<instance_id> unrelayed_;
  /** Latest known era; that of the view may be earlier. */
  std::int64_t latest_era_ = 0;
  /** Only a read of everything brings the view up to date. */
  bool needs_all_ = false;
  bool reading_all_ = false;
  bool reading_endpoints_ = false;
  /** Size of the whole catalog when it was last read. */
  std::size_t catalog_bytes_ = 0;
  /** Set once changes could be read since everything was read. */
  bool may_read_all_at_once_ = true;
  /** Responses to reads of an earlier generation are ignored. */
  std::uint64_t generation_ = 0;
  /** Of the read in flight, or else of the latest one. */
  core::time_point read_began_;
  core::milliseconds read_wait_{0};
  core::milliseconds retry_delay_;
  /** The view contains everything that was written before this time. */
  core::time_point last_contact_;
  bool connected_ = false;
  /** While not connected: time of the first failed read. */
  core::time_point failing_since_;
  outage_record outages_;
  backlog_age backlog_;
  /** Timer of the next read; 0 while a read is in flight. */
  net::timer_id read_timer_ = 0;
  /** The read timer waits after a failure. */
  bool is_retry_ = false;
  /** Timer of the read of everything in an era that another process read. */
  net::timer_id era_timer_ = 0;
  /** When responses of the kind were last logged. */
  core::time_point stale_logged_at_;
  core::time_point defect_logged_at_;
  core::time_point pending_logged_at_;
  recurring_event failure_;
  recurring_event gap_;
  follower_statistics statistics_;
  net::timer_id tick_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreyspring::catalog

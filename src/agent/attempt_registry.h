#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::agent {

/** What is known of an attempt when a frame about it arrives. */
enum class attempt_status {
  /** Never seen. */
  unseen,
  /** Its submit was taken. */
  submitted,
  /** It was withdrawn or refused as not run before its submit arrived. */
  blocked,
};

struct attempt_registry_options {
  /** Start of this process: an older attempt may have run before it. */
  core::wall_time started_at;
  core::milliseconds clock_skew{2000};
  core::milliseconds retention{600 * 1000};
  std::size_t maximum_attempts = 200000;
};

/**
 * Ids of all recent attempts, so that a late submit of an attempt that was
 * given back does not run. Pure.
 */
class attempt_registry {
 public:
  explicit attempt_registry(attempt_registry_options options);

  attempt_status Status(const core::attempt_id& attempt) const;
  void MarkSubmitted(const core::attempt_id& attempt, core::time_point now);
  /** A submit of this attempt must not run from now on. */
  void Block(const core::attempt_id& attempt, core::time_point now);

  /**
   * True if an attempt that is not known here cannot have run here: its id
   * starts with a UUIDv7 that is younger than this process and than every
   * forgotten attempt.
   */
  bool CannotHaveRun(const core::attempt_id& attempt) const;

  void OnTick(core::time_point now, core::wall_time wall_now);
  std::size_t Size() const { return attempts_.size(); }

 private:
  struct entry {
    core::attempt_id attempt;
    core::time_point added_at;
  };

  void Add(const core::attempt_id& attempt, attempt_status status,
           core::time_point now);
  void EvictOldest();

  attempt_registry_options options_;
  std::unordered_map<core::attempt_id, attempt_status> attempts_;
  std::deque<entry> insertion_order_;
  /** Attempts made up to this moment may have been forgotten. */
  core::wall_time evicted_until_;
  core::wall_time wall_now_;
};

}  // namespace comfreyspring::agent

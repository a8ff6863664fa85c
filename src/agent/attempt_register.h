#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::agent {

/** What is known of an attempt when a message about it arrives. */
enum class attempt_status {
  /** Never seen, or evicted. */
  unseen,
  /** Its submit was processed. */
  submitted,
  /** A withdraw or resume arrived before its submit, which is now refused. */
  blocked,
};

struct register_options {
  /** Start of this process; attempts created earlier may have run in a previous
   * process. */
  core::wall_time started_at;
  core::milliseconds clock_skew{2000};
  core::milliseconds retention{600 * 1000};
  std::size_t maximum_attempts = 200000;
};

/**
 * Ids of recent attempts, so that a late submit of an attempt that was already
 * reported as not run does not run. Performs no I/O.
 */
class attempt_register {
 public:
  explicit attempt_register(register_options options);

  attempt_status Status(const core::attempt_id& attempt) const;
  void MarkSubmitted(const core::attempt_id& attempt, core::time_point now);
  /** From now on a submit of this attempt is refused. */
  void Block(const core::attempt_id& attempt, core::time_point now);

  /**
   * True if an `unseen` attempt cannot have run here: its id starts with a
   * UUIDv7 that was created after the start of this process and after every
   * evicted attempt, by more than the clock skew.
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

  register_options options_;
  std::unordered_map<core::attempt_id, attempt_status> attempts_;
  std::deque<entry> insertion_order_;
  /** Attempts created up to this time may have been evicted. */
  core::wall_time evicted_until_;
  core::wall_time wall_now_;
};

}  // namespace comfreyspring::agent

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::catalog {

struct read_schedule_options {
  /** Processes that read while all goes well; the others hear from them. */
  std::size_t readers = 4;
  /** Pause of a reader between two reads. */
  core::milliseconds pause{400};
  /** Without a confirmation for this long, a process reads for itself. */
  core::milliseconds confirmation_limit{800};
  std::uint64_t random_seed = 1;
};

/**
 * Decides when this process reads the platform's catalog. Pure: ranks,
 * confirmations and the time in, a time out.
 *
 * Load pattern that it answers: each reader's calls cost the platform the
 * same, so that calls grow with the processes although all of them learn the
 * same. A few read; the others read only while they hear of no read, each
 * after a time of its own, so that the first of them spares the rest.
 */
class read_schedule {
 public:
  explicit read_schedule(read_schedule_options options);

  /** Place among the processes that may read; nothing if it is not known. */
  void OnRank(std::optional<std::size_t> rank);
  /** An own read has ended well. */
  void OnRead(core::time_point now);
  /** Another process has read everything up to what is known here. */
  void OnConfirmed(core::time_point read_at);

  bool IsReader() const;
  core::milliseconds ConfirmationLimit() const {
    return options_.confirmation_limit;
  }
  /** Longest time between two confirmations or reads while all goes well. */
  core::milliseconds MaximumConfirmationGap() const;
  /** When the next read is due, as far as is known now. */
  core::time_point NextRead() const;

 private:
  read_schedule_options options_;
  core::random_source random_;
  std::optional<std::size_t> rank_;
  core::time_point read_at_;
  core::time_point confirmed_at_;
  /** Part of the limit that is added to it; drawn anew for each wait. */
  double spread_ = 0.0;
};

}  // namespace comfreyspring::catalog

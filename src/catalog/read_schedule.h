#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/random_source.h"
#include "core/time.h"

namespace comfreyspring::catalog {

struct read_schedule_options {
  /**
   * Number of processes that read in regular operation. The others receive the
   * changes from them.
   */
  std::size_t readers = 4;
  /** Shortest time between two states that a reader reads. */
  core::milliseconds pause{400};
  /** A process without confirmation for this long reads by itself. */
  core::milliseconds confirmation_limit{800};
  /**
   * A process without confirmation for this long reads the endpoints' changes
   * apart from all others.
   */
  core::milliseconds endpoint_limit{600};
  std::uint64_t random_seed = 1;
};

/**
 * Decides when this process reads the catalog from the platform. Performs no
 * I/O.
 *
 * Load pattern that it handles: each read has the same cost for the platform,
 * so the cost would grow with the number of processes although all of them read
 * the same data. A few processes read. The others read only if they receive no
 * confirmation, each after a random delay, so that the first of them usually
 * makes the reads of the others unnecessary.
 */
class read_schedule {
 public:
  explicit read_schedule(read_schedule_options options);

  /** Sets the rank of this process among the readers; nullopt if unknown. */
  void OnRank(std::optional<std::size_t> rank);
  /**
   * A read of this process has succeeded.
   * @param known_at when the response was up to date, not when it arrived.
   */
  void OnRead(core::time_point known_at);
  /** A read of the endpoints' changes alone has succeeded. */
  void OnEndpointsRead(core::time_point known_at);
  /** Another process has read everything up to the state known here. */
  void OnConfirmed(core::time_point read_at);

  bool IsReader() const;
  core::milliseconds ConfirmationLimit() const {
    return options_.confirmation_limit;
  }
  /** Longest regular time between two reads or confirmations. */
  core::milliseconds MaximumConfirmationGap() const;
  /** When the next read is due, if nothing else arrives until then. */
  core::time_point NextRead() const;
  /**
   * When the endpoints' changes are due to be read alone. Also due while
   * another read is on its way: a departure must not wait for a large
   * configuration.
   */
  core::time_point NextEndpointRead() const;

 private:
  read_schedule_options options_;
  core::random_source random_;
  std::optional<std::size_t> rank_;
  core::time_point read_at_;
  core::time_point confirmed_at_;
  core::time_point endpoints_read_at_;
  /** Random share by which the limits are extended; drawn for each wait. */
  double spread_ = 0.0;
};

}  // namespace comfreyspring::catalog

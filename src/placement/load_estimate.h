#pragma once

#include <cstdint>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "core/types.h"
#include "placement/adapter_key.h"
#include "placement/lru_map.h"
#include "wire/messages.h"

namespace comfreyspring::placement {

/** Estimate of one process for the load of one endpoint. */
class load_estimate {
 public:
  load_estimate();

  // Events.

  void OnSubmitted(adapter_key key, core::time_point now);
  /** The agent has acknowledged one of the submits. */
  void OnAcknowledged();
  /** An attempt has ended. @param acknowledged whether it was acknowledged. */
  void OnEnded(bool acknowledged);
  void OnReport(const wire::endpoint_report& report, core::time_point now);
  /** The endpoint is known to hold, or not to hold, the adapter. */
  void OnResidency(adapter_key key, bool resident, core::time_point now);
  /** A new process or engine serves the endpoint: drops residency and report.
   */
  void OnReplaced();

  // Estimates.

  std::int64_t Outstanding() const { return outstanding_; }
  /**
   * Requests of all processes at the endpoint: those of the last report plus
   * the unacknowledged ones of this process. Without a report, only the
   * outstanding ones of this process.
   */
  double Occupancy(core::priority_class priority) const;
  double BatchLimit() const;
  /**
   * Time that a new request waits for a batch slot.
   * @param service_time mean time that a request holds a batch slot.
   */
  core::microseconds ExpectedWait(core::priority_class priority,
                                  core::microseconds service_time,
                                  core::time_point now) const;
  bool ProbablyResident(adapter_key key, core::time_point now) const;

 private:
  std::int64_t outstanding_ = 0;
  std::int64_t unacknowledged_ = 0;
  std::optional<wire::endpoint_report> report_;
  core::time_point reported_at_;
  lru_map<adapter_key, core::time_point> resident_;
};

}  // namespace comfreyspring::placement

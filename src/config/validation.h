#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "core/error.h"

namespace comfreyspring::config {

/** Maximum size of an id; ids are part of every request and of log lines. */
constexpr std::size_t kMaximumIdBytes = 200;
/** Maximum number of ownership epochs per service. */
constexpr std::size_t kMaximumEpochs = 4;
/** Maximum of deadlines and drain times. */
constexpr core::milliseconds kMaximumDeadline{24 * 3600 * 1000};

/** Rules that a set can violate. */
enum class violation {
  invalid_id,
  duplicate_id,
  unknown_model,
  no_version,
  duplicate_version,
  default_version_not_listed,
  deadline_out_of_range,
  invalid_address,
  invalid_port,
  unknown_service,
  too_many_epochs,
  epochs_not_ascending,
  no_member,
  duplicate_member,
  unknown_member,
  unknown_endpoint,
  stop_ends_before_start,
  drain_out_of_range,
};

/** Returns the stable name of a violation, for dumps and tests. */
std::string_view ToString(violation kind);

/** One violation of a rule. */
struct finding {
  violation kind = violation::invalid_id;
  /** The record concerned, such as `adapter straps`. */
  std::string subject;
  /** Description of the violation in one sentence. */
  std::string message;
};

/**
 * Checks a set against every rule.
 *
 * Only members of a service's newest ownership epoch must be endpoints of the
 * service; members of older epochs may have left the fleet.
 * @returns all violations, in record order within each check; empty for a
 * valid set.
 */
std::vector<finding> Validate(const configuration& set);

/** Thrown for a set with at least one violation. */
class validation_error : public core::error {
 public:
  explicit validation_error(std::vector<finding> findings);
  const std::vector<finding>& Findings() const { return findings_; }

 private:
  std::vector<finding> findings_;
};

}  // namespace comfreyspring::config

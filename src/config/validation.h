#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "core/error.h"

namespace comfreyspring::config {

/** Longest id; ids travel in every request and in log lines. */
constexpr std::size_t kMaximumIdBytes = 200;
/** Ownership epochs kept per service. */
constexpr std::size_t kMaximumEpochs = 4;
/** Longest deadline and longest drain that a set may ask for. */
constexpr core::milliseconds kMaximumDeadline{24 * 3600 * 1000};

/** What a set can break. */
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

/** Fixed name of a violation, for dumps and tests. */
std::string_view ToString(violation kind);

/** One broken rule. */
struct finding {
  violation kind = violation::invalid_id;
  /** Record it concerns, such as `adapter straps`. */
  std::string subject;
  /** What is wrong, in one sentence. */
  std::string message;
};

/**
 * Checks a whole set against every rule.
 *
 * Members of older ownership epochs may have left the fleet; only members of
 * the newest epoch must be endpoints of the service.
 * @returns every broken rule, in the order of the records.
 */
std::vector<finding> Validate(const configuration& set);

/** A set that breaks at least one rule. */
class validation_error : public core::error {
 public:
  explicit validation_error(std::vector<finding> findings);
  const std::vector<finding>& Findings() const { return findings_; }

 private:
  std::vector<finding> findings_;
};

}  // namespace comfreyspring::config

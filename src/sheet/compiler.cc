#include "sheet/compiler.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "config/validation.h"
#include "sheet/checker.h"
#include "sheet/csv.h"

namespace comfreyspring::sheet {
namespace {

/** Length of the longest matching pattern that sets each value. */
struct matched_pattern_lengths {
  std::size_t priority_length = 0;
  std::size_t deadline_length = 0;
};

void ApplyRules(const sheet_contents& sheet, const sheet_adapter& adapter,
                config::adapter_record& record) {
  matched_pattern_lengths best;
  for (const auto& item : sheet.rules) {
    const sheet_rule& rule = item.record;
    if (!rule.Matches(adapter.adapter)) continue;
    const std::size_t length = rule.pattern.size();
    if (rule.priority && length > best.priority_length) {
      best.priority_length = length;
      record.priority = *rule.priority;
    }
    if (rule.deadline && length > best.deadline_length) {
      best.deadline_length = length;
      record.deadline = *rule.deadline;
    }
  }
  if (adapter.priority) record.priority = *adapter.priority;
  if (adapter.deadline) record.deadline = *adapter.deadline;
}

config::adapter_record CompileAdapter(const sheet_contents& sheet,
                                      const sheet_adapter& adapter) {
  config::adapter_record record;
  record.adapter = adapter.adapter;
  record.model = adapter.model;
  record.versions = adapter.versions;
  record.default_version = adapter.default_version;
  ApplyRules(sheet, adapter, record);
  return record;
}

std::vector<core::endpoint_id> Members(const fleet_contents& fleet,
                                       const core::service_id& service) {
  std::vector<core::endpoint_id> members;
  for (const auto& item : fleet.endpoints) {
    if (item.record.kind == core::endpoint_kind::plain_service &&
        item.record.service == service) {
      members.push_back(item.record.endpoint);
    }
  }
  std::sort(members.begin(), members.end());
  return members;
}

std::vector<config::ownership_epoch> CompileEpochs(
    const std::vector<core::endpoint_id>& members,
    const config::service_record* previous, bool is_first_set,
    std::int64_t published_ms) {
  std::vector<config::ownership_epoch> epochs;
  if (previous != nullptr) epochs = previous->epochs;
  if (!epochs.empty()) {
    std::vector<core::endpoint_id> last = epochs.back().members;
    std::sort(last.begin(), last.end());
    if (last == members) return epochs;
  }
  const std::int64_t number = epochs.empty() ? 1 : epochs.back().epoch + 1;
  // Only the first configuration skips the delay: a service that is missing
  // from the previous one may have been in an earlier one.
  const std::int64_t delay_ms =
      is_first_set ? 0 : core::ToMilliseconds(kEpochDelay).count();
  std::int64_t effective_ms = published_ms + delay_ms;
  if (!epochs.empty()) {
    effective_ms = std::max(effective_ms, epochs.back().effective_from_ms);
  }
  epochs.push_back({number, effective_ms, members});
  if (epochs.size() > config::kMaximumEpochs) epochs.erase(epochs.begin());
  return epochs;
}

void AddValidationIssues(const checked_input& input,
                         std::vector<issue>& issues) {
  const config::configuration set = Compile(input, nullptr, {});
  for (const config::finding& found : config::Validate(set)) {
    issues.push_back({input.sheet.file, 0, "", "",
                      found.subject + ": " + found.message,
                      "Correct the rows that refer to it."});
  }
}

}  // namespace

checked_input CheckInput(const source_file& sheet, const source_file& fleet) {
  checked_input input;
  std::vector<issue>& issues = input.issues;
  input.sheet = ReadSheet(ParseCsv(sheet.name, sheet.text, issues), issues);
  input.fleet = ReadFleet(ParseCsv(fleet.name, fleet.text, issues), issues);
  CheckConsistency(input.sheet, input.fleet, issues);
  if (!HasErrors(issues)) AddValidationIssues(input, issues);
  std::stable_sort(issues.begin(), issues.end(),
                   [&sheet](const issue& left, const issue& right) {
                     const bool is_left_first = left.file == sheet.name;
                     const bool is_right_first = right.file == sheet.name;
                     if (is_left_first != is_right_first) return is_left_first;
                     return left.row < right.row;
                   });
  return input;
}

config::configuration Compile(const checked_input& input,
                              const config::configuration* previous,
                              const compile_options& options) {
  assert(!HasErrors(input.issues));
  config::configuration set;
  const std::uint64_t next =
      previous == nullptr ? 1 : previous->version.generation + 1;
  set.version.generation = std::max(next, options.generation.value_or(0));
  set.published_ms = core::UnixMilliseconds(options.now);
  for (const auto& item : input.sheet.models) {
    set.models.push_back(item.record);
  }
  for (const auto& item : input.sheet.adapters) {
    set.adapters.push_back(CompileAdapter(input.sheet, item.record));
  }
  for (const auto& item : input.fleet.endpoints) {
    set.endpoints.push_back(item.record);
  }
  for (const auto& item : input.sheet.services) {
    config::service_record service = item.record;
    service.epochs = CompileEpochs(
        Members(input.fleet, service.service),
        previous == nullptr ? nullptr : previous->FindService(service.service),
        previous == nullptr, set.published_ms);
    set.services.push_back(std::move(service));
  }
  for (const auto& item : input.sheet.stops) set.stops.push_back(item.record);
  set.Index();
  return set;
}

}  // namespace comfreyspring::sheet

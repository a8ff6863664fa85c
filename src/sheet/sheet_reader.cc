#include "sheet/sheet_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "config/validation.h"
#include "sheet/row_reader.h"

namespace comfreyspring::sheet {
namespace {

using columns = std::vector<std::string>;

constexpr std::int64_t kSecondsPerDay = 24 * 3600;

const columns kSheetColumns = {
    "record",    "name",     "model",        "versions",   "default_version",
    "pattern",   "priority", "deadline_ms",  "repeatable", "endpoint",
    "starts_at", "ends_at",  "drain_seconds"};
const columns kFleetColumns = {"endpoint",    "vm",      "kind",
                               "data_centre", "address", "agent_port",
                               "model",       "service", "checks_fencing"};

std::string Join(const columns& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

void CheckColumns(const csv_table& table, const columns& known,
                  const columns& required, std::vector<issue>& issues) {
  const auto has = [](const columns& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  for (const std::string& column : table.header) {
    if (column.empty() || has(known, column)) continue;
    issues.push_back(
        {table.file, 1, column, column, "Unknown column.",
         "Use only the columns " + Join(known) + ", separated by commas."});
  }
  for (const std::string& column : required) {
    if (table.header.empty() || has(table.header, column)) continue;
    issues.push_back({table.file, 1, column, "", "The column is missing.",
                      "Add the column " + column + "."});
  }
}

std::optional<core::milliseconds> Deadline(row_reader& row) {
  const auto value =
      row.Integer("deadline_ms", 1, config::kMaximumDeadline.count());
  if (!value) return std::nullopt;
  return core::milliseconds(*value);
}

void ReadModel(row_reader& row, sheet_contents& contents) {
  row.RejectOtherColumns({"record", "name"});
  const std::string name = row.Id("name", "Name the model.");
  contents.models.push_back({core::model_id(name), row.RowNumber()});
}

std::vector<core::version_id> ReadVersions(row_reader& row) {
  std::vector<core::version_id> versions;
  std::istringstream words(
      row.Required("versions", "List at least one version."));
  for (std::string word; words >> word;) {
    if (!IsId(word)) {
      row.AddError("versions", "'" + word + "' is not a valid version id.",
                   "Separate versions with spaces; do not use '@' or '/'.");
    } else if (std::find(versions.begin(), versions.end(),
                         core::version_id(word)) != versions.end()) {
      row.AddError("versions", "'" + word + "' is listed twice.",
                   "List each version once.");
    } else {
      versions.emplace_back(word);
    }
  }
  return versions;
}

void ReadAdapter(row_reader& row, sheet_contents& contents) {
  row.RejectOtherColumns({"record", "name", "model", "versions",
                          "default_version", "priority", "deadline_ms"});
  sheet_adapter adapter;
  adapter.adapter = core::adapter_id(row.Id("name", "Name the adapter."));
  adapter.model =
      core::model_id(row.Required("model", "Name the adapter's base model."));
  adapter.versions = ReadVersions(row);
  adapter.default_version = core::version_id(row.Required(
      "default_version",
      "Name the version used by requests that do not specify one."));
  adapter.priority = row.Priority("priority");
  adapter.deadline = Deadline(row);
  if (!adapter.default_version.empty() && !adapter.versions.empty() &&
      std::find(adapter.versions.begin(), adapter.versions.end(),
                adapter.default_version) == adapter.versions.end()) {
    row.AddError(
        "default_version", "The version is not listed in the column versions.",
        "Use one of the listed versions, or add this one to versions.");
  }
  contents.adapters.push_back({std::move(adapter), row.RowNumber()});
}

void ReadRule(row_reader& row, sheet_contents& contents) {
  row.RejectOtherColumns({"record", "pattern", "priority", "deadline_ms"});
  sheet_rule rule;
  rule.pattern = row.Required(
      "pattern", "Use an adapter name, or a prefix followed by *.");
  rule.priority = row.Priority("priority");
  rule.deadline = Deadline(row);
  if (rule.pattern.find('*') < rule.pattern.size() - 1) {
    row.AddError("pattern", "'*' is not the last character.",
                 "Use '*' only as the last character.");
  }
  if (row.Text("priority").empty() && row.Text("deadline_ms").empty()) {
    row.AddError("priority", "The rule sets neither priority nor deadline_ms.",
                 "Set priority, deadline_ms or both.");
  }
  contents.rules.push_back({std::move(rule), row.RowNumber()});
}

void ReadService(row_reader& row, sheet_contents& contents) {
  row.RejectOtherColumns(
      {"record", "name", "repeatable", "priority", "deadline_ms"});
  config::service_record service;
  service.service = core::service_id(row.Id("name", "Name the service."));
  row.Required("repeatable", "Use yes, or no if a call must run at most once.");
  service.repeatable = row.YesNo("repeatable").value_or(false);
  service.priority = row.Priority("priority").value_or(service.priority);
  service.deadline = Deadline(row).value_or(service.deadline);
  contents.services.push_back({std::move(service), row.RowNumber()});
}

void ReadStop(row_reader& row, sheet_contents& contents) {
  row.RejectOtherColumns(
      {"record", "endpoint", "starts_at", "ends_at", "drain_seconds"});
  config::planned_stop stop;
  stop.endpoint =
      core::endpoint_id(row.Required("endpoint", "Name the endpoint to stop."));
  const auto starts = row.Time("starts_at");
  const auto ends = row.Time("ends_at");
  stop.drain = core::seconds(row.Integer("drain_seconds", 0, kSecondsPerDay)
                                 .value_or(stop.drain.count()));
  if (!starts || !ends) return;
  if (*ends <= *starts) {
    row.AddError("ends_at", "The stop does not end after its start.",
                 "Use a time after starts_at.");
  }
  stop.starts_at = *starts;
  stop.ends_at = *ends;
  contents.stops.push_back({std::move(stop), row.RowNumber()});
}

bool IsAddress(const std::string& text) {
  in6_addr buffer{};
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

void ReadEndpointKind(row_reader& row, config::endpoint_record& endpoint) {
  const std::string kind = row.Required("kind", "Use engine or plain_service.");
  columns used = {"endpoint",    "vm",      "kind",
                  "data_centre", "address", "agent_port"};
  if (kind == "engine") {
    used.insert(used.end(), {"model", "checks_fencing"});
    endpoint.kind = core::endpoint_kind::engine;
    endpoint.model =
        core::model_id(row.Required("model", "Name the engine's base model."));
    endpoint.checks_fencing = row.YesNo("checks_fencing").value_or(false);
  } else if (kind == "plain_service") {
    used.emplace_back("service");
    endpoint.kind = core::endpoint_kind::plain_service;
    endpoint.service = core::service_id(row.Required(
        "service", "Name the service that the endpoint provides."));
  } else {
    if (!kind.empty()) {
      row.AddError("kind", "Unknown endpoint kind.",
                   "Use engine or plain_service.");
    }
    return;
  }
  row.RejectOtherColumns(used);
}

void ReadEndpoint(row_reader& row, fleet_contents& contents) {
  config::endpoint_record endpoint;
  endpoint.endpoint =
      core::endpoint_id(row.Id("endpoint", "Name the endpoint."));
  endpoint.vm = core::vm_id(row.Id("vm", "Name the endpoint's VM."));
  endpoint.data_centre =
      core::data_centre_id(row.Id("data_centre", "Name the data centre."));
  endpoint.address = row.Required("address", "Enter the VM's IP address.");
  if (!endpoint.address.empty() && !IsAddress(endpoint.address)) {
    row.AddError("address", "Invalid IP address.",
                 "Use an IPv4 or IPv6 address; host names are not resolved.");
  }
  row.Required("agent_port", "Enter the port that the agent listens on.");
  endpoint.agent_port = static_cast<std::uint16_t>(
      row.Integer("agent_port", 1, 65535).value_or(0));
  ReadEndpointKind(row, endpoint);
  contents.endpoints.push_back({std::move(endpoint), row.RowNumber()});
}

void ReadSheetRow(row_reader& row, sheet_contents& contents) {
  const std::string remedy = "Use model, adapter, rule, service or stop.";
  const std::string kind = row.Required("record", remedy);
  if (kind == "model") {
    ReadModel(row, contents);
  } else if (kind == "adapter") {
    ReadAdapter(row, contents);
  } else if (kind == "rule") {
    ReadRule(row, contents);
  } else if (kind == "service") {
    ReadService(row, contents);
  } else if (kind == "stop") {
    ReadStop(row, contents);
  } else if (!kind.empty()) {
    row.AddError("record", "Unknown record type.", remedy);
  }
}

bool HasColumn(const csv_table& table, const std::string& column) {
  return std::find(table.header.begin(), table.header.end(), column) !=
         table.header.end();
}

}  // namespace

bool sheet_rule::Matches(const core::adapter_id& adapter) const {
  if (pattern.empty() || pattern.back() != '*') {
    return adapter.Value() == pattern;
  }
  return adapter.Value().compare(0, pattern.size() - 1, pattern, 0,
                                 pattern.size() - 1) == 0;
}

sheet_contents ReadSheet(const csv_table& table, std::vector<issue>& issues) {
  sheet_contents contents;
  contents.file = table.file;
  CheckColumns(table, kSheetColumns, {"record"}, issues);
  if (!HasColumn(table, "record")) return contents;
  for (const csv_row& cells : table.rows) {
    row_reader row(table, cells, issues);
    ReadSheetRow(row, contents);
  }
  return contents;
}

fleet_contents ReadFleet(const csv_table& table, std::vector<issue>& issues) {
  fleet_contents contents;
  contents.file = table.file;
  const columns required = {"endpoint",    "vm",      "kind",
                            "data_centre", "address", "agent_port"};
  CheckColumns(table, kFleetColumns, required, issues);
  const bool is_complete = std::all_of(
      required.begin(), required.end(),
      [&table](const auto& column) { return HasColumn(table, column); });
  if (!is_complete) return contents;
  for (const csv_row& cells : table.rows) {
    row_reader row(table, cells, issues);
    ReadEndpoint(row, contents);
  }
  return contents;
}

}  // namespace comfreyspring::sheet

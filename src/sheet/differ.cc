#include "sheet/differ.h"

#include <map>
#include <utility>

#include "sheet/row_reader.h"

namespace comfreyspring::sheet {
namespace {

/** Names and values of a record's fields, in a fixed order. */
using field_list = std::vector<std::pair<std::string, std::string>>;

template <class Id>
std::string Join(const std::vector<Id>& ids) {
  std::string text;
  for (const Id& id : ids) text += (text.empty() ? "" : " ") + id.Value();
  return text;
}

std::string Text(core::milliseconds value) {
  return std::to_string(value.count());
}

std::string YesNo(bool value) { return value ? "yes" : "no"; }

field_list Fields(const config::adapter_record& record) {
  return {{"model", record.model.Value()},
          {"versions", Join(record.versions)},
          {"default_version", record.default_version.Value()},
          {"priority", std::string(core::ToString(record.priority))},
          {"deadline_ms", Text(record.deadline)}};
}

field_list Fields(const config::endpoint_record& record) {
  return {{"vm", record.vm.Value()},
          {"kind", std::string(core::ToString(record.kind))},
          {"data_centre", record.data_centre.Value()},
          {"address", record.address},
          {"agent_port", std::to_string(record.agent_port)},
          {"model", record.model.Value()},
          {"service", record.service.Value()},
          {"checks_fencing", YesNo(record.checks_fencing)}};
}

field_list Fields(const config::service_record& record) {
  field_list fields = {
      {"repeatable", YesNo(record.repeatable)},
      {"priority", std::string(core::ToString(record.priority))},
      {"deadline_ms", Text(record.deadline)}};
  if (!record.epochs.empty()) {
    const config::ownership_epoch& last = record.epochs.back();
    fields.emplace_back("ownership_epoch", std::to_string(last.epoch));
    fields.emplace_back("members", Join(last.members));
  }
  return fields;
}

field_list Fields(const config::planned_stop& record) {
  return {{"ends_at", FormatUtcTime(record.ends_at)},
          {"drain_seconds", std::to_string(record.drain.count())}};
}

/** Records of a configuration by type and name. */
std::map<std::string, field_list> Records(const config::configuration& set) {
  std::map<std::string, field_list> records;
  for (const core::model_id& model : set.models) {
    records["model " + model.Value()] = {};
  }
  for (const config::adapter_record& record : set.adapters) {
    records["adapter " + record.adapter.Value()] = Fields(record);
  }
  for (const config::endpoint_record& record : set.endpoints) {
    records["endpoint " + record.endpoint.Value()] = Fields(record);
  }
  for (const config::service_record& record : set.services) {
    records["service " + record.service.Value()] = Fields(record);
  }
  for (const config::planned_stop& record : set.stops) {
    records["stop " + record.endpoint.Value() + " at " +
            FormatUtcTime(record.starts_at)] = Fields(record);
  }
  return records;
}

std::string Changes(const field_list& before, const field_list& after) {
  const std::map<std::string, std::string> old(before.begin(), before.end());
  std::string text;
  for (const auto& [name, value] : after) {
    const auto found = old.find(name);
    const std::string old_value = found == old.end() ? "" : found->second;
    if (old_value == value) continue;
    text += (text.empty() ? "" : ", ") + name + " '" + old_value + "' -> '" +
            value + "'";
  }
  return text;
}

}  // namespace

std::vector<std::string> Diff(const config::configuration& before,
                              const config::configuration& after) {
  const auto old_records = Records(before);
  const auto new_records = Records(after);
  std::vector<std::string> lines;
  for (const auto& [name, fields] : old_records) {
    if (new_records.count(name) == 0) lines.push_back("- " + name);
  }
  for (const auto& [name, fields] : new_records) {
    const auto old = old_records.find(name);
    if (old == old_records.end()) {
      lines.push_back("+ " + name);
      continue;
    }
    const std::string changes = Changes(old->second, fields);
    if (!changes.empty()) lines.push_back("~ " + name + ": " + changes);
  }
  return lines;
}

}  // namespace comfreyspring::sheet

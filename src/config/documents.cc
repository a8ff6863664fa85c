#include "config/documents.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/validation.h"
#include "core/hash.h"
#include "core/json_parser.h"
#include "core/text.h"

namespace comfreyspring::config {
namespace {

using nlohmann::json;

// A change of one record replaces one part of about this many records, which
// keeps the data relayed per change near 64 KB at 28,000 adapters.
constexpr std::size_t kRecordsPerPart = 512;
// Last second of the year 9999; many calendar functions fail on later times.
constexpr std::int64_t kMaximumUnixMs = 253402300799000;

[[noreturn]] void Fail(document_fault kind, const std::string& message) {
  throw document_error(kind, message);
}

std::int64_t ReadInteger(const json& in, const char* field, std::int64_t low,
                         std::int64_t high) {
  const json& value = in.at(field);
  const bool is_too_large =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (!value.is_number_integer() || is_too_large ||
      value.get<std::int64_t>() < low || value.get<std::int64_t>() > high) {
    Fail(document_fault::out_of_range,
         "field '" + std::string(field) + "' must be an integer from " +
             std::to_string(low) + " to " + std::to_string(high));
  }
  return value.get<std::int64_t>();
}

template <class Id>
Id ReadId(const json& in, const char* field) {
  return Id(in.at(field).get<std::string>());
}

template <class Id>
std::vector<Id> ReadIds(const json& in, const char* field) {
  std::vector<Id> ids;
  const json& list = in.at(field);
  if (!list.is_array()) {
    Fail(document_fault::malformed,
         "field '" + std::string(field) + "' must be an array");
  }
  for (const json& item : list) ids.emplace_back(item.get<std::string>());
  return ids;
}

template <class Id>
json WriteIds(const std::vector<Id>& ids) {
  json list = json::array();
  for (const Id& id : ids) list.push_back(id.Value());
  return list;
}

core::milliseconds ReadDeadline(const json& in) {
  return core::milliseconds(
      ReadInteger(in, "deadline_ms", 1, kMaximumDeadline.count()));
}

// Records. Each part kind has one Write and one Read overload; the last
// parameter of Read only selects the overload.

json Write(const core::model_id& record) { return record.Value(); }

void Read(const json& in, configuration& set, const core::model_id*) {
  set.models.emplace_back(in.get<std::string>());
}

json Write(const adapter_record& record) {
  return {{"adapter", record.adapter.Value()},
          {"model", record.model.Value()},
          {"versions", WriteIds(record.versions)},
          {"default", record.default_version.Value()},
          {"priority", std::string(core::ToString(record.priority))},
          {"deadline_ms", record.deadline.count()}};
}

void Read(const json& in, configuration& set, const adapter_record*) {
  adapter_record record;
  record.adapter = ReadId<core::adapter_id>(in, "adapter");
  record.model = ReadId<core::model_id>(in, "model");
  record.versions = ReadIds<core::version_id>(in, "versions");
  record.default_version = ReadId<core::version_id>(in, "default");
  record.priority =
      core::ParsePriorityClass(in.at("priority").get<std::string>());
  record.deadline = ReadDeadline(in);
  set.adapters.push_back(std::move(record));
}

json Write(const endpoint_record& record) {
  json out = {{"endpoint", record.endpoint.Value()},
              {"vm", record.vm.Value()},
              {"kind", std::string(core::ToString(record.kind))},
              {"data_centre", record.data_centre.Value()},
              {"address", record.address},
              {"agent_port", record.agent_port}};
  if (record.kind == core::endpoint_kind::engine) {
    out["model"] = record.model.Value();
    out["checks_fencing"] = record.checks_fencing;
  } else {
    out["service"] = record.service.Value();
  }
  return out;
}

void Read(const json& in, configuration& set, const endpoint_record*) {
  endpoint_record record;
  record.endpoint = ReadId<core::endpoint_id>(in, "endpoint");
  record.vm = ReadId<core::vm_id>(in, "vm");
  record.kind = core::ParseEndpointKind(in.at("kind").get<std::string>());
  record.data_centre = ReadId<core::data_centre_id>(in, "data_centre");
  record.address = in.at("address").get<std::string>();
  record.agent_port =
      static_cast<std::uint16_t>(ReadInteger(in, "agent_port", 1, 65535));
  if (record.kind == core::endpoint_kind::engine) {
    record.model = ReadId<core::model_id>(in, "model");
    record.checks_fencing = in.at("checks_fencing").get<bool>();
  } else {
    record.service = ReadId<core::service_id>(in, "service");
  }
  set.endpoints.push_back(std::move(record));
}

json Write(const service_record& record) {
  json epochs = json::array();
  for (const ownership_epoch& epoch : record.epochs) {
    epochs.push_back({{"epoch", epoch.epoch},
                      {"effective_from_ms", epoch.effective_from_ms},
                      {"members", WriteIds(epoch.members)}});
  }
  return {{"service", record.service.Value()},
          {"repeatable", record.repeatable},
          {"priority", std::string(core::ToString(record.priority))},
          {"deadline_ms", record.deadline.count()},
          {"epochs", std::move(epochs)}};
}

void Read(const json& in, configuration& set, const service_record*) {
  service_record record;
  record.service = ReadId<core::service_id>(in, "service");
  record.repeatable = in.at("repeatable").get<bool>();
  record.priority =
      core::ParsePriorityClass(in.at("priority").get<std::string>());
  record.deadline = ReadDeadline(in);
  for (const json& item : in.at("epochs")) {
    ownership_epoch epoch;
    epoch.epoch = ReadInteger(item, "epoch", 0, kMaximumUnixMs);
    epoch.effective_from_ms =
        ReadInteger(item, "effective_from_ms", 0, kMaximumUnixMs);
    epoch.members = ReadIds<core::endpoint_id>(item, "members");
    record.epochs.push_back(std::move(epoch));
  }
  set.services.push_back(std::move(record));
}

json Write(const planned_stop& record) {
  return {{"endpoint", record.endpoint.Value()},
          {"starts_at_ms", core::UnixMilliseconds(record.starts_at)},
          {"ends_at_ms", core::UnixMilliseconds(record.ends_at)},
          {"drain_seconds", record.drain.count()}};
}

void Read(const json& in, configuration& set, const planned_stop*) {
  planned_stop record;
  record.endpoint = ReadId<core::endpoint_id>(in, "endpoint");
  record.starts_at = core::WallTimeFromUnix(
      ReadInteger(in, "starts_at_ms", 0, kMaximumUnixMs));
  record.ends_at =
      core::WallTimeFromUnix(ReadInteger(in, "ends_at_ms", 0, kMaximumUnixMs));
  record.drain = core::seconds(
      ReadInteger(in, "drain_seconds", 0, kMaximumDeadline.count() / 1000));
  set.stops.push_back(std::move(record));
}

// Parts.

const std::string& KeyOf(const core::model_id& model) { return model.Value(); }
const std::string& KeyOf(const adapter_record& record) {
  return record.adapter.Value();
}
const std::string& KeyOf(const endpoint_record& record) {
  return record.endpoint.Value();
}
const std::string& KeyOf(const service_record& record) {
  return record.service.Value();
}
const std::string& KeyOf(const planned_stop& record) {
  return record.endpoint.Value();
}

/** Returns a power of 2, so that records seldom change parts as a set grows. */
std::size_t PartCount(std::size_t records) {
  std::size_t count = 1;
  while (count * kRecordsPerPart < records) count *= 2;
  return count;
}

template <class Record>
void AddParts(const char* kind, std::vector<Record> records,
              document_set& documents, manifest& set_manifest) {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& left, const Record& right) {
                     return KeyOf(left) < KeyOf(right);
                   });
  std::vector<json> groups(PartCount(records.size()), json::array());
  for (const Record& record : records) {
    groups[core::Hash64(KeyOf(record)) % groups.size()].push_back(
        Write(record));
  }
  for (json& group : groups) {
    if (group.empty()) continue;
    std::string bytes =
        json{{"kind", kind}, {"records", std::move(group)}}.dump();
    if (bytes.size() > kMaximumPartBytes) {
      Fail(document_fault::too_large,
           "a part of kind '" + std::string(kind) + "' has " +
               std::to_string(bytes.size()) + " bytes; the limit is " +
               std::to_string(kMaximumPartBytes));
    }
    const std::uint64_t hash = core::Hash64(bytes);
    set_manifest.parts.push_back({hash, bytes.size()});
    documents.parts.emplace(hash, std::move(bytes));
  }
}

template <class Record>
void ReadRecords(const json& records, configuration& set) {
  if (!records.is_array()) {
    Fail(document_fault::malformed, "field 'records' must be an array");
  }
  const Record* tag = nullptr;
  for (const json& record : records) Read(record, set, tag);
}

void ReadPart(const std::string& bytes, configuration& set) {
  const json part = core::TryParseJson(bytes);
  const auto kind = part.at("kind").get<std::string>();
  const json& records = part.at("records");
  if (kind == "models") return ReadRecords<core::model_id>(records, set);
  if (kind == "adapters") return ReadRecords<adapter_record>(records, set);
  if (kind == "endpoints") return ReadRecords<endpoint_record>(records, set);
  if (kind == "services") return ReadRecords<service_record>(records, set);
  if (kind == "stops") return ReadRecords<planned_stop>(records, set);
  Fail(document_fault::unknown_kind, "part kind '" + kind + "' is unknown");
}

json ManifestFields(const manifest& value) {
  json parts = json::array();
  for (const part_reference& part : value.parts) {
    parts.push_back({{"key", PartKey(part.hash)},
                     {"hash", HashText(part.hash)},
                     {"bytes", part.bytes}});
  }
  return {{"format", kDocumentFormat},
          {"generation", value.generation},
          {"published_ms", value.published_ms},
          {"parts", std::move(parts)}};
}

manifest ReadManifest(const json& in) {
  if (in.at("format") != kDocumentFormat) {
    Fail(document_fault::unknown_format,
         "manifest format " + in.at("format").dump() + " is unknown");
  }
  manifest value;
  value.generation = static_cast<std::uint64_t>(ReadInteger(
      in, "generation", 1, std::numeric_limits<std::int64_t>::max()));
  value.published_ms = ReadInteger(in, "published_ms", 0, kMaximumUnixMs);
  for (const json& item : in.at("parts")) {
    part_reference part;
    part.hash = ParseHashText(item.at("hash").get<std::string>());
    part.bytes = static_cast<std::size_t>(
        ReadInteger(item, "bytes", 1, kMaximumPartBytes));
    value.parts.push_back(part);
  }
  return value;
}

void CheckLimits(const manifest& value) {
  std::size_t total = 0;
  std::set<std::uint64_t> hashes;
  for (const part_reference& part : value.parts) {
    total += part.bytes;
    if (!hashes.insert(part.hash).second) {
      Fail(document_fault::duplicate_part,
           "part " + HashText(part.hash) + " is listed twice");
    }
  }
  if (value.parts.size() > kMaximumParts || total > kMaximumSetBytes) {
    Fail(document_fault::too_large,
         "the set has " + std::to_string(value.parts.size()) + " parts and " +
             std::to_string(total) + " bytes; the limits are " +
             std::to_string(kMaximumParts) + " and " +
             std::to_string(kMaximumSetBytes));
  }
}

void CheckPart(const part_reference& part, const std::string* bytes) {
  if (bytes == nullptr) {
    Fail(document_fault::missing_part,
         "part " + HashText(part.hash) + " is missing");
  }
  if (bytes->size() != part.bytes) {
    Fail(document_fault::size_mismatch,
         "part " + HashText(part.hash) + " has " +
             std::to_string(bytes->size()) + " bytes; the manifest specifies " +
             std::to_string(part.bytes));
  }
  if (core::Hash64(*bytes) != part.hash) {
    Fail(document_fault::hash_mismatch,
         "part " + HashText(part.hash) + " does not match its hash");
  }
}

template <class Record>
void Append(const std::vector<Record>& from, std::vector<Record>& to) {
  to.insert(to.end(), from.begin(), from.end());
}

void AppendAll(const configuration& part, configuration& set) {
  Append(part.models, set.models);
  Append(part.adapters, set.adapters);
  Append(part.endpoints, set.endpoints);
  Append(part.services, set.services);
  Append(part.stops, set.stops);
}

}  // namespace

std::string HashText(std::uint64_t hash) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[hash & 0xf];
    hash >>= 4;
  }
  return text;
}

std::uint64_t ParseHashText(std::string_view text) {
  std::uint64_t hash = 0;
  bool is_valid = text.size() == 16;
  for (const char digit : text) {
    const bool is_number = core::IsDigit(digit);
    is_valid = is_valid && (is_number || (digit >= 'a' && digit <= 'f'));
    hash = (hash << 4) | static_cast<std::uint64_t>(
                             is_number ? digit - '0' : digit - 'a' + 10);
  }
  if (!is_valid) {
    Fail(document_fault::malformed,
         "hash '" + std::string(text) + "' is not 16 hexadecimal digits");
  }
  return hash;
}

std::string PartKey(std::uint64_t hash) { return "part/" + HashText(hash); }

std::string EncodeManifest(const manifest& value) {
  json fields = ManifestFields(value);
  fields["checksum"] = HashText(core::Hash64(fields.dump()));
  return fields.dump();
}

manifest DecodeManifest(std::string_view bytes) {
  if (bytes.size() > kMaximumPartBytes) {
    Fail(document_fault::too_large,
         "the manifest exceeds the size limit of a stored value");
  }
  try {
    manifest value = ReadManifest(core::TryParseJson(bytes));
    CheckLimits(value);
    if (EncodeManifest(value) != bytes) {
      Fail(document_fault::checksum_mismatch,
           "the manifest does not match its checksum");
    }
    return value;
  } catch (const json::exception& failure) {
    Fail(document_fault::malformed,
         std::string("the manifest cannot be decoded: ") + failure.what());
  }
}

core::config_version VersionOf(const manifest& value, std::string_view bytes) {
  return {value.generation, core::Hash64(bytes)};
}

document_set EncodeSet(const configuration& set) {
  document_set documents;
  manifest set_manifest;
  set_manifest.generation = set.version.generation;
  set_manifest.published_ms = set.published_ms;
  try {
    AddParts("models", set.models, documents, set_manifest);
    AddParts("services", set.services, documents, set_manifest);
    AddParts("endpoints", set.endpoints, documents, set_manifest);
    AddParts("stops", set.stops, documents, set_manifest);
    AddParts("adapters", set.adapters, documents, set_manifest);
  } catch (const json::exception& failure) {
    Fail(document_fault::malformed,
         std::string("a record cannot be encoded: ") + failure.what());
  }
  CheckLimits(set_manifest);
  documents.manifest_bytes = EncodeManifest(set_manifest);
  return documents;
}

const configuration& part_cache::Read(std::uint64_t hash,
                                      const std::string& bytes) {
  const auto found = parts_.find(hash);
  if (found != parts_.end()) return found->second;
  configuration part;
  try {
    ReadPart(bytes, part);
  } catch (const json::exception& failure) {
    Fail(document_fault::malformed,
         "part " + HashText(hash) + ": " + failure.what());
  } catch (const core::invalid_value_error& failure) {
    Fail(document_fault::malformed,
         "part " + HashText(hash) + ": " + failure.what());
  }
  return parts_.emplace(hash, std::move(part)).first->second;
}

configuration DecodeSet(std::string_view manifest_bytes,
                        const part_lookup& find_part, part_cache& cache) {
  assert(find_part != nullptr);
  const manifest set_manifest = DecodeManifest(manifest_bytes);
  configuration set;
  set.version = VersionOf(set_manifest, manifest_bytes);
  set.published_ms = set_manifest.published_ms;
  for (const part_reference& part : set_manifest.parts) {
    const std::string* bytes = find_part(part.hash);
    CheckPart(part, bytes);
    AppendAll(cache.Read(part.hash, *bytes), set);
  }
  std::vector<finding> findings = Validate(set);
  if (!findings.empty()) throw validation_error(std::move(findings));
  set.Index();
  return set;
}

configuration DecodeSet(std::string_view manifest_bytes,
                        const part_lookup& find_part) {
  part_cache cache;
  return DecodeSet(manifest_bytes, find_part, cache);
}

}  // namespace comfreyspring::config

#include "wire/codec.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/nesting.h"

namespace nlohmann {

/** Ids are encoded as strings. */
template <class Tag>
struct adl_serializer<comfreyspring::core::strong_id<Tag>> {
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the library.
  static void to_json(json& out,
                      const comfreyspring::core::strong_id<Tag>& value) {
    out = value.Value();
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the library.
  static void from_json(const json& in,
                        comfreyspring::core::strong_id<Tag>& value) {
    value = comfreyspring::core::strong_id<Tag>(in.get<std::string>());
  }
};

/** Durations are encoded as whole milliseconds. */
template <>
struct adl_serializer<comfreyspring::core::milliseconds> {
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the library.
  static void to_json(json& out,
                      const comfreyspring::core::milliseconds& value) {
    out = value.count();
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the library.
  static void from_json(const json& in,
                        comfreyspring::core::milliseconds& value) {
    value = comfreyspring::core::milliseconds(in.get<std::int64_t>());
  }
};

/** Absent optional values are encoded as null. */
template <class Value>
struct adl_serializer<std::optional<Value>> {
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the library.
  static void to_json(json& out, const std::optional<Value>& value) {
    out = value ? json(*value) : json(nullptr);
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the library.
  static void from_json(const json& in, std::optional<Value>& value) {
    if (in.is_null()) {
      value.reset();
    } else {
      value = in.get<Value>();
    }
  }
};

}  // namespace nlohmann

namespace comfreyspring::core {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(token_count, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(adapter_reference, adapter, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_version, generation, manifest_hash)

void to_json(nlohmann::json& out, priority_class value) {
  out = std::string(ToString(value));
}
void from_json(const nlohmann::json& in, priority_class& value) {
  value = ParsePriorityClass(in.get<std::string>());
}
void to_json(nlohmann::json& out, outcome value) {
  out = std::string(ToString(value));
}
void from_json(const nlohmann::json& in, outcome& value) {
  value = ParseOutcome(in.get<std::string>());
}
void to_json(nlohmann::json& out, request_kind value) {
  out = std::string(ToString(value));
}
void from_json(const nlohmann::json& in, request_kind& value) {
  value = ParseRequestKind(in.get<std::string>());
}

}  // namespace comfreyspring::core

namespace comfreyspring::wire {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint_report, running, waiting_urgent,
                                   waiting_may_wait, expected_wait, batch_limit,
                                   draining, endpoint_up, resident,
                                   adapter_rate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hello, process, role, instance_ms,
                                   data_centre, version, vm_list_revision,
                                   report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat, nonce, version, vm_list_revision,
                                   service_read_age_ms, wants_readers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat_reply, nonce, version, report,
                                   service_read_age_ms, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_request, hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vm_entry, vm, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vm_list, revision, vms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_version, endpoint, instance_ms, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_versions, peers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(accepted, attempt, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(refused, attempt, outcome, reason, message,
                                   retry_after, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(withdraw, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(withdrawn, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resume, attempt, next_sequence)

void to_json(nlohmann::json& out, vm_state value) {
  out = value == vm_state::live ? "live" : "leaving";
}
void from_json(const nlohmann::json& in, vm_state& value) {
  const auto text = in.get<std::string>();
  if (text != "live" && text != "leaving") {
    throw core::invalid_value_error("vm state '" + text + "' is not known");
  }
  value = text == "live" ? vm_state::live : vm_state::leaving;
}

void to_json(nlohmann::json& out, const leaving&) {
  out = nlohmann::json::object();
}
void from_json(const nlohmann::json&, leaving&) {}

namespace {

using nlohmann::json;

json BinaryFrom(const std::string& bytes) {
  return json::binary(
      json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string BytesFrom(const json& in) {
  const auto& binary = in.get_binary();
  return {binary.begin(), binary.end()};
}

}  // namespace

// Payloads are encoded as CBOR byte strings because they need not be UTF-8.
void to_json(json& out, const config_part& value) {
  out = {{"manifest", value.manifest},
         {"hash", value.hash},
         {"bytes", BinaryFrom(value.bytes)}};
}
void from_json(const json& in, config_part& value) {
  in.at("manifest").get_to(value.manifest);
  in.at("hash").get_to(value.hash);
  value.bytes = BytesFrom(in.at("bytes"));
}

void to_json(json& out, const chunk& value) {
  out = {{"attempt", value.attempt},
         {"sequence", value.sequence},
         {"data", BinaryFrom(value.data)}};
}
void from_json(const json& in, chunk& value) {
  in.at("attempt").get_to(value.attempt);
  in.at("sequence").get_to(value.sequence);
  value.data = BytesFrom(in.at("data"));
}

void to_json(json& out, const finished& value) {
  out = {{"attempt", value.attempt},   {"chunk_count", value.chunk_count},
         {"checksum", value.checksum}, {"adapter", value.adapter},
         {"status", value.status},     {"content_type", value.content_type},
         {"tokens", value.tokens},     {"report", value.report}};
}
void from_json(const json& in, finished& value) {
  in.at("attempt").get_to(value.attempt);
  in.at("chunk_count").get_to(value.chunk_count);
  in.at("checksum").get_to(value.checksum);
  in.at("adapter").get_to(value.adapter);
  in.at("status").get_to(value.status);
  in.at("content_type").get_to(value.content_type);
  in.at("tokens").get_to(value.tokens);
  in.at("report").get_to(value.report);
}

void to_json(json& out, const submit& value) {
  out = {{"attempt", value.attempt},
         {"kind", value.kind},
         {"adapter", value.adapter},
         {"version", value.version},
         {"priority", value.priority},
         {"remaining", value.remaining},
         {"expires_unix_ms", value.expires_unix_ms},
         {"expected_tokens", value.expected_tokens},
         {"idempotent", value.idempotent},
         {"key", value.key},
         {"ownership_epoch", value.ownership_epoch},
         {"service", value.service},
         {"method", value.method},
         {"path", value.path},
         {"content_type", value.content_type},
         {"body", BinaryFrom(value.body)}};
}
void from_json(const json& in, submit& value) {
  in.at("attempt").get_to(value.attempt);
  in.at("kind").get_to(value.kind);
  in.at("adapter").get_to(value.adapter);
  in.at("version").get_to(value.version);
  in.at("priority").get_to(value.priority);
  in.at("remaining").get_to(value.remaining);
  in.at("expires_unix_ms").get_to(value.expires_unix_ms);
  in.at("expected_tokens").get_to(value.expected_tokens);
  in.at("idempotent").get_to(value.idempotent);
  in.at("key").get_to(value.key);
  in.at("ownership_epoch").get_to(value.ownership_epoch);
  in.at("service").get_to(value.service);
  in.at("method").get_to(value.method);
  in.at("path").get_to(value.path);
  in.at("content_type").get_to(value.content_type);
  value.body = BytesFrom(in.at("body"));
}

namespace {

constexpr const char* kTypeField = "type";
constexpr const char* kFieldsField = "fields";

// Indexed by the position of the type in the variant `message`.
constexpr std::array<const char*, std::variant_size_v<message>> kTypeNames = {
    "hello",       "heartbeat", "heartbeat_reply", "config_request",
    "config_part", "vm_list",   "peer_versions",   "submit",
    "accepted",    "chunk",     "finished",        "refused",
    "withdraw",    "withdrawn", "resume",          "leaving"};

template <std::size_t Index = 0>
message DecodeAs(const std::string& type, const json& fields) {
  if constexpr (Index < std::variant_size_v<message>) {
    if (type == kTypeNames[Index]) {
      return fields.get<std::variant_alternative_t<Index, message>>();
    }
    return DecodeAs<Index + 1>(type, fields);
  } else {
    throw wire_error("message type '" + type + "' is not known");
  }
}

}  // namespace

std::string Encode(const message& value) {
  json frame;
  frame[kTypeField] = kTypeNames[value.index()];
  std::visit([&frame](const auto& fields) { frame[kFieldsField] = fields; },
             value);
  std::string bytes;
  json::to_cbor(frame, bytes);
  return bytes;
}

message Decode(std::string_view frame) {
  std::string type = "unknown";
  if (!core::IsCborNestedWithin(frame, core::kMaximumCborDepth)) {
    throw wire_error("frame is malformed or nested too deeply");
  }
  try {
    const json parsed = json::from_cbor(frame.begin(), frame.end());
    type = parsed.at(kTypeField).get<std::string>();
    return DecodeAs(type, parsed.at(kFieldsField));
  } catch (const json::exception& failure) {
    throw wire_error("frame of type '" + type + "': " + failure.what());
  } catch (const core::invalid_value_error& failure) {
    throw wire_error("frame of type '" + type + "': " + failure.what());
  }
}

}  // namespace comfreyspring::wire

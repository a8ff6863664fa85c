#include "grants/messages.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/overloaded.h"

namespace comfreyspring::grants {
namespace {

using nlohmann::json;

json ToJson(const catalog::adapter_name& name) {
  return json::array({name.model.Value(), name.adapter.Value()});
}

catalog::adapter_name AdapterFrom(const json& value) {
  return {core::model_id(value.at(0).get<std::string>()),
          core::adapter_id(value.at(1).get<std::string>())};
}

core::milliseconds Time(const json& fields, const char* name) {
  return core::milliseconds(fields.at(name).get<std::int64_t>());
}

json ToJson(const engine_status& status, bool with_adapters) {
  json fields = {{"type", "status"},
                 {"serving", status.serving},
                 {"running", status.running},
                 {"waiting", status.waiting},
                 {"batch", status.batch_slots},
                 {"free", status.free_adapter_slots},
                 {"loads", status.loads_waiting},
                 {"reading_wait", status.reading_wait.count()},
                 {"gateways", status.gateways},
                 {"revision", status.adapters_revision}};
  if (with_adapters) {
    json& adapters = fields["adapters"] = json::array();
    for (const auto& name : status.adapters) adapters.push_back(ToJson(name));
  }
  return fields;
}

status_report StatusFrom(const json& fields) {
  status_report report;
  engine_status& status = report.status;
  status.serving = fields.at("serving").get<bool>();
  status.running = fields.at("running").get<std::size_t>();
  status.waiting = fields.at("waiting").get<std::size_t>();
  status.batch_slots = fields.at("batch").get<std::size_t>();
  status.free_adapter_slots = fields.at("free").get<std::size_t>();
  status.loads_waiting = fields.at("loads").get<std::size_t>();
  status.reading_wait = Time(fields, "reading_wait");
  status.gateways = fields.at("gateways").get<std::size_t>();
  status.adapters_revision = fields.at("revision").get<std::uint64_t>();
  const auto adapters = fields.find("adapters");
  if (adapters != fields.end()) {
    report.has_adapters = true;
    for (const json& name : *adapters) {
      status.adapters.push_back(AdapterFrom(name));
    }
  }
  return report;
}

json ToJson(const gateway_hello& hello) {
  json models = json::array();
  for (const auto& model : hello.facts.models) models.push_back(model.Value());
  return {{"type", "hello"},
          {"gateway", hello.gateway.Value()},
          {"batch", hello.facts.batch_slots},
          {"slots", hello.facts.adapter_slots},
          {"cache", hello.facts.cache_tokens},
          {"models", std::move(models)}};
}

gateway_hello HelloFrom(const json& fields) {
  gateway_hello hello;
  hello.gateway = core::process_id(fields.at("gateway").get<std::string>());
  hello.facts.batch_slots = fields.at("batch").get<std::size_t>();
  hello.facts.adapter_slots = fields.at("slots").get<std::size_t>();
  hello.facts.cache_tokens = fields.at("cache").get<std::int64_t>();
  for (const json& model : fields.at("models")) {
    hello.facts.models.emplace_back(model.get<std::string>());
  }
  return hello;
}

grant_wanted WantedFrom(const json& fields) {
  grant_wanted wanted;
  wanted.number = fields.at("number").get<std::uint64_t>();
  wanted.request = fields.at("request").get<std::string>();
  wanted.adapter = AdapterFrom(fields.at("adapter"));
  wanted.minimum_version = fields.at("version").get<std::int64_t>();
  wanted.rank = fields.at("rank").get<int>();
  wanted.prompt_tokens = fields.at("prompt").get<std::int64_t>();
  wanted.output_tokens = fields.at("output").get<std::int64_t>();
  wanted.event_gap = Time(fields, "gap");
  wanted.goal_in = Time(fields, "goal");
  wanted.give_up_in = Time(fields, "give_up");
  return wanted;
}

message FromJson(const json& fields) {
  const auto type = fields.at("type").get<std::string>();
  if (type == "status") return StatusFrom(fields);
  if (type == "hello") return HelloFrom(fields);
  if (type == "pause") return streams_pause{};
  const auto number = fields.at("number").get<std::uint64_t>();
  if (type == "wanted") return WantedFrom(fields);
  if (type == "withdrawn") return grant_withdrawn{number};
  if (type == "started") return run_started{number};
  if (type == "ended") {
    return run_ended{number, fields.at("missing").get<bool>()};
  }
  if (type == "given") {
    return grant_given{number, fields.at("version").get<std::int64_t>(),
                       Time(fields, "load_wait")};
  }
  if (type == "refused") {
    const auto reason =
        ParseRefusalReason(fields.at("reason").get<std::string>());
    if (!reason) throw core::invalid_value_error("unknown refusal reason");
    return grant_refused{number, *reason, Time(fields, "retry_after"),
                         Time(fields, "expected_wait")};
  }
  throw core::invalid_value_error("message of unknown type " + type);
}

}  // namespace

std::string Encode(const message& value) {
  const json fields = std::visit(
      core::overloaded{
          [](const gateway_hello& hello) { return ToJson(hello); },
          [](const grant_wanted& wanted) {
            return json{{"type", "wanted"},
                        {"number", wanted.number},
                        {"request", wanted.request},
                        {"adapter", ToJson(wanted.adapter)},
                        {"version", wanted.minimum_version},
                        {"rank", wanted.rank},
                        {"prompt", wanted.prompt_tokens},
                        {"output", wanted.output_tokens},
                        {"gap", wanted.event_gap.count()},
                        {"goal", wanted.goal_in.count()},
                        {"give_up", wanted.give_up_in.count()}};
          },
          [](const grant_withdrawn& withdrawn) {
            return json{{"type", "withdrawn"}, {"number", withdrawn.number}};
          },
          [](const run_started& started) {
            return json{{"type", "started"}, {"number", started.number}};
          },
          [](const run_ended& ended) {
            return json{{"type", "ended"},
                        {"number", ended.number},
                        {"missing", ended.adapter_missing}};
          },
          [](const streams_pause&) {
            return json{{"type", "pause"}};
          },
          [](const grant_given& given) {
            return json{{"type", "given"},
                        {"number", given.number},
                        {"version", given.version},
                        {"load_wait", given.waited_for_load.count()}};
          },
          [](const grant_refused& refused) {
            return json{{"type", "refused"},
                        {"number", refused.number},
                        {"reason", ToString(refused.reason)},
                        {"retry_after", refused.retry_after.count()},
                        {"expected_wait", refused.expected_wait.count()}};
          },
          [](const status_report& report) {
            return ToJson(report.status, report.has_adapters);
          }},
      value);
  std::string frame;
  json::to_cbor(fields, frame);
  return frame;
}

message Decode(std::string_view frame) {
  try {
    return FromJson(json::from_cbor(frame.begin(), frame.end()));
  } catch (const json::exception& failure) {
    throw core::invalid_value_error(std::string("unreadable message: ") +
                                    failure.what());
  }
}

}  // namespace comfreyspring::grants

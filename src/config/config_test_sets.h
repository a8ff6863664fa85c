#pragma once

#include <string>
#include <utility>

#include "config/configuration.h"
#include "config/documents.h"

namespace comfreyspring::config {

/** Returns a valid set; sets with different labels have different documents. */
inline configuration MakeTestSet(std::uint64_t generation,
                                 const std::string& label,
                                 std::size_t adapter_count = 4) {
  configuration set;
  set.version.generation = generation;
  set.published_ms = 1700000000000 + static_cast<std::int64_t>(generation);
  set.models = {core::model_id("base")};
  for (std::size_t number = 0; number < adapter_count; ++number) {
    set.adapters.push_back(
        {.adapter = core::adapter_id("adapter-" + std::to_string(number)),
         .model = core::model_id("base"),
         .versions = {core::version_id("v1"), core::version_id(label)},
         .default_version = core::version_id(label)});
  }
  set.endpoints.push_back({.endpoint = core::endpoint_id("engine-1"),
                           .vm = core::vm_id("vm-1"),
                           .kind = core::endpoint_kind::engine,
                           .data_centre = core::data_centre_id("porto-a"),
                           .address = "127.0.0.1",
                           .agent_port = 7301,
                           .model = core::model_id("base")});
  set.endpoints.push_back({.endpoint = core::endpoint_id("desk-1"),
                           .vm = core::vm_id("vm-2"),
                           .kind = core::endpoint_kind::plain_service,
                           .data_centre = core::data_centre_id("porto-a"),
                           .address = "127.0.0.1",
                           .agent_port = 7302,
                           .service = core::service_id("orders")});
  set.services.push_back(
      {.service = core::service_id("orders"),
       .repeatable = false,
       .epochs = {{.epoch = 1,
                   .effective_from_ms = 1000,
                   .members = {core::endpoint_id("desk-1")}}}});
  set.stops.push_back({.endpoint = core::endpoint_id("engine-1"),
                       .starts_at = core::WallTimeFromUnix(1700000000000),
                       .ends_at = core::WallTimeFromUnix(1700000600000)});
  return set;
}

/** Returns an invalid set: one default version is not among the versions. */
inline configuration MakeInvalidTestSet(std::uint64_t generation,
                                        const std::string& label) {
  configuration set = MakeTestSet(generation, label);
  set.adapters.back().default_version = core::version_id("absent");
  return set;
}

}  // namespace comfreyspring::config

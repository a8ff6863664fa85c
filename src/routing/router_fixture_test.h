#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "membership/endpoint_directory.h"
#include "routing/request_router.h"

namespace comfreyspring::routing {

/** A directory and a router with a few engines and services. */
class router_fixture {
 public:
  explicit router_fixture(int engines, std::uint64_t seed = 1)
      : directory_(core::milliseconds(60000)),
        router_(router_options{.random_seed = seed}, directory_) {
    auto current = std::make_shared<config::configuration>();
    current->version.generation = 1;
    for (int i = 0; i < engines; ++i) {
      AddEndpoint(*current, "engine-" + std::to_string(i), true);
    }
    for (int i = 0; i < 2; ++i) {
      AddEndpoint(*current, "desk-" + std::to_string(i), false);
    }
    // In effect only while the wall time is between 1,000 and 2,000 ms.
    for (const char* name : {"engine-0", "desk-0"}) {
      current->stops.push_back({core::endpoint_id(name),
                                core::WallTimeFromUnix(1000),
                                core::WallTimeFromUnix(2000)});
    }
    directory_.OnConfiguration(current);
    for (const core::endpoint_id& endpoint : directory_.All()) {
      Hello(endpoint, 1);
    }
  }

  static core::time_point At(std::int64_t ms) {
    return core::time_point(core::milliseconds(ms));
  }
  static wire::endpoint_report Up() {
    return {.batch_limit = 8, .endpoint_up = true};
  }
  static request_attributes Completion(const std::string& request,
                                       std::int64_t deadline_ms = 10000) {
    request_attributes attributes;
    attributes.request = core::request_id(request);
    attributes.model = core::model_id("base");
    attributes.adapter = {core::adapter_id("straps"), core::version_id("v1")};
    attributes.expected_tokens = {100};
    attributes.deadline = At(deadline_ms);
    return attributes;
  }
  static request_attributes Order(const std::string& request,
                                  std::int64_t deadline_ms = 10000) {
    request_attributes attributes;
    attributes.request = core::request_id(request);
    attributes.kind = core::request_kind::service_call;
    attributes.service = core::service_id("orders");
    attributes.idempotent = false;
    attributes.home = core::endpoint_id("desk-0");
    attributes.deadline = At(deadline_ms);
    return attributes;
  }

  void Hello(const core::endpoint_id& endpoint, std::int64_t instance) {
    wire::hello message;
    message.instance_ms = instance;
    message.report = Up();
    directory_.OnHello(endpoint, message, At(0));
  }

  membership::endpoint_directory& Directory() { return directory_; }
  request_router& Router() { return router_; }

 private:
  static void AddEndpoint(config::configuration& current,
                          const std::string& name, bool engine) {
    config::endpoint_record record;
    record.endpoint = core::endpoint_id(name);
    record.vm = core::vm_id("vm-" + name);
    record.kind = engine ? core::endpoint_kind::engine
                         : core::endpoint_kind::plain_service;
    if (engine) record.model = core::model_id("base");
    if (!engine) record.service = core::service_id("orders");
    current.endpoints.push_back(record);
  }

  membership::endpoint_directory directory_;
  request_router router_;
};

/** The first action of its type in the list; nullptr if there is none. */
template <class Action>
const Action* FindAction(const std::vector<router_action>& actions) {
  for (const router_action& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

/** As FindAction, but throws std::logic_error if there is none. */
template <class Action>
Action TakeAction(const std::vector<router_action>& actions) {
  const Action* found = FindAction<Action>(actions);
  if (found == nullptr) throw std::logic_error("expected action is missing");
  return *found;
}

}  // namespace comfreyspring::routing

#pragma once

#include <optional>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "config/configuration.h"
#include "routing/request_router.h"
#include "trace/field_codec.h"
#include "wire/messages.h"

namespace comfreyspring::trace {

/** Marks a recording that reached its event limit. */
struct end_of_recording {
  std::string reason;
};

// Event types of the router that are defined only for traces.

struct router_caller_gone {
  core::request_id request;
};
struct router_first_chunk {
  core::attempt_id attempt;
};
struct router_progress {
  core::attempt_id attempt;
  std::uint64_t chunks = 0;
};
struct router_broken_answer {
  core::attempt_id attempt;
  std::string reason;
  bool output_valid = false;
};
struct router_nothing_to_continue {
  core::attempt_id attempt;
};
struct router_continuation_disallowed {
  core::request_id request;
};
struct router_not_sent {
  core::attempt_id attempt;
};
struct router_endpoint_lost {
  core::endpoint_id endpoint;
};
struct router_tick {};

// Event types of the endpoint directory that the router reads.

/** Adds one endpoint to the next `configuration` event. */
struct directory_endpoint {
  config::endpoint_record record;
};
/** Adds one planned stop to the next `configuration` event. */
struct directory_planned_stop {
  config::planned_stop stop;
};
/** Applies the endpoints and stops since the last `configuration` event. */
struct directory_configuration {
  core::config_version version;
};
struct directory_vm_list {
  std::int64_t revision = 0;
  std::vector<core::vm_id> live;
  std::vector<core::vm_id> leaving;
};
struct directory_hello {
  core::endpoint_id endpoint;
  std::int64_t instance_ms = 0;
  core::config_version version;
  std::optional<wire::endpoint_report> report;
};
struct directory_report {
  core::endpoint_id endpoint;
  wire::endpoint_report report;
};
struct directory_version {
  core::endpoint_id endpoint;
  core::config_version version;
};
struct directory_leaving {
  core::endpoint_id endpoint;
};
struct directory_link_lost {
  core::endpoint_id endpoint;
};
struct directory_pause {};
struct directory_wall_time {
  core::wall_time wall;
};
struct directory_heartbeat_limit {
  core::milliseconds limit{0};
};

/** The subject `router`: request_router with its endpoint_directory. */
struct router_subject {
  static constexpr std::string_view kName = "router";
  using event = std::variant<
      routing::router_options, routing::request_attributes, router_caller_gone,
      wire::accepted, router_first_chunk, router_progress, wire::finished,
      wire::refused, wire::withdrawn, router_broken_answer,
      router_nothing_to_continue, router_continuation_disallowed,
      router_not_sent, router_endpoint_lost, router_tick, directory_endpoint,
      directory_planned_stop, directory_configuration, directory_vm_list,
      directory_hello, directory_report, directory_version, directory_leaving,
      directory_link_lost, directory_pause, directory_wall_time,
      directory_heartbeat_limit, end_of_recording>;
  using action = routing::router_action;
};

template <class Report, class Visitor>
void VisitReport(Report& report, Visitor& visit) {
  visit("running", report.running);
  visit("waiting_urgent", report.waiting_urgent);
  visit("waiting_may_wait", report.waiting_may_wait);
  visit("expected_wait_ms", report.expected_wait);
  visit("batch_limit", report.batch_limit);
  visit("draining", report.draining);
  visit("up", report.endpoint_up);
  visit("resident", report.resident);
  visit("adapter_rate", report.adapter_rate);
}

template <class Version, class Visitor>
void VisitVersion(Version& version, Visitor& visit) {
  visit("generation", version.generation);
  visit("manifest_hash", version.manifest_hash);
}

template <>
struct item_format<end_of_recording> {
  static constexpr std::string_view kName = "end";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit("reason", self.reason);
  }
};

// Router events.

template <>
struct item_format<routing::router_options> {
  static constexpr std::string_view kName = "options";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit("data_centre", self.own_data_centre);
    visit("acknowledge_limit_ms", self.acknowledge_limit);
    visit("maximum_requests", self.maximum_requests);
    visit("seed", self.random_seed);
  }
};

template <>
struct item_format<routing::request_attributes> {
  static constexpr std::string_view kName = "request";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
    visit.Required("deadline_us", self.deadline);
    visit("kind", self.kind);
    visit("model", self.model);
    visit("adapter", self.adapter);
    visit("service", self.service);
    visit("priority", self.priority);
    visit("idempotent", self.idempotent);
    visit("expected_tokens", self.expected_tokens);
    visit("home", self.home);
    visit("prefix_hash", self.prefix_hash);
  }
};

template <>
struct item_format<router_caller_gone> {
  static constexpr std::string_view kName = "caller_gone";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
  }
};

template <>
struct item_format<wire::accepted> {
  static constexpr std::string_view kName = "accepted";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    VisitReport(self.report, visit);
  }
};

template <>
struct item_format<router_first_chunk> {
  static constexpr std::string_view kName = "first_chunk";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<router_progress> {
  static constexpr std::string_view kName = "progress";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("chunks", self.chunks);
  }
};

/** Omits what the router does not read: counts and checksum of chunks. */
template <>
struct item_format<wire::finished> {
  static constexpr std::string_view kName = "finished";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("adapter", self.adapter);
    visit("status", self.status);
    visit("tokens", self.tokens);
    VisitReport(self.report, visit);
  }
};

template <>
struct item_format<wire::refused> {
  static constexpr std::string_view kName = "refused";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("outcome", self.outcome);
    visit("reason", self.reason);
    visit("message", self.message);
    visit("retry_after_ms", self.retry_after);
    VisitReport(self.report, visit);
  }
};

template <>
struct item_format<wire::withdrawn> {
  static constexpr std::string_view kName = "withdrawn";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("outcome", self.outcome);
  }
};

template <>
struct item_format<router_broken_answer> {
  static constexpr std::string_view kName = "broken_answer";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit("reason", self.reason);
    visit("output_valid", self.output_valid);
  }
};

template <>
struct item_format<router_nothing_to_continue> {
  static constexpr std::string_view kName = "nothing_left";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<router_continuation_disallowed> {
  static constexpr std::string_view kName = "continuation_barred";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
  }
};

template <>
struct item_format<router_not_sent> {
  static constexpr std::string_view kName = "not_sent";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<router_endpoint_lost> {
  static constexpr std::string_view kName = "endpoint_lost";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
  }
};

template <>
struct item_format<router_tick> {
  static constexpr std::string_view kName = "tick";
  template <class Self, class Visitor>
  static void Fields(Self&, Visitor&) {}
};

// Directory events.

template <>
struct item_format<directory_endpoint> {
  static constexpr std::string_view kName = "configured_endpoint";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.record.endpoint);
    visit("vm", self.record.vm);
    visit("kind", self.record.kind);
    visit("data_centre", self.record.data_centre);
    visit("model", self.record.model);
    visit("service", self.record.service);
  }
};

template <>
struct item_format<directory_planned_stop> {
  static constexpr std::string_view kName = "configured_stop";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.stop.endpoint);
    visit.Required("starts_unix_ms", self.stop.starts_at);
    visit.Required("ends_unix_ms", self.stop.ends_at);
  }
};

template <>
struct item_format<directory_configuration> {
  static constexpr std::string_view kName = "configuration";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    VisitVersion(self.version, visit);
  }
};

template <>
struct item_format<directory_vm_list> {
  static constexpr std::string_view kName = "vm_list";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("revision", self.revision);
    visit("live", self.live);
    visit("leaving", self.leaving);
  }
};

template <>
struct item_format<directory_hello> {
  static constexpr std::string_view kName = "hello";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
    visit("instance_unix_ms", self.instance_ms);
    VisitVersion(self.version, visit);
    bool reported = self.report.has_value();
    visit("reported", reported);
    if (!reported) return;
    if constexpr (!std::is_const_v<Self>) self.report.emplace();
    VisitReport(*self.report, visit);
  }
};

template <>
struct item_format<directory_report> {
  static constexpr std::string_view kName = "report";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
    VisitReport(self.report, visit);
  }
};

template <>
struct item_format<directory_version> {
  static constexpr std::string_view kName = "peer_version";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
    VisitVersion(self.version, visit);
  }
};

template <>
struct item_format<directory_leaving> {
  static constexpr std::string_view kName = "leaving";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
  }
};

template <>
struct item_format<directory_link_lost> {
  static constexpr std::string_view kName = "link_lost";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
  }
};

template <>
struct item_format<directory_pause> {
  static constexpr std::string_view kName = "pause";
  template <class Self, class Visitor>
  static void Fields(Self&, Visitor&) {}
};

template <>
struct item_format<directory_wall_time> {
  static constexpr std::string_view kName = "wall_time";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("unix_ms", self.wall);
  }
};

template <>
struct item_format<directory_heartbeat_limit> {
  static constexpr std::string_view kName = "heartbeat_limit";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("limit_ms", self.limit);
  }
};

// Actions.

template <>
struct item_format<routing::submit_attempt> {
  static constexpr std::string_view kName = "action.submit";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
    visit.Required("attempt", self.attempt);
    visit.Required("endpoint", self.endpoint);
    visit("hedge", self.hedge);
    visit("continuation", self.continuation);
  }
};

template <>
struct item_format<routing::withdraw_attempt> {
  static constexpr std::string_view kName = "action.withdraw";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("attempt", self.attempt);
    visit.Required("endpoint", self.endpoint);
  }
};

template <>
struct item_format<routing::select_attempt> {
  static constexpr std::string_view kName = "action.select";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<routing::complete_request> {
  static constexpr std::string_view kName = "action.complete";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
    visit.Required("attempt", self.attempt);
  }
};

template <>
struct item_format<routing::fail_request> {
  static constexpr std::string_view kName = "action.fail";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("request", self.request);
    visit.Required("outcome", self.outcome);
    visit.Required("reason", self.reason);
    visit("message", self.message);
    visit("retry_after_ms", self.retry_after);
  }
};

template <>
struct item_format<routing::suspect_link> {
  static constexpr std::string_view kName = "action.suspect_link";
  template <class Self, class Visitor>
  static void Fields(Self& self, Visitor& visit) {
    visit.Required("endpoint", self.endpoint);
  }
};

}  // namespace comfreyspring::trace

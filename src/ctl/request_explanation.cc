#include "ctl/request_explanation.h"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <set>
#include <string_view>
#include <utility>

#include "core/json_parser.h"

namespace comfreyspring::ctl {
namespace {

using nlohmann::json;

/** A cause may be logged this long before the request's first line. */
constexpr std::int64_t kContextBeforeMs = 5000;
/** A cause may be logged this long after the request's last line. */
constexpr std::int64_t kContextAfterMs = 2000;

/** Events about the state of endpoints, engines and other dependencies. */
constexpr std::array<std::string_view, 16> kContextEvents = {
    "crash_record",          "endpoint",      "endpoint_limit",
    "engine_limit",          "engine_status", "engine_state",
    "engine_instance",       "dependency",    "pause_noticed",
    "prompt_part",           "starting",      "stopping",
    "configuration_adopted", "mass_removal",  "platform_history_lost",
    "platform_restored"};

constexpr std::array<std::string_view, 6> kFinalEvents = {
    "answered", "refused", "failed", "broken_off", "caller_gone", "unrouted"};

struct cause_description {
  std::string_view cause;
  std::string_view meaning;
};

constexpr std::array<cause_description, 20> kCauseDescriptions = {{
    {"wait_too_long",
     "the expected wait for the engine's queue or for adapter loads exceeded "
     "the wait limit of the request; compare running, waiting, "
     "loads_waiting and load_time_ms of its engine_state"},
    {"wait_expired",
     "the wait for a slot or for its adapter reached its limit; compare "
     "loads_waiting and load_time_ms of its engine_state"},
    {"rate_limited",
     "the endpoints of the service limit their request rates, and no share of "
     "them was left in time; see endpoint_limit and engine_limit lines"},
    {"engine_down",
     "the engine did not answer its sidecar; see engine_instance and "
     "dependency lines"},
    {"model_absent", "the engine does not have the model (after a restart)"},
    {"adapter_unavailable", "the adapter is not available on the engine"},
    {"prompt_quarantined",
     "a part of the prompt ended several engines, so that it is not sent to "
     "any; see prompt_part and crash_record lines"},
    {"engines_ended",
     "two engines ended under the request, so that it is not sent to another "
     "one; see crash_record lines"},
    {"no_endpoint", "no endpoint of the service could accept the request"},
    {"not_run", "the endpoints refused the request without running it"},
    {"repeat_budget", "the retry budget was exhausted"},
    {"time_limit", "the time limit of the route or caller was exceeded"},
    {"stopping", "the process was shutting down"},
    {"no_configuration", "the gateway had no configuration yet"},
    {"no_route", "no route of the configuration matches host and path"},
    {"unknown",
     "the connection to the endpoint was lost after the request was sent, so "
     "it may have run"},
    {"not_sent", "the endpoint could not be reached"},
    {"stalled", "the endpoint sent no output within the stall timeout"},
    {"failed", "the endpoint answered with an error"},
    {"caller_does_not_read", "the caller did not read the answer"},
}};

std::string Text(const json& line, const char* name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

std::int64_t TimeOf(const json& line) {
  return line.at("time_ms").get<std::int64_t>();
}

template <class Names>
bool Contains(const Names& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

/** The record of a crash that the part is suspected of. */
bool IsCrashOf(const json& line, const std::string& part) {
  const std::string parts = ' ' + Text(line, "parts");
  return parts.find(' ' + part + ':') != std::string::npos;
}

void WriteLine(const json& line, std::int64_t start_ms, std::ostream& out) {
  const std::int64_t offset = TimeOf(line) - start_ms;
  out << "  " << (offset < 0 ? "" : "+") << offset << " ms  "
      << Text(line, "process") << "  " << Text(line, "event");
  for (const auto& [name, value] : line.items()) {
    if (name == "time_ms" || name == "process" || name == "event" ||
        name == "request") {
      continue;
    }
    out << ' ' << name << '='
        << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  out << '\n';
}

}  // namespace

request_explanation::request_explanation(std::string request)
    : request_(std::move(request)) {}

void request_explanation::Read(std::istream& log) {
  for (std::string text; std::getline(log, text);) {
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) continue;
    json line = core::TryParseJson(std::string_view{text}.substr(brace));
    if (!line.is_object() || !line.contains("time_ms") ||
        !line["time_ms"].is_number_integer() || Text(line, "event").empty()) {
      ++malformed_lines_;
      continue;
    }
    if (Text(line, "request") == request_) {
      request_lines_.push_back(std::move(line));
    } else if (Contains(kContextEvents, Text(line, "event"))) {
      context_candidates_.push_back(std::move(line));
    }
  }
  const auto by_time = [](const json& left, const json& right) {
    return TimeOf(left) < TimeOf(right);
  };
  std::stable_sort(request_lines_.begin(), request_lines_.end(), by_time);
  std::stable_sort(context_candidates_.begin(), context_candidates_.end(),
                   by_time);
}

std::vector<json> request_explanation::SelectContext() const {
  std::set<std::string> instances;
  std::set<std::string> processes;
  std::string quarantined_part;
  for (const json& line : request_lines_) {
    if (!Text(line, "endpoint").empty())
      instances.insert(Text(line, "endpoint"));
    if (Text(line, "event") == "prompt_quarantined")
      quarantined_part = Text(line, "part");
    processes.insert(Text(line, "process"));
  }
  // A sidecar belongs to the endpoint whose host matches that of its engine.
  std::set<std::string> hosts;
  for (const json& line : context_candidates_) {
    if (Text(line, "event") == "endpoint" &&
        instances.count(Text(line, "instance")) > 0) {
      hosts.insert(HostOf(Text(line, "address")));
    }
  }
  std::set<std::string> sidecars;
  for (const json& line : context_candidates_) {
    if (Text(line, "event") == "starting" &&
        hosts.count(HostOf(Text(line, "engine"))) > 0) {
      sidecars.insert(Text(line, "process"));
    }
  }
  const std::int64_t first = TimeOf(request_lines_.front()) - kContextBeforeMs;
  const std::int64_t last = TimeOf(request_lines_.back()) + kContextAfterMs;
  std::vector<json> context;
  for (const json& line : context_candidates_) {
    if (TimeOf(line) > last) continue;
    const std::string event = Text(line, "event");
    const std::string process = Text(line, "process");
    if (event == "prompt_part" || event == "crash_record") {
      // A quarantine may have begun long before the request.
      const bool explains_quarantine =
          !quarantined_part.empty() &&
          (event == "prompt_part" ? processes.count(process) > 0 &&
                                        Text(line, "part") == quarantined_part
                                  : IsCrashOf(line, quarantined_part));
      const bool is_crash_of_endpoint = event == "crash_record" &&
                                        sidecars.count(process) > 0 &&
                                        TimeOf(line) >= first;
      // Others repeat what the engine's own sidecar has recorded.
      if (Text(line, "origin") != "gateway" &&
          (explains_quarantine || is_crash_of_endpoint)) {
        context.push_back(line);
      }
      continue;
    }
    if (TimeOf(line) < first) continue;
    const bool names_endpoint = instances.count(Text(line, "instance")) > 0 ||
                                instances.count(Text(line, "endpoint")) > 0;
    const bool is_endpoint_event =
        event == "endpoint" || event == "engine_status";
    const bool is_own_process = processes.count(process) > 0;
    const std::string dependency = Text(line, "name");
    const bool is_other_sidecar =
        dependency.rfind("sidecar ", 0) == 0 &&
        hosts.count(dependency.substr(std::string("sidecar ").size())) == 0;
    if (event == "endpoint_limit") {
      // Any sidecar may count the requests of the endpoint.
      if (names_endpoint) context.push_back(line);
      continue;
    }
    if (sidecars.count(process) > 0 ||
        (is_own_process &&
         (is_endpoint_event ? names_endpoint : !is_other_sidecar))) {
      context.push_back(line);
    }
  }
  return context;
}

void request_explanation::Write(std::ostream& out) const {
  if (request_lines_.empty()) {
    out << "Request " << request_ << " was not found in the logs.\n";
    return;
  }
  const std::int64_t start_ms = TimeOf(request_lines_.front());
  out << "Request " << request_ << ", from " << start_ms
      << " ms (Unix time):\n";
  for (const json& line : request_lines_) WriteLine(line, start_ms, out);
  const auto context = SelectContext();
  if (!context.empty()) {
    out << "Related events around that time:\n";
    for (const json& line : context) WriteLine(line, start_ms, out);
  }
  const auto last = std::find_if(
      request_lines_.rbegin(), request_lines_.rend(), [](const json& line) {
        return Contains(kFinalEvents, Text(line, "event"));
      });
  if (last == request_lines_.rend()) {
    out << "Outcome: no final line; the process ended, or dropped the line "
           "(log_lines_dropped).\n";
    return;
  }
  out << "Outcome: " << Text(*last, "event");
  if (last->contains("status")) out << ' ' << last->at("status");
  const std::string cause = Text(*last, "cause");
  if (!cause.empty()) out << ", cause " << cause;
  const auto description =
      std::find_if(kCauseDescriptions.begin(), kCauseDescriptions.end(),
                   [&](const auto& entry) { return entry.cause == cause; });
  if (description != kCauseDescriptions.end())
    out << ": " << description->meaning;
  out << ".\n";
}

}  // namespace comfreyspring::ctl

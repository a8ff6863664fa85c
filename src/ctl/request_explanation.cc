#include "ctl/request_explanation.h"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <set>
#include <string_view>
#include <utility>

namespace comfreyspring::ctl {
namespace {

using nlohmann::json;

/** A cause may show this long before the request is affected ... */
constexpr std::int64_t kContextBeforeMs = 5000;
/** ... or be noticed this much later. */
constexpr std::int64_t kContextAfterMs = 2000;

/** Events that say what a process believes of what a request depends on. */
constexpr std::array<std::string_view, 11> kContextEvents = {
    "endpoint",
    "engine_status",
    "engine_state",
    "engine_instance",
    "dependency",
    "pause_noticed",
    "starting",
    "stopping",
    "configuration_adopted",
    "mass_removal",
    "platform_history_lost"};

constexpr std::array<std::string_view, 6> kFinalEvents = {
    "answered", "refused", "failed", "broken_off", "caller_gone", "unrouted"};

struct known_cause {
  std::string_view cause;
  std::string_view meaning;
};

constexpr std::array<known_cause, 17> kCauses = {{
    {"wait_too_long",
     "the engine's queue or the loads of adapters would have taken longer than "
     "the request could wait; compare running, waiting, loads_waiting and "
     "load_time_ms of its engine_state"},
    {"wait_expired",
     "it waited for a place or its adapter as long as it could; compare "
     "loads_waiting and load_time_ms of its engine_state"},
    {"engine_down",
     "the engine did not answer its sidecar; see engine_instance and "
     "dependency lines"},
    {"model_absent", "the engine does not hold the model (after a restart)"},
    {"adapter_unavailable", "the engine does not know the adapter"},
    {"no_endpoint", "no endpoint of the service could take it"},
    {"not_run", "the endpoints refused it without running it"},
    {"repeat_budget", "the budget for repeats was used up"},
    {"time_limit", "the time limit of its route or caller had passed"},
    {"stopping", "the process was stopping"},
    {"no_configuration", "the gateway had no configuration yet"},
    {"no_route", "no route of the configuration matches host and path"},
    {"unknown",
     "the connection to the endpoint broke after the request was sent, so it "
     "may have run"},
    {"not_sent", "the endpoint could not be reached"},
    {"stalled", "the endpoint gave no sign of an answer"},
    {"failed", "the endpoint answered with a failure of its own"},
    {"caller_does_not_read", "the caller did not take its answer"},
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

void WriteLine(const json& line, std::int64_t origin, std::ostream& out) {
  const std::int64_t offset = TimeOf(line) - origin;
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
    json line = json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace),
                            text.end(), nullptr, false);
    if (!line.is_object() || !line.contains("time_ms") ||
        !line["time_ms"].is_number_integer() || Text(line, "event").empty()) {
      ++unreadable_;
      continue;
    }
    if (Text(line, "request") == request_) {
      own_.push_back(std::move(line));
    } else if (Contains(kContextEvents, Text(line, "event"))) {
      others_.push_back(std::move(line));
    }
  }
  const auto by_time = [](const json& left, const json& right) {
    return TimeOf(left) < TimeOf(right);
  };
  std::stable_sort(own_.begin(), own_.end(), by_time);
  std::stable_sort(others_.begin(), others_.end(), by_time);
}

std::vector<json> request_explanation::Context() const {
  std::set<std::string> instances;
  std::set<std::string> processes;
  for (const json& line : own_) {
    if (!Text(line, "endpoint").empty())
      instances.insert(Text(line, "endpoint"));
    processes.insert(Text(line, "process"));
  }
  // Sidecars are found by the host of the engine that they were started for.
  std::set<std::string> hosts;
  for (const json& line : others_) {
    if (Text(line, "event") == "endpoint" &&
        instances.count(Text(line, "instance")) > 0) {
      hosts.insert(HostOf(Text(line, "address")));
    }
  }
  std::set<std::string> sidecars;
  for (const json& line : others_) {
    if (Text(line, "event") == "starting" &&
        hosts.count(HostOf(Text(line, "engine"))) > 0) {
      sidecars.insert(Text(line, "process"));
    }
  }
  const std::int64_t first = TimeOf(own_.front()) - kContextBeforeMs;
  const std::int64_t last = TimeOf(own_.back()) + kContextAfterMs;
  std::vector<json> context;
  for (const json& line : others_) {
    if (TimeOf(line) < first || TimeOf(line) > last) continue;
    const std::string event = Text(line, "event");
    const std::string process = Text(line, "process");
    const bool names_endpoint = instances.count(Text(line, "instance")) > 0 ||
                                instances.count(Text(line, "endpoint")) > 0;
    const bool is_of_endpoints =
        event == "endpoint" || event == "engine_status";
    const bool is_own_process = processes.count(process) > 0;
    const std::string dependency = Text(line, "name");
    const bool is_other_sidecar =
        dependency.rfind("sidecar ", 0) == 0 &&
        hosts.count(dependency.substr(std::string("sidecar ").size())) == 0;
    if (sidecars.count(process) > 0 ||
        (is_own_process &&
         (is_of_endpoints ? names_endpoint : !is_other_sidecar))) {
      context.push_back(line);
    }
  }
  return context;
}

void request_explanation::Write(std::ostream& out) const {
  if (own_.empty()) {
    out << "No line of request " << request_ << " was found.\n";
    return;
  }
  const std::int64_t origin = TimeOf(own_.front());
  out << "Request " << request_ << ", from " << origin << " ms (Unix time):\n";
  for (const json& line : own_) WriteLine(line, origin, out);
  const auto context = Context();
  if (!context.empty()) {
    out << "What its processes saw around that time:\n";
    for (const json& line : context) WriteLine(line, origin, out);
  }
  const auto last =
      std::find_if(own_.rbegin(), own_.rend(), [](const json& line) {
        return Contains(kFinalEvents, Text(line, "event"));
      });
  if (last == own_.rend()) {
    out << "Outcome: no final line; its process ended, or left the line out "
           "(log_lines_dropped).\n";
    return;
  }
  out << "Outcome: " << Text(*last, "event");
  if (last->contains("status")) out << ' ' << last->at("status");
  const std::string cause = Text(*last, "cause");
  if (!cause.empty()) out << ", cause " << cause;
  const auto known =
      std::find_if(kCauses.begin(), kCauses.end(),
                   [&](const auto& entry) { return entry.cause == cause; });
  if (known != kCauses.end()) out << ": " << known->meaning;
  out << ".\n";
}

}  // namespace comfreyspring::ctl

#include "standins/platform/platform_server.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/documents.h"
#include "net/http_server.h"
#include "sheet/document_directory.h"
#include "standins/platform/call_counter.h"
#include "standins/platform/document_store.h"
#include "standins/platform/vm_history.h"
#include "standins/platform/weight_store.h"

namespace comfreyspring::standins {
namespace {

using nlohmann::json;
using exchange_pointer = std::shared_ptr<net::http_exchange>;

constexpr std::int64_t kMaximumWatchMs = 60000;
constexpr std::int64_t kMaximumLagMs = 24 * 3600 * 1000;

/** Replaces invalid UTF-8, because values are defined to be text. */
void Respond(const exchange_pointer& exchange, int status, const json& body) {
  exchange->Respond(
      {status,
       {{"content-type", "application/json"}},
       body.dump(-1, ' ', false, json::error_handler_t::replace)});
}

void RespondError(const exchange_pointer& exchange, int status,
                  const std::string& type) {
  Respond(exchange, status, {{"error", type}});
}

std::int64_t QueryInteger(const net::http_request& request,
                          const std::string& name, std::int64_t fallback) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return fallback;
  const std::string& text = found->second;
  std::int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/** Part of `path` after `prefix`; empty if `path` has another prefix. */
std::string PathAfterPrefix(const std::string& path,
                            const std::string& prefix) {
  return path.compare(0, prefix.size(), prefix) == 0
             ? path.substr(prefix.size())
             : "";
}

json Render(const stored_value& value) {
  return {{"revision", value.revision}, {"value", value.value}};
}

json Render(const vm_snapshot& list) {
  json vms = json::array();
  for (const vm_item& vm : list.vms) {
    vms.push_back({{"id", vm.id}, {"state", vm.state}});
  }
  return {{"revision", list.revision}, {"vms", std::move(vms)}};
}

/** @throws json::exception or core::invalid_value_error */
vm_snapshot ParseVms(const std::string& body, std::int64_t next_revision) {
  const json in = json::parse(body);
  vm_snapshot list;
  list.revision = in.value("revision", next_revision);
  for (const json& item : in.at("vms")) {
    vm_item vm{item.at("id").get<std::string>(),
               item.at("state").get<std::string>()};
    if (vm.state != "live" && vm.state != "leaving") {
      throw core::invalid_value_error("VM state is neither live nor leaving");
    }
    list.vms.push_back(std::move(vm));
  }
  return list;
}

service_mode ParseMode(const std::string& text) {
  if (text == "normal") return service_mode::normal;
  if (text == "down") return service_mode::down;
  if (text == "stale") return service_mode::stale;
  throw core::invalid_value_error("config mode is not normal, down or stale");
}

}  // namespace

struct platform_server::impl {
  /** Pending request that waits for a revision of `key` above `after`. */
  struct watch {
    exchange_pointer exchange;
    std::string key;
    std::int64_t after = 0;
    net::timer_id timer = 0;
  };

  impl(net::event_loop& event_loop, const platform_options& options)
      : loop(event_loop),
        server(event_loop,
               {.address = options.address,
                .port = options.port,
                .maximum_body_bytes = 2 * kMaximumValueBytes},
               [this](exchange_pointer exchange) { Handle(exchange); }) {
    vms.SetLag(options.vm_list_lag);
    if (!options.config_directory.empty()) Load(options.config_directory);
  }

  ~impl() {
    loop.Cancel(weight_timer);
    for (const watch& waiting : watches) loop.Cancel(waiting.timer);
  }

  // Initial documents.

  void Load(const std::string& directory) {
    const std::string manifest_bytes =
        sheet::ReadFile(directory + "/manifest.json");
    for (const auto& file :
         std::filesystem::directory_iterator(directory + "/parts")) {
      documents.Put("part/" + file.path().filename().string(),
                    sheet::ReadFile(file.path().string()));
    }
    documents.Put(std::string(config::kManifestKey), manifest_bytes);
    const config::configuration set = sheet::ReadDocuments(directory);
    std::set<std::string> names;
    for (const auto& endpoint : set.endpoints) {
      names.insert(endpoint.vm.Value());
    }
    vm_snapshot list{1, {}};
    for (const std::string& name : names) list.vms.push_back({name, "live"});
    vms.Put(std::move(list), loop.Now());
  }

  // Routing.

  void Handle(const exchange_pointer& exchange) {
    const net::http_request& request = exchange->Request();
    const std::string& path = request.path;
    const bool is_get = request.method == "GET";
    const bool is_put = request.method == "PUT";
    const std::string read_key = PathAfterPrefix(path, "/config/");
    const std::string put_key = PathAfterPrefix(path, "/standin/config/");
    if (is_get && !read_key.empty()) return ReadConfig(exchange, read_key);
    if (is_get && path == "/vms") return ReadVms(exchange);
    if (is_get && !PathAfterPrefix(path, "/weights/").empty()) {
      return ReadWeights(exchange);
    }
    if (is_put && !put_key.empty()) return PutConfig(exchange, put_key);
    if (is_put && path == "/standin/vms") return PutVms(exchange);
    if (request.method == "POST" && path == "/standin/mode") {
      return SetMode(exchange);
    }
    if (is_get && path == "/standin/calls") return RespondCallCounts(exchange);
    RespondError(exchange, 404, "not_found");
  }

  // Configuration.

  void ReadConfig(const exchange_pointer& exchange, const std::string& key) {
    calls.Count("config", loop.Now());
    if (documents.Mode() == service_mode::down) {
      return RespondError(exchange, 503, "unavailable");
    }
    const auto value = documents.Get(key);
    const net::http_request& request = exchange->Request();
    const std::int64_t after = QueryInteger(request, "watch_after", -1);
    if (after >= 0 && (!value || value->revision <= after)) {
      return BeginWatch(exchange, key, after);
    }
    RespondConfig(exchange, key);
  }

  void RespondConfig(const exchange_pointer& exchange, const std::string& key) {
    const auto value = documents.Get(key);
    if (!value) return RespondError(exchange, 404, "not_found");
    Respond(exchange, 200, Render(*value));
  }

  void BeginWatch(const exchange_pointer& exchange, const std::string& key,
                  std::int64_t after) {
    const std::int64_t timeout = std::clamp<std::int64_t>(
        QueryInteger(exchange->Request(), "timeout_ms", kMaximumWatchMs), 0,
        kMaximumWatchMs);
    watches.push_back({exchange, key, after, 0});
    const auto position = std::prev(watches.end());
    calls.OnWatchBegins(loop.Now());
    position->timer =
        loop.Schedule(core::milliseconds(timeout), [this, position] {
          const watch ended = EndWatch(position);
          RespondConfig(ended.exchange, ended.key);
        });
    const net::http_exchange* raw = exchange.get();
    exchange->OnClientGone([this, raw] { EndWatchOf(raw); });
  }

  watch EndWatch(std::list<watch>::iterator position) {
    watch ended = std::move(*position);
    watches.erase(position);
    loop.Cancel(ended.timer);
    calls.OnWatchEnds(loop.Now());
    return ended;
  }

  void EndWatchOf(const net::http_exchange* exchange) {
    const auto found = std::find_if(
        watches.begin(), watches.end(),
        [exchange](const watch& it) { return it.exchange.get() == exchange; });
    if (found != watches.end()) EndWatch(found);
  }

  /** Ends watches whose key has changed; in down mode, ends all with 503. */
  void NotifyWatches() {
    for (auto next = watches.begin(); next != watches.end();) {
      const auto position = next++;
      const auto value = documents.Get(position->key);
      if (documents.Mode() == service_mode::down) {
        RespondError(EndWatch(position).exchange, 503, "unavailable");
      } else if (value && value->revision > position->after) {
        Respond(EndWatch(position).exchange, 200, Render(*value));
      }
    }
  }

  void PutConfig(const exchange_pointer& exchange, const std::string& key) {
    if (exchange->Request().body.size() > kMaximumValueBytes) {
      return RespondError(exchange, 413, "value_too_large");
    }
    const std::int64_t revision = documents.Put(key, exchange->Request().body);
    Respond(exchange, 200, {{"revision", revision}});
    NotifyWatches();
  }

  // VM list and service mode.

  void ReadVms(const exchange_pointer& exchange) {
    calls.Count("vms", loop.Now());
    Respond(exchange, 200, Render(vms.VisibleAt(loop.Now())));
  }

  void PutVms(const exchange_pointer& exchange) {
    try {
      vms.Put(ParseVms(exchange->Request().body, vms.LatestRevision() + 1),
              loop.Now());
      Respond(exchange, 200, {{"revision", vms.LatestRevision()}});
    } catch (const std::exception& failure) {
      RespondError(exchange, 400, failure.what());
    }
  }

  void SetMode(const exchange_pointer& exchange) {
    try {
      const json in = json::parse(exchange->Request().body);
      const std::int64_t lag = in.value("vm_lag_ms", std::int64_t{-1});
      if (lag > kMaximumLagMs) {
        throw core::invalid_value_error("vm_lag_ms is too large");
      }
      if (in.contains("config")) {
        documents.SetMode(ParseMode(in.at("config").get<std::string>()));
      }
      if (lag >= 0) vms.SetLag(core::milliseconds(lag));
      Respond(exchange, 200, json::object());
      NotifyWatches();
    } catch (const std::exception& failure) {
      RespondError(exchange, 400, failure.what());
    }
  }

  void RespondCallCounts(const exchange_pointer& exchange) {
    json report = calls.ByKind();
    if (report.is_null()) report = json::object();
    report["total"] = calls.Total();
    report["waiting_watches"] = calls.WaitingWatches();
    report["peak_second"] = calls.PeakSecond();
    report["weights_in_transit"] = weights.InTransit();
    Respond(exchange, 200, report);
  }

  // Weights.

  void ReadWeights(const exchange_pointer& exchange) {
    const std::string name =
        PathAfterPrefix(exchange->Request().path, "/weights/");
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == name.size()) {
      return RespondError(exchange, 404, "not_found");
    }
    const core::time_point now = loop.Now();
    calls.Count("weights", now);
    const transfer_id transfer = weights.Begin(now);
    weight_requests[transfer] = exchange;
    exchange->OnClientGone([this, transfer] {
      if (weight_requests.erase(transfer) == 0) return;
      weights.Cancel(transfer, loop.Now());
      ScheduleWeights();
    });
    ScheduleWeights();
  }

  void ScheduleWeights() {
    loop.Cancel(weight_timer);
    weight_timer = 0;
    const auto next = weights.NextCompletion();
    if (!next) return;
    const auto wait = std::max(core::microseconds(0), *next - loop.Now());
    // Timers count whole milliseconds; rounding down would fire too early.
    weight_timer =
        loop.Schedule(core::ToMilliseconds(wait) + core::milliseconds(1),
                      [this] { CompleteWeights(); });
  }

  void CompleteWeights() {
    weight_timer = 0;
    for (const transfer_id transfer : weights.TakeComplete(loop.Now())) {
      const exchange_pointer exchange = std::move(weight_requests.at(transfer));
      weight_requests.erase(transfer);
      const std::string name =
          PathAfterPrefix(exchange->Request().path, "/weights/");
      const std::size_t slash = name.find('/');
      Respond(exchange, 200,
              {{"adapter", name.substr(0, slash)},
               {"version", name.substr(slash + 1)}});
    }
    ScheduleWeights();
  }

  net::event_loop& loop;
  document_store documents;
  vm_history vms;
  weight_store weights;
  call_counter calls;
  std::list<watch> watches;
  std::map<transfer_id, exchange_pointer> weight_requests;
  net::timer_id weight_timer = 0;
  net::http_server server;
};

platform_server::platform_server(net::event_loop& loop,
                                 const platform_options& options)
    : impl_(std::make_unique<impl>(loop, options)) {}

platform_server::~platform_server() = default;

std::uint16_t platform_server::Port() const { return impl_->server.Port(); }

}  // namespace comfreyspring::standins

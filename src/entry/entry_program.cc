#include "entry/entry_program.h"

#include <glog/logging.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "entry/config_controller.h"
#include "entry/link_controller.h"
#include "entry/membership_controller.h"
#include "entry/request_controller.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "telemetry/metrics.h"
#include "trace/recording_directory.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr core::milliseconds kPauseThreshold{1000};
constexpr core::milliseconds kReadyTimeout{3000};
constexpr core::milliseconds kWallTimePeriod{500};
/** With 48 entries per data centre that each query the same 3 agents, an agent
 * receives about 10 queries per second. */
constexpr core::milliseconds kReaderStatusPeriod{5000};
constexpr core::milliseconds kDrainCheckPeriod{50};
/** Unchanged versions are sent again, because a new owner of keys needs a later
 * report of the former owner. */
constexpr core::milliseconds kPeerVersionsPeriod{10000};
/** Older versions are not sent: after a pause of this process the loss of an
 * agent is detected late. See ledger::kMaximumReportAge. */
constexpr core::milliseconds kPeerVersionLifetime{9000};
/** By how much the limit of the HTTP server exceeds that of size_limit_filter,
 * so that the caller receives the error body of the filter. */
constexpr std::size_t kBodyLimitMargin = 1024 * 1024;

net::http_response TextResponse(int status, std::string text) {
  net::http_response response;
  response.status = status;
  response.headers["content-type"] = "text/plain; version=0.0.4";
  response.body = std::move(text);
  return response;
}

net::http_response JsonResponse(const json& value) {
  net::http_response response;
  response.headers["content-type"] = "application/json";
  response.body =
      value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

json ModelList(const config::configuration& current) {
  json models = json::array();
  for (const config::adapter_record& adapter : current.adapters) {
    json versions = json::array();
    for (const core::version_id& version : adapter.versions) {
      versions.push_back(version.Value());
    }
    models.push_back({{"id", adapter.adapter.Value()},
                      {"object", "model"},
                      {"owned_by", adapter.model.Value()},
                      {"default_version", adapter.default_version.Value()},
                      {"versions", std::move(versions)}});
  }
  return {{"object", "list"}, {"data", std::move(models)}};
}

}  // namespace

struct entry_program::impl : link_listener, agent_sender {
  impl(net::event_loop& event_loop, entry_settings checked)
      : loop(event_loop),
        settings(std::move(checked)),
        started_at(loop.Now()),
        http(loop),
        membership(loop, http, settings.platform_url, settings.vm_list_period),
        trace(
            trace::OpenTrace(settings.trace_file, settings.trace_limit_events)),
        directory(membership.Directory(), trace.get()),
        links(loop, LinkOptions(), *this),
        config(
            loop, http, settings.platform_url,
            config::reader_selection(settings.process, settings.data_centre,
                                     core::random_source(settings.random_seed)),
            [this](const core::endpoint_id& endpoint,
                   const wire::message& message) {
              return links.Send(endpoint, message);
            },
            [this](std::shared_ptr<const config::configuration> configuration) {
              OnAdopted(std::move(configuration));
            }),
        requests(loop, RouterOptions(), membership.Directory(), *this, metrics,
                 trace.get()),
        chain(MakeChain()),
        server(loop, ServerOptions(),
               [this](std::shared_ptr<net::http_exchange> exchange) {
                 OnRequest(std::move(exchange));
               }) {
    membership.OnNewVmList(
        [this](const wire::vm_list& list) { OnVmList(list); });
    membership.SetReadCondition([this] { return config.ShouldReadPlatform(); });
    reader_status_timer = loop.SchedulePeriodic(kReaderStatusPeriod, [this] {
      links.RequestReaderStatus(config.ServiceReadAgeMs());
      SendVmLists();
    });
    links.ConnectSeeds(settings.seed_agents);
    config.Start();
    loop.OnPause(kPauseThreshold,
                 [this](core::milliseconds late) { OnPause(late); });
    wall_time_timer = loop.SchedulePeriodic(
        kWallTimePeriod, [this] { directory.OnWallTime(loop.WallNow()); });
  }

  ~impl() override {
    loop.Cancel(wall_time_timer);
    loop.Cancel(reader_status_timer);
    loop.Cancel(drain_timer);
  }

  // Options.

  link_options LinkOptions() const {
    link_options options;
    options.process = settings.process;
    options.data_centre = settings.data_centre;
    options.instance_ms = core::UnixMilliseconds(loop.WallNow());
    options.random_seed = settings.random_seed;
    return options;
  }

  routing::router_options RouterOptions() const {
    routing::router_options options;
    options.own_data_centre = settings.data_centre;
    options.maximum_requests = settings.maximum_requests;
    options.random_seed = settings.random_seed;
    return options;
  }

  net::http_server_options ServerOptions() {
    net::http_server_options options;
    options.address = settings.address;
    options.port = settings.port;
    options.maximum_body_bytes =
        settings.limits.maximum_body_bytes + kBodyLimitMargin;
    options.maximum_header_bytes = settings.maximum_header_bytes;
    options.maximum_connections = settings.maximum_connections;
    options.on_overload = [this](const net::overload_event& event) {
      metrics.Count(std::string("entry_overload_") + net::ToString(event.what) +
                    "_total");
      // A crowd of clients causes many of them.
      LOG_EVERY_N(WARNING, 100)
          << "entry.overload: " << net::ToString(event.what) << " after "
          << event.body_bytes << " bytes of a body; all bodies hold "
          << event.held_bytes << " bytes.";
    };
    options.on_refusal = [this](const net::refusal_event& event) {
      metrics.Count("entry_requests_not_accepted_total{cause=\"" + event.type +
                    "\"}");
      LOG_EVERY_N(WARNING, 100) << "entry.not_accepted: status " << event.status
                                << ": " << event.reason;
    };
    return options;
  }

  entry_filter_chain MakeChain() {
    const auto load = [this] {
      return overload_filter::entry_load{refusing_requests,
                                         requests.OpenRequestCount(),
                                         settings.maximum_requests};
    };
    return entry_filter_chain(
        request_id_filter(core::random_source(settings.random_seed)),
        size_limit_filter(settings.limits), parse_filter(settings.limits),
        resolve_filter(), priority_filter(settings.limits),
        idempotency_filter(), overload_filter(load));
  }

  // HTTP.

  void OnRequest(std::shared_ptr<net::http_exchange> exchange) {
    const std::string& path = exchange->Request().path;
    if (path == "/healthz") {
      exchange->Respond(TextResponse(kOk, "ok\n"));
    } else if (path == "/readyz") {
      exchange->Respond(IsReady()
                            ? TextResponse(kOk, "ready\n")
                            : TextResponse(kServiceUnavailable, "not ready\n"));
    } else if (path == "/metrics") {
      UpdateGauges();
      exchange->Respond(TextResponse(kOk, metrics.ToText()));
    } else if (path == "/debug/state") {
      exchange->Respond(JsonResponse(DebugState()));
    } else if (path == "/v1/models" && config.Current() != nullptr) {
      exchange->Respond(JsonResponse(ModelList(*config.Current())));
    } else {
      ProcessRequest(std::move(exchange));
    }
  }

  void ProcessRequest(std::shared_ptr<net::http_exchange> exchange) {
    request_context context;
    context.exchange = exchange;
    context.received = loop.Now();
    context.received_wall_time = loop.WallNow();
    context.configuration = config.Current();
    try {
      chain.Apply(context);
    } catch (const request_error& failure) {
      LOG(INFO) << "entry.filter: Refused request " << context.request << ": "
                << failure.what() << '.';
      metrics.Count("entry_requests_refused_total{reason=\"" + failure.Type() +
                    "\"}");
      exchange->Respond(failure.ToResponse(context.request));
      return;
    }
    requests.StartRequest(std::move(context));
  }

  bool IsReady() const {
    if (draining || config.Current() == nullptr) return false;
    const std::size_t open = links.OpenLinkCount();
    if (open == 0) return false;
    return open * 3 >= links.EndpointCount() ||
           loop.Now() - started_at >= kReadyTimeout;
  }

  json DebugState() {
    const telemetry::process_usage usage = telemetry::ReadProcessUsage();
    UpdateGauges();
    return {
        {"process_id", settings.process.Value()},
        {"role", "entry"},
        {"data_centre", settings.data_centre.Value()},
        {"uptime_ms", core::ToMilliseconds(loop.Now() - started_at).count()},
        {"ready", IsReady()},
        {"draining", draining},
        {"resident_bytes", usage.resident_bytes},
        {"processor_seconds", usage.processor_seconds},
        {"http_connections", server.ConnectionCount()},
        {"configuration", config.ToJson()},
        {"membership", membership.ToJson()},
        {"requests", requests.ToJson()},
        {"links", links.ToJson()},
        {"metrics", metrics.ToJson()}};
  }

  void UpdateGauges() {
    metrics.SetGauge("entry_open_requests",
                     static_cast<double>(requests.OpenRequestCount()));
    metrics.SetGauge("entry_open_links",
                     static_cast<double>(links.OpenLinkCount()));
    metrics.SetGauge("entry_config_generation",
                     static_cast<double>(config.CurrentVersion().generation));
  }

  // Controllers.

  void OnAdopted(std::shared_ptr<const config::configuration> configuration) {
    directory.OnConfiguration(configuration);
    directory.OnWallTime(loop.WallNow());
    links.SetVersions(configuration->version, membership.VmList().revision);
    links.OnConfiguration(*configuration);
    directory.SetHeartbeatLimit(links.SilenceTimeout());
    // Agents with an older version then request the documents immediately.
    links.AnnounceVersion();
  }

  void OnVmList(const wire::vm_list& list) {
    directory.RecordVmList(list);
    links.SetVersions(config.CurrentVersion(), list.revision);
    SendVmLists();
  }

  /**
   * Agents of plain services need the VM list for the handover of keys, and the
   * relay agents forward it to the other entries. At the target fleet size the
   * list takes 100 KB, too much to send to every agent.
   */
  void SendVmLists() {
    std::vector<core::endpoint_id> receivers = links.RelayAgents();
    for (const core::endpoint_id& endpoint : membership.Directory().All()) {
      if (IsPlainService(endpoint)) receivers.push_back(endpoint);
    }
    for (const core::endpoint_id& endpoint : receivers) SendVmList(endpoint);
  }

  void SendVmList(const core::endpoint_id& endpoint) {
    const wire::vm_list& list = membership.VmList();
    std::int64_t& agent_revision = agent_vm_list_revisions[endpoint];
    if (agent_revision < list.revision && links.Send(endpoint, list)) {
      agent_revision = list.revision;
    }
  }

  bool IsPlainService(const core::endpoint_id& endpoint) {
    const membership::endpoint_view* view =
        membership.Directory().Find(endpoint);
    return view != nullptr && !view->record.service.empty();
  }

  void OnPause(core::milliseconds late) {
    LOG(WARNING)
        << "entry.program: Was paused for " << late.count()
        << " ms; endpoints are unverified until they reply to a heartbeat.";
    metrics.Count("entry_pauses_total");
    directory.OnPause(loop.Now());
    // Frames received before the end of the pause may be stale; only replies to
    // heartbeats sent from now on prove that an endpoint is up.
    for (const core::endpoint_id& endpoint : membership.Directory().All()) {
      first_valid_nonce[endpoint] = links.NextNonce(endpoint);
    }
    links.SendHeartbeats();
  }

  // link_listener.

  void OnLinkUp(const core::endpoint_id& endpoint, const wire::hello& message,
                bool resumed) override {
    first_valid_nonce.erase(endpoint);
    directory.OnHello(endpoint, message, loop.Now());
    UpdatePeerVersion(endpoint, message.instance_ms, message.version);
    agent_vm_list_revisions[endpoint] = message.vm_list_revision;
    if (IsPlainService(endpoint)) SendVmList(endpoint);
    config.OnPeerVersion(endpoint, message.version);
    if (resumed) requests.OnResumed(endpoint);
  }

  void OnLinkDown(const core::endpoint_id& endpoint) override {
    directory.OnLinkLost(endpoint, loop.Now());
  }

  void OnEndpointLost(const core::endpoint_id& endpoint) override {
    requests.OnEndpointLost(endpoint);
    // The last version of a lost endpoint may be out of date. It must not
    // confirm the key ownership of a restarted agent.
    agent_vm_list_revisions.erase(endpoint);
    peer_versions_sent_at.erase(endpoint);
    peer_version_received_at.erase(endpoint);
    if (peer_versions.erase(endpoint) == 0) return;
    const membership::endpoint_view* view =
        membership.Directory().Find(endpoint);
    if (view == nullptr || view->record.service.empty()) return;
    SendPeerVersions(
        membership.Directory().ServiceEndpoints(view->record.service));
  }

  void OnMessage(const core::endpoint_id& endpoint,
                 const wire::message& message) override {
    if (const auto* reply = std::get_if<wire::heartbeat_reply>(&message)) {
      const auto awaited = first_valid_nonce.find(endpoint);
      if (awaited != first_valid_nonce.end() &&
          reply->nonce >= awaited->second) {
        first_valid_nonce.erase(awaited);
      }
      OnReport(endpoint, reply->report);
      directory.OnVersion(endpoint, reply->version);
      UpdatePeerVersion(endpoint, std::nullopt, reply->version);
      config.OnPeerVersion(endpoint, reply->version);
      if (!reply->entries.empty()) config.OnReaderStatus(*reply);
    } else if (std::holds_alternative<wire::leaving>(message)) {
      directory.OnLeaving(endpoint, loop.Now());
    } else if (const auto* request =
                   std::get_if<wire::config_request>(&message)) {
      config.OnConfigRequest(endpoint, *request);
    } else if (const auto* part = std::get_if<wire::config_part>(&message)) {
      config.OnConfigPart(endpoint, *part);
    } else if (const auto* list = std::get_if<wire::vm_list>(&message)) {
      membership.UpdateVmList(*list);
    } else {
      ExtractReport(endpoint, message);
      requests.OnMessage(endpoint, message);
    }
  }

  void OnReport(const core::endpoint_id& endpoint,
                const wire::endpoint_report& report) {
    if (first_valid_nonce.contains(endpoint)) return;
    directory.OnReport(endpoint, report, loop.Now());
  }

  /** Applies the endpoint report of a message that contains one. */
  void ExtractReport(const core::endpoint_id& endpoint,
                     const wire::message& message) {
    std::visit(
        [&](const auto& typed) {
          if constexpr (requires { typed.report.batch_limit; }) {
            OnReport(endpoint, typed.report);
          }
        },
        message);
  }

  // Configuration versions reported by the agents of a service.

  void UpdatePeerVersion(const core::endpoint_id& endpoint,
                         std::optional<std::int64_t> instance_ms,
                         core::config_version version) {
    // Before the hello the instance that sent the version is unknown.
    if (!instance_ms && !peer_versions.contains(endpoint)) return;
    // The message may have been sent before a pause of this process.
    if (first_valid_nonce.contains(endpoint)) return;
    peer_version_received_at[endpoint] = loop.Now();
    wire::peer_version& known = peer_versions[endpoint];
    const bool changed = known.version != version ||
                         (instance_ms && *instance_ms != known.instance_ms);
    known.endpoint = endpoint;
    known.version = version;
    if (instance_ms) known.instance_ms = *instance_ms;
    const membership::endpoint_view* view =
        membership.Directory().Find(endpoint);
    if (view == nullptr || view->record.service.empty()) return;
    if (changed) {
      SendPeerVersions(
          membership.Directory().ServiceEndpoints(view->record.service));
    } else if (instance_ms || loop.Now() - peer_versions_sent_at[endpoint] >=
                                  kPeerVersionsPeriod) {
      SendPeerVersions({endpoint});
    }
  }

  void SendPeerVersions(const std::vector<core::endpoint_id>& receivers) {
    for (const core::endpoint_id& receiver : receivers) {
      const membership::endpoint_view* view =
          membership.Directory().Find(receiver);
      if (view == nullptr) continue;
      wire::peer_versions message;
      for (const core::endpoint_id& peer :
           membership.Directory().ServiceEndpoints(view->record.service)) {
        const auto position = peer_versions.find(peer);
        if (position == peer_versions.end() ||
            loop.Now() - peer_version_received_at[peer] >
                kPeerVersionLifetime) {
          continue;
        }
        message.peers.push_back(position->second);
      }
      links.Send(receiver, message);
      peer_versions_sent_at[receiver] = loop.Now();
    }
  }

  // agent_sender.

  bool Send(const core::endpoint_id& endpoint,
            const wire::message& message) override {
    return links.Send(endpoint, message);
  }

  void ReplaceLink(const core::endpoint_id& endpoint) override {
    links.ReplaceLink(endpoint);
  }

  // Drain.

  void Drain() {
    if (draining) return;
    draining = true;
    LOG(INFO) << "entry.drain: Draining " << requests.OpenRequestCount()
              << " open requests.";
    loop.Schedule(settings.drain_notice, [this] {
      refusing_requests = true;
      server.StopAccepting();
      drain_deadline = loop.Now() + settings.drain_limit;
      drain_timer =
          loop.SchedulePeriodic(kDrainCheckPeriod, [this] { CheckDrained(); });
    });
  }

  void CheckDrained() {
    const std::size_t open = requests.OpenRequestCount();
    if (open > 0 && loop.Now() < drain_deadline) return;
    LOG(INFO) << "entry.drain: Stopped with " << open << " open requests.";
    loop.Stop();
  }

  net::event_loop& loop;
  entry_settings settings;
  core::time_point started_at;
  telemetry::metrics metrics;
  net::http_client http;
  membership_controller membership;
  std::unique_ptr<trace::trace_writer> trace;
  trace::recording_directory directory;
  link_controller links;
  config_controller config;
  request_controller requests;
  entry_filter_chain chain;
  net::http_server server;
  std::map<core::endpoint_id, wire::peer_version> peer_versions;
  std::map<core::endpoint_id, core::time_point> peer_version_received_at;
  std::map<core::endpoint_id, core::time_point> peer_versions_sent_at;
  /** For endpoints without a reply since the last pause of this process: nonce
   * of the first heartbeat after it. */
  std::map<core::endpoint_id, std::uint64_t> first_valid_nonce;
  /** Revision of the VM list that each agent is known to have. */
  std::map<core::endpoint_id, std::int64_t> agent_vm_list_revisions;
  net::timer_id wall_time_timer = 0;
  net::timer_id reader_status_timer = 0;
  net::timer_id drain_timer = 0;
  core::time_point drain_deadline;
  /** /readyz fails; requests are still accepted. */
  bool draining = false;
  /** New requests are rejected. */
  bool refusing_requests = false;
};

entry_program::entry_program(net::event_loop& loop, entry_settings settings)
    : impl_(std::make_unique<impl>(loop, std::move(settings))) {}

entry_program::~entry_program() = default;

std::uint16_t entry_program::Port() const { return impl_->server.Port(); }

void entry_program::Drain() { impl_->Drain(); }

}  // namespace comfreyspring::entry

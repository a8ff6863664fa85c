#include "agent/agent_program.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/config_relay.h"
#include "agent/drain_controller.h"
#include "agent/entry_tracker.h"
#include "agent/ledger_controller.h"
#include "agent/queue_controller.h"
#include "agent/response_channel.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "telemetry/metrics.h"

namespace comfreyspring::agent {

using nlohmann::json;

namespace {

constexpr core::milliseconds kPauseThreshold{1000};
// A heartbeat that arrives sooner after a pause may have waited in a socket
// during the pause, so it does not prove that the entry is still connected.
constexpr core::milliseconds kHeartbeatDelayAfterPause{20};
constexpr int kNotFound = 404;

std::unique_ptr<endpoint_runner> MakeRunner(net::event_loop& loop,
                                            net::http_client_interface& http,
                                            const agent_settings& settings) {
  if (settings.kind == core::endpoint_kind::engine) {
    return std::make_unique<engine_controller>(loop, http, settings.engine);
  }
  return std::make_unique<service_controller>(loop, http, settings.service);
}

ledger::ledger_options LedgerOptions(const agent_settings& settings,
                                     core::wall_time started_at) {
  ledger::ledger_options options;
  options.own_endpoint = settings.endpoint;
  options.started_at = started_at;
  options.maximum_records = settings.maximum_ledger_records;
  return options;
}

queue_options QueueOptions(const agent_settings& settings,
                           core::wall_time started_at,
                           trace::trace_writer* trace) {
  queue_options options;
  options.kind = settings.kind;
  options.random_seed = settings.random_seed;
  options.maximum_queue = settings.maximum_queue;
  options.attempts.started_at = started_at;
  options.trace = trace;
  return options;
}

}  // namespace

struct agent_program::impl : public link_events {
  impl(net::event_loop& event_loop, const agent_settings& chosen)
      : loop(event_loop),
        settings(chosen),
        started_at(loop.WallNow()),
        started(loop.Now()),
        http(loop),
        runner(MakeRunner(loop, http, settings)),
        links(loop, settings.links, *this),
        responses(links,
                  {.maximum_total_bytes = settings.maximum_replay_bytes}),
        ledger(loop, LedgerOptions(settings, started_at)),
        trace(
            trace::OpenTrace(settings.trace_file, settings.trace_limit_events)),
        queue(loop, QueueOptions(settings, started_at, trace.get()), *runner,
              ledger, responses, metrics),
        config(loop, links,
               [this](std::shared_ptr<const config::configuration> set) {
                 OnConfigurationAdopted(std::move(set));
               }),
        drain(loop, settings.endpoint, settings.drain_timeout,
              DrainCallbacks()),
        admin(loop, AdminOptions(),
              [this](const std::shared_ptr<net::http_exchange>& exchange) {
                OnAdminRequest(*exchange);
              }) {
    runner->SetListener(queue);
    runner->Begin();
    loop.OnPause(kPauseThreshold,
                 [this](core::milliseconds late) { OnPause(late); });
  }

  net::http_server_options AdminOptions() const {
    net::http_server_options options;
    options.address = settings.links.address;
    options.port = settings.admin_port;
    return options;
  }

  drain_callbacks DrainCallbacks() {
    return {
        .announce_leaving = [this] { links.Broadcast(wire::leaving{}); },
        .begin_drain =
            [this](core::time_point deadline) { queue.BeginDrain(deadline); },
        .abort_all = [this] { queue.AbortAll("agent_ended"); },
        .is_idle =
            [this] { return queue.IsIdle() && links.PendingBytes() == 0; },
        .on_finished = [this] { loop.Stop(); }};
  }

  // link_events.

  wire::hello MakeHello() override {
    wire::hello hello;
    hello.process = core::process_id(settings.endpoint.Value());
    hello.role = "agent";
    hello.instance_ms = core::UnixMilliseconds(started_at);
    hello.data_centre = settings.data_centre;
    hello.version = config.Version();
    hello.vm_list_revision = vm_list.revision;
    hello.report = queue.Report({});
    return hello;
  }

  void OnEntryHello(const entry_instance& entry,
                    const wire::hello& message) override {
    tracker.OnHello(entry, message.data_centre, loop.Now());
    RecordVersion(entry, message.version);
    SendVmListIfNewer(entry, message.vm_list_revision);
    if (drain.IsDraining()) links.Send(entry, wire::leaving{});
  }

  void OnEntryMessage(const entry_instance& entry,
                      const wire::message& message) override {
    std::visit([&](const auto& typed) { HandleMessage(entry, typed); },
               message);
  }

  void OnEntryLost(const entry_instance& entry) override {
    LOG(WARNING) << "agent.link: Lost entry " << entry.process << '.';
    queue.OnEntryLost(entry);
    tracker.OnLost(entry);
    entry_versions.erase(entry);
    config.OnEntryLost(entry);
  }

  // Messages.

  void HandleMessage(const entry_instance& entry,
                     const wire::heartbeat& message) {
    wire::heartbeat_reply reply;
    reply.nonce = message.nonce;
    reply.version = config.Version();
    reply.report = queue.Report({});
    tracker.OnHeartbeat(entry, message, loop.Now());
    if (message.wants_readers) tracker.FillReply(entry, reply, loop.Now());
    links.Send(entry, reply);
    RecordVersion(entry, message.version);
    SendVmListIfNewer(entry, message.vm_list_revision);
    if (paused_at && loop.Now() - *paused_at >= kHeartbeatDelayAfterPause) {
      paused_at.reset();
      queue.SetVerified(true);
    }
  }

  void HandleMessage(const entry_instance& entry,
                     const wire::config_request& message) {
    config.OnRequest(entry, message);
  }

  void HandleMessage(const entry_instance& entry,
                     const wire::config_part& message) {
    config.OnPart(entry, message);
  }

  void HandleMessage(const entry_instance&, const wire::vm_list& message) {
    // An empty list would mark every VM as gone.
    if (message.revision <= vm_list.revision || message.vms.empty()) return;
    vm_list = message;
    ledger.OnVmList(message);
  }

  void HandleMessage(const entry_instance&,
                     const wire::peer_versions& message) {
    // The message may have waited in the socket during the pause.
    if (paused_at) return;
    ledger.OnPeerVersions(message);
  }

  void HandleMessage(const entry_instance& entry, const wire::submit& message) {
    RecordVersion(entry, message.version);
    queue.OnSubmit(entry, message);
  }

  void HandleMessage(const entry_instance& entry,
                     const wire::withdraw& message) {
    queue.OnWithdraw(entry, message);
  }

  void HandleMessage(const entry_instance& entry, const wire::resume& message) {
    queue.OnResume(entry, message);
  }

  template <class Message>
  void HandleMessage(const entry_instance& entry, const Message&) {
    LOG(WARNING) << "agent.link: Ignored a message from entry " << entry.process
                 << " that only agents send.";
  }

  void RecordVersion(const entry_instance& entry,
                     core::config_version version) {
    core::config_version& newest = entry_versions[entry];
    newest = std::max(newest, version);
    config.OnVersionSeen(entry, version);
  }

  void SendVmListIfNewer(const entry_instance& entry, std::int64_t revision) {
    if (revision < vm_list.revision) links.Send(entry, vm_list);
  }

  // Process events.

  void OnConfigurationAdopted(
      std::shared_ptr<const config::configuration> set) {
    ledger.OnConfiguration(set);
    drain.OnConfiguration(set);
    // Entries with an older version wait for this update. New owners of keys
    // wait for the reports of the previous owners, so agents of plain services
    // notify every entry.
    wire::heartbeat_reply update;
    update.version = set->version;
    update.report = queue.Report({});
    if (settings.kind == core::endpoint_kind::plain_service) {
      links.Broadcast(update);
      return;
    }
    for (const auto& [entry, version] : entry_versions) {
      if (version < set->version) links.Send(entry, update);
    }
  }

  void OnPause(core::milliseconds late) {
    LOG(WARNING) << "agent.program: Process was paused for " << late.count()
                 << " ms; dispatching stops until its state is read again.";
    metrics.Count("agent_pauses_total");
    paused_at = loop.Now();
    queue.SetVerified(false);
    runner->Revalidate();
  }

  // Admin port.

  void OnAdminRequest(net::http_exchange& exchange) {
    const std::string& path = exchange.Request().path;
    if (path == "/healthz") {
      exchange.Respond(
          {.headers = {{"content-type", "text/plain"}}, .body = "ok\n"});
    } else if (path == "/debug/state") {
      exchange.Respond({.headers = {{"content-type", "application/json"}},
                        .body = State().dump(2, ' ', false,
                                             json::error_handler_t::replace)});
    } else if (path == "/metrics") {
      queue.UpdateMetrics();
      exchange.Respond({.headers = {{"content-type", "text/plain"}},
                        .body = metrics.ToText()});
    } else {
      exchange.Respond({.status = kNotFound, .body = "not found\n"});
    }
  }

  json State() const {
    const auto usage = telemetry::ReadProcessUsage();
    return {{"process",
             {{"endpoint", settings.endpoint.Value()},
              {"vm", settings.vm.Value()},
              {"data_centre", settings.data_centre.Value()},
              {"endpoint_kind", core::ToString(settings.kind)},
              {"instance_ms", core::UnixMilliseconds(started_at)},
              {"uptime_ms", core::ToMilliseconds(loop.Now() - started).count()},
              {"resident_bytes", usage.resident_bytes},
              {"processor_seconds", usage.processor_seconds},
              {"paused", paused_at.has_value()}}},
            {"configuration", config.ToJson()},
            {"vm_list_revision", vm_list.revision},
            {"queue", queue.ToJson()},
            {"endpoint", runner->ToJson()},
            {"ledger", ledger.ToJson()},
            {"links", links.ToJson()},
            {"drain", drain.ToJson()},
            {"metrics", metrics.ToJson()}};
  }

  net::event_loop& loop;
  agent_settings settings;
  core::wall_time started_at;
  core::time_point started;
  telemetry::metrics metrics;
  net::http_client http;
  std::unique_ptr<endpoint_runner> runner;
  wire::vm_list vm_list;
  std::optional<core::time_point> paused_at;
  entry_tracker tracker;
  /** Newest configuration version that each connected entry has reported. */
  std::map<entry_instance, core::config_version> entry_versions;
  link_controller links;
  response_channel responses;
  ledger_controller ledger;
  std::unique_ptr<trace::trace_writer> trace;
  queue_controller queue;
  config_relay config;
  drain_controller drain;
  net::http_server admin;
};

agent_program::agent_program(net::event_loop& loop,
                             const agent_settings& settings)
    : impl_(std::make_unique<impl>(loop, settings)) {}

agent_program::~agent_program() = default;

std::uint16_t agent_program::LinkPort() const { return impl_->links.Port(); }

std::uint16_t agent_program::AdminPort() const { return impl_->admin.Port(); }

void agent_program::Drain() { impl_->drain.OnTerminate(); }

}  // namespace comfreyspring::agent

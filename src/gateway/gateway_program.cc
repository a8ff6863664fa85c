#include "gateway/gateway_program.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "catalog/catalog_follower.h"
#include "core/error.h"
#include "gateway/caller_admission.h"
#include "gateway/caller_capacity.h"
#include "gateway/caller_limits.h"
#include "gateway/quota_client.h"
#include "gateway/request_forwarder.h"
#include "gateway/sidecar_links.h"
#include "gateway/stream_takeups.h"
#include "net/http_server.h"
#include "net/persistent_http_server.h"
#include "telemetry/metrics.h"

namespace comfreyspring::gateway {
namespace {

constexpr core::milliseconds kLogFlushPeriod{50};
/**
 * An iteration of the event loop that is later than this counts as a pause of
 * the process.
 */
constexpr core::milliseconds kPauseThreshold{300};
/**
 * A new process that has read the catalog is ready after this time, even if
 * sidecar links are missing.
 */
constexpr core::milliseconds kMaximumStartupWait{1500};
constexpr core::milliseconds kDrainCheckPeriod{50};
/**
 * The balancer probes readiness once a second and removes a gateway after two
 * failures. Callers that arrive later use an old connection, and might not be
 * served before the process ends.
 */
constexpr core::milliseconds kMinimumDrain{2500};
/** Part of the grace period that is reserved for ending the process. */
constexpr core::milliseconds kExitReserve{200};
/** Part before it that is reserved for writing the last responses. */
constexpr core::milliseconds kLastResponseReserve{300};
/**
 * Part (1/n) of the grace period in which requests are still sent to endpoints.
 * An ordinary run that begins then ends before the process does.
 */
constexpr int kStartTimeDivisor = 2;
/**
 * Time without a listening socket before the process ends, in which requests on
 * connections that were just opened are still refused.
 */
constexpr core::milliseconds kListenerLinger{100};
/** A request or a response without progress is ended after this. */
constexpr core::seconds kProgressTimeout{30};
/** For readiness checks and for operators, who send no large bodies. */
constexpr std::size_t kOperatorBodyBytes = 64 * 1024;
constexpr unsigned kOperatorConnections = 256;
/** In force until there is a configuration. */
constexpr std::size_t kMaximumBodyBytes = 8 * 1024 * 1024;
/** Memory for the request line, the header fields and their index. */
constexpr std::size_t kHeaderMemoryBytes = 40 * 1024;
/** Configured limits are in force up to these. */
constexpr std::size_t kHighestHeaderBytes = 32 * 1024;
constexpr std::size_t kHighestBodyBytes = 32 * 1024 * 1024;

net::http_server_options ServerOptions(
    const std::optional<core::network_address>& address, const char* name) {
  if (!address) {
    throw core::invalid_value_error(std::string("the settings file has no ") +
                                    name + " listener");
  }
  return {.address = address->ip,
          .port = address->port,
          .maximum_body_bytes = kMaximumBodyBytes,
          .maximum_header_bytes = kHeaderMemoryBytes,
          .idle_timeout = kProgressTimeout};
}

net::http_server_options CallerServerOptions(
    const settings::node_settings& settings, const caller_capacity& capacity,
    std::function<void(const net::overload_event&)> on_overload,
    std::function<void(const net::refusal_event&)> on_refusal) {
  auto options = ServerOptions(settings.caller_listener, "caller");
  options.maximum_connections = capacity.connections;
  options.maximum_lingering_connections = capacity.lingering_connections;
  options.body_memory = capacity.bodies;
  options.on_overload = std::move(on_overload);
  options.on_refusal = std::move(on_refusal);
  return options;
}

net::http_server_options OperatorServerOptions(
    const caller_capacity& capacity,
    const std::optional<core::network_address>& address, const char* name) {
  auto options = ServerOptions(address, name);
  options.maximum_body_bytes = kOperatorBodyBytes;
  options.maximum_connections =
      std::min(kOperatorConnections, capacity.connections);
  options.maximum_lingering_connections = capacity.lingering_connections;
  return options;
}

}  // namespace

struct gateway_program::impl : public catalog::follower_listener,
                               public sidecar_listener {
  impl(net::event_loop& owning_loop, const settings::node_settings& node,
       catalog::catalog_source& source, const traffic_protocol& protocol,
       net::http_client_interface& http, telemetry::event_log& event_log,
       net::tcp_socket caller_listener)
      : loop(owning_loop),
        settings(node),
        log(event_log),
        started_at(loop.Now()),
        follower(loop, source,
                 {.change_bound = settings.change_bound, .random_seed = Seed()},
                 *this, log),
        quotas(loop, log, metrics, core::random_source(Seed())),
        admission(settings, follower, quotas, metrics,
                  core::random_source(Seed())),
        takeups(loop, log, metrics),
        forwarder(loop, settings, protocol, http, follower, log, metrics),
        links(loop,
              {.gateway = settings.node,
               .port = settings.first_internal_port,
               .random_seed = Seed()},
              *this, log),
        caller_server(
            loop,
            CallerServerOptions(
                settings, capacity,
                [this](const auto& event) { OnOverload(event); },
                [this](const auto& event) { OnRefusal(event); }),
            [this](std::shared_ptr<net::http_exchange> exchange) {
              forwarder.OnRequest(std::move(exchange));
            },
            std::move(caller_listener)),
        readiness_server(
            loop,
            OperatorServerOptions(capacity, settings.readiness_listener,
                                  "readiness"),
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
              exchange->Respond({IsReady() ? 200 : 503, {}, ""});
            },
            LogOf("readiness listener")) {
    forwarder.SetLinks(links);
    quotas.SetLinks(links);
    takeups.SetLinks(links);
    forwarder.SetAdmission(admission);
    forwarder.SetTakeups(takeups);
    if (settings.admin_listener) {
      admin_server.emplace(
          loop,
          OperatorServerOptions(capacity, settings.admin_listener, "admin"),
          [this](const std::shared_ptr<net::http_exchange>& exchange) {
            HandleAdminRequest(*exchange);
          },
          LogOf("admin listener"));
    }
    loop.OnPause(kPauseThreshold, [this](core::milliseconds length) {
      log.SystemEvent("pause_noticed").Add("length_ms", length.count());
      links.OnPaused(length);
      forwarder.OnPaused();
      quotas.OnPaused();
      follower.OnPaused(length);
    });
    flush_timer =
        loop.SchedulePeriodic(kLogFlushPeriod, [this] { log.Flush(); });
    log.SystemEvent("caller_capacity")
        .Add("connections", static_cast<std::size_t>(capacity.connections))
        .Add("large_body_bytes", capacity.bodies.large_bytes)
        .Add("small_body_bytes", capacity.bodies.small_bytes);
    follower.Start();
  }

  ~impl() override {
    loop.Cancel(flush_timer);
    loop.Cancel(drain_timer);
    loop.Cancel(limits_timer);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::uint64_t Seed() const {
    return static_cast<std::uint64_t>(core::UnixMilliseconds(loop.WallNow()));
  }

  std::function<void(const net::listen_event&)> LogOf(std::string listener) {
    return [this, listener = std::move(listener)](const auto& event) {
      log.Dependency(listener, event.is_listening ? "regained" : "lost")
          .Add("reason", event.reason);
    };
  }

  bool IsReady() {
    if (stopping || !follower.Routes() || !follower.IsComplete()) return false;
    if (!was_ready) {
      // Ready once half of the sidecar links are open, or after the maximum
      // wait.
      was_ready = links.OpenCount() * 2 >= links.TargetCount() ||
                  loop.Now() - started_at >= kMaximumStartupWait;
      if (was_ready) {
        log.Process("ready")
            .Add("after_ms",
                 core::ToMilliseconds(loop.Now() - started_at).count())
            .Add("sidecars", links.OpenCount())
            .Add("of", links.TargetCount());
      }
    }
    return was_ready;
  }

  // follower_listener.

  void OnConfiguration(
      const std::shared_ptr<const catalog::route_table>& table) override {
    AdoptLimits(*table);
    forwarder.OnConfiguration(table);
  }
  void OnEndpoint(const catalog::endpoint_change& change) override {
    takeups.OnEndpoint(change);
    forwarder.OnEndpoint(change);
  }

  void OnLocalRead(const catalog::change_batch& batch) override {
    links.SendToRelays(batch);
  }

  // Limits on callers.

  void AdoptLimits(const catalog::route_table& table) {
    const catalog::client_limits& wanted = table.Content().limits;
    for (const std::string& name : limits_in_force.Adopt(wanted, loop.Now())) {
      log.SystemEvent("limit_out_of_bounds")
          .Add("configuration", table.Version())
          .Add("limit", name);
    }
    ApplyLimits();
    const auto in_force = limits_in_force.At(loop.Now());
    log.SystemEvent("caller_limits")
        .Add("configuration", table.Version())
        .Add("header_bytes", in_force.maximum_header_bytes)
        .Add("body_bytes", in_force.maximum_body_bytes)
        .Add("header_timeout_ms", in_force.header_timeout.count())
        .Add("idle_timeout_ms", in_force.idle_timeout.count())
        .Add("wanted_idle_timeout_ms", wanted.idle_timeout.count());
  }

  void ApplyLimits() {
    const auto now = loop.Now();
    caller_server.SetLimits(limits_in_force.At(now));
    loop.Cancel(std::exchange(limits_timer, 0));
    const auto next = limits_in_force.NextChange(now);
    if (!next) return;
    limits_timer = loop.Schedule(
        std::chrono::ceil<core::milliseconds>(*next - now), [this] {
          limits_timer = 0;
          ApplyLimits();
        });
  }

  void OnOverload(const net::overload_event& event) {
    const std::string what = net::ToString(event.what);
    metrics.Count("gateway_overload_" + what + "_total");
    log.SystemEvent("caller_overload")
        .Add("action", what)
        .Add("body_bytes", event.body_bytes)
        .Add("held_body_bytes", event.held_bytes);
  }

  void OnRefusal(const net::refusal_event& event) {
    metrics.Count("gateway_requests_not_accepted_total{cause=\"" + event.type +
                  "\"}");
    log.SystemEvent("request_not_accepted")
        .Add("status", event.status)
        .Add("cause", event.type)
        .Add("reason", event.reason);
  }

  // sidecar_listener.

  void OnSidecarSilent(const std::string& ip) override {
    forwarder.OnSidecarSilent(ip);
  }
  void OnVmHeard(const std::string& ip) override { forwarder.OnVmHeard(ip); }
  void OnSidecarLost(const std::string& ip) override {
    follower.SetReaderRank(links.ReaderRank());
    forwarder.OnSidecarLost(ip);
    quotas.OnSidecarLost(ip);
  }
  void OnSidecarMessage(const std::string& ip,
                        const grants::message& value) override {
    if (const auto* batch = std::get_if<catalog::change_batch>(&value)) {
      follower.OnPeerRead(*batch);
      return;
    }
    quotas.OnSidecarMessage(value);
    if (std::holds_alternative<grants::quota_answer>(value)) return;
    takeups.OnSidecarMessage(ip, value);
    if (std::holds_alternative<grants::origin_answer>(value)) return;
    if (std::holds_alternative<grants::status_report>(value)) {
      follower.SetReaderRank(links.ReaderRank());
    }
    forwarder.OnSidecarMessage(ip, value);
  }

  // Admin requests.

  void HandleAdminRequest(net::http_exchange& exchange) {
    if (exchange.Request().path == "/debug/state") {
      exchange.Respond(
          {200, {{"content-type", "application/json"}}, forwarder.Dump()});
      return;
    }
    if (exchange.Request().path == "/debug/quotas") {
      exchange.Respond(
          {200, {{"content-type", "application/json"}}, quotas.Dump()});
      return;
    }
    if (exchange.Request().path == "/metrics") {
      forwarder.UpdateMetrics();
      metrics.SetGauge("log_lines_dropped", static_cast<double>(log.Dropped()));
      const catalog::follower_statistics& catalog = follower.Statistics();
      metrics.SetGauge("gateway_catalog_failed_reads_total",
                       static_cast<double>(catalog.failed_reads));
      metrics.SetGauge("gateway_catalog_discarded_bytes_total",
                       static_cast<double>(catalog.discarded_bytes));
      metrics.SetGauge("gateway_catalog_batches_after_gap_total",
                       static_cast<double>(catalog.batches_after_gap));
      metrics.SetGauge("gateway_body_bytes",
                       static_cast<double>(caller_server.BodyBytes()));
      metrics.SetGauge("gateway_caller_connections",
                       static_cast<double>(caller_server.ConnectionCount()));
      exchange.Respond(
          {200, {{"content-type", "text/plain"}}, metrics.ToText()});
      return;
    }
    exchange.Respond(
        {404, {}, "unknown path; try /metrics, /debug/state, /debug/quotas\n"});
  }

  // Shutdown.

  void Stop() {
    if (stopping) return;
    stopping = true;
    stop_requested_at = loop.Now();
    log.Process("stopping").Add("requests", forwarder.ActiveCount());
    forwarder.BeginDrain(
        stop_requested_at + settings.stop_grace / kStartTimeDivisor,
        stop_requested_at + settings.stop_grace - kExitReserve -
            kLastResponseReserve);
    drain_timer =
        loop.SchedulePeriodic(kDrainCheckPeriod, [this] { CheckDrained(); });
  }

  void CheckDrained() {
    const auto passed = core::ToMilliseconds(loop.Now() - stop_requested_at);
    if (passed >= kMinimumDrain) forwarder.RefuseNew();
    if (passed >= settings.stop_grace - kExitReserve) {
      End();
      return;
    }
    // Responses that the forwarder has finished may still have to be written.
    const bool idle = passed >= kMinimumDrain && forwarder.ActiveCount() == 0 &&
                      caller_server.UnfinishedCount() == 0;
    if (!idle) return;
    if (!listener_closed_at) {
      listener_closed_at = loop.Now();
      caller_server.StopAccepting();
    } else if (loop.Now() - *listener_closed_at >= kListenerLinger) {
      End();
    }
  }

  void End() {
    loop.Cancel(std::exchange(drain_timer, 0));
    log.Process("stopped")
        .Add("after_ms",
             core::ToMilliseconds(loop.Now() - stop_requested_at).count())
        .Add("requests_cut", forwarder.ActiveCount())
        .Add("responses_cut", caller_server.UnfinishedCount());
    forwarder.LogCutRequests();
    log.Flush();
    loop.Stop();
  }

  net::event_loop& loop;
  const settings::node_settings& settings;
  telemetry::event_log& log;
  telemetry::metrics metrics;
  core::time_point started_at;
  bool was_ready = false;
  bool stopping = false;
  core::time_point stop_requested_at;
  std::optional<core::time_point> listener_closed_at;
  catalog::catalog_follower follower;
  quota_client quotas;
  caller_admission admission;
  stream_takeups takeups;
  request_forwarder forwarder;
  sidecar_links links;
  caller_limits limits_in_force{{.maximum_header_bytes = kHeaderMemoryBytes,
                                 .maximum_body_bytes = kMaximumBodyBytes,
                                 .header_timeout = kProgressTimeout,
                                 .idle_timeout = kProgressTimeout},
                                {.maximum_header_bytes = kHighestHeaderBytes,
                                 .maximum_body_bytes = kHighestBodyBytes},
                                settings.change_bound / 2};
  const caller_capacity capacity = CapacityFor(settings);
  net::http_server caller_server;
  net::persistent_http_server readiness_server;
  std::optional<net::persistent_http_server> admin_server;
  net::timer_id flush_timer = 0;
  net::timer_id drain_timer = 0;
  net::timer_id limits_timer = 0;
};

gateway_program::gateway_program(net::event_loop& loop,
                                 const settings::node_settings& settings,
                                 catalog::catalog_source& source,
                                 const traffic_protocol& protocol,
                                 net::http_client_interface& http,
                                 telemetry::event_log& log,
                                 net::tcp_socket caller_listener)
    : impl_(std::make_unique<impl>(loop, settings, source, protocol, http, log,
                                   std::move(caller_listener))) {}

gateway_program::~gateway_program() = default;

std::uint16_t gateway_program::CallerPort() const {
  return impl_->caller_server.Port();
}
std::uint16_t gateway_program::ReadinessPort() const {
  return impl_->readiness_server.Port();
}
std::uint16_t gateway_program::AdminPort() const {
  return impl_->admin_server ? impl_->admin_server->Port() : 0;
}
bool gateway_program::IsReady() const { return impl_->IsReady(); }
void gateway_program::Stop() { impl_->Stop(); }
void gateway_program::AnswerOperator(net::http_exchange& exchange) {
  impl_->HandleAdminRequest(exchange);
}

}  // namespace comfreyspring::gateway

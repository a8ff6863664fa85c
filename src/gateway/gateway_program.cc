#include "gateway/gateway_program.h"

#include <string>
#include <utility>

#include "catalog/catalog_follower.h"
#include "core/error.h"
#include "gateway/request_forwarder.h"
#include "gateway/sidecar_links.h"
#include "net/http_server.h"
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
constexpr core::milliseconds kStopReserve{400};
/** Longer than callers keep an idle connection. */
constexpr core::seconds kCallerIdleTimeout{30};
constexpr unsigned kMaximumConnections = 3000;
constexpr std::size_t kMaximumBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaximumHeaderBytes = 40 * 1024;

net::http_server_options ServerOptions(
    const std::optional<core::network_address>& address, const char* name) {
  if (!address) {
    throw core::invalid_value_error(std::string("the settings file has no ") +
                                    name + " listener");
  }
  return {.address = address->ip,
          .port = address->port,
          .maximum_body_bytes = kMaximumBodyBytes,
          .maximum_header_bytes = kMaximumHeaderBytes,
          .maximum_connections = kMaximumConnections,
          .idle_timeout = kCallerIdleTimeout};
}

}  // namespace

struct gateway_program::impl : public catalog::follower_listener,
                               public sidecar_listener {
  impl(net::event_loop& owning_loop, const settings::node_settings& node,
       catalog::catalog_source& source, const traffic_protocol& protocol,
       net::http_client_interface& http, telemetry::event_log& event_log)
      : loop(owning_loop),
        settings(node),
        log(event_log),
        started_at(loop.Now()),
        follower(loop, source,
                 {.change_bound = settings.change_bound, .random_seed = Seed()},
                 *this, log),
        forwarder(loop, settings, protocol, http, follower, log, metrics),
        links(loop,
              {.gateway = settings.node,
               .port = settings.first_internal_port,
               .random_seed = Seed()},
              *this, log),
        caller_server(loop, ServerOptions(settings.caller_listener, "caller"),
                      [this](std::shared_ptr<net::http_exchange> exchange) {
                        forwarder.OnRequest(std::move(exchange));
                      }),
        readiness_server(
            loop, ServerOptions(settings.readiness_listener, "readiness"),
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
              exchange->Respond({IsReady() ? 200 : 503, {}, ""});
            }) {
    forwarder.SetLinks(links);
    if (settings.admin_listener) {
      admin_server.emplace(
          loop, ServerOptions(settings.admin_listener, "admin"),
          [this](const std::shared_ptr<net::http_exchange>& exchange) {
            HandleAdminRequest(*exchange);
          });
    }
    loop.OnPause(kPauseThreshold, [this](core::milliseconds length) {
      log.SystemEvent("pause_noticed").Add("length_ms", length.count());
      links.OnPaused();
      forwarder.OnPaused();
      follower.OnPaused(length);
    });
    flush_timer =
        loop.SchedulePeriodic(kLogFlushPeriod, [this] { log.Flush(); });
    follower.Start();
  }

  ~impl() override {
    loop.Cancel(flush_timer);
    loop.Cancel(drain_timer);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::uint64_t Seed() const {
    return static_cast<std::uint64_t>(core::UnixMilliseconds(loop.WallNow()));
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
    forwarder.OnConfiguration(table);
  }
  void OnEndpoint(const catalog::endpoint_change& change) override {
    forwarder.OnEndpoint(change);
  }

  void OnLocalRead(const catalog::change_batch& batch) override {
    links.SendToRelays(batch);
  }

  // sidecar_listener.

  void OnSidecarLost(const std::string& ip) override {
    follower.SetReaderRank(links.ReaderRank());
    forwarder.OnSidecarLost(ip);
  }
  void OnSidecarMessage(const std::string& ip,
                        const grants::message& value) override {
    if (const auto* batch = std::get_if<catalog::change_batch>(&value)) {
      follower.OnPeerRead(*batch);
      return;
    }
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
    if (exchange.Request().path == "/metrics") {
      forwarder.UpdateMetrics();
      metrics.SetGauge("log_lines_dropped", static_cast<double>(log.Dropped()));
      exchange.Respond(
          {200, {{"content-type", "text/plain"}}, metrics.ToText()});
      return;
    }
    exchange.Respond({404, {}, "unknown path; try /metrics, /debug/state\n"});
  }

  // Shutdown.

  void Stop() {
    if (stopping) return;
    stopping = true;
    stop_requested_at = loop.Now();
    log.Process("stopping").Add("requests", forwarder.ActiveCount());
    forwarder.BeginDrain();
    drain_timer =
        loop.SchedulePeriodic(kDrainCheckPeriod, [this] { CheckDrained(); });
  }

  void CheckDrained() {
    const auto passed = core::ToMilliseconds(loop.Now() - stop_requested_at);
    if (passed >= kMinimumDrain) forwarder.RefuseNew();
    // Responses that the forwarder has finished may still have to be written.
    const bool idle = passed >= kMinimumDrain && forwarder.ActiveCount() == 0 &&
                      caller_server.UnfinishedCount() == 0;
    if (!idle && passed < settings.stop_grace - kStopReserve) return;
    loop.Cancel(std::exchange(drain_timer, 0));
    log.Process("stopped")
        .Add("after_ms", passed.count())
        .Add("requests_cut", forwarder.ActiveCount());
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
  catalog::catalog_follower follower;
  request_forwarder forwarder;
  sidecar_links links;
  net::http_server caller_server;
  net::http_server readiness_server;
  std::optional<net::http_server> admin_server;
  net::timer_id flush_timer = 0;
  net::timer_id drain_timer = 0;
};

gateway_program::gateway_program(net::event_loop& loop,
                                 const settings::node_settings& settings,
                                 catalog::catalog_source& source,
                                 const traffic_protocol& protocol,
                                 net::http_client_interface& http,
                                 telemetry::event_log& log)
    : impl_(std::make_unique<impl>(loop, settings, source, protocol, http,
                                   log)) {}

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

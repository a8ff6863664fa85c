#include "sidecar/sidecar_program.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "grants/messages.h"
#include "net/frame_link.h"
#include "net/http_server.h"
#include "sidecar/engine_steward.h"
#include "telemetry/metrics.h"

namespace comfreyspring::sidecar {
namespace {

/** Gateways learn within this time how full the engine is ... */
constexpr core::milliseconds kStatusPeriod{100};
/** ... or less often when so many read it: about 80 messages a second. */
constexpr core::milliseconds kStatusPeriodPerLink{12};
constexpr core::milliseconds kLogFlushPeriod{50};
constexpr core::milliseconds kStateLogPeriod{5000};
/** A later turn than this means that the process was paused. */
constexpr core::milliseconds kPauseThreshold{300};
constexpr std::size_t kMaximumLinks = 1024;
/**
 * A gateway says hello each second. Without a sign of life for this long its
 * VM is gone, or the way from it is cut while its own receives: the link is
 * closed, so that it connects anew and the places of its requests come free.
 */
constexpr core::milliseconds kGatewaySilence{2500};
/** Answers on their way to gateways before the process ends. */
constexpr core::milliseconds kStopDelay{200};

}  // namespace

struct sidecar_program::impl {
  struct gateway_link {
    std::shared_ptr<net::frame_link> link;
    std::string gateway;
    std::uint64_t sent_revision = 0;
    core::time_point heard_at;
  };

  impl(net::event_loop& owning_loop, const settings::node_settings& settings,
       engine_port& engine, telemetry::event_log& event_log)
      : loop(owning_loop),
        log(event_log),
        steward(
            loop, engine,
            {.node = settings.node,
             .grants = {.random_seed = static_cast<std::uint64_t>(
                            core::UnixMilliseconds(loop.WallNow()))}},
            [this](std::uint64_t link, const grants::message& value) {
              Send(link, value);
            },
            log, metrics),
        listener(loop, settings.ip, settings.first_internal_port,
                 {.maximum_pending_bytes = 1024 * 1024}, kMaximumLinks,
                 [this](const std::shared_ptr<net::frame_link>& link) {
                   return Accept(link);
                 }),
        admin(loop,
              {.address = settings.ip, .port = settings.last_internal_port},
              [this](const std::shared_ptr<net::http_exchange>& exchange) {
                AnswerAdmin(*exchange);
              }) {
    loop.OnPause(kPauseThreshold, [this](core::milliseconds length) {
      steward.OnPaused(length);
      // What was sent meanwhile is still to be read.
      for (auto& [id, gateway] : links) gateway.heard_at = loop.Now();
    });
    flush_timer =
        loop.SchedulePeriodic(kLogFlushPeriod, [this] { log.Flush(); });
    state_timer =
        loop.SchedulePeriodic(kStateLogPeriod, [this] { steward.LogState(); });
    ScheduleStatus();
    steward.Start();
  }

  ~impl() {
    loop.Cancel(flush_timer);
    loop.Cancel(state_timer);
    loop.Cancel(status_timer);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  // Links.

  net::frame_link_callbacks Accept(
      const std::shared_ptr<net::frame_link>& link) {
    const std::uint64_t id = ++last_link;
    links[id] = {link, link->PeerName(), 0, loop.Now()};
    return {
        .on_open = [this, id] { SendStatus(id, links.at(id)); },
        .on_frame = [this, id](std::string_view frame) { Receive(id, frame); },
        .on_closed = [this,
                      id](const std::string& reason) { Lose(id, reason); }};
  }

  void Lose(std::uint64_t id, const std::string& reason) {
    log.Dependency("gateway " + links.at(id).gateway, "lost")
        .Add("reason", reason);
    links.erase(id);
    steward.OnLinkLost(id);
  }

  void CloseSilentLinks() {
    std::vector<std::uint64_t> silent;
    for (const auto& [id, gateway] : links) {
      if (loop.Now() - gateway.heard_at > kGatewaySilence) silent.push_back(id);
    }
    for (const std::uint64_t id : silent) {
      links.at(id).link->Close();
      Lose(id, "silent");
    }
  }

  void Receive(std::uint64_t id, std::string_view frame) {
    links.at(id).heard_at = loop.Now();
    try {
      const grants::message value = grants::Decode(frame);
      if (const auto* hello = std::get_if<grants::gateway_hello>(&value)) {
        auto& name = links.at(id).gateway;
        if (name != hello->gateway.Value()) {
          name = hello->gateway.Value();
          log.Dependency("gateway " + name, "regained");
        }
      }
      steward.OnMessage(id, value);
    } catch (const core::error& failure) {
      log.Belief("message_unreadable")
          .Add("gateway", links.at(id).gateway)
          .Add("reason", failure.what());
    }
  }

  void Send(std::uint64_t id, const grants::message& value) {
    const auto found = links.find(id);
    if (found != links.end()) found->second.link->Send(grants::Encode(value));
  }

  // Status.

  void ScheduleStatus() {
    const auto period = std::max(
        kStatusPeriod, kStatusPeriodPerLink * static_cast<int>(links.size()));
    status_timer = loop.Schedule(period, [this] {
      CloseSilentLinks();
      SendStatusToAll();
      ScheduleStatus();
    });
  }

  grants::status_report MakeReport() const {
    grants::status_report report{steward.Status(), true};
    report.status.gateways = links.size();
    return report;
  }

  void SendStatusToAll() {
    grants::status_report report = MakeReport();
    const std::uint64_t revision = report.status.adapters_revision;
    // Encoded for the first link that needs it; most periods none does.
    std::string full;
    report.has_adapters = false;
    const std::string brief = grants::Encode(report);
    report.has_adapters = true;
    for (auto& [id, gateway] : links) {
      const bool changed = gateway.sent_revision != revision;
      if (changed && full.empty()) full = grants::Encode(report);
      gateway.link->Send(changed ? full : brief);
      gateway.sent_revision = revision;
    }
  }

  void SendStatus(std::uint64_t id, gateway_link& gateway) {
    const grants::status_report report = MakeReport();
    gateway.sent_revision = report.status.adapters_revision;
    Send(id, report);
  }

  // Operators.

  void AnswerAdmin(net::http_exchange& exchange) {
    steward.UpdateMetrics();
    metrics.SetGauge("sidecar_gateway_links",
                     static_cast<double>(links.size()));
    metrics.SetGauge("log_lines_dropped", static_cast<double>(log.Dropped()));
    exchange.Respond({200, {{"content-type", "text/plain"}}, metrics.ToText()});
  }

  void Stop() {
    if (stopping) return;
    stopping = true;
    log.Process("stopping").Add("running", steward.Scheduler().Running());
    steward.Stop();
    SendStatusToAll();
    loop.Schedule(kStopDelay, [this] {
      log.Process("stopped");
      log.Flush();
      loop.Stop();
    });
  }

  net::event_loop& loop;
  telemetry::event_log& log;
  telemetry::metrics metrics;
  std::map<std::uint64_t, gateway_link> links;
  std::uint64_t last_link = 0;
  engine_steward steward;
  net::frame_listener listener;
  net::http_server admin;
  net::timer_id flush_timer = 0;
  net::timer_id status_timer = 0;
  net::timer_id state_timer = 0;
  bool stopping = false;
};

sidecar_program::sidecar_program(net::event_loop& loop,
                                 const settings::node_settings& settings,
                                 engine_port& engine, telemetry::event_log& log)
    : impl_(std::make_unique<impl>(loop, settings, engine, log)) {}

sidecar_program::~sidecar_program() = default;

std::uint16_t sidecar_program::LinkPort() const {
  return impl_->listener.Port();
}
std::uint16_t sidecar_program::AdminPort() const { return impl_->admin.Port(); }
void sidecar_program::Stop() { impl_->Stop(); }

}  // namespace comfreyspring::sidecar

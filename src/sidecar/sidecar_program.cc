#include "sidecar/sidecar_program.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catalog/transit_time.h"
#include "core/error.h"
#include "core/hash.h"
#include "grants/messages.h"
#include "net/frame_link.h"
#include "net/persistent_http_server.h"
#include "net/receive_watch.h"
#include "origins/origin_table.h"
#include "sidecar/adapter_list_updates.h"
#include "sidecar/catalog_relay.h"
#include "sidecar/quota_counter.h"
#include "sidecar/scheduler_driver.h"
#include "sidecar/slot_driver.h"
#include "telemetry/metrics.h"

namespace comfreyspring::sidecar {
namespace {

/** Status interval for gateways with waiting requests. */
constexpr core::milliseconds kStatusPeriod{100};
/**
 * Status interval for other gateways, per link: limits the total to about 80
 * messages per second.
 */
constexpr core::milliseconds kStatusPeriodPerLink{12};
constexpr core::milliseconds kMaximumStatusPeriod{2000};
constexpr core::milliseconds kLogFlushPeriod{50};
constexpr core::milliseconds kStateLogPeriod{5000};
/** The process counts as suspended if the event loop was delayed for longer. */
constexpr core::milliseconds kPauseThreshold{300};
constexpr std::size_t kMaximumLinks = 1024;
/**
 * A fraction of the time after which a gateway without confirmation reads the
 * catalog itself.
 */
constexpr core::milliseconds kConfirmationPeriod{200};
/**
 * A link is closed if its gateway has sent nothing for this long, or for
 * kMissedHellosLimit times its announced hello interval if that is longer.
 * Either the gateway's VM is gone, or only the path from it is broken while it
 * still receives. Closing the link makes the gateway reconnect and frees the
 * slots of its requests.
 */
constexpr core::milliseconds kGatewayTimeout{2500};
constexpr int kMissedHellosLimit = 3;
/** Time for sending pending messages before the process ends. */
constexpr core::milliseconds kStopDelay{200};

}  // namespace

struct sidecar_program::impl {
  struct gateway_link {
    std::shared_ptr<net::frame_link> link;
    std::string gateway;
    adapter_list_updates adapters;
    net::receive_watch received;
    catalog::transit_time transit;
    core::milliseconds timeout = kGatewayTimeout;
    core::time_point status_due;
    std::size_t reader_rank = 0;
    std::uint64_t limits_observed = 0;
  };

  impl(net::event_loop& owning_loop, const settings::node_settings& settings,
       engine_port& engine, telemetry::event_log& event_log,
       net::tcp_socket link_listener)
      : loop(owning_loop),
        log(event_log),
        driver(
            loop, engine,
            {.node = settings.node,
             .grants = {.random_seed = static_cast<std::uint64_t>(
                            core::UnixMilliseconds(loop.WallNow())),
                        .sheds_by_value = settings.sheds_by_value}},
            [this](std::uint64_t link, const grants::message& value) {
              Send(link, value);
            },
            [this](const grants::message& value) { SendToAll(value); }, log,
            metrics),
        tenant_quotas(
            loop,
            [this](std::uint64_t link, const grants::message& value) {
              Send(link, value);
            },
            log, metrics),
        slots(
            loop,
            [this](std::uint64_t link, const grants::message& value) {
              Send(link, value);
            },
            log, metrics),
        listener(loop, std::move(link_listener),
                 {.maximum_pending_bytes = 1024 * 1024}, kMaximumLinks,
                 [this](const std::shared_ptr<net::frame_link>& link) {
                   return Accept(link);
                 }),
        admin(
            loop, {.address = settings.ip, .port = settings.last_internal_port},
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
              AnswerAdmin(*exchange);
            },
            [this](const net::listen_event& event) {
              log.Dependency("admin listener",
                             event.is_listening ? "regained" : "lost")
                  .Add("reason", event.reason);
            }) {
    loop.OnPause(kPauseThreshold, [this](core::milliseconds length) {
      driver.OnPaused(length);
      relay.OnPaused(length, loop.Now());
      // Messages sent while the process was suspended are still to be read.
      for (auto& [id, gateway] : links) {
        gateway.received.OnPaused(length, loop.Now());
      }
    });
    flush_timer =
        loop.SchedulePeriodic(kLogFlushPeriod, [this] { log.Flush(); });
    state_timer = loop.SchedulePeriodic(kStateLogPeriod, [this] {
      driver.LogState();
      slots.LogState();
    });
    status_timer = loop.SchedulePeriodic(kStatusPeriod, [this] {
      CloseTimedOutLinks();
      SendDueStatuses();
      SendBatches(relay.OnTick(loop.Now()));
    });
    driver.OnStatusChange([this] {
      for (auto& [id, gateway] : links) gateway.status_due = loop.Now();
    });
    driver.Start();
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
    gateway_link& added = links[id];
    added.link = link;
    added.gateway = link->PeerName();
    added.received.Restart(loop.Now());
    return {
        .on_open = [this, id] { SendStatus(links.at(id)); },
        .on_frame = [this, id](std::string_view frame) { Receive(id, frame); },
        .on_closed =
            [this, id](const std::string& reason) { RemoveLink(id, reason); }};
  }

  void RemoveLink(std::uint64_t id, const std::string& reason) {
    log.Dependency("gateway " + links.at(id).gateway, "lost")
        .Add("reason", reason);
    links.erase(id);
    AssignReaderRanks();
    driver.OnLinkLost(id);
    tenant_quotas.OnLinkLost(id);
    slots.OnLinkLost(id);
  }

  void CloseTimedOutLinks() {
    std::vector<std::uint64_t> idle;
    for (auto& [id, gateway] : links) {
      gateway.received.OnTick(gateway.link->ReceivedBytes(), loop.Now());
      const auto silence = loop.Now() - gateway.received.ReceivedAt();
      if (silence > gateway.timeout) idle.push_back(id);
    }
    for (const std::uint64_t id : idle) {
      links.at(id).link->Close();
      RemoveLink(id, "silent");
    }
  }

  void Receive(std::uint64_t id, std::string_view frame) {
    links.at(id).received.Restart(loop.Now());
    try {
      grants::message value = grants::Decode(frame);
      if (const auto* hello = std::get_if<grants::gateway_hello>(&value)) {
        OnHello(id, *hello);
      }
      if (auto* batch = std::get_if<grants::change_batch>(&value)) {
        links.at(id).transit.AddTo(*batch, loop.Now());
        SendBatches(relay.OnBatch(*batch, loop.Now()));
        return;
      }
      if (const auto* ask = std::get_if<grants::quota_ask>(&value)) {
        tenant_quotas.OnAsk(id, *ask);
        return;
      }
      if (const auto* began = std::get_if<grants::stream_began>(&value)) {
        stream_origins.Add(began->stream, began->origin, loop.Now());
        return;
      }
      if (const auto* query = std::get_if<grants::origin_query>(&value)) {
        Send(id, grants::origin_answer{
                     query->number,
                     stream_origins.Find(query->stream, loop.Now())});
        return;
      }
      if (std::holds_alternative<grants::limit_observed>(value)) {
        ++links.at(id).limits_observed;
      }
      if (!slots.OnMessage(id, value)) driver.OnMessage(id, value);
    } catch (const std::exception& failure) {
      // An error in one message must not end the process.
      log.SystemEvent("message_unreadable")
          .Add("gateway", links.at(id).gateway)
          .Add("reason", failure.what());
    }
  }

  void OnHello(std::uint64_t id, const grants::gateway_hello& hello) {
    gateway_link& gateway = links.at(id);
    gateway.timeout =
        std::max(kGatewayTimeout, hello.next_in * kMissedHellosLimit);
    if (gateway.gateway == hello.gateway.Value()) return;
    gateway.gateway = hello.gateway.Value();
    log.Dependency("gateway " + gateway.gateway, "regained");
    AssignReaderRanks();
    driver.OnGatewayLinked(id);
  }

  void Send(std::uint64_t id, const grants::message& value) {
    const auto found = links.find(id);
    if (found == links.end()) return;
    const auto* refused = std::get_if<grants::grant_refused>(&value);
    if (refused != nullptr &&
        refused->reason == grants::refusal_reason::fuller_than_known) {
      // The gateway selects another engine now and needs the current status for
      // it.
      SendStatus(found->second,
                 driver.Scheduler().LinksWithWaitingRequests().count(id) > 0);
    }
    found->second.link->Send(grants::Encode(value));
  }

  // The catalog.

  /**
   * Sorts by a hash of the gateway's id, so that all agents rank the gateways
   * in the same order, whichever of them are linked.
   */
  void AssignReaderRanks() {
    std::vector<std::pair<std::uint64_t, gateway_link*>> order;
    for (auto& [id, gateway] : links) {
      order.emplace_back(core::Hash64(gateway.gateway), &gateway);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
      order[rank].second->reader_rank = rank;
    }
  }

  void SendBatches(const catalog_relay::batches& batches) {
    for (const catalog::change_batch& batch : batches) SendToAll(batch);
  }

  void SendToAll(const grants::message& value) {
    const std::string frame = grants::Encode(value);
    for (auto& [id, gateway] : links) gateway.link->Send(frame);
  }

  // Status.

  core::milliseconds StatusPeriod() const {
    return std::clamp(kStatusPeriodPerLink * static_cast<int>(links.size()),
                      kStatusPeriod, kMaximumStatusPeriod);
  }

  void SendDueStatuses() {
    const auto now = loop.Now();
    const auto waiting = driver.Scheduler().LinksWithWaitingRequests();
    // The status is the same for all links of one iteration.
    std::optional<grants::engine_status> status;
    for (auto& [id, gateway] : links) {
      const bool waits = waiting.count(id) > 0;
      if (!waits && now < gateway.status_due) continue;
      if (!status) status = driver.Status();
      SendStatus(gateway, *status, waits);
    }
  }

  void SendStatus(gateway_link& gateway, bool waits = false) {
    SendStatus(gateway, driver.Status(), waits);
  }

  void SendStatus(gateway_link& gateway, const grants::engine_status& status,
                  bool waits) {
    grants::status_report report{status};
    report.status.gateways = links.size();
    report.reader_rank = gateway.reader_rank;
    report.limits_observed = gateway.limits_observed;
    gateway.adapters.Complete(report, loop.Now());
    report.next_in = waits ? kStatusPeriod : StatusPeriod();
    gateway.status_due = loop.Now() + report.next_in;
    gateway.link->Send(grants::Encode(report));
  }

  // Operators.

  void AnswerAdmin(net::http_exchange& exchange) {
    driver.UpdateMetrics();
    tenant_quotas.UpdateMetrics();
    slots.UpdateMetrics();
    metrics.SetGauge("sidecar_stream_origins",
                     static_cast<double>(stream_origins.Size()));
    metrics.SetGauge("sidecar_gateway_links",
                     static_cast<double>(links.size()));
    metrics.SetGauge("log_lines_dropped", static_cast<double>(log.Dropped()));
    exchange.Respond({200, {{"content-type", "text/plain"}}, metrics.ToText()});
  }

  void Stop() {
    if (stopping) return;
    stopping = true;
    log.Process("stopping").Add("running", driver.Scheduler().Running());
    driver.Stop();
    slots.Stop();
    for (auto& [id, gateway] : links) SendStatus(gateway);
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
  scheduler_driver driver;
  quota_counter tenant_quotas;
  slot_driver slots;
  origins::origin_table stream_origins;
  catalog_relay relay{kConfirmationPeriod};
  net::frame_listener listener;
  net::persistent_http_server admin;
  net::timer_id flush_timer = 0;
  net::timer_id status_timer = 0;
  net::timer_id state_timer = 0;
  bool stopping = false;
};

sidecar_program::sidecar_program(net::event_loop& loop,
                                 const settings::node_settings& settings,
                                 engine_port& engine, telemetry::event_log& log,
                                 net::tcp_socket link_listener)
    : impl_(std::make_unique<impl>(loop, settings, engine, log,
                                   std::move(link_listener))) {}

sidecar_program::~sidecar_program() = default;

std::uint16_t sidecar_program::LinkPort() const {
  return impl_->listener.Port();
}
std::uint16_t sidecar_program::AdminPort() const { return impl_->admin.Port(); }
void sidecar_program::Stop() { impl_->Stop(); }
void sidecar_program::AnswerOperator(net::http_exchange& exchange) {
  impl_->AnswerAdmin(exchange);
}

}  // namespace comfreyspring::sidecar

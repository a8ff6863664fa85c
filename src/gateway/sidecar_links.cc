#include "gateway/sidecar_links.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "core/hash.h"

namespace comfreyspring::gateway {
namespace {

constexpr core::milliseconds kTickPeriod{50};
constexpr std::size_t kMaximumPendingBytes = 1024 * 1024;
/**
 * A configuration with thousands of routes has some 500 kB. Three copies of it
 * take more than a second on the 10 Mbit/s of the smallest entry VMs.
 */
constexpr std::size_t kLargeMessageBytes = 64 * 1024;

}  // namespace

sidecar_links::sidecar_links(net::event_loop& loop,
                             sidecar_link_options options,
                             sidecar_listener& listener,
                             telemetry::event_log& log)
    : loop_(loop),
      options_(std::move(options)),
      listener_(listener),
      log_(log),
      random_(options_.random_seed) {
  tick_timer_ = loop_.SchedulePeriodic(kTickPeriod, [this] { Tick(); });
}

sidecar_links::~sidecar_links() {
  loop_.Cancel(tick_timer_);
  for (auto& [ip, target] : peers_) {
    if (target.link) target.link->Close();
  }
}

void sidecar_links::AddOrUpdate(const std::string& ip,
                                const grants::engine_config& config) {
  const auto [position, inserted] = peers_.try_emplace(ip);
  peer& target = position->second;
  const bool has_changed = inserted || target.config != config;
  target.config = config;
  if (inserted) {
    ++targets_version_;
    Connect(ip, target);
  } else if (target.open && has_changed) {
    SendHello(target);
  }
}

void sidecar_links::Remove(const std::string& ip) {
  const auto found = peers_.find(ip);
  if (found == peers_.end()) return;
  if (found->second.link) found->second.link->Close();
  peers_.erase(found);
  ++targets_version_;
  ChooseRelays();
}

bool sidecar_links::IsOpen(const std::string& ip) const {
  const auto found = peers_.find(ip);
  return found != peers_.end() && found->second.open;
}

std::size_t sidecar_links::OpenCount() const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& entry) { return entry.second.open; }));
}

std::pair<std::string, std::string> sidecar_links::FirstTargets(
    std::string_view key) const {
  const auto targets = FirstTargets(key, 2);
  const auto name = [&targets](std::size_t index) {
    return index < targets.size() ? targets[index].ip : std::string();
  };
  return {name(0), name(1)};
}

std::vector<sidecar_links::known_sidecar> sidecar_links::FirstTargets(
    std::string_view key, std::size_t count,
    const sidecar_filter& accepts) const {
  std::vector<std::pair<std::uint64_t, known_sidecar>> order;
  for (const auto& [ip, entry] : peers_) {
    known_sidecar each{ip, entry.open};
    if (accepts && !accepts(each)) continue;
    order.emplace_back(core::RendezvousWeight(key, ip), std::move(each));
  }
  count = std::min(count, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end(), [](const auto& left, const auto& right) {
                      return std::tie(left.first, left.second.ip) >
                             std::tie(right.first, right.second.ip);
                    });
  std::vector<known_sidecar> result;
  for (std::size_t i = 0; i < count; ++i) {
    result.push_back(std::move(order[i].second));
  }
  return result;
}

bool sidecar_links::Send(const std::string& ip, const grants::message& value) {
  const auto found = peers_.find(ip);
  if (found == peers_.end() || !found->second.open) return false;
  return found->second.link->Send(grants::Encode(value));
}

void sidecar_links::SendToRelays(const grants::message& value) {
  const std::string frame = grants::Encode(value);
  for (const std::string& ip : relays_) {
    peers_.at(ip).link->Send(frame);
    if (frame.size() > kLargeMessageBytes) return;
  }
}

std::optional<std::size_t> sidecar_links::ReaderRank() const {
  std::optional<std::size_t> rank;
  for (const std::string& ip : relays_) {
    // A sidecar that has just started knows few gateways and reports too low a
    // rank, so the highest rank counts.
    const std::size_t reported = peers_.at(ip).reader_rank;
    rank = std::max(rank.value_or(0), reported);
  }
  return rank;
}

void sidecar_links::ChooseRelays() {
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [ip, target] : peers_) {
    if (target.open) order.emplace_back(core::Hash64(ip), ip);
  }
  const std::size_t count = std::min(options_.relay_count, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end());
  relays_.clear();
  for (std::size_t i = 0; i < count; ++i) relays_.push_back(order[i].second);
}

void sidecar_links::OnUnanswered(const std::string& ip) {
  const auto found = peers_.find(ip);
  if (found == peers_.end() || !found->second.open) return;
  CloseSilentLink(ip, found->second, "grant request not answered in time");
}

void sidecar_links::OnPaused(core::milliseconds length) {
  // What arrived during the pause is still to be read.
  for (auto& [ip, target] : peers_) {
    target.received.OnPaused(length, loop_.Now());
  }
}

void sidecar_links::Connect(const std::string& ip, peer& target) {
  const std::uint64_t generation = ++target.generation;
  const auto current = [this, ip, generation]() -> peer* {
    const auto found = peers_.find(ip);
    if (found == peers_.end() || found->second.generation != generation) {
      return nullptr;
    }
    return &found->second;
  };
  net::frame_link_callbacks callbacks;
  callbacks.on_open = [this, ip, current] {
    peer* opened = current();
    if (opened == nullptr) return;
    opened->open = true;
    opened->received.Restart(loop_.Now());
    opened->silence_timeout = options_.silence_timeout;
    ChooseRelays();
    log_.Dependency("sidecar " + ip, "regained");
    listener_.OnVmHeard(ip);
    SendHello(*opened);
  };
  callbacks.on_frame = [this, ip, current](std::string_view frame) {
    peer* sender = current();
    if (sender == nullptr) return;
    sender->received.Restart(loop_.Now());
    Receive(ip, frame);
  };
  callbacks.on_closed = [this, ip, current](const std::string& reason) {
    peer* closed = current();
    if (closed == nullptr) return;
    if (closed->open || closed->was_refused) {
      CloseLink(ip, *closed, reason);
    } else {
      CloseSilentLink(ip, *closed, reason);
    }
  };
  callbacks.on_refused = [this, ip, current] {
    peer* refused = current();
    if (refused == nullptr) return;
    refused->was_refused = true;
    listener_.OnVmHeard(ip);
  };
  target.was_refused = false;
  target.received = {};
  target.transit = {};
  target.received.Restart(loop_.Now());
  target.link =
      net::ConnectFrameLink(loop_, ip, options_.port,
                            {.handshake_timeout = options_.connect_timeout,
                             .maximum_pending_bytes = kMaximumPendingBytes},
                            std::move(callbacks));
}

void sidecar_links::CloseLink(const std::string& ip, peer& target,
                              const std::string& reason) {
  const bool was_open = std::exchange(target.open, false);
  const bool was_relay =
      std::find(relays_.begin(), relays_.end(), ip) != relays_.end();
  const std::size_t unsent_bytes =
      target.link ? target.link->PendingBytes() : 0;
  ++target.generation;
  if (target.link) target.link->Close();
  target.link.reset();
  // Jitter keeps the gateways from reconnecting at the same time.
  target.retry_at =
      loop_.Now() + core::milliseconds(static_cast<std::int64_t>(
                        (0.5 + random_.NextUnit()) *
                        static_cast<double>(options_.reconnect_delay.count())));
  if (!was_open) return;
  ChooseRelays();
  log_.Dependency("sidecar " + ip, "lost")
      .Add("reason", reason)
      .Add("relay", was_relay)
      .Add("unsent_bytes", unsent_bytes);
  listener_.OnSidecarLost(ip);
}

void sidecar_links::CloseSilentLink(const std::string& ip, peer& target,
                                    const std::string& reason) {
  listener_.OnSidecarSilent(ip);
  CloseLink(ip, target, reason);
}

void sidecar_links::Receive(const std::string& ip, std::string_view frame) {
  try {
    grants::message value = grants::Decode(frame);
    if (auto* batch = std::get_if<grants::change_batch>(&value)) {
      peers_.at(ip).transit.AddTo(*batch, loop_.Now());
    } else if (const auto* report =
                   std::get_if<grants::status_report>(&value)) {
      peer& sender = peers_.at(ip);
      sender.silence_timeout =
          std::max(options_.silence_timeout,
                   report->next_in * options_.silence_status_periods);
      sender.reader_rank = report->reader_rank;
    } else if (std::holds_alternative<grants::grant_queued>(value)) {
      // With a request in its queue the sidecar reports at short intervals
      // again.
      peers_.at(ip).silence_timeout = options_.silence_timeout;
    }
    listener_.OnSidecarMessage(ip, value);
  } catch (const std::exception& failure) {
    // An exception in the handling of a message must not end the process.
    log_.SystemEvent("message_unreadable")
        .Add("sidecar", ip)
        .Add("reason", failure.what());
  }
}

void sidecar_links::SendHello(peer& target) {
  const auto period = HelloPeriod();
  target.hello_due = loop_.Now() + period;
  target.link->Send(grants::Encode(
      grants::gateway_hello{options_.gateway, target.config, period}));
}

core::milliseconds sidecar_links::HelloPeriod() const {
  return std::clamp(
      options_.hello_period_per_link * static_cast<int>(peers_.size()),
      options_.hello_period, options_.maximum_hello_period);
}

void sidecar_links::Tick() {
  const auto now = loop_.Now();
  std::vector<std::string> addresses;
  for (const auto& [ip, target] : peers_) addresses.push_back(ip);
  for (const std::string& ip : addresses) {
    const auto found = peers_.find(ip);
    if (found == peers_.end()) continue;
    peer& target = found->second;
    if (target.open) {
      target.received.OnTick(target.link->ReceivedBytes(), now);
      if (now - target.received.ReceivedAt() > target.silence_timeout) {
        CloseSilentLink(ip, target, "silent");
      } else if (now >= target.hello_due) {
        SendHello(target);
      }
    } else if (!target.link && now >= target.retry_at) {
      Connect(ip, target);
    }
  }
}

}  // namespace comfreyspring::gateway

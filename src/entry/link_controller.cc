#include "entry/link_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "core/hash.h"
#include "core/random_source.h"
#include "entry/link_plan.h"
#include "net/frame_link.h"
#include "wire/codec.h"

namespace comfreyspring::entry {
namespace {

/** Size of a heartbeat and its reply, with websocket, TCP and IP headers and
 * acknowledgements. */
constexpr std::int64_t kHeartbeatBytes = 700;
constexpr core::milliseconds kInitialBackoff{50};
constexpr core::milliseconds kMaximumBackoff{2000};
/** Agents that relay reader status and VM list between the entries of a data
 * centre; more than one, so that an agent may be lost. */
constexpr std::size_t kRelayAgents = 3;
/** A link that is silent for this many heartbeat periods is replaced. */
constexpr int kSilentHeartbeatPeriods = 3;

const std::string kSeedPrefix = "seed:";

}  // namespace

struct link_controller::impl {
  struct peer {
    core::endpoint_id endpoint;
    settings::socket_address address;
    /** Link in use; the agent's hello has arrived on it. */
    std::shared_ptr<net::frame_link> link;
    /** Link that is being opened. */
    std::shared_ptr<net::frame_link> candidate;
    std::int64_t instance_ms = 0;
    std::uint64_t next_nonce = 1;
    /** Newest version reported since the agent's last hello. */
    core::config_version version;
    core::time_point last_received_at;
    core::milliseconds backoff = kInitialBackoff;
    net::timer_id reconnect_timer = 0;
    net::timer_id lost_timer = 0;
    std::uint64_t replaced_links = 0;
  };

  impl(net::event_loop& event_loop, link_options link_settings,
       link_listener& link_events)
      : loop(event_loop),
        options(std::move(link_settings)),
        listener(link_events),
        random(options.random_seed) {}

  ~impl() {
    loop.Cancel(heartbeat_timer);
    for (auto& [endpoint, state] : peers) CloseLinks(state);
  }

  // Opening and closing.

  void AddPeer(const core::endpoint_id& endpoint,
               settings::socket_address address) {
    peer& state = peers[endpoint];
    state.endpoint = endpoint;
    state.address = std::move(address);
    OpenLink(state);
  }

  void CloseLinks(peer& state) {
    loop.Cancel(state.reconnect_timer);
    loop.Cancel(state.lost_timer);
    if (state.link != nullptr) state.link->Close();
    if (state.candidate != nullptr) state.candidate->Close();
  }

  void RemovePeer(const core::endpoint_id& endpoint) {
    const auto position = peers.find(endpoint);
    if (position == peers.end()) return;
    CloseLinks(position->second);
    peers.erase(position);
    listener.OnLinkDown(endpoint);
    listener.OnEndpointLost(endpoint);
  }

  void OpenLink(peer& state) {
    if (state.candidate != nullptr) return;
    const core::endpoint_id endpoint = state.endpoint;
    const std::uint64_t serial = ++link_serial;
    net::frame_link_callbacks callbacks;
    callbacks.on_open = [this, endpoint, serial] {
      SendHello(endpoint, serial);
    };
    callbacks.on_frame = [this, endpoint, serial](std::string_view frame) {
      OnFrame(endpoint, serial, frame);
    };
    callbacks.on_closed = [this, endpoint, serial](const std::string& reason) {
      OnClosed(endpoint, serial, reason);
    };
    callbacks.on_refused = [this, endpoint, serial] {
      OnRefused(endpoint, serial);
    };
    candidate_serials[endpoint] = serial;
    state.candidate =
        net::ConnectFrameLink(loop, state.address.address, state.address.port,
                              net::frame_link_options{}, std::move(callbacks));
  }

  void ScheduleReconnect(peer& state) {
    if (state.reconnect_timer != 0) return;
    // Jitter spreads the reconnects of many entries to one agent.
    const double factor = 0.5 + random.NextUnit();
    const auto delay = core::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(state.backoff.count()) * factor));
    state.backoff = std::min(state.backoff * 2, kMaximumBackoff);
    const core::endpoint_id endpoint = state.endpoint;
    state.reconnect_timer = loop.Schedule(delay, [this, endpoint] {
      const auto position = peers.find(endpoint);
      if (position == peers.end()) return;
      position->second.reconnect_timer = 0;
      if (position->second.link == nullptr) OpenLink(position->second);
    });
  }

  // Link events.

  bool IsCandidate(const core::endpoint_id& endpoint,
                   std::uint64_t serial) const {
    const auto position = candidate_serials.find(endpoint);
    return position != candidate_serials.end() && position->second == serial;
  }

  bool IsActive(const core::endpoint_id& endpoint, std::uint64_t serial) const {
    const auto position = active_serials.find(endpoint);
    return position != active_serials.end() && position->second == serial;
  }

  wire::hello MakeHello() const {
    wire::hello message;
    message.process = options.process;
    message.role = "entry";
    message.instance_ms = options.instance_ms;
    message.data_centre = options.data_centre;
    message.version = version;
    message.vm_list_revision = vm_list_revision;
    return message;
  }

  void SendHello(const core::endpoint_id& endpoint, std::uint64_t serial) {
    const auto position = peers.find(endpoint);
    if (position == peers.end() || !IsCandidate(endpoint, serial)) return;
    position->second.candidate->Send(wire::Encode(MakeHello()));
  }

  void OnFrame(const core::endpoint_id& endpoint, std::uint64_t serial,
               std::string_view frame) {
    const auto position = peers.find(endpoint);
    if (position == peers.end()) return;
    peer& state = position->second;
    wire::message message;
    try {
      message = wire::Decode(frame);
    } catch (const wire::wire_error& failure) {
      LOG(WARNING) << "entry.link: Closed link to " << endpoint << ": "
                   << failure.what() << '.';
      CloseInvalidLink(state, serial);
      return;
    }
    state.last_received_at = loop.Now();
    if (const auto* hello = std::get_if<wire::hello>(&message)) {
      OnHello(state, serial, *hello);
      return;
    }
    if (!IsActive(endpoint, serial)) return;
    if (const auto* reply = std::get_if<wire::heartbeat_reply>(&message)) {
      state.version = std::max(state.version, reply->version);
    }
    listener.OnMessage(endpoint, message);
  }

  void CloseInvalidLink(peer& state, std::uint64_t serial) {
    if (IsCandidate(state.endpoint, serial)) {
      state.candidate->Close();
    } else if (IsActive(state.endpoint, serial)) {
      state.link->Close();
    }
    OnClosed(state.endpoint, serial, "invalid frame");
  }

  void OnHello(peer& state, std::uint64_t serial, const wire::hello& hello) {
    if (!IsCandidate(state.endpoint, serial)) return;
    if (state.link != nullptr) {
      ++state.replaced_links;
      state.link->Close();
    }
    state.link = std::move(state.candidate);
    state.candidate = nullptr;
    candidate_serials.erase(state.endpoint);
    active_serials[state.endpoint] = serial;
    loop.Cancel(state.lost_timer);
    state.lost_timer = 0;
    state.backoff = kInitialBackoff;
    state.version = hello.version;
    const bool same_instance = state.instance_ms == hello.instance_ms;
    const bool known = state.instance_ms != 0;
    state.instance_ms = hello.instance_ms;
    const core::endpoint_id endpoint = state.endpoint;
    LOG(INFO) << "entry.link: Connected to agent of " << endpoint << '.';
    if (known && !same_instance) listener.OnEndpointLost(endpoint);
    listener.OnLinkUp(endpoint, hello, known && same_instance);
  }

  void OnClosed(const core::endpoint_id& endpoint, std::uint64_t serial,
                const std::string& reason) {
    const auto position = peers.find(endpoint);
    if (position == peers.end()) return;
    peer& state = position->second;
    if (IsCandidate(endpoint, serial)) {
      state.candidate = nullptr;
      candidate_serials.erase(endpoint);
      ScheduleReconnect(state);
      return;
    }
    if (!IsActive(endpoint, serial)) return;
    LOG(WARNING) << "entry.link: Lost link to agent of " << endpoint << ": "
                 << reason << '.';
    state.link = nullptr;
    active_serials.erase(endpoint);
    state.lost_timer = loop.Schedule(options.loss_timeout, [this, endpoint] {
      const auto lost = peers.find(endpoint);
      if (lost == peers.end()) return;
      lost->second.lost_timer = 0;
      // Its attempts have failed, so a later hello of the same instance must
      // not count as a resumption.
      lost->second.instance_ms = 0;
      listener.OnEndpointLost(endpoint);
    });
    listener.OnLinkDown(endpoint);
    OpenLink(state);
  }

  /** The agent's host refuses the connection: the process has ended. */
  void OnRefused(const core::endpoint_id& endpoint, std::uint64_t serial) {
    const auto position = peers.find(endpoint);
    if (position == peers.end() || !IsCandidate(endpoint, serial)) return;
    peer& state = position->second;
    if (state.link != nullptr || state.instance_ms == 0) return;
    LOG(WARNING) << "entry.link: Agent of " << endpoint << " has ended.";
    loop.Cancel(std::exchange(state.lost_timer, 0));
    state.instance_ms = 0;
    listener.OnEndpointLost(endpoint);
  }

  // Heartbeats.

  core::milliseconds HeartbeatPeriod() const {
    const auto links = static_cast<std::int64_t>(peers.size());
    const core::milliseconds budgeted(
        links * kHeartbeatBytes * 1000 /
        options.heartbeat_budget_bytes_per_second);
    return std::max(options.minimum_heartbeat_period, budgeted);
  }

  /** Selects from the open links by a ranking that is the same for all entries
   * of the data centre. */
  std::vector<core::endpoint_id> RelayAgents() const {
    std::vector<std::pair<std::uint64_t, core::endpoint_id>> ranked;
    for (const auto& [endpoint, state] : peers) {
      if (state.link == nullptr) continue;
      ranked.emplace_back(
          core::RendezvousWeight(options.data_centre.Value(), endpoint.Value()),
          endpoint);
    }
    const std::size_t count = std::min(kRelayAgents, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(),
                      std::greater<>());
    std::vector<core::endpoint_id> selected;
    for (std::size_t i = 0; i < count; ++i)
      selected.push_back(ranked[i].second);
    return selected;
  }

  void SendHeartbeat(peer& state, bool wants_readers = false,
                     std::optional<std::int64_t> service_read_age_ms = {}) {
    if (state.link == nullptr) return;
    wire::heartbeat message;
    message.wants_readers = wants_readers;
    message.service_read_age_ms = service_read_age_ms;
    message.nonce = state.next_nonce++;
    message.version = version;
    message.vm_list_revision = vm_list_revision;
    state.link->Send(wire::Encode(message));
  }

  void RunHeartbeatCycle() {
    const core::milliseconds period = HeartbeatPeriod();
    const core::time_point now = loop.Now();
    std::vector<core::endpoint_id> unreachable;
    for (auto& [endpoint, state] : peers) {
      if (state.link == nullptr) continue;
      const auto silence = now - state.last_received_at;
      if (silence > period * kSilentHeartbeatPeriods + options.loss_timeout) {
        unreachable.push_back(endpoint);
        continue;
      }
      if (silence > period * kSilentHeartbeatPeriods) OpenLink(state);
      SendHeartbeat(state);
    }
    for (const core::endpoint_id& endpoint : unreachable) {
      peer& state = peers.at(endpoint);
      state.link->Close();
      OnClosed(endpoint, active_serials.at(endpoint), "silent");
    }
    heartbeat_timer = loop.Schedule(period, [this] { RunHeartbeatCycle(); });
  }

  net::event_loop& loop;
  link_options options;
  link_listener& listener;
  core::random_source random;
  std::map<core::endpoint_id, peer> peers;
  std::map<core::endpoint_id, std::uint64_t> candidate_serials;
  std::map<core::endpoint_id, std::uint64_t> active_serials;
  std::uint64_t link_serial = 0;
  core::config_version version;
  std::int64_t vm_list_revision = 0;
  net::timer_id heartbeat_timer = 0;
};

link_controller::link_controller(net::event_loop& loop, link_options options,
                                 link_listener& listener)
    : impl_(std::make_unique<impl>(loop, std::move(options), listener)) {
  impl_->RunHeartbeatCycle();
}

link_controller::~link_controller() = default;

void link_controller::ConnectSeeds(
    const std::vector<settings::socket_address>& seeds) {
  for (const settings::socket_address& seed : seeds) {
    impl_->AddPeer(core::endpoint_id(kSeedPrefix + seed.address + ":" +
                                     std::to_string(seed.port)),
                   seed);
  }
}

void link_controller::OnConfiguration(const config::configuration& current) {
  const std::vector<core::endpoint_id> plan =
      PlanLinks(current, impl_->options.process, impl_->options.data_centre);
  const std::set<core::endpoint_id> planned(plan.begin(), plan.end());
  std::vector<core::endpoint_id> removed;
  for (const auto& [endpoint, state] : impl_->peers) {
    const config::endpoint_record* record = current.FindEndpoint(endpoint);
    const bool same = planned.contains(endpoint) &&
                      record->address == state.address.address &&
                      record->agent_port == state.address.port;
    if (!same) removed.push_back(endpoint);
  }
  for (const core::endpoint_id& endpoint : removed) impl_->RemovePeer(endpoint);
  for (const core::endpoint_id& endpoint : plan) {
    if (impl_->peers.contains(endpoint)) continue;
    const config::endpoint_record& record = *current.FindEndpoint(endpoint);
    impl_->AddPeer(endpoint, {record.address, record.agent_port});
  }
}

bool link_controller::Send(const core::endpoint_id& endpoint,
                           const wire::message& message) {
  const auto position = impl_->peers.find(endpoint);
  if (position == impl_->peers.end()) return false;
  if (position->second.link == nullptr) return false;
  return position->second.link->Send(wire::Encode(message));
}

void link_controller::SetVersions(core::config_version version,
                                  std::int64_t vm_list_revision) {
  impl_->version = version;
  impl_->vm_list_revision = vm_list_revision;
}

void link_controller::SendHeartbeats() {
  for (auto& [endpoint, state] : impl_->peers) impl_->SendHeartbeat(state);
}

void link_controller::AnnounceVersion() {
  for (auto& [endpoint, state] : impl_->peers) {
    if (state.version < impl_->version) impl_->SendHeartbeat(state);
  }
}

void link_controller::ReplaceLink(const core::endpoint_id& endpoint) {
  const auto position = impl_->peers.find(endpoint);
  if (position != impl_->peers.end()) impl_->OpenLink(position->second);
}

core::milliseconds link_controller::SilenceTimeout() const {
  return impl_->HeartbeatPeriod() * kSilentHeartbeatPeriods;
}

void link_controller::RequestReaderStatus(
    std::optional<std::int64_t> service_read_age_ms) {
  for (const core::endpoint_id& endpoint : impl_->RelayAgents()) {
    impl_->SendHeartbeat(impl_->peers.at(endpoint), true, service_read_age_ms);
  }
}

std::uint64_t link_controller::NextNonce(
    const core::endpoint_id& endpoint) const {
  const auto position = impl_->peers.find(endpoint);
  return position == impl_->peers.end() ? 0 : position->second.next_nonce;
}

std::vector<core::endpoint_id> link_controller::RelayAgents() const {
  return impl_->RelayAgents();
}

std::size_t link_controller::OpenLinkCount() const {
  return impl_->active_serials.size();
}

std::size_t link_controller::EndpointCount() const {
  return impl_->peers.size();
}

nlohmann::json link_controller::ToJson() const {
  nlohmann::json links = nlohmann::json::array();
  const core::time_point now = impl_->loop.Now();
  for (const auto& [endpoint, state] : impl_->peers) {
    nlohmann::json entry = {{"endpoint", endpoint.Value()},
                            {"open", state.link != nullptr},
                            {"instance_ms", state.instance_ms},
                            {"replaced_links", state.replaced_links}};
    if (state.link != nullptr) {
      entry["last_heard_ms"] =
          core::ToMilliseconds(now - state.last_received_at).count();
      entry["sent_bytes"] = state.link->SentBytes();
      entry["received_bytes"] = state.link->ReceivedBytes();
    }
    links.push_back(std::move(entry));
  }
  return links;
}

}  // namespace comfreyspring::entry

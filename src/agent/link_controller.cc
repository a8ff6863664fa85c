#include "agent/link_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "net/frame_link.h"
#include "wire/codec.h"

namespace comfreyspring::agent {

namespace {

constexpr core::milliseconds kMaintenancePeriod{500};
// An entry replaces an unresponsive link with a new one and closes the old one;
// more open links than this mean that it fails to close them.
constexpr std::size_t kMaximumLinksPerEntry = 8;

}  // namespace

struct link_controller::impl {
  struct link_state {
    std::shared_ptr<net::frame_link> link;
    std::optional<entry_instance> entry;
    core::time_point opened;
    /** Since when the number of unsent bytes has not decreased. */
    std::optional<core::time_point> pending_since;
    std::size_t pending_bytes = 0;
  };

  struct entry_state {
    /** Open links, ordered by the arrival of their hello. */
    std::vector<std::uint64_t> links;
    std::optional<core::time_point> disconnected_since;
    core::time_point last_heard;
  };

  impl(net::event_loop& event_loop, link_options settings, link_events& sink)
      : loop(event_loop),
        options(std::move(settings)),
        events(sink),
        listener(loop, options.address, options.port, {}, options.maximum_links,
                 [this](const std::shared_ptr<net::frame_link>& link) {
                   return OnAccepted(link);
                 }) {
    maintenance_timer =
        loop.SchedulePeriodic(kMaintenancePeriod, [this] { RunMaintenance(); });
  }

  ~impl() {
    loop.Cancel(maintenance_timer);
    for (auto& [id, state] : links) state.link->Close();
  }

  net::frame_link_callbacks OnAccepted(
      const std::shared_ptr<net::frame_link>& link) {
    const std::uint64_t id = ++next_link;
    links[id] = {.link = link, .opened = loop.Now()};
    net::frame_link_callbacks callbacks;
    callbacks.on_frame = [this, id](std::string_view frame) {
      OnFrame(id, frame);
    };
    callbacks.on_closed = [this, id](const std::string& reason) {
      LOG(INFO) << "agent.link: Link " << id << " closed: " << reason << '.';
      Remove(id);
    };
    return callbacks;
  }

  // Frames.

  void OnFrame(std::uint64_t id, std::string_view frame) {
    const auto found = links.find(id);
    if (found == links.end()) return;
    wire::message message;
    try {
      message = wire::Decode(frame);
    } catch (const wire::wire_error& failure) {
      Close(id, failure.what());
      return;
    }
    if (const auto* hello = std::get_if<wire::hello>(&message)) {
      OnHello(id, *hello);
      return;
    }
    if (!found->second.entry) {
      Close(id, "the first message is not a hello");
      return;
    }
    const entry_instance entry = *found->second.entry;
    entries[entry].last_heard = loop.Now();
    events.OnEntryMessage(entry, message);
  }

  void OnHello(std::uint64_t id, const wire::hello& hello) {
    link_state& state = links.at(id);
    if (hello.role != "entry" || hello.process.empty() || state.entry) {
      Close(id, "the hello is repeated or not from an entry");
      return;
    }
    const entry_instance entry{hello.process, hello.instance_ms};
    if (!DropOlderInstances(entry)) {
      Close(id, "a newer instance of the entry is connected");
      return;
    }
    state.entry = entry;
    entry_state& known = entries[entry];
    known.links.push_back(id);
    known.disconnected_since.reset();
    known.last_heard = loop.Now();
    LOG(INFO) << "agent.link: Entry " << entry.process << " connected as link "
              << id << '.';
    if (known.links.size() > kMaximumLinksPerEntry) {
      Close(known.links.front(), "the entry has too many links");
    }
    state.link->Send(wire::Encode(events.MakeHello()));
    events.OnEntryHello(entry, hello);
  }

  // @returns false if the entry itself is the older instance.
  bool DropOlderInstances(const entry_instance& entry) {
    std::vector<entry_instance> older;
    for (const auto& [known, state] : entries) {
      if (known.process != entry.process) continue;
      if (known.instance_ms > entry.instance_ms) return false;
      if (known.instance_ms < entry.instance_ms) older.push_back(known);
    }
    for (const entry_instance& known : older) DropEntry(known);
    return true;
  }

  // Closing.

  void Close(std::uint64_t id, const std::string& reason) {
    const auto found = links.find(id);
    if (found == links.end()) return;
    LOG(WARNING) << "agent.link: Closed link " << id << " from "
                 << found->second.link->PeerName() << ": " << reason << '.';
    ++closed_as_faulty;
    found->second.link->Close();
    Remove(id);
  }

  void Remove(std::uint64_t id) {
    const auto found = links.find(id);
    if (found == links.end()) return;
    const auto entry = found->second.entry;
    // Destroyed later, because the link may be running one of its callbacks.
    loop.Post([link = std::move(found->second.link)] {});
    links.erase(found);
    if (!entry) return;
    const auto owner = entries.find(*entry);
    if (owner == entries.end()) return;
    std::erase(owner->second.links, id);
    if (owner->second.links.empty()) {
      owner->second.disconnected_since = loop.Now();
    }
  }

  void DropEntry(const entry_instance& entry) {
    const auto found = entries.find(entry);
    if (found == entries.end()) return;
    const auto open = found->second.links;
    for (const std::uint64_t id : open) {
      links.at(id).link->Close();
      Remove(id);
    }
    entries.erase(entry);
    events.OnEntryLost(entry);
  }

  void RunMaintenance() {
    const core::time_point now = loop.Now();
    std::vector<entry_instance> lost;
    for (const auto& [entry, state] : entries) {
      if (state.disconnected_since &&
          now - *state.disconnected_since >= options.entry_disconnect_timeout) {
        lost.push_back(entry);
      }
    }
    for (const entry_instance& entry : lost) DropEntry(entry);
    std::vector<std::pair<std::uint64_t, std::string>> faulty;
    for (auto& [id, state] : links) {
      if (!state.entry && now - state.opened >= options.hello_timeout) {
        faulty.emplace_back(id, "no hello arrived in time");
      } else if (IsStalled(state, now)) {
        faulty.emplace_back(id, "the peer accepts no data");
      }
    }
    for (const auto& [id, reason] : faulty) Close(id, reason);
  }

  bool IsStalled(link_state& state, core::time_point now) const {
    const std::size_t pending = state.link->PendingBytes();
    const bool moved = pending == 0 || pending < state.pending_bytes;
    state.pending_bytes = pending;
    if (moved || !state.pending_since) {
      state.pending_since.reset();
      if (pending > 0) state.pending_since = now;
      return false;
    }
    return now - *state.pending_since >= options.stall_timeout;
  }

  bool Send(const entry_instance& entry, const std::string& frame) {
    const auto found = entries.find(entry);
    if (found == entries.end()) return false;
    const auto& open = found->second.links;
    for (auto id = open.rbegin(); id != open.rend(); ++id) {
      if (links.at(*id).link->Send(frame)) return true;
    }
    return false;
  }

  net::event_loop& loop;
  link_options options;
  link_events& events;
  std::map<std::uint64_t, link_state> links;
  std::map<entry_instance, entry_state> entries;
  std::uint64_t next_link = 0;
  std::uint64_t closed_as_faulty = 0;
  net::timer_id maintenance_timer = 0;
  net::frame_listener listener;
};

link_controller::link_controller(net::event_loop& loop, link_options options,
                                 link_events& events)
    : impl_(std::make_unique<impl>(loop, std::move(options), events)) {}

link_controller::~link_controller() = default;

bool link_controller::Send(const entry_instance& entry,
                           const wire::message& message) {
  return impl_->Send(entry, wire::Encode(message));
}

void link_controller::Broadcast(const wire::message& message) {
  const std::string frame = wire::Encode(message);
  std::vector<entry_instance> receivers;
  for (const auto& [entry, state] : impl_->entries) receivers.push_back(entry);
  for (const entry_instance& entry : receivers) impl_->Send(entry, frame);
}

std::uint16_t link_controller::Port() const { return impl_->listener.Port(); }

std::size_t link_controller::PendingBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, state] : impl_->links) {
    bytes += state.link->PendingBytes();
  }
  return bytes;
}

nlohmann::json link_controller::ToJson() const {
  const core::time_point now = impl_->loop.Now();
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [entry, state] : impl_->entries) {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (const std::uint64_t id : state.links) {
      sent += impl_->links.at(id).link->SentBytes();
      received += impl_->links.at(id).link->ReceivedBytes();
    }
    entries.push_back({{"process", entry.process.Value()},
                       {"instance_ms", entry.instance_ms},
                       {"open_links", state.links.size()},
                       {"last_heard_age_ms",
                        core::ToMilliseconds(now - state.last_heard).count()},
                       {"sent_bytes", sent},
                       {"received_bytes", received}});
  }
  return {{"entries", std::move(entries)},
          {"open_links", impl_->links.size()},
          {"closed_as_faulty", impl_->closed_as_faulty}};
}

}  // namespace comfreyspring::agent

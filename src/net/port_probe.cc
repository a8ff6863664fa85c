#include "net/port_probe.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "net/io_watcher.h"
#include "net/socket_address.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {

struct port_probe::impl {
  struct probe {
    tcp_socket socket;
    std::optional<io_watcher> watcher;
    timer_id timer = 0;
    std::function<void(probe_outcome)> on_done;
  };

  explicit impl(event_loop& owning_loop) : loop(owning_loop) {}

  void OnWritable(std::uint64_t id) {
    const int error = probes.at(id).socket.ConnectError();
    if (error == EINPROGRESS) return;
    Finish(id, error == 0              ? probe_outcome::accepted
               : error == ECONNREFUSED ? probe_outcome::refused
                                       : probe_outcome::unknown);
  }

  void Finish(std::uint64_t id, probe_outcome outcome) {
    auto ended = probes.extract(id);
    if (!ended) return;
    probe& done = ended.mapped();
    loop.Cancel(done.timer);
    done.watcher.reset();
    done.socket.Close();
    done.on_done(outcome);
  }

  event_loop& loop;
  std::map<std::uint64_t, probe> probes;
  std::uint64_t last_id = 0;
};

port_probe::port_probe(event_loop& loop)
    : impl_(std::make_unique<impl>(loop)) {}

port_probe::~port_probe() {
  for (auto& [id, each] : impl_->probes) impl_->loop.Cancel(each.timer);
}

void port_probe::Start(const std::string& address, std::uint16_t port,
                       core::milliseconds timeout,
                       std::function<void(probe_outcome)> on_done) {
  const std::uint64_t id = ++impl_->last_id;
  impl::probe& added = impl_->probes[id];
  added.on_done = std::move(on_done);
  auto& owner = *impl_;
  auto outcome = probe_outcome::unknown;
  try {
    const socket_address target(address, port);
    added.socket = tcp_socket(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int result =
        ::connect(added.socket.Descriptor(), target.Get(), target.Size());
    if (result == 0) {
      outcome = probe_outcome::accepted;
    } else if (errno == ECONNREFUSED) {
      outcome = probe_outcome::refused;
    }
    const bool is_open = result != 0 && errno == EINPROGRESS;
    if (!is_open) timeout = core::milliseconds(0);
    if (is_open) {
      added.watcher.emplace(
          owner.loop, added.socket.Descriptor(), io_interest::write,
          io_watcher::callbacks{[&owner, id] { owner.OnWritable(id); },
                                [&owner, id] { owner.OnWritable(id); }});
    }
  } catch (const net_error&) {
    timeout = core::milliseconds(0);
  }
  added.timer = owner.loop.Schedule(
      timeout, [&owner, id, outcome] { owner.Finish(id, outcome); });
}

}  // namespace comfreyspring::net

#include <cerrno>
#include <optional>
#include <unordered_map>
#include <utility>

#include "net/frame_link.h"
#include "net/websocket_link.h"

namespace comfreyspring::net {
namespace {

constexpr int kAcceptsPerEvent = 64;
// When the process is out of file descriptors, the listening socket stays
// readable and an immediate retry of accept would spin.
constexpr core::milliseconds kAcceptRetryDelay{100};

}  // namespace

struct frame_listener::impl {
  impl(event_loop& owning_loop, tcp_socket listener,
       frame_link_options link_options, std::size_t maximum,
       accept_handler handler)
      : loop(owning_loop),
        options(link_options),
        maximum_links(maximum),
        on_accept(std::move(handler)),
        socket(std::move(listener)),
        port(socket_address::OfLocal(socket.Descriptor()).Port()) {
    Watch();
  }

  ~impl() {
    *alive = false;
    loop.Cancel(retry_timer);
    watcher.reset();
    for (const auto& [id, link] : links) link->Close();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Watch() {
    watcher.emplace(loop, socket.Descriptor(), io_interest::read,
                    io_watcher::callbacks{[this] { AcceptAll(); }, nullptr});
  }

  void AcceptAll() {
    for (int i = 0; i < kAcceptsPerEvent; ++i) {
      tcp_socket accepted = socket.Accept();
      if (!accepted.IsValid()) {
        if (errno == EMFILE || errno == ENFILE) PauseAccepting();
        return;
      }
      if (links.size() < maximum_links) Start(std::move(accepted));
    }
  }

  void PauseAccepting() {
    watcher.reset();
    retry_timer = loop.Schedule(kAcceptRetryDelay, [this] { Watch(); });
  }

  void Start(tcp_socket accepted) {
    auto link = std::make_shared<websocket_link>(loop, options);
    const std::uint64_t id = ++last_id;
    links[id] = link;
    link->OnEnded([this, id, still_alive = alive] {
      if (*still_alive) links.erase(id);
    });
    link->Accept(std::move(accepted));
    link->StartAccepted(on_accept(link));
  }

  event_loop& loop;
  frame_link_options options;
  std::size_t maximum_links;
  accept_handler on_accept;
  tcp_socket socket;
  std::uint16_t port;
  std::optional<io_watcher> watcher;
  timer_id retry_timer = 0;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<websocket_link>> links;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

frame_listener::frame_listener(event_loop& loop, const std::string& address,
                               std::uint16_t port, frame_link_options options,
                               std::size_t maximum_links,
                               accept_handler on_accept)
    : frame_listener(loop, tcp_socket::Listen({address, port}), options,
                     maximum_links, std::move(on_accept)) {}

frame_listener::frame_listener(event_loop& loop, tcp_socket listener,
                               frame_link_options options,
                               std::size_t maximum_links,
                               accept_handler on_accept)
    : impl_(std::make_unique<impl>(loop, std::move(listener), options,
                                   maximum_links, std::move(on_accept))) {}

frame_listener::~frame_listener() = default;

std::uint16_t frame_listener::Port() const { return impl_->port; }

}  // namespace comfreyspring::net

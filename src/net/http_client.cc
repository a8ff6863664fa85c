#include "net/http_client.h"

#include <curl/curl.h>

#include <cassert>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/http_transfer.h"
#include "net/io_watcher.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {
namespace {

// Idle connections kept for reuse.
constexpr long kMaximumIdleConnections = 512;

}  // namespace

const char* ToString(body_end end) {
  return end == body_end::framed ? "framed" : "connection";
}

struct http_client::impl {
  explicit impl(event_loop& owning_loop)
      : loop(owning_loop), multi(curl_multi_init()) {
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaximumIdleConnections);
  }

  ~impl() {
    *alive = false;
    loop.Cancel(timer);
    for (const auto& [id, transfer] : transfers) {
      ResetConnectionOf(id);
      curl_multi_remove_handle(multi, transfer->Easy());
    }
    transfers.clear();
    curl_multi_cleanup(multi);
    watchers.clear();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  // Calls. libcurl does not allow transfers to be added or removed inside its
  // callbacks, so both are deferred to the end of the turn.

  http_call_id Start(http_call call, http_callbacks callbacks) {
    const http_call_id id = ++last_id;
    auto transfer = std::make_unique<http_transfer>(
        loop, connections, pacer, id, std::move(call), std::move(callbacks));
    transfer->OnTimeout([this, id] { Expire(id); });
    transfer->OnHold(
        [this, id](core::milliseconds wait) { ResumeAfter(id, wait); });
    http_transfer& reference = *transfer;
    transfers[id] = std::move(transfer);
    if (inside_library) {
      Defer([this, id] {
        const auto found = transfers.find(id);
        if (found != transfers.end()) Add(*found->second);
      });
    } else {
      Add(reference);
    }
    return id;
  }

  void Add(http_transfer& transfer) {
    if (transfer.Easy() == nullptr ||
        curl_multi_add_handle(multi, transfer.Easy()) != CURLM_OK) {
      Defer([this, id = transfer.Id()] { Finish(id, CURLE_FAILED_INIT); });
    }
  }

  void Cancel(http_call_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end()) return;
    found->second->MarkCancelled();
    if (inside_library) {
      Defer([this, id] { Remove(id); });
    } else {
      Remove(id);
    }
  }

  void Hold(http_call_id id) {
    const auto found = transfers.find(id);
    if (found != transfers.end()) found->second->Hold();
  }

  void Release(http_call_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end() || !found->second->Release()) return;
    Defer([this, id] { Resume(id); });
  }

  std::unique_ptr<http_transfer> Remove(http_call_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end()) return nullptr;
    auto transfer = std::move(found->second);
    transfers.erase(found);
    if (transfer->Easy() != nullptr) {
      ResetConnectionOf(id);
      curl_multi_remove_handle(multi, transfer->Easy());
    }
    return transfer;
  }

  /**
   * Discards what the peer of an unfinished call has not received. After an
   * orderly close the kernel would still deliver it, to a peer that was silent
   * for seconds too.
   */
  void ResetConnectionOf(http_call_id id) {
    // The library watches the connection of a call until the call is finished.
    for (const auto& [socket, watch] : watchers) {
      if (watch.call == id) ResetConnection(socket);
    }
  }

  void Finish(http_call_id id, CURLcode code) {
    const auto transfer = Remove(id);
    if (transfer) transfer->ReportDone(code);
  }

  /**
   * Restarts a call that was aborted before sending because its connection held
   * unsolicited bytes. @returns false if the call needs no restart.
   */
  bool RetryOnFreshConnection(http_call_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end() || !found->second->UseFreshConnection()) {
      return false;
    }
    curl_multi_remove_handle(multi, found->second->Easy());
    Add(*found->second);
    return true;
  }

  /** @param wait zero for the end of the turn. */
  void ResumeAfter(http_call_id id, core::milliseconds wait) {
    if (wait.count() == 0) {
      Defer([this, id] { Resume(id); });
      return;
    }
    loop.Schedule(wait, [this, id, still_alive = std::weak_ptr<bool>(alive)] {
      if (still_alive.lock()) Resume(id);
    });
  }

  void Resume(http_call_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end()) return;
    inside_library = true;
    const CURLcode code = found->second->Resume();
    inside_library = false;
    // The library does not end a transfer that fails here.
    if (code != CURLE_OK) Finish(id, code);
  }

  void Expire(http_call_id id) { Finish(id, CURLE_OPERATION_TIMEDOUT); }

  void Defer(std::function<void()> action) {
    loop.AtEndOfTurn(
        [still_alive = std::weak_ptr<bool>(alive), action = std::move(action)] {
          if (still_alive.lock()) action();
        });
  }

  // Events.

  void ProcessSocketAction(curl_socket_t socket, int events) {
    int running = 0;
    inside_library = true;
    curl_multi_socket_action(multi, socket, events, &running);
    inside_library = false;
    ReportFinished();
  }

  /** The library may read from the connection of a call on any event. */
  void OnSocketEvent(curl_socket_t socket, int events) {
    const http_call_id id = watchers.at(socket).call;
    ProcessSocketAction(socket, events);
    const auto found = transfers.find(id);
    if (found != transfers.end() && !found->second->CheckFraming(socket)) {
      Finish(id, CURLE_WRITE_ERROR);
    }
  }

  void ReportFinished() {
    std::vector<std::pair<http_call_id, CURLcode>> finished;
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      finished.emplace_back(http_transfer::IdOf(message->easy_handle),
                            message->data.result);
    }
    const std::weak_ptr<bool> still_alive = alive;
    for (const auto& [id, code] : finished) {
      if (!still_alive.lock()) return;
      if (!RetryOnFreshConnection(id)) Finish(id, code);
    }
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) noexcept {
    auto* client = static_cast<impl*>(self);
    client->loop.Cancel(client->timer);
    client->timer = 0;
    ++client->timer_generation;
    if (timeout_ms < 0) return 0;
    if (timeout_ms == 0) {
      client->Defer([client, generation = client->timer_generation] {
        if (generation != client->timer_generation) return;
        client->ProcessSocketAction(CURL_SOCKET_TIMEOUT, 0);
      });
      return 0;
    }
    client->timer =
        client->loop.Schedule(core::milliseconds(timeout_ms), [client] {
          client->timer = 0;
          client->ProcessSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    return 0;
  }

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* /*socket_data*/) noexcept {
    auto* client = static_cast<impl*>(self);
    if (what == CURL_POLL_REMOVE) {
      client->watchers.erase(socket);
      return 0;
    }
    if (what == CURL_POLL_NONE) return 0;
    try {
      client->Watch(socket, what, http_transfer::IdOf(easy));
    } catch (const net_error&) {
      return -1;  // The library fails the transfer.
    }
    return 0;
  }

  void Watch(curl_socket_t socket, int what, http_call_id id) {
    const io_interest interest = what == CURL_POLL_IN ? io_interest::read
                                 : what == CURL_POLL_OUT
                                     ? io_interest::write
                                     : io_interest::read_write;
    const auto found = watchers.find(socket);
    if (found != watchers.end()) {
      found->second.call = id;
      found->second.watcher->SetInterest(interest);
      return;
    }
    auto watcher = std::make_unique<io_watcher>(
        loop, socket, interest,
        io_watcher::callbacks{
            [this, socket] { OnSocketEvent(socket, CURL_CSELECT_IN); },
            [this, socket] { OnSocketEvent(socket, CURL_CSELECT_OUT); }});
    watchers[socket] = {std::move(watcher), id};
  }

  struct connection_watch {
    std::unique_ptr<io_watcher> watcher;
    /** The call that uses the connection. */
    http_call_id call = 0;
  };

  event_loop& loop;
  connection_table connections;
  read_pacer pacer;
  CURLM* multi;
  std::unordered_map<http_call_id, std::unique_ptr<http_transfer>> transfers;
  std::map<curl_socket_t, connection_watch> watchers;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  http_call_id last_id = 0;
  timer_id timer = 0;
  std::uint64_t timer_generation = 0;
  bool inside_library = false;
};

http_client::http_client(event_loop& loop)
    : impl_(std::make_unique<impl>(loop)) {}

http_client::~http_client() = default;

http_call_id http_client::Start(http_call call, http_callbacks callbacks) {
  return impl_->Start(std::move(call), std::move(callbacks));
}

void http_client::Cancel(http_call_id call) { impl_->Cancel(call); }

void http_client::Hold(http_call_id call) { impl_->Hold(call); }

void http_client::Release(http_call_id call) { impl_->Release(call); }

}  // namespace comfreyspring::net

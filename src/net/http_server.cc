#include "net/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <exception>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "net/head_memory.h"
#include "net/http_exchange_state.h"
#include "net/io_watcher.h"
#include "net/lingering_sockets.h"
#include "net/socket_address.h"
#include "net/transfer_count.h"

namespace comfreyspring::net {
namespace {

// The daemon stops listening when the process is out of file descriptors, and
// does not signal when it has to run to listen again.
constexpr core::milliseconds kMaximumRunInterval{1000};
constexpr core::milliseconds kAcceptRetryDelay{100};
// Interval of the check for closed connections with an incomplete request.
constexpr core::milliseconds kPartialRequestInterval{1000};

// Interval of the check for connections without progress.
constexpr core::milliseconds kActivityInterval{250};
constexpr lingering_sockets::limits kLingerLimits{
    .maximum_time = core::milliseconds(3000),
    .maximum_bytes = 32 * 1024 * 1024};
// Maximum time that the end of a server waits for its clients.
constexpr core::milliseconds kMaximumFlushTime{100};

/** Responses up to this size are not closed for being unread. */
constexpr std::size_t kSmallResponseBytes = 64 * 1024;

bool IsClosedByPeer(int descriptor) {
  char byte = 0;
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::size_t ParametersOf(const std::string& target) {
  return static_cast<std::size_t>(
      1 + std::count(target.begin(), target.end(), '&'));
}

/** The text of a response whose connection is closed behind it. */
std::string ToText(const http_response& response) {
  const char* reason =
      MHD_get_reason_phrase_for(static_cast<unsigned>(response.status));
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + ' ' + reason + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "content-length: " + std::to_string(response.body.size()) + "\r\n";
  return text + "\r\n" + response.body;
}

const refusal_event kUnreadableHead{400, "malformed_request",
                                    "The head of the request is malformed."};
/** A field of 4 bytes takes 68 bytes of the pool. */
constexpr std::size_t kMaximumBytesPerHeadByte = 17;

bool HasInput(int descriptor) {
  char byte = 0;
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/** A caller that has just connected has this long to send its request. */
constexpr core::milliseconds kMinimumQuietTime{500};
/** Part (1/n) of the connections that is freed at once when all are used. */
constexpr std::size_t kFreedConnectionsDivisor = 32;

lingering_sockets::limits LingerLimits(const http_server_options& options) {
  auto limits = kLingerLimits;
  limits.maximum_sockets = options.maximum_lingering_connections;
  return limits;
}

struct connection_activity {
  transfer_count count;
  /** Bytes received and written when the latest request ended. */
  std::uint64_t received_before = 0;
  std::uint64_t written_before = 0;
  /** Bytes of all requests so far, without the framing of their chunks. */
  std::uint64_t request_bytes = 0;
  /** When `count` was last found changed. */
  core::time_point progress_at;
  /** When bytes of a next request were first found. */
  std::optional<core::time_point> head_began_at;
  /** Closed for another connection; the daemon has not ended it yet. */
  bool is_closing = false;
};

}  // namespace

/**
 * The daemon has no thread: MHD_run is called when its epoll descriptor is
 * readable, when its timeout has passed, and after connections were resumed.
 */
struct http_server::impl : public http_daemon {
  impl(event_loop& owning_loop, http_server_options settings,
       handler request_handler, tcp_socket listener)
      : loop(owning_loop),
        options(std::move(settings)),
        on_request(std::move(request_handler)),
        limits{.maximum_header_bytes = options.maximum_header_bytes,
               .maximum_body_bytes = options.maximum_body_bytes,
               .header_timeout = options.idle_timeout,
               .idle_timeout = options.idle_timeout} {
    LimitBodies();
    StartDaemon(std::move(listener));
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
    epoll_descriptor = info->epoll_fd;
    Watch();
    RequestRun();
  }

  ~impl() override {
    *alive = false;
    loop.Cancel(timeout_timer);
    loop.Cancel(accept_timer);
    loop.Cancel(partial_request_timer);
    loop.Cancel(activity_timer);
    watcher.reset();
    // The daemon cannot stop while connections are suspended, so requests that
    // arrive in this last run are rejected.
    closing = true;
    for (const auto& [key, exchange] : exchanges) exchange->Abort();
    MHD_run(daemon);
    MHD_stop_daemon(daemon);
    lingering.Flush(kMaximumFlushTime);
    for (const auto& [key, exchange] : exchanges) exchange->Detach();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void StartDaemon(tcp_socket listener) {
    const auto address = socket_address::OfLocal(listener.Descriptor());
    port = address.Port();
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (address.IsIpv6()) flags |= MHD_USE_IPv6;
    const int descriptor = listener.Release();
    daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &impl::OnAccess, this,
        MHD_OPTION_LISTEN_SOCKET, descriptor,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.maximum_header_bytes,
        MHD_OPTION_CONNECTION_LIMIT, options.maximum_connections,
        MHD_OPTION_URI_LOG_CALLBACK, &impl::OnTarget, this,
        MHD_OPTION_NOTIFY_COMPLETED, &impl::OnCompleted, this,
        MHD_OPTION_NOTIFY_CONNECTION, &impl::OnConnection, this,
        MHD_OPTION_END);
    if (daemon == nullptr) {
      const std::string reason = std::strerror(errno);
      // Whether the daemon closes the socket depends on where it fails.
      if (::fcntl(descriptor, F_GETFD) >= 0) ::close(descriptor);
      throw net_error("cannot serve on " + address.ToString() + ": " + reason);
    }
  }

  event_loop& Loop() override { return loop; }

  void RequestRun() override {
    if (run_requested) return;
    run_requested = true;
    loop.AtEndOfTurn([this, still_alive = alive] {
      if (!*still_alive) return;
      run_requested = false;
      RunDaemon();
    });
  }

  void Watch() {
    watcher.emplace(loop, epoll_descriptor, io_interest::read,
                    io_watcher::callbacks{[this] { HandleEvents(); }, nullptr});
  }

  void HandleEvents() {
    connection_changed = false;
    RunDaemon();
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    if (connection_changed || info->num_connections > 0) return;
    // Only the listening socket can be ready, and accept has failed because the
    // process is out of file descriptors; an immediate retry would spin.
    watcher.reset();
    accept_timer = loop.Schedule(kAcceptRetryDelay, [this] {
      accept_timer = 0;
      Watch();
    });
  }

  void RunDaemon() {
    MHD_run(daemon);
    loop.Cancel(std::exchange(timeout_timer, 0));
    // A daemon at its connection limit listens again only in the run after the
    // one that closes a connection.
    if (std::exchange(connection_closed, false)) RequestRun();
    MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
    auto delay = kMaximumRunInterval;
    if (MHD_get_timeout(daemon, &timeout_ms) == MHD_YES) {
      delay = std::min(delay, core::milliseconds(timeout_ms));
    }
    if (delay.count() == 0) {
      RequestRun();
      return;
    }
    timeout_timer = loop.Schedule(delay, [this] {
      timeout_timer = 0;
      RunDaemon();
    });
  }

  /** Called by the daemon with the request line, before the headers. */
  static void* OnTarget(void* self, const char* target,
                        MHD_Connection* connection) noexcept {
    auto* server = static_cast<impl*>(self);
    const std::string& text = server->targets[connection] = target;
    // The daemon ends a connection without room for its parameters only in the
    // run after this one.
    const head_memory head{.text_bytes = text.size(),
                           .parameters = ParametersOf(text)};
    if (2 * BytesOf(head) > server->options.maximum_header_bytes) {
      server->RequestRun();
    }
    return nullptr;
  }

  /** Called by the daemon after the headers, for body data, and at the end. */
  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* version, const char* data,
                             std::size_t* size, void** context) noexcept {
    auto* server = static_cast<impl*>(self);
    if (server->closing) return MHD_NO;
    if (*context == nullptr) {
      return server->BeginRequest(connection, url, method, version, context);
    }
    auto& exchange = *static_cast<http_exchange_state*>(*context);
    // Its end may have been read before its connection was closed.
    if (exchange.IsBodyDropped()) return MHD_NO;
    if (*size > 0) {
      const bool accepted = exchange.AppendBody({data, *size});
      *size = 0;
      return accepted ? MHD_YES : MHD_NO;
    }
    if (!exchange.IsDispatched()) server->Dispatch(exchange);
    const bool is_kept = exchange.Answer();
    if (exchange.QueuedBytes() > kSmallResponseBytes) server->LimitUnread();
    return is_kept ? MHD_YES : MHD_NO;
  }

  /** Closes the connections of the largest responses beyond the limit. */
  void LimitUnread() {
    std::size_t total = 0;
    std::vector<std::pair<std::size_t, MHD_Connection*>> unread;
    for (const auto& [connection, exchange] : exchanges) {
      const std::size_t bytes = exchange->QueuedBytes();
      total += bytes;
      if (bytes > kSmallResponseBytes) unread.emplace_back(bytes, connection);
    }
    if (total <= options.maximum_unread_bytes) return;
    // Of responses of one size, the one that has made no progress for longest.
    std::sort(unread.begin(), unread.end(),
              [this](const auto& one, const auto& other) {
                if (one.first != other.first) return one.first > other.first;
                return connections[one.second].progress_at <
                       connections[other.second].progress_at;
              });
    for (const auto& [bytes, connection] : unread) {
      if (total <= options.maximum_unread_bytes) return;
      total -= bytes;
      // The daemon closes it on the event that this causes.
      ::shutdown(DescriptorOf(connection), SHUT_RDWR);
    }
  }

  // Memory of bodies.

  void LimitBodies() {
    // Requests that began under a higher limit may still be on their way.
    largest_body = std::max(largest_body, limits.maximum_body_bytes);
    body_budget_limits wanted = options.body_memory;
    wanted.large_bytes = std::max(wanted.large_bytes, largest_body);
    bodies->SetLimits(wanted);
  }

  body_budget::verdict GrowBody(body_id body, std::size_t bytes) override {
    const auto decision = bodies->Grow(body, bytes, loop.Now());
    for (const body_id closed : decision.closed) {
      const auto owner = body_owners.find(closed);
      if (owner == body_owners.end()) continue;
      http_exchange_state& exchange = *exchanges.at(owner->second);
      exchange.DropBody();
      // The daemon closes it on the event that this causes.
      ::shutdown(DescriptorOf(owner->second), SHUT_RDWR);
      Report(overload_event::kind::body_closed, exchange.ReceivedBodyBytes());
    }
    if (decision.outcome == body_budget::verdict::refused) {
      Report(overload_event::kind::body_refused, bytes);
    }
    return decision.outcome;
  }

  void Report(overload_event::kind what, std::size_t body_bytes) const {
    if (!options.on_overload) return;
    options.on_overload({.what = what,
                         .body_bytes = body_bytes,
                         .held_bytes = bodies->HeldBytes()});
  }

  void ReportRefusal(const refusal_event& event) override {
    if (options.on_refusal) options.on_refusal(event);
  }

  // Connections.

  /**
   * When all connections are used, closes some of those that hold an incomplete
   * request, the ones without progress for longest; then of those that are idle
   * between requests. Otherwise new clients would wait for the idle timeout.
   */
  void LimitConnections() {
    struct candidate {
      bool is_idle;
      core::time_point progress_at;
      MHD_Connection* connection;
    };
    std::vector<candidate> quiet;
    std::size_t open = 0;
    for (const auto& [connection, activity] : connections) {
      if (activity.is_closing) continue;
      ++open;
      if (loop.Now() - activity.progress_at < kMinimumQuietTime) continue;
      const bool is_idle = !IsIncomplete(connection, activity);
      // Keeps connections with a request in progress, or one that has arrived.
      if (is_idle && (exchanges.count(connection) > 0 ||
                      HasInput(DescriptorOf(connection)))) {
        continue;
      }
      quiet.push_back({is_idle, activity.progress_at, connection});
    }
    if (open < options.maximum_connections) return;
    std::sort(quiet.begin(), quiet.end(),
              [](const candidate& one, const candidate& other) {
                return std::tie(one.is_idle, one.progress_at) <
                       std::tie(other.is_idle, other.progress_at);
              });
    const std::size_t count = std::min(
        quiet.size(), std::max<std::size_t>(1, options.maximum_connections /
                                                   kFreedConnectionsDivisor));
    for (std::size_t i = 0; i < count; ++i) {
      MHD_Connection* connection = quiet[i].connection;
      connections[connection].is_closing = true;
      const auto exchange = exchanges.find(connection);
      const std::size_t body_bytes =
          exchange == exchanges.end() ? 0
                                      : exchange->second->ReceivedBodyBytes();
      if (exchange != exchanges.end()) exchange->second->DropBody();
      // The daemon closes it on the event that this causes.
      ::shutdown(DescriptorOf(connection), SHUT_RDWR);
      Report(overload_event::kind::connection_closed, body_bytes);
    }
  }

  bool IsIncomplete(MHD_Connection* connection,
                    const connection_activity& activity) const {
    const auto exchange = exchanges.find(connection);
    if (exchange != exchanges.end()) return !exchange->second->IsDispatched();
    return new_connections.count(connection) > 0 ||
           activity.head_began_at.has_value();
  }

  MHD_Result BeginRequest(MHD_Connection* connection, const char* url,
                          const char* method, const char* version,
                          void** context) {
    const auto activity = connections.find(connection);
    if (activity != connections.end() && activity->second.is_closing) {
      return MHD_NO;
    }
    const body_id body = ++last_body;
    auto exchange = std::make_shared<http_exchange_state>(
        *this, connection, limits.maximum_body_bytes, bodies, body);
    const auto target = targets.extract(connection);
    exchange->ReadHead(target.empty() ? std::string(url) : target.mapped(), url,
                       method, version);
    *context = exchange.get();
    new_connections.erase(connection);
    SchedulePartialRequestCheck();
    http_exchange_state& reference = *exchange;
    exchanges[connection] = std::move(exchange);
    body_owners[body] = connection;
    if (reference.HeaderBytes() > limits.maximum_header_bytes) {
      reference.RefuseHeaders();
    } else if (!HasRoomForResponse(connection, reference)) {
      reference.RefuseManyParts();
    } else if (!reference.RefuseMalformed()) {
      if (!reference.MustRefuseUnread()) return MHD_YES;
      reference.RefuseBody();
    }
    return reference.Answer() ? MHD_YES : MHD_NO;
  }

  /**
   * What the pool holds of the head is known. Bytes of a next request that were
   * read with it are in the pool too; the framing of chunks of earlier bodies
   * counts as such bytes.
   */
  bool HasRoomForResponse(MHD_Connection* connection,
                          const http_exchange_state& exchange) {
    head_memory head = exchange.HeadMemory();
    const std::size_t pool = options.maximum_header_bytes;
    // The library reads no more than half of the pool ahead.
    const std::size_t most_ahead = pool / 2;
    head.read_ahead_bytes = most_ahead;
    if (LeavesRoomForResponse(head, pool)) return true;
    const auto activity = connections.find(connection);
    const std::uint64_t read = ReadBytesOf(DescriptorOf(connection));
    const std::uint64_t used =
        head.text_bytes +
        (activity == connections.end() ? 0 : activity->second.request_bytes);
    head.read_ahead_bytes = static_cast<std::size_t>(
        std::min<std::uint64_t>(read - std::min(read, used), most_ahead));
    return LeavesRoomForResponse(head, pool);
  }

  // The daemon closes a connection without a response if its pool has no room
  // for the head of one.

  void AnswerUnanswered(MHD_Connection* connection,
                        const http_response& response) {
    const int descriptor = DescriptorOf(connection);
    const std::string text = ToText(response);
    // A client that has gone, or does not read, gets none.
    static_cast<void>(::send(descriptor, text.data(), text.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT));
  }

  /** Nothing was sent since the last request, and the client is there. */
  bool IsUnanswered(MHD_Connection* connection) {
    const auto activity = connections.find(connection);
    if (closing || activity == connections.end() ||
        activity->second.is_closing) {
      return false;
    }
    const int descriptor = DescriptorOf(connection);
    return !HasEnded(descriptor) &&
           WrittenBytesOf(descriptor, TransferCountOf(descriptor)) ==
               activity->second.written_before;
  }

  /** Of a request whose head the daemon could not read to its end. */
  refusal_event RefusalOfHead(MHD_Connection* connection) {
    const std::size_t pool = options.maximum_header_bytes;
    // Bytes of a pipelined request may have been received before.
    const std::uint64_t read = ReadBytesOf(DescriptorOf(connection));
    const auto received = static_cast<std::size_t>(
        read - std::min(read, connections[connection].received_before));
    const auto target = targets.find(connection);
    if (target == targets.end()) {
      if (received < pool / 2) return kUnreadableHead;
      return {414, "target_too_large", "The target is too large."};
    }
    const std::size_t parameters = ParametersOf(target->second);
    const head_memory head{.text_bytes = received, .parameters = parameters};
    if (2 * BytesOf(head) > pool &&
        IsTargetLarger(target->second.size(), parameters, head)) {
      return {414, "target_too_large", "The target has too many parameters."};
    }
    if (received < pool / kMaximumBytesPerHeadByte) return kUnreadableHead;
    return {431, "headers_too_large", "The request has too many headers."};
  }

  void RefuseUnreadHead(MHD_Connection* connection) {
    if (!IsUnanswered(connection)) return;
    const bool has_begun = targets.count(connection) > 0 ||
                           ReadBytesOf(DescriptorOf(connection)) >
                               connections[connection].received_before;
    if (!has_begun) return;
    const refusal_event event = RefusalOfHead(connection);
    ReportRefusal(event);
    AnswerUnanswered(connection, RefusalResponse(event));
  }

  // The daemon misses a FIN that arrives together with part of a request: it
  // does not read until the end of file and gets no further event. Without this
  // check such connections would count towards the connection limit until the
  // idle timeout.

  void SchedulePartialRequestCheck() {
    if (partial_request_timer != 0) return;
    partial_request_timer = loop.Schedule(kPartialRequestInterval, [this] {
      partial_request_timer = 0;
      for (MHD_Connection* connection : new_connections) DropIfGone(connection);
      for (const auto& [connection, exchange] : exchanges) {
        if (!exchange->IsDispatched()) DropIfGone(connection);
      }
      if (!new_connections.empty() || !exchanges.empty()) {
        SchedulePartialRequestCheck();
      }
    });
  }

  static int DescriptorOf(MHD_Connection* connection) {
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
  }

  static void DropIfGone(MHD_Connection* connection) {
    const int descriptor = DescriptorOf(connection);
    // The daemon closes it on the event that this causes.
    if (IsClosedByPeer(descriptor)) ::shutdown(descriptor, SHUT_RDWR);
  }

  // The daemon's own timeout is fixed, and the same for all connections.

  void ScheduleActivityCheck() {
    if (activity_timer != 0) return;
    activity_timer = loop.Schedule(kActivityInterval, [this] {
      activity_timer = 0;
      for (auto& [connection, activity] : connections) {
        if (HasTimedOut(connection, activity)) Close(connection);
      }
      if (connections.size() >= options.maximum_connections) {
        LimitConnections();
      }
      if (!connections.empty()) ScheduleActivityCheck();
    });
  }

  bool HasTimedOut(MHD_Connection* connection, connection_activity& activity) {
    const auto now = loop.Now();
    const auto found = exchanges.find(connection);
    const bool is_between = found == exchanges.end();
    const auto count = TransferCountOf(DescriptorOf(connection));
    const bool waits = !is_between && found->second->IsSuspended();
    if (waits || count != activity.count) activity.progress_at = now;
    activity.count = count;
    if (!is_between) activity.head_began_at.reset();
    const auto quiet = now - activity.progress_at;
    const bool has_begun =
        is_between && count.received != activity.received_before;
    if (!has_begun) {
      return quiet >= (is_between ? limits.idle_timeout : options.idle_timeout);
    }
    if (!activity.head_began_at) activity.head_began_at = now;
    return quiet >= options.idle_timeout ||
           now - *activity.head_began_at >= limits.header_timeout;
  }

  void Close(MHD_Connection* connection) {
    const int descriptor = DescriptorOf(connection);
    // A next request may have arrived, which the daemon is about to read.
    const bool is_between = exchanges.count(connection) == 0;
    if (is_between && HasInput(descriptor)) return;
    // The daemon closes it on the event that this causes.
    ::shutdown(descriptor, SHUT_RDWR);
  }

  /** @param ended the request that has ended. */
  void MarkIdle(MHD_Connection* connection, const http_exchange_state& ended) {
    const auto found = connections.find(connection);
    if (found == connections.end()) return;
    connection_activity& activity = found->second;
    const int descriptor = DescriptorOf(connection);
    activity.count = TransferCountOf(descriptor);
    activity.received_before = activity.count.received;
    activity.written_before = WrittenBytesOf(descriptor, activity.count);
    activity.request_bytes +=
        ended.HeadMemory().text_bytes + ended.ReceivedBodyBytes();
    activity.progress_at = loop.Now();
  }

  void Dispatch(http_exchange_state& exchange) {
    exchange.MarkDispatched();
    if (exchange.IsAnswered()) return;
    try {
      on_request(
          std::make_shared<http_exchange_handle>(exchange.shared_from_this()));
    } catch (const std::exception& failure) {
      exchange.Respond({500, {}, failure.what()});
    }
  }

  static void OnCompleted(void* self, MHD_Connection* connection,
                          void** /*context*/,
                          MHD_RequestTerminationCode code) noexcept {
    auto* server = static_cast<impl*>(self);
    const bool has_failed = code == MHD_REQUEST_TERMINATED_WITH_ERROR;
    const auto found = server->exchanges.find(connection);
    if (found == server->exchanges.end()) {
      if (has_failed) server->RefuseUnreadHead(connection);
      server->targets.erase(connection);
      return;
    }
    server->targets.erase(connection);
    const auto exchange = found->second;
    if (has_failed && server->IsUnanswered(connection)) {
      const auto response = exchange->ResponseForClose();
      if (response) server->AnswerUnanswered(connection, *response);
    }
    server->exchanges.erase(found);
    server->body_owners.erase(exchange->Body());
    exchange->Detach();
    server->MarkIdle(connection, *exchange);
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) exchange->ReportGone();
  }

  static void OnConnection(void* self, MHD_Connection* connection,
                           void** /*context*/,
                           MHD_ConnectionNotificationCode code) noexcept {
    auto* server = static_cast<impl*>(self);
    server->connection_changed = true;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      server->connection_closed = true;
      server->RefuseUnreadHead(connection);
      server->lingering.Add(DescriptorOf(connection));
      server->new_connections.erase(connection);
      server->connections.erase(connection);
      server->targets.erase(connection);
    } else if (!server->closing) {
      server->new_connections.insert(connection);
      server->connections[connection].progress_at = server->loop.Now();
      server->SchedulePartialRequestCheck();
      server->ScheduleActivityCheck();
      if (server->connections.size() >= server->options.maximum_connections) {
        server->LimitConnections();
      }
    }
  }

  event_loop& loop;
  http_server_options options;
  handler on_request;
  http_server_limits limits;
  MHD_Daemon* daemon = nullptr;
  std::optional<io_watcher> watcher;
  std::uint16_t port = 0;
  timer_id timeout_timer = 0;
  bool run_requested = false;
  bool closing = false;
  int epoll_descriptor = -1;
  timer_id accept_timer = 0;
  bool connection_changed = false;
  bool connection_closed = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  /** Targets of requests whose headers have not been read. */
  std::unordered_map<MHD_Connection*, std::string> targets;
  std::unordered_map<MHD_Connection*, std::shared_ptr<http_exchange_state>>
      exchanges;
  std::shared_ptr<body_budget> bodies =
      std::make_shared<body_budget>(options.body_memory);
  std::size_t largest_body = 0;
  body_id last_body = 0;
  /** Connections of the requests that have not ended, by body. */
  std::unordered_map<body_id, MHD_Connection*> body_owners;
  lingering_sockets lingering{loop, LingerLimits(options)};
  /** Connections without the headers of a first request. */
  std::unordered_set<MHD_Connection*> new_connections;
  timer_id partial_request_timer = 0;
  std::unordered_map<MHD_Connection*, connection_activity> connections;
  timer_id activity_timer = 0;
};

http_server::http_server(event_loop& loop, http_server_options options,
                         handler on_request)
    : impl_(std::make_unique<impl>(
          loop, options, std::move(on_request),
          tcp_socket::Listen({options.address, options.port}))) {}

http_server::http_server(event_loop& loop, http_server_options options,
                         handler on_request, tcp_socket listener)
    : impl_(std::make_unique<impl>(loop, std::move(options),
                                   std::move(on_request),
                                   std::move(listener))) {}

http_server::~http_server() = default;

std::uint16_t http_server::Port() const { return impl_->port; }

void http_server::SetLimits(const http_server_limits& limits) {
  impl_->limits = limits;
  impl_->LimitBodies();
}

void http_server::StopAccepting() {
  const MHD_socket listener = MHD_quiesce_daemon(impl_->daemon);
  if (listener != MHD_INVALID_SOCKET) ::close(listener);
}

std::size_t http_server::ConnectionCount() const {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info == nullptr ? 0 : info->num_connections;
}

std::size_t http_server::UnfinishedCount() const {
  return impl_->exchanges.size();
}

std::size_t http_server::BodyBytes() const {
  return impl_->bodies->HeldBytes();
}

const char* ToString(overload_event::kind what) {
  switch (what) {
    case overload_event::kind::body_closed:
      return "body_closed";
    case overload_event::kind::body_refused:
      return "body_refused";
    case overload_event::kind::connection_closed:
      return "connection_closed";
  }
  return "unknown";
}

}  // namespace comfreyspring::net

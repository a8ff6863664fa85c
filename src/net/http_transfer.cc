#include "net/http_transfer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <utility>

#include "net/head_grammar.h"

namespace comfreyspring::net {
namespace {

constexpr long kKeepaliveSeconds = 10;

/**
 * The library reads up to 100 times this from a connection before it returns,
 * without a callback if the bytes are framing.
 */
constexpr long kReadBytes = 4 * 1024;

/**
 * Pieces of a body, such as chunks, after which the loop turns to other work. A
 * peer that sends faster than the body is read would hold the loop otherwise.
 */
constexpr int kPiecesBetweenHolds = 128;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

template <class Value>
void SetOption(CURL* easy, CURLoption option, Value value) {
  curl_easy_setopt(easy, option, value);
}

}  // namespace

http_transfer::http_transfer(event_loop& loop, connection_table& connections,
                             read_pacer& pacer, http_call_id id, http_call call,
                             http_callbacks callbacks)
    : loop_(loop),
      connections_(connections),
      pacer_(pacer),
      id_(id),
      call_(std::move(call)),
      callbacks_(std::move(callbacks)),
      easy_(curl_easy_init()),
      head_(call_.maximum_headers),
      pieces_until_hold_(kPiecesBetweenHolds),
      last_activity_(loop.Now()) {
  if (!Guarded([this] {
        CheckRequestHead(call_.method, call_.target, call_.headers);
      })) {
    easy_.reset();
  }
  if (!easy_) return;
  SetUrlAndMethod();
  SetHeaders();
  SetLimits();
  CURL* easy = easy_.get();
  SetOption(easy, CURLOPT_PRIVATE, reinterpret_cast<void*>(id_));
  SetOption(easy, CURLOPT_ERRORBUFFER, error_text_.data());
  SetOption(easy, CURLOPT_HEADERFUNCTION, &http_transfer::OnHeader);
  SetOption(easy, CURLOPT_HEADERDATA, this);
  SetOption(easy, CURLOPT_WRITEFUNCTION, &http_transfer::OnBody);
  SetOption(easy, CURLOPT_WRITEDATA, this);
  SetOption(easy, CURLOPT_PREREQFUNCTION, &http_transfer::OnBeforeRequest);
  SetOption(easy, CURLOPT_PREREQDATA, this);
  // The connection keeps these callbacks and outlives the call.
  SetOption(easy, CURLOPT_OPENSOCKETFUNCTION, &http_transfer::OnOpenSocket);
  SetOption(easy, CURLOPT_OPENSOCKETDATA, &connections_);
  SetOption(easy, CURLOPT_CLOSESOCKETFUNCTION, &http_transfer::OnCloseSocket);
  SetOption(easy, CURLOPT_CLOSESOCKETDATA, &connections_);
}

http_transfer::~http_transfer() {
  loop_.Cancel(idle_timer_);
  loop_.Cancel(total_timer_);
}

http_call_id http_transfer::IdOf(CURL* easy) {
  void* id = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &id);
  return reinterpret_cast<std::uintptr_t>(id);
}

// Options.

void http_transfer::SetUrlAndMethod() {
  CURL* easy = easy_.get();
  SetOption(easy, CURLOPT_URL, call_.url.Text().c_str());
  if (!call_.target.empty()) {
    SetOption(easy, CURLOPT_REQUEST_TARGET, call_.target.c_str());
  }
  // An id of "." or ".." is a segment like any other.
  SetOption(easy, CURLOPT_PATH_AS_IS, 1L);
  SetOption(easy, CURLOPT_PROTOCOLS_STR, "http");
  SetOption(easy, CURLOPT_NOPROXY, "*");
  SetOption(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  if (call_.method == "HEAD") {
    SetOption(easy, CURLOPT_NOBODY, 1L);
  } else if (call_.method != "GET" || !call_.body.empty()) {
    SetOption(easy, CURLOPT_POSTFIELDSIZE_LARGE,
              static_cast<curl_off_t>(call_.body.size()));
    SetOption(easy, CURLOPT_POSTFIELDS, call_.body.data());
    SetOption(easy, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
  }
}

void http_transfer::SetHeaders() {
  const auto append = [this](const std::string& line) {
    // On failure the list is unchanged and still owned.
    curl_slist* longer = curl_slist_append(header_list_.get(), line.c_str());
    if (longer == nullptr) return;
    static_cast<void>(header_list_.release());
    header_list_.reset(longer);
  };
  // Without these the library waits a second for a peer that does not send
  // "100 Continue", and adds a form content type.
  append("Expect:");
  if (call_.headers.count("content-type") == 0) append("Content-Type:");
  for (const auto& [name, value] : call_.headers) {
    append(value.empty() ? name + ';' : name + ": " + value);
  }
  SetOption(easy_.get(), CURLOPT_HTTPHEADER, header_list_.get());
}

void http_transfer::SetLimits() {
  CURL* easy = easy_.get();
  SetOption(easy, CURLOPT_NOSIGNAL, 1L);
  SetOption(easy, CURLOPT_BUFFERSIZE, kReadBytes);
  SetOption(easy, CURLOPT_TCP_NODELAY, 1L);
  SetOption(easy, CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(call_.connect_timeout.count()));
  SetOption(easy, CURLOPT_FRESH_CONNECT, call_.fresh_connection ? 1L : 0L);
  SetOption(easy, CURLOPT_FORBID_REUSE, call_.keep_connection ? 0L : 1L);
  SetOption(easy, CURLOPT_MAXAGE_CONN,
            static_cast<long>(call_.maximum_connection_idle.count()));
  SetOption(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  SetOption(easy, CURLOPT_TCP_KEEPIDLE, kKeepaliveSeconds);
  SetOption(easy, CURLOPT_TCP_KEEPINTVL, kKeepaliveSeconds);
}

bool http_transfer::IsSafeToRepeat() const {
  return call_.may_resend && (call_.method == "GET" || call_.method == "HEAD");
}

// Library callbacks.

int http_transfer::OnBeforeRequest(void* self, char* /*peer_address*/,
                                   char* /*local_address*/, int /*peer_port*/,
                                   int local_port) noexcept {
  auto& transfer = *static_cast<http_transfer*>(self);
  if (transfer.cancelled_) return CURL_PREREQFUNC_ABORT;
  // The library resends a request when a reused connection closes without a
  // response. The peer may have processed it, so only safe methods are resent.
  if (transfer.times_sent_ > 0 && !transfer.IsSafeToRepeat()) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (!transfer.call_.fresh_connection &&
      transfer.connections_.HasUnexpectedInput(
          static_cast<std::uint16_t>(local_port))) {
    transfer.needs_fresh_connection_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer.times_sent_;
  transfer.last_activity_ = transfer.loop_.Now();
  return CURL_PREREQFUNC_OK;
}

int http_transfer::OnOpenSocket(void* table, curlsocktype /*purpose*/,
                                curl_sockaddr* address) noexcept {
  const int descriptor = ::socket(
      address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (descriptor >= 0) {
    YieldLocalPort(descriptor);
    static_cast<connection_table*>(table)->OnOpened(descriptor);
  }
  return descriptor;
}

int http_transfer::OnCloseSocket(void* table,
                                 curl_socket_t descriptor) noexcept {
  static_cast<connection_table*>(table)->OnClosed(descriptor);
  return ::close(descriptor);
}

bool http_transfer::UseFreshConnection() {
  if (!std::exchange(needs_fresh_connection_, false) || cancelled_) {
    return false;
  }
  call_.fresh_connection = true;
  SetOption(easy_.get(), CURLOPT_FRESH_CONNECT, 1L);
  return true;
}

std::size_t http_transfer::OnHeader(char* data, std::size_t size,
                                    std::size_t count, void* self) noexcept {
  auto& transfer = *static_cast<http_transfer*>(self);
  if (transfer.cancelled_) return 0;
  transfer.last_activity_ = transfer.loop_.Now();
  const std::size_t bytes = size * count;
  transfer.header_bytes_ += bytes;
  transfer.delivered_bytes_ += bytes;
  if (transfer.header_bytes_ > transfer.call_.maximum_header_bytes) {
    transfer.abort_reason_ = "the response headers are too large";
    return 0;
  }
  const bool read = transfer.Guarded([&] {
    transfer.ReadHeaderLine({data, bytes});
  });
  return read && !transfer.cancelled_ ? bytes : 0;
}

bool http_transfer::Guarded(const std::function<void()>& step) noexcept {
  try {
    step();
    return true;
  } catch (const std::exception& failure) {
    // An exception must not pass through the C library; the call fails instead.
    abort_reason_ = failure.what();
    return false;
  }
}

void http_transfer::ReadHeaderLine(std::string_view line) {
  if (!head_.AddLine(line)) return;
  if (!AcceptsBody(AnnouncedBytes())) throw net_error(abort_reason_);
  if (callbacks_.on_headers) {
    callbacks_.on_headers(head_.Status(), head_.Headers());
  }
}

std::size_t http_transfer::OnBody(char* data, std::size_t size,
                                  std::size_t count, void* self) noexcept {
  auto& transfer = *static_cast<http_transfer*>(self);
  const std::size_t bytes = size * count;
  if (transfer.cancelled_) return 0;
  if (transfer.is_held_) {
    transfer.has_stopped_ = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (const auto wait = transfer.HoldFor(bytes)) {
    return transfer.Guarded([&] { transfer.on_hold_(*wait); })
               ? CURL_WRITEFUNC_PAUSE
               : 0;
  }
  transfer.delivered_bytes_ += bytes;
  transfer.last_activity_ = transfer.loop_.Now();
  if (!transfer.AcceptsBody(transfer.result_.body.size() + bytes)) return 0;
  const bool taken = transfer.Guarded([&] {
    if (transfer.callbacks_.on_data) {
      transfer.callbacks_.on_data({data, bytes});
    } else {
      transfer.result_.body.append(data, bytes);
    }
  });
  return taken && !transfer.cancelled_ ? bytes : 0;
}

bool http_transfer::AcceptsBody(std::size_t bytes) {
  if (callbacks_.on_data || bytes <= call_.maximum_body_bytes) return true;
  result_.body_too_large = true;
  abort_reason_ = "the response body is too large";
  return false;
}

std::size_t http_transfer::AnnouncedBytes() const {
  if (HasNoBody()) return 0;
  curl_off_t length = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return length > 0 ? static_cast<std::size_t>(length) : 0;
}

std::optional<core::milliseconds> http_transfer::HoldFor(std::size_t bytes) {
  if (pieces_until_hold_ == 0) {
    pieces_until_hold_ = kPiecesBetweenHolds;
    return core::milliseconds(0);
  }
  const auto wait = pacer_.Take(pace_, bytes, loop_.Now());
  if (wait.count() > 0) return wait;
  --pieces_until_hold_;
  return std::nullopt;
}

bool http_transfer::CheckFraming(int descriptor) {
  if (connections_.AcceptsFraming(descriptor,
                                  std::exchange(delivered_bytes_, 0))) {
    return true;
  }
  abort_reason_ = "the response consists mostly of framing";
  return false;
}

void http_transfer::OnHold(
    std::function<void(core::milliseconds wait)> callback) {
  on_hold_ = std::move(callback);
}

void http_transfer::Hold() { is_held_ = true; }

bool http_transfer::Release() {
  is_held_ = false;
  last_activity_ = loop_.Now();
  return std::exchange(has_stopped_, false);
}

CURLcode http_transfer::Resume() {
  return curl_easy_pause(easy_.get(), CURLPAUSE_CONT);
}

// Timeouts and completion.

void http_transfer::OnTimeout(std::function<void()> callback) {
  on_timeout_ = std::move(callback);
  if (call_.idle_timeout.count() > 0) ScheduleIdleCheck(call_.idle_timeout);
  if (call_.total_timeout.count() == 0) return;
  // Not left to the library, which would close the connection in order.
  total_timer_ = loop_.Schedule(call_.total_timeout, [this] {
    total_timer_ = 0;
    abort_reason_ = "the call exceeded its total timeout";
    const auto expired = on_timeout_;
    expired();
  });
}

void http_transfer::ScheduleIdleCheck(core::milliseconds delay) {
  idle_timer_ = loop_.Schedule(delay, [this] {
    idle_timer_ = 0;
    const auto left = last_activity_ + call_.idle_timeout - loop_.Now();
    if (left.count() > 0) {
      ScheduleIdleCheck(std::chrono::ceil<core::milliseconds>(left));
      return;
    }
    const auto expired = on_timeout_;
    expired();
  });
}

void http_transfer::MarkCancelled() {
  cancelled_ = true;
  loop_.Cancel(idle_timer_);
  loop_.Cancel(total_timer_);
}

bool http_transfer::HasNoBody() const {
  return call_.method == "HEAD" || head_.Status() == kNoContent ||
         head_.Status() == kNotModified;
}

body_end http_transfer::BodyEnd() const {
  const bool is_framed = HasNoBody() ||
                         head_.Headers().count("content-length") > 0 ||
                         head_.Headers().count("transfer-encoding") > 0;
  return is_framed ? body_end::framed : body_end::connection;
}

void http_transfer::ReportDone(CURLcode code) {
  if (cancelled_) return;
  cancelled_ = true;
  result_.end = BodyEnd();
  // The library accepts headers that end with their connection.
  const bool headers_cut = code == CURLE_OK && !head_.IsComplete();
  if (headers_cut) abort_reason_ = "the response headers are incomplete";
  if (head_.IsComplete()) {
    result_.status = head_.Status();
    result_.headers = std::move(head_).Headers();
  }
  if (code != CURLE_OK || headers_cut) {
    result_.failure =
        times_sent_ == 0 ? http_failure::not_sent : http_failure::broken;
    long system_error = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_OS_ERRNO, &system_error);
    result_.connection_refused =
        code == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED;
    result_.error_message = !abort_reason_.empty() ? abort_reason_
                            : error_text_.front() != '\0'
                                ? error_text_.data()
                                : curl_easy_strerror(code);
  }
  if (callbacks_.on_done) callbacks_.on_done(result_);
}

}  // namespace comfreyspring::net

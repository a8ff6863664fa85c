#include "net/http_exchange_state.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "net/head_grammar.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {
namespace {

// Maximum size of one read by the daemon; more data takes several reads.
constexpr std::size_t kStreamBlockBytes = 16 * 1024;
// A body larger than this multiple of the limit is not read to its end.
constexpr std::size_t kDiscardFactor = 4;
// Bodies ask for memory in steps, since clients may send a byte at a time.
constexpr std::size_t kBodyStepBytes = 4 * 1024;

constexpr int kFirstErrorStatus = 400;

/** A body and its share of the budget. */
struct leased_body {
  std::string text;
  body_lease lease;
};

MHD_Result AddField(void* target, MHD_ValueKind /*kind*/, const char* name,
                    std::size_t name_size, const char* value,
                    std::size_t value_size) {
  auto& fields = *static_cast<std::vector<field_view>*>(target);
  fields.push_back({{name, name_size}, {value, value_size}});
  return MHD_YES;
}

MHD_Result AddArgument(void* target, MHD_ValueKind /*kind*/, const char* key,
                       const char* value) {
  auto& query = *static_cast<std::map<std::string, std::string>*>(target);
  query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

struct response_deleter {
  void operator()(MHD_Response* response) const {
    MHD_destroy_response(response);
  }
};
using response_pointer = std::unique_ptr<MHD_Response, response_deleter>;

bool Queue(MHD_Connection* connection, int status, const header_map& headers,
           const response_pointer& response) {
  for (const auto& [name, value] : headers) {
    // The daemon leaves out fields without a value; a blank is not part of one.
    MHD_add_response_header(response.get(), name.c_str(),
                            value.empty() ? " " : value.c_str());
  }
  return MHD_queue_response(connection, static_cast<unsigned>(status),
                            response.get()) == MHD_YES;
}

}  // namespace

http_exchange_state::http_exchange_state(http_daemon& daemon,
                                         MHD_Connection* connection,
                                         std::size_t maximum_body_bytes,
                                         std::shared_ptr<body_budget> budget,
                                         body_id body)
    : daemon_(&daemon),
      connection_(connection),
      maximum_body_bytes_(maximum_body_bytes),
      budget_(std::move(budget)),
      body_(body) {}

http_response RefusalResponse(const refusal_event& event,
                              const std::string& outcome) {
  return {event.status,
          {{"content-type", "application/json"}, {"connection", "close"}},
          R"({"error":{"type":")" + event.type + R"(","message":")" +
              event.reason + R"(","outcome":")" + outcome + R"("}})"};
}

// The request.

void http_exchange_state::ReadHead(std::string target, const char* url,
                                   const char* method,
                                   std::string_view version) {
  lacks_chunks_ = version == MHD_HTTP_VERSION_1_0;
  request_.method = method;
  request_.target = std::move(target);
  request_.path = url;
  head_memory_.parameters = static_cast<std::size_t>(MHD_get_connection_values(
      connection_, MHD_GET_ARGUMENT_KIND, &AddArgument, &request_.query));
  const std::size_t request_line = request_.method.size() +
                                   request_.target.size() + version.size() +
                                   std::string_view("  \r\n").size();
  const std::size_t head =
      MHD_get_connection_info(connection_,
                              MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
          ->header_size;
  header_bytes_ = head - std::min(head, request_line);
  head_memory_.text_bytes = head;
  // The method is the start of the head.
  ReadFields({method, head}, request_line, version);
}

void http_exchange_state::ReadFields(std::string_view head,
                                     std::size_t request_line_bytes,
                                     std::string_view version) {
  std::vector<field_view> fields;
  MHD_get_connection_values_n(connection_, MHD_HEADER_KIND, &AddField, &fields);
  head_memory_.fields =
      fields.size() + static_cast<std::size_t>(MHD_get_connection_values(
                          connection_, MHD_COOKIE_KIND, nullptr, nullptr));
  try {
    CheckLayout(head, request_line_bytes, fields);
    framing_ = FramingOf(version, fields);
    request_.headers = JoinFields(fields);
    CheckRequestHead(request_.method, request_.target, request_.headers);
    const auto cookies = request_.headers.find("cookie");
    if (cookies != request_.headers.end()) {
      head_memory_.copied_bytes = cookies->second.size();
    }
  } catch (const head_error& failure) {
    malformed_ = failure;
  } catch (const net_error& failure) {
    malformed_ = head_error(400, failure.what());
  }
}

std::size_t http_exchange_state::AnnouncedBodyBytes() const {
  return framing_.bytes;
}

bool http_exchange_state::MustRefuseUnread() const {
  const std::size_t bytes = AnnouncedBodyBytes();
  if (bytes <= maximum_body_bytes_) return false;
  // Responding before the end of the body closes the connection with unread
  // data. The resulting TCP reset can discard the response at a client that is
  // still sending. A body within the bound is therefore read and discarded
  // first, unless the client waits for 100 Continue.
  return bytes > maximum_body_bytes_ * kDiscardFactor ||
         request_.headers.count("expect") > 0;
}

bool http_exchange_state::AppendBody(std::string_view data) {
  if (queued_) return true;
  if (body_dropped_) return false;
  body_bytes_ += data.size();
  if (body_bytes_ <= maximum_body_bytes_) {
    if (body_refused_) return true;
    if (!ReserveBody()) return !body_dropped_;
    incoming_body_.append(data);
    return true;
  }
  // The daemon accepts a response only at the end of the body.
  RefuseBody();
  return body_bytes_ <= maximum_body_bytes_ * kDiscardFactor;
}

bool http_exchange_state::ReserveBody() {
  if (body_bytes_ > granted_bytes_) {
    // Rounded up, but not beyond the limit, which the budget has room for.
    const std::size_t steps = (body_bytes_ - 1) / kBodyStepBytes + 1;
    const std::size_t wanted =
        std::min(steps * kBodyStepBytes, maximum_body_bytes_);
    if (granted_bytes_ == 0) lease_ = body_lease(budget_, body_);
    switch (daemon_->GrowBody(body_, wanted)) {
      case body_budget::verdict::accepted:
        granted_bytes_ = wanted;
        break;
      case body_budget::verdict::refused:
        body_refused_ = true;
        Refuse(503, "out_of_memory",
               "The requests in flight use the memory for bodies.");
        response_->headers["retry-after"] = "1";
        return false;
      case body_budget::verdict::closed:
        DropBody();
        return false;
    }
  }
  // The announced length alone takes no memory: a client may never send it.
  if (body_bytes_ > incoming_body_.capacity()) {
    const std::size_t announced =
        std::min(AnnouncedBodyBytes(), maximum_body_bytes_);
    const bool is_small = body_bytes_ <= body_budget::kSmallBodyBytes;
    incoming_body_.reserve(std::max(
        body_bytes_, is_small
                         ? std::min(announced, body_budget::kSmallBodyBytes)
                         : announced));
  }
  return true;
}

void http_exchange_state::DropBody() {
  body_dropped_ = true;
  DiscardBody();
}

void http_exchange_state::DiscardBody() {
  std::string().swap(incoming_body_);
  lease_.Release();
  request_.body = {};
}

void http_exchange_state::MarkDispatched() {
  dispatched_ = true;
  if (incoming_body_.empty()) return;
  budget_->Complete(body_);
  auto body = std::make_shared<leased_body>();
  body->text = std::exchange(incoming_body_, {});
  body->lease = std::move(lease_);
  request_.body =
      shared_body(std::shared_ptr<const std::string>(body, &body->text));
}

void http_exchange_state::RefuseBody() {
  if (body_refused_) return;
  body_refused_ = true;
  Refuse(413, "body_too_large", "The body is too large.");
}

void http_exchange_state::RefuseHeaders() {
  Refuse(431, "headers_too_large", "The headers are too large.");
}

void http_exchange_state::RefuseManyParts() {
  if (IsTargetLarger(request_.target.size(), head_memory_.parameters,
                     head_memory_)) {
    Refuse(414, "target_too_large", "The target has too many parameters.");
  } else {
    Refuse(431, "headers_too_large", "The request has too many headers.");
  }
}

bool http_exchange_state::RefuseMalformed() {
  if (!malformed_) return false;
  Refuse(malformed_->Status(), "malformed_request",
         std::string(malformed_->what()) + '.');
  return true;
}

void http_exchange_state::Refuse(int status, const char* type,
                                 const std::string& message) {
  dispatched_ = true;
  DiscardBody();
  const refusal_event event{status, type, message};
  daemon_->ReportRefusal(event);
  response_ = RefusalResponse(event);
}

std::optional<http_response> http_exchange_state::ResponseForClose() const {
  // A request without a queued response was closed on purpose.
  if (!queued_ || aborted_ || gone_ || body_dropped_ || stream_read_) {
    return std::nullopt;
  }
  const refusal_event event{
      502, "response_too_large",
      "The head of the response has no room beside that of the request."};
  daemon_->ReportRefusal(event);
  const int status = response_ ? response_->status : stream_status_;
  auto result = RefusalResponse(event, "unknown");
  // An error tells the caller whether it may repeat the request.
  if (status >= kFirstErrorStatus) result.status = status;
  return result;
}

// The response.

bool http_exchange_state::Answer() {
  if (aborted_ || gone_) return false;
  if (queued_) return true;
  if (response_) return QueueWhole();
  if (streaming_) return QueueStream();
  Suspend();
  return true;
}

bool http_exchange_state::QueueWhole() {
  queued_ = true;
  const response_pointer response(MHD_create_response_from_buffer(
      response_->body.size(), response_->body.data(), MHD_RESPMEM_MUST_COPY));
  queued_bytes_ = response_->body.size();
  std::string().swap(response_->body);
  // The client may take long to read the response.
  DiscardBody();
  return Queue(connection_, response_->status, response_->headers, response);
}

bool http_exchange_state::QueueStream() {
  queued_ = true;
  // The response keeps the state alive until the daemon destroys it.
  auto kept = std::make_unique<std::shared_ptr<http_exchange_state>>(
      shared_from_this());
  const response_pointer response(MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, kStreamBlockBytes, &http_exchange_state::ReadStream,
      kept.release(), [](void* self) {
        const std::unique_ptr<std::shared_ptr<http_exchange_state>> ended(
            static_cast<std::shared_ptr<http_exchange_state>*>(self));
      }));
  return Queue(connection_, stream_status_, stream_headers_, response);
}

ssize_t http_exchange_state::ReadStream(void* self, std::uint64_t /*position*/,
                                        char* target,
                                        std::size_t capacity) noexcept {
  http_exchange_state& state =
      **static_cast<std::shared_ptr<http_exchange_state>*>(self);
  state.stream_read_ = true;
  if (state.aborted_ || state.gone_) {
    state.MarkIncomplete();
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t bytes = std::min(capacity, state.PendingBytes());
  if (bytes > 0) {
    std::memcpy(target, state.stream_data_.data() + state.stream_sent_, bytes);
    state.stream_sent_ += bytes;
    // Frees sent data even if the buffer never drains, as for a client that
    // always lags behind.
    if (state.stream_sent_ * 2 >= state.stream_data_.size()) {
      state.stream_data_.erase(0, state.stream_sent_);
      state.stream_sent_ = 0;
    }
    state.ReportDrained();
    return static_cast<ssize_t>(bytes);
  }
  if (state.incomplete_) {
    state.MarkIncomplete();
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (state.stream_ended_) return MHD_CONTENT_READER_END_OF_STREAM;
  state.Suspend();
  return 0;
}

void http_exchange_state::Respond(http_response response) {
  if (IsAnswered() || !AcceptFields(response.headers)) return;
  response_ = std::move(response);
  Resume();
}

void http_exchange_state::BeginStream(int status, header_map headers) {
  if (IsAnswered() || !AcceptFields(headers)) return;
  streaming_ = true;
  stream_status_ = status;
  stream_headers_ = std::move(headers);
  Resume();
}

bool http_exchange_state::AcceptFields(const header_map& headers) {
  try {
    CheckResponseFields(headers);
    return true;
  } catch (const net_error& failure) {
    response_ = http_response{500, {}, std::string(failure.what()) + ".\n"};
    Resume();
    return false;
  }
}

void http_exchange_state::Write(std::string data) {
  if (connection_ == nullptr || gone_ || !streaming_ || stream_ended_) return;
  if (stream_data_.empty()) {
    stream_data_ = std::move(data);
  } else {
    stream_data_ += data;
  }
  Resume();
}

void http_exchange_state::OnDrained(std::size_t bytes,
                                    std::function<void()> callback) {
  drained_bytes_ = bytes;
  on_drained_ = std::move(callback);
  ReportDrained();
}

void http_exchange_state::ReportDrained() {
  if (!on_drained_ || daemon_ == nullptr || PendingBytes() > drained_bytes_) {
    return;
  }
  // Deferred: the daemon may be reading the stream.
  daemon_->Loop().Post(std::exchange(on_drained_, nullptr));
}

void http_exchange_state::EndStream() {
  if (!streaming_) return;
  stream_ended_ = true;
  Resume();
}

void http_exchange_state::EndIncomplete() {
  if (!streaming_) {
    Abort();
    return;
  }
  incomplete_ = true;
  EndStream();
}

void http_exchange_state::Abort() {
  aborted_ = true;
  on_gone_ = nullptr;
  Resume();
}

// Suspension and disconnects.

void http_exchange_state::Suspend() {
  if (suspended_) return;
  suspended_ = true;
  MHD_suspend_connection(connection_);
  WatchForDisconnect();
}

void http_exchange_state::Resume() {
  if (!suspended_ || connection_ == nullptr) return;
  suspended_ = false;
  MHD_resume_connection(connection_);
  daemon_->RequestRun();
}

int http_exchange_state::Descriptor() const {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info->connect_fd;
}

void http_exchange_state::MarkIncomplete() const {
  if (lacks_chunks_ && connection_ != nullptr) ResetConnection(Descriptor());
}

void http_exchange_state::WatchForDisconnect() {
  if (disconnect_watcher_ || watch_ended_) return;
  const auto on_readable = [self = weak_from_this()] {
    if (const auto state = self.lock()) state->CheckForDisconnect();
  };
  disconnect_watcher_.emplace(daemon_->Loop(), Descriptor(), io_interest::read,
                              io_watcher::callbacks{on_readable, nullptr});
}

void http_exchange_state::CheckForDisconnect() {
  if (connection_ == nullptr) return;
  char byte = 0;
  const ssize_t size = recv(Descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
  // Readable data is a pipelined request, which the daemon reads after this
  // response. The socket stays readable until then, so the watcher would spin.
  watch_ended_ = true;
  disconnect_watcher_.reset();
  if (size > 0) return;
  Resume();
  ReportGone();
}

void http_exchange_state::Detach() {
  on_drained_ = nullptr;
  disconnect_watcher_.reset();
  watch_ended_ = true;
  connection_ = nullptr;
  daemon_ = nullptr;
  // An incomplete body is of no use without its connection.
  std::string().swap(incoming_body_);
  lease_.Release();
}

void http_exchange_state::ReportGone() {
  if (gone_) return;
  gone_ = true;
  const auto callback = std::move(on_gone_);
  on_gone_ = nullptr;
  if (callback) callback();
}

void http_exchange_state::OnClientGone(std::function<void()> callback) {
  if (gone_) {
    callback();
    return;
  }
  on_gone_ = std::move(callback);
}

http_exchange_handle::~http_exchange_handle() {
  if (state_->IsAnswered()) return;
  state_->Respond(
      {500, {}, "The handler released the request without a response.\n"});
}

}  // namespace comfreyspring::net

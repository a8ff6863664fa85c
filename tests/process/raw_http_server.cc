#include "raw_http_server.h"

#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <set>
#include <utility>

#include "core/text.h"
#include "net/io_watcher.h"
#include "net/socket_address.h"
#include "net/tcp_socket.h"

namespace comfreyspring::process_test {

std::string Chunk(const std::string& data) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;

/** Reads one request. @returns its size; 0 while it is incomplete. */
std::size_t ParseRequest(const std::string& text, net::http_request& request) {
  const std::size_t head = text.find("\r\n\r\n");
  if (head == std::string::npos) return 0;
  std::size_t at = text.find("\r\n");
  const std::string line = text.substr(0, at);
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, last - first - 1);
  request.path = request.target.substr(0, request.target.find('?'));
  while (at < head) {
    at += 2;
    const std::size_t end = text.find("\r\n", at);
    const std::size_t colon = text.find(':', at);
    const std::size_t value = text.find_first_not_of(' ', colon + 1);
    request.headers[core::ToLower(text.substr(at, colon - at))] =
        value < end ? text.substr(value, end - value) : std::string();
    at = end;
  }
  const auto length = request.headers.find("content-length");
  const std::size_t size =
      length == request.headers.end()
          ? 0
          : std::strtoul(length->second.c_str(), nullptr, 10);
  const std::size_t total = head + 4 + size;
  if (text.size() < total) return 0;
  request.body = text.substr(head + 4, size);
  return total;
}

std::string HeaderLines(int status, const net::header_map& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text;
}

class connection;

class exchange final : public raw_exchange {
 public:
  exchange(std::weak_ptr<connection> owner, std::uint64_t number,
           net::http_request request)
      : owner_(std::move(owner)),
        connection_(number),
        request_(std::move(request)) {}

  const net::http_request& Request() const override { return request_; }
  void Respond(net::http_response response) override;
  void BeginStream(int status, net::header_map headers) override;
  void Write(std::string data) override;
  void EndStream() override;
  void EndIncomplete() override { CloseInOrder(); }
  void Abort() override;
  void OnClientGone(std::function<void()> callback) override {
    on_gone_ = std::move(callback);
  }
  std::size_t PendingBytes() const override { return 0; }
  void OnDrained(std::size_t /*bytes*/,
                 std::function<void()> callback) override {
    callback();
  }
  void SetFraming(stream_framing framing) override { framing_ = framing; }
  std::uint64_t Connection() const override { return connection_; }
  void SendRaw(std::string bytes) override;
  void CloseInOrder() override;
  void FinishRaw() override;

  bool EndsWithConnection() const {
    return framing_ == stream_framing::connection;
  }
  void ReportGone() {
    if (const auto callback = std::exchange(on_gone_, nullptr)) callback();
  }

 private:
  std::weak_ptr<connection> owner_;
  std::uint64_t connection_;
  net::http_request request_;
  stream_framing framing_ = stream_framing::chunks;
  std::function<void()> on_gone_;
};

class connection final : public std::enable_shared_from_this<connection> {
 public:
  connection(net::event_loop& loop, std::uint64_t number,
             net::tcp_socket socket, const raw_http_server::handler& on_request,
             std::function<void(const std::shared_ptr<connection>&)> on_closed)
      : number_(number),
        socket_(std::move(socket)),
        on_request_(on_request),
        on_closed_(std::move(on_closed)) {
    watcher_.emplace(
        loop, socket_.Descriptor(), net::io_interest::read,
        net::io_watcher::callbacks{[this] { Read(); }, [this] { Flush(); }});
  }

  void Send(const std::string& bytes) {
    if (!watcher_) return;
    output_ += bytes;
    Flush();
  }

  void CloseAfterOutput() {
    closes_ = true;
    Flush();
  }

  void FinishExchange() {
    current_.reset();
    HandleNext();
  }

  /** Aborts the current response. */
  void Abort() {
    if (!watcher_) return;
    if (current_ && current_->EndsWithConnection()) {
      net::ResetConnection(socket_.Descriptor());
    }
    Close();
  }

  void Close() {
    if (!watcher_) return;
    const auto kept = shared_from_this();
    watcher_.reset();
    // Unread bytes would turn the end into a reset.
    std::array<char, 4096> rest{};
    while (socket_.Read(rest.data(), rest.size()).bytes > 0) {
    }
    socket_.Close();
    if (const auto ended = std::exchange(current_, nullptr)) {
      ended->ReportGone();
    }
    on_closed_(kept);
  }

 private:
  void Read() {
    const auto kept = shared_from_this();
    std::string buffer(kReadBytes, '\0');
    const auto result = socket_.Read(buffer.data(), buffer.size());
    if (result.outcome == net::transfer_result::kind::ended) {
      Close();
      return;
    }
    input_.append(buffer, 0, result.bytes);
    HandleNext();
  }

  void HandleNext() {
    if (current_ || closes_ || !watcher_) return;
    net::http_request request;
    const std::size_t size = ParseRequest(input_, request);
    if (size == 0) return;
    input_.erase(0, size);
    current_ = std::make_shared<exchange>(weak_from_this(), number_,
                                          std::move(request));
    on_request_(current_);
  }

  void Flush() {
    if (!watcher_) return;
    while (!output_.empty()) {
      const auto result = socket_.Write(output_.data(), output_.size());
      if (result.outcome == net::transfer_result::kind::ended) {
        Close();
        return;
      }
      if (result.outcome == net::transfer_result::kind::would_block) break;
      output_.erase(0, result.bytes);
    }
    if (output_.empty() && closes_) {
      Close();
      return;
    }
    watcher_->SetInterest(output_.empty() ? net::io_interest::read
                                          : net::io_interest::read_write);
  }

  std::uint64_t number_;
  net::tcp_socket socket_;
  const raw_http_server::handler& on_request_;
  std::function<void(const std::shared_ptr<connection>&)> on_closed_;
  std::optional<net::io_watcher> watcher_;
  std::string input_;
  std::string output_;
  std::shared_ptr<exchange> current_;
  bool closes_ = false;
};

void exchange::Respond(net::http_response response) {
  const auto owner = owner_.lock();
  if (!owner) return;
  response.headers["content-length"] = std::to_string(response.body.size());
  owner->Send(HeaderLines(response.status, response.headers) + "\r\n" +
              response.body);
  owner->FinishExchange();
}

void exchange::BeginStream(int status, net::header_map headers) {
  if (framing_ == stream_framing::chunks) {
    headers["transfer-encoding"] = "chunked";
  }
  SendRaw(HeaderLines(status, headers) + "\r\n");
}

void exchange::Write(std::string data) {
  SendRaw(framing_ == stream_framing::chunks ? Chunk(data) : std::move(data));
}

void exchange::EndStream() {
  if (framing_ == stream_framing::connection) {
    CloseInOrder();
    return;
  }
  SendRaw(Chunk(""));
  FinishRaw();
}

void exchange::Abort() {
  if (const auto owner = owner_.lock()) owner->Abort();
}

void exchange::SendRaw(std::string bytes) {
  if (const auto owner = owner_.lock()) owner->Send(bytes);
}

void exchange::CloseInOrder() {
  if (const auto owner = owner_.lock()) owner->CloseAfterOutput();
}

void exchange::FinishRaw() {
  if (const auto owner = owner_.lock()) owner->FinishExchange();
}

}  // namespace

struct raw_http_server::impl {
  impl(net::event_loop& owning_loop, const std::string& ip, std::uint16_t port,
       handler callback)
      : loop(owning_loop),
        on_request(std::move(callback)),
        socket(net::tcp_socket::Listen(net::socket_address(ip, port))) {
    watcher.emplace(loop, socket.Descriptor(), net::io_interest::read,
                    net::io_watcher::callbacks{[this] { Accept(); }, nullptr});
  }

  ~impl() {
    watcher.reset();
    for (const auto& open : std::set(connections)) open->Abort();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Accept() {
    for (auto next = socket.Accept(); next.IsValid(); next = socket.Accept()) {
      connections.insert(std::make_shared<connection>(
          loop, ++last_connection, std::move(next), on_request,
          [this](const std::shared_ptr<connection>& closed) {
            connections.erase(closed);
          }));
    }
  }

  net::event_loop& loop;
  handler on_request;
  net::tcp_socket socket;
  std::optional<net::io_watcher> watcher;
  std::set<std::shared_ptr<connection>> connections;
  std::uint64_t last_connection = 0;
};

raw_http_server::raw_http_server(net::event_loop& loop, const std::string& ip,
                                 std::uint16_t port, handler on_request)
    : impl_(std::make_unique<impl>(loop, ip, port, std::move(on_request))) {}

raw_http_server::~raw_http_server() = default;

std::uint16_t raw_http_server::Port() const {
  return net::socket_address::OfLocal(impl_->socket.Descriptor()).Port();
}

}  // namespace comfreyspring::process_test

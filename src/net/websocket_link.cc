#include "net/websocket_link.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>

namespace comfreyspring::net {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
// Bounds the time per event, so that one busy peer does not starve the other
// descriptors.
constexpr int kReadsPerEvent = 8;
// More output than this is written immediately instead of at the end of the
// turn.
constexpr std::size_t kEarlyFlushBytes = 256 * 1024;
// An empty buffer with a larger capacity than this is freed.
constexpr std::size_t kKeptBufferBytes = 256 * 1024;
constexpr std::size_t kMaximumHandshakeFields = 64;

}  // namespace

websocket_link::websocket_link(event_loop& loop, frame_link_options options)
    : loop_(loop), options_(options) {}

websocket_link::~websocket_link() {
  // No callback may run after the owner has released the link.
  on_ended_ = nullptr;
  Close();
}

// Opening.

void websocket_link::Connect(const std::string& address, std::uint16_t port,
                             frame_link_callbacks callbacks) {
  assert(state_ == state::idle);
  callbacks_ = std::make_shared<frame_link_callbacks>(std::move(callbacks));
  address_ = address;
  port_ = port;
  peer_name_ = address + ':' + std::to_string(port);
  state_ = state::connecting;
  try {
    const socket_address target(address, port);
    peer_name_ = target.ToString();
    socket_ = tcp_socket::Connect(target);
    Watch(io_interest::write);
  } catch (const net_error& failure) {
    Fail(failure.what());
    return;
  }
  StartHandshakeTimer();
}

void websocket_link::FinishConnect() {
  const int error = socket_.ConnectError();
  if (error == EINPROGRESS) return;
  if (error != 0) {
    refused_ = error == ECONNREFUSED;
    Fail(std::string("connect: ") + std::strerror(error));
    return;
  }
  state_ = state::handshaking;
  watcher_->SetInterest(io_interest::read);
  handshake_head_.emplace(kMaximumHandshakeFields, protocol_upgrade::requested);
  session_ = websocket_session::MakeClient(
      address_, port_, options_.maximum_frame_bytes, SessionCallbacks());
  if (!session_) {
    Fail("cannot start the websocket handshake");
    return;
  }
  Flush();
}

void websocket_link::Accept(tcp_socket socket) {
  assert(state_ == state::idle);
  socket_ = std::move(socket);
  peer_name_ = socket_address::OfPeer(socket_.Descriptor()).ToString();
  state_ = state::handshaking;
}

void websocket_link::StartAccepted(frame_link_callbacks callbacks) {
  if (state_ != state::handshaking) return;
  callbacks_ = std::make_shared<frame_link_callbacks>(std::move(callbacks));
  session_ = websocket_session::MakeServer(options_.maximum_frame_bytes,
                                           SessionCallbacks());
  try {
    Watch(io_interest::read);
  } catch (const net_error& failure) {
    Fail(failure.what());
    return;
  }
  StartHandshakeTimer();
}

websocket_session::callbacks websocket_link::SessionCallbacks() {
  // The session is a member and never outlives `this`.
  websocket_session::callbacks handlers;
  handlers.on_output = [this](const char* data, std::size_t size) {
    output_.append(data, size);
    RequestFlush();
  };
  handlers.on_open = [this] {
    if (state_ != state::handshaking) return;
    state_ = state::open;
    loop_.Cancel(std::exchange(handshake_timer_, 0));
    if (callbacks_->on_open) callbacks_->on_open();
  };
  handlers.on_frame = [this](std::string_view frame) {
    if (state_ == state::open && callbacks_->on_frame) {
      callbacks_->on_frame(frame);
    }
  };
  return handlers;
}

void websocket_link::StartHandshakeTimer() {
  handshake_timer_ =
      loop_.Schedule(options_.handshake_timeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) return;
        self->handshake_timer_ = 0;
        self->Fail("handshake not complete in time");
      });
}

void websocket_link::CheckHandshake(std::string_view received) {
  while (handshake_head_ && !received.empty()) {
    const std::size_t end = std::min(received.find('\n'), received.size() - 1);
    handshake_line_ += received.substr(0, end + 1);
    received.remove_prefix(end + 1);
    // The session limits the size of the head.
    if (handshake_line_.back() != '\n') return;
    if (handshake_head_->AddLine(handshake_line_)) handshake_head_.reset();
    handshake_line_.clear();
  }
}

void websocket_link::Watch(io_interest interest) {
  // The callbacks keep the link alive while they run, because the receiver of
  // a frame may release its last reference.
  watcher_.emplace(loop_, socket_.Descriptor(), interest,
                   io_watcher::callbacks{[weak = weak_from_this()] {
                                           if (const auto self = weak.lock())
                                             self->HandleReadable();
                                         },
                                         [weak = weak_from_this()] {
                                           if (const auto self = weak.lock())
                                             self->HandleWritable();
                                         }});
}

// Input.

void websocket_link::HandleReadable() {
  if (state_ == state::connecting) {
    FinishConnect();
    return;
  }
  static thread_local std::array<char, kReadBytes> buffer;
  for (int i = 0; i < kReadsPerEvent && state_ != state::ended; ++i) {
    const transfer_result result = socket_.Read(buffer.data(), buffer.size());
    if (result.outcome == transfer_result::kind::would_block) return;
    if (result.outcome == transfer_result::kind::ended) {
      Fail(result.reason);
      return;
    }
    received_bytes_ += result.bytes;
    try {
      CheckHandshake({buffer.data(), result.bytes});
    } catch (const net_error& failure) {
      Fail(failure.what());
      return;
    }
    const bool was_open = state_ == state::open;
    const bool alive = session_->Receive(buffer.data(), result.bytes);
    if (state_ == state::ended) return;
    if (!alive || (was_open && !session_->IsOpen())) {
      Fail(session_->CloseReason());
      return;
    }
    if (result.bytes < buffer.size()) return;
  }
}

// Output.

bool websocket_link::Send(std::string frame) {
  if (!IsOpen() || !session_->Send(frame)) return false;
  if (PendingBytes() > kEarlyFlushBytes) Flush();
  if (PendingBytes() > options_.maximum_pending_bytes) {
    Fail("peer does not read: " + std::to_string(PendingBytes()) +
         " bytes pending");
  }
  return state_ != state::ended;
}

void websocket_link::RequestFlush() {
  if (flush_requested_) return;
  flush_requested_ = true;
  loop_.AtEndOfTurn([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->flush_requested_ = false;
    self->Flush();
  });
}

void websocket_link::HandleWritable() {
  if (state_ == state::connecting) {
    FinishConnect();
  } else {
    Flush();
  }
}

void websocket_link::Flush() {
  if (!socket_.IsValid()) return;
  while (PendingBytes() > 0) {
    const transfer_result result =
        socket_.Write(output_.data() + output_sent_, PendingBytes());
    if (result.outcome == transfer_result::kind::ended) {
      Fail(result.reason);
      return;
    }
    if (result.outcome == transfer_result::kind::would_block) break;
    output_sent_ += result.bytes;
    sent_bytes_ += result.bytes;
  }
  if (output_sent_ > output_.size() / 2) {
    output_.erase(0, output_sent_);
    output_sent_ = 0;
    if (output_.empty() && output_.capacity() > kKeptBufferBytes) {
      output_.shrink_to_fit();
    }
  }
  if (watcher_) {
    watcher_->SetInterest(PendingBytes() > 0 ? io_interest::read_write
                                             : io_interest::read);
  }
}

// Closing.

bool websocket_link::IsOpen() const { return state_ == state::open; }

void websocket_link::Close() {
  failure_report_ = nullptr;
  if (state_ == state::ended) return;
  const bool was_open = state_ == state::open;
  state_ = state::ended;
  if (was_open) {
    session_->Close();
    Flush();
  }
  End();
}

void websocket_link::Fail(const std::string& reason) {
  if (state_ == state::ended) return;
  state_ = state::ended;
  // Sends the close frame with the session's error, if the peer still reads.
  Flush();
  const auto callbacks = callbacks_;
  End();
  if (!callbacks || !callbacks->on_closed) return;
  // Posted, so that on_closed does not run inside the caller's Send or Connect;
  // a local Close cancels it.
  failure_report_ = callbacks;
  loop_.Post([weak = weak_from_this(), reason] {
    const auto self = weak.lock();
    if (!self || !self->failure_report_) return;
    const auto report = std::exchange(self->failure_report_, nullptr);
    if (self->refused_ && report->on_refused) report->on_refused();
    report->on_closed(reason);
  });
}

void websocket_link::End() {
  loop_.Cancel(std::exchange(handshake_timer_, 0));
  watcher_.reset();
  socket_.Close();
  // The caller may be one of these callbacks, so they are destroyed later.
  loop_.AtEndOfTurn([kept = std::exchange(callbacks_, nullptr)] {});
  if (on_ended_) {
    loop_.AtEndOfTurn(std::move(on_ended_));
    on_ended_ = nullptr;
  }
}

std::shared_ptr<frame_link> ConnectFrameLink(event_loop& loop,
                                             const std::string& address,
                                             std::uint16_t port,
                                             frame_link_options options,
                                             frame_link_callbacks callbacks) {
  auto link = std::make_shared<websocket_link>(loop, options);
  link->Connect(address, port, std::move(callbacks));
  return link;
}

}  // namespace comfreyspring::net

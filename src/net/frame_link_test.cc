#include "net/frame_link.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <cstring>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/test_peer.h"
#include "net/websocket/websocket_session.h"

namespace comfreyspring::net {
namespace {

using core::milliseconds;

constexpr milliseconds kLimit{5000};

/** One end of a link and the events that it has received. */
struct link_end {
  std::shared_ptr<frame_link> link;
  bool opened = false;
  std::vector<std::string> frames;
  std::vector<std::string> closed;
  int refused = 0;

  frame_link_callbacks Callbacks() {
    return {[this] { opened = true; },
            [this](std::string_view frame) { frames.emplace_back(frame); },
            [this](const std::string& reason) { closed.push_back(reason); },
            [this] { ++refused; }};
  }
};

class frame_link_test : public ::testing::Test {
 protected:
  void Listen(std::size_t maximum_links = 100) {
    listener_ = std::make_unique<frame_listener>(
        loop_, "127.0.0.1", 0, options_, maximum_links,
        [this](const std::shared_ptr<frame_link>& link) {
          accepted_.push_back(std::make_unique<link_end>());
          accepted_.back()->link = link;
          return accepted_.back()->Callbacks();
        });
  }
  void Connect(link_end& end) {
    end.link = ConnectFrameLink(loop_, "127.0.0.1", listener_->Port(), options_,
                                end.Callbacks());
  }
  void ConnectPair(link_end& end) {
    Listen();
    Connect(end);
    ASSERT_TRUE(loop_.RunUntil(
        [&] {
          return end.opened && !accepted_.empty() && accepted_.back()->opened;
        },
        kLimit));
  }
  bool WaitFor(const std::function<bool()>& condition) {
    return loop_.RunUntil(condition, kLimit);
  }
  /** Fails the test unless the listener still accepts links. */
  void ExpectAlive() {
    link_end end;
    Connect(end);
    EXPECT_TRUE(WaitFor([&] { return end.opened; }));
  }

  event_loop loop_;
  frame_link_options options_;
  std::vector<std::unique_ptr<link_end>> accepted_;
  std::unique_ptr<frame_listener> listener_;
};

std::string Binary(std::size_t size) {
  std::string result(size, '\0');
  for (std::size_t i = 0; i < size; ++i) result[i] = static_cast<char>(i * 7);
  return result;
}

TEST_F(frame_link_test, CarriesFramesOfAnySizeBothWaysInOrder) {
  link_end client;
  ConnectPair(client);
  link_end& server = *accepted_.back();
  const std::vector<std::size_t> sizes = {0,     1,     125,    126,
                                          65535, 65536, 1000000};
  for (const std::size_t size : sizes) {
    EXPECT_TRUE(client.link->Send(Binary(size)));
    EXPECT_TRUE(server.link->Send(Binary(size)));
  }
  ASSERT_TRUE(WaitFor([&] {
    return client.frames.size() == sizes.size() &&
           server.frames.size() == sizes.size();
  }));
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    EXPECT_EQ(client.frames[i], Binary(sizes[i]));
    EXPECT_EQ(server.frames[i], Binary(sizes[i]));
  }
  EXPECT_EQ(client.link->PendingBytes(), 0U);
  EXPECT_GT(client.link->SentBytes(), 1131000U);
  EXPECT_EQ(client.link->SentBytes(), server.link->ReceivedBytes());
  EXPECT_EQ(server.link->SentBytes(), client.link->ReceivedBytes());
  EXPECT_EQ(client.link->PeerName(),
            "127.0.0.1:" + std::to_string(listener_->Port()));
}

TEST_F(frame_link_test, ReportsARefusedConnection) {
  Listen();
  const std::uint16_t port = listener_->Port();
  listener_.reset();
  link_end end;
  end.link =
      ConnectFrameLink(loop_, "127.0.0.1", port, options_, end.Callbacks());
  EXPECT_TRUE(end.closed.empty());
  ASSERT_TRUE(WaitFor([&] { return !end.closed.empty(); }));
  EXPECT_FALSE(end.opened);
  EXPECT_EQ(end.refused, 1);
  EXPECT_FALSE(end.link->Send("x"));

  link_end invalid;
  invalid.link = ConnectFrameLink(loop_, "no address", port, options_,
                                  invalid.Callbacks());
  EXPECT_TRUE(WaitFor([&] { return !invalid.closed.empty(); }));
  EXPECT_EQ(invalid.refused, 0);
}

TEST_F(frame_link_test, ReportsAPeerThatClosesOnce) {
  link_end client;
  ConnectPair(client);
  link_end& server = *accepted_.back();
  EXPECT_TRUE(server.link->Send("last words"));
  server.link->Close();
  EXPECT_FALSE(server.link->IsOpen());
  EXPECT_FALSE(server.link->Send("after"));
  ASSERT_TRUE(WaitFor([&] { return !client.closed.empty(); }));
  loop_.RunUntil([] { return false; }, milliseconds(20));
  EXPECT_EQ(client.closed.size(), 1U);
  EXPECT_EQ(client.frames, std::vector<std::string>{"last words"});
  EXPECT_FALSE(client.link->IsOpen());
  EXPECT_TRUE(server.closed.empty());
}

TEST_F(frame_link_test, ReportsAClientThatClosesOrIsDropped) {
  link_end client;
  ConnectPair(client);
  client.link->Close();
  ASSERT_TRUE(WaitFor([&] { return !accepted_[0]->closed.empty(); }));
  EXPECT_TRUE(client.closed.empty());

  link_end dropped;
  Connect(dropped);
  ASSERT_TRUE(
      WaitFor([&] { return accepted_.size() == 2 && accepted_[1]->opened; }));
  dropped.link.reset();
  ASSERT_TRUE(WaitFor([&] { return !accepted_[1]->closed.empty(); }));
}

// Guards against use of freed memory when a receiver closes its own link.
TEST_F(frame_link_test, CanBeClosedAndDroppedInsideItsOwnCallback) {
  Listen();
  std::shared_ptr<frame_link> link;
  int frames = 0;
  int closed = 0;
  frame_link_callbacks callbacks;
  callbacks.on_frame = [&](std::string_view) {
    ++frames;
    link->Close();
    link.reset();
  };
  callbacks.on_closed = [&](const std::string&) { ++closed; };
  link = ConnectFrameLink(loop_, "127.0.0.1", listener_->Port(), options_,
                          callbacks);
  ASSERT_TRUE(
      WaitFor([&] { return !accepted_.empty() && accepted_[0]->opened; }));
  accepted_[0]->link->Send("one");
  accepted_[0]->link->Send("two");
  ASSERT_TRUE(WaitFor([&] { return !accepted_[0]->closed.empty(); }));
  EXPECT_EQ(frames, 1);
  EXPECT_EQ(closed, 0);
}

TEST_F(frame_link_test, SurvivesGarbageInsteadOfAHandshake) {
  Listen();
  std::string garbage;
  for (int i = 0; i < 4096; ++i) garbage += static_cast<char>(i * 37);
  test_peer peer(loop_, listener_->Port());
  peer.Send(garbage + "\r\n\r\n");
  ASSERT_TRUE(WaitFor([&] { return peer.IsClosedByPeer(); }));
  test_peer http(loop_, listener_->Port());
  http.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(WaitFor([&] { return http.IsClosedByPeer(); }));
  test_peer endless(loop_, listener_->Port());
  endless.Send("GET / HTTP/1.1\r\nX: " + std::string(200000, 'x'));
  ASSERT_TRUE(WaitFor([&] { return endless.IsClosedByPeer(); }));
  for (const auto& end : accepted_) {
    EXPECT_FALSE(end->opened);
    EXPECT_EQ(end->closed.size(), 1U);
  }
  ExpectAlive();
}

// Guards against connections that never finish their handshake.
TEST_F(frame_link_test, ClosesASilentPeerAtTheHandshakeDeadline) {
  options_.handshake_timeout = milliseconds(50);
  Listen();
  test_peer silent(loop_, listener_->Port());
  test_peer half(loop_, listener_->Port());
  half.Send("GET / HTTP/1.1\r\nUpgrade: webso");
  ASSERT_TRUE(WaitFor(
      [&] { return silent.IsClosedByPeer() && half.IsClosedByPeer(); }));
  ExpectAlive();

  test_listener mute(loop_);
  link_end end;
  end.link = ConnectFrameLink(loop_, "127.0.0.1", mute.Port(), options_,
                              end.Callbacks());
  ASSERT_TRUE(WaitFor([&] { return !end.closed.empty(); }));
  EXPECT_EQ(end.closed[0], "handshake not complete in time");
}

TEST_F(frame_link_test, SurvivesAServerThatAnswersGarbage) {
  test_listener raw(loop_);
  link_end end;
  end.link = ConnectFrameLink(loop_, "127.0.0.1", raw.Port(), options_,
                              end.Callbacks());
  const auto peer = raw.Accept();
  peer->Send(std::string(1000, '\x02') + "\r\n\r\n");
  ASSERT_TRUE(WaitFor([&] { return !end.closed.empty(); }));
  EXPECT_FALSE(end.opened);
}

// A link whose handshake has a malformed head does not open.
class malformed_handshake_test : public frame_link_test,
                                 public ::testing::WithParamInterface<
                                     std::pair<const char*, const char*>> {};

TEST_P(malformed_handshake_test, OpensNoLink) {
  const auto [sound, malformed] = GetParam();
  for (const bool is_sound : {true, false}) {
    test_listener raw(loop_);
    link_end end;
    end.link = ConnectFrameLink(loop_, "127.0.0.1", raw.Port(), options_,
                                end.Callbacks());
    const auto peer = raw.Accept();
    const auto has_request = [&] {
      return peer->Received().find("\r\n\r\n") != std::string::npos;
    };
    ASSERT_TRUE(WaitFor(has_request));
    std::string response;
    websocket_session::callbacks handlers;
    handlers.on_output = [&](const char* data, std::size_t size) {
      response.append(data, size);
    };
    const auto session = websocket_session::MakeServer(1000, handlers);
    session->Receive(peer->Received().data(), peer->Received().size());
    const std::size_t position = response.find(sound);
    ASSERT_NE(position, std::string::npos) << response;
    if (!is_sound) response.replace(position, std::strlen(sound), malformed);
    peer->Send(response);
    ASSERT_TRUE(WaitFor([&] { return end.opened || !end.closed.empty(); }));
    EXPECT_EQ(end.opened, is_sound) << response;
  }
}

INSTANTIATE_TEST_SUITE_P(
    frame_link_test, malformed_handshake_test,
    ::testing::Values(
        std::pair(" 101 ", " 000 "), std::pair(" 101 ", " 999 "),
        std::pair(" 101 ", " +101 "), std::pair(" 101 ", " 0101 "),
        std::pair("\r\nUpgrade: ", "\r\nbad name: x\r\nUpgrade: "),
        std::pair("\r\nUpgrade: ", "\r\nbad\x01name: x\r\nUpgrade: "),
        std::pair("\r\nUpgrade: ", "\r\nvalue: x\x01\r\nUpgrade: "),
        std::pair("\r\nUpgrade: ", "\r\nno colon\r\nUpgrade: "),
        std::pair("\r\nUpgrade: ", "\r\n a: b\r\nUpgrade: "),
        std::pair("\r\nUpgrade: ", "\r\nUpgrade : ")));

// Guards against a crash on a malformed frame after a valid handshake.
TEST_F(frame_link_test, SurvivesGarbageAfterTheHandshake) {
  Listen();
  test_peer peer(loop_, listener_->Port());
  peer.Send(
      "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
      "Sec-WebSocket-Version: 13\r\n\r\n");
  ASSERT_TRUE(WaitFor([&] { return peer.Received().find("101") == 9; }));
  peer.Send(std::string(5000, '\xff'));
  ASSERT_TRUE(WaitFor([&] { return peer.IsClosedByPeer(); }));
  ASSERT_TRUE(WaitFor([&] { return !accepted_[0]->closed.empty(); }));
  EXPECT_TRUE(accepted_[0]->frames.empty());
  ExpectAlive();
}

TEST_F(frame_link_test, ClosesAnOversizedFrame) {
  options_.maximum_frame_bytes = 10000;
  link_end client;
  ConnectPair(client);
  client.link->Send(Binary(10000));
  client.link->Send(Binary(10001));
  ASSERT_TRUE(WaitFor([&] { return !accepted_[0]->closed.empty(); }));
  EXPECT_EQ(accepted_[0]->frames.size(), 1U);
  ASSERT_TRUE(WaitFor([&] { return !client.closed.empty(); }));
  ExpectAlive();
}

// Bounds the memory used for a peer whose process is stopped.
TEST_F(frame_link_test, ClosesAPeerThatDoesNotRead) {
  options_.maximum_pending_bytes = 1000000;
  Listen();
  test_peer peer(loop_, listener_->Port());
  peer.Send(
      "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
      "Sec-WebSocket-Version: 13\r\n\r\n");
  ASSERT_TRUE(
      WaitFor([&] { return !accepted_.empty() && accepted_[0]->opened; }));
  // The loop does not run in between, so the peer reads nothing.
  int sent = 0;
  while (sent < 1000 && accepted_[0]->link->Send(Binary(100000))) ++sent;
  EXPECT_LT(sent, 1000);
  EXPECT_FALSE(accepted_[0]->link->IsOpen());
  ASSERT_TRUE(WaitFor([&] { return !accepted_[0]->closed.empty(); }));
  ExpectAlive();
}

TEST_F(frame_link_test, RefusesLinksBeyondTheLimit) {
  Listen(2);
  link_end ends[3];
  for (link_end& end : ends) Connect(end);
  ASSERT_TRUE(WaitFor([&] { return !ends[2].closed.empty(); }));
  EXPECT_TRUE(WaitFor([&] { return ends[0].opened && ends[1].opened; }));
  ends[0].link->Close();
  ASSERT_TRUE(WaitFor([&] { return !accepted_[0]->closed.empty(); }));
  ExpectAlive();
}

// Guards against a listener that spins or stops for good while the process is
// out of file descriptors.
TEST_F(frame_link_test, AcceptsAgainAfterDescriptorsRanOut) {
  Listen();
  tcp_socket waiting =
      tcp_socket::Connect(socket_address("127.0.0.1", listener_->Port()));
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit exhausted = before;
  // The next free descriptor is the one after that of `waiting`.
  exhausted.rlim_cur = static_cast<rlim_t>(waiting.Descriptor()) + 1;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
  loop_.RunUntil([&] { return !accepted_.empty(); }, milliseconds(30));
  EXPECT_TRUE(accepted_.empty());
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_TRUE(WaitFor([&] { return !accepted_.empty(); }));
  ExpectAlive();
}

// Guards the rule that one port has one agent.
TEST_F(frame_link_test, RefusesASecondListenerOnItsPort) {
  Listen();
  EXPECT_THROW(
      frame_listener(loop_, "127.0.0.1", listener_->Port(), options_, 1,
                     [](const auto&) { return frame_link_callbacks{}; }),
      net_error);
}

TEST_F(frame_link_test, ListenerClosesItsLinksWhenDestroyed) {
  link_end client;
  ConnectPair(client);
  listener_.reset();
  ASSERT_TRUE(WaitFor([&] { return !client.closed.empty(); }));
  EXPECT_TRUE(accepted_[0]->closed.empty());
  EXPECT_FALSE(accepted_[0]->link->IsOpen());
}

}  // namespace
}  // namespace comfreyspring::net

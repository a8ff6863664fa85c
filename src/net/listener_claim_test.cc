#include "net/listener_claim.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/persistent_http_server.h"

namespace comfreyspring::net {
namespace {

using core::milliseconds;

constexpr milliseconds kLimit{3000};

std::uint16_t LocalPort(const tcp_socket& socket) {
  return socket_address::OfLocal(socket.Descriptor()).Port();
}

class listener_claim_test : public ::testing::Test {
 protected:
  listener_claim::callbacks Callbacks() {
    return {
        .on_open =
            [this](tcp_socket listener) { opened_ = std::move(listener); },
        .on_waiting =
            [this](const std::string& reason) { reasons_.push_back(reason); }};
  }
  bool WaitUntilOpen() {
    return loop_.RunUntil([this] { return opened_.IsValid(); }, kLimit);
  }
  void Wait(milliseconds length) {
    loop_.RunUntil([] { return false; }, length);
  }

  event_loop loop_;
  tcp_socket opened_;
  std::vector<std::string> reasons_;
};

TEST_F(listener_claim_test, OpensAFreeAddressAtOnce) {
  const listener_claim claim(loop_, {"127.0.0.1", 0}, Callbacks());
  EXPECT_TRUE(opened_.IsValid());
  EXPECT_TRUE(reasons_.empty());
}

TEST_F(listener_claim_test, OpensWhenAnotherListenerEnds) {
  tcp_socket holder = tcp_socket::Listen({"127.0.0.1", 0});
  const listener_claim claim(loop_, {"127.0.0.1", LocalPort(holder)},
                             Callbacks());
  Wait(milliseconds(350));
  EXPECT_FALSE(opened_.IsValid());
  EXPECT_EQ(reasons_.size(), 1U) << "one report for each reason";
  holder.Close();
  EXPECT_TRUE(WaitUntilOpen());
}

TEST_F(listener_claim_test, WaitsForAnAddressThatIsMissing) {
  // TEST-NET-1 is not assigned to machines.
  const listener_claim claim(loop_, {"192.0.2.1", 4711}, Callbacks());
  Wait(milliseconds(250));
  EXPECT_FALSE(opened_.IsValid());
  EXPECT_EQ(reasons_.size(), 1U);
}

TEST_F(listener_claim_test, ErrorsOfSettingsDoNotPass) {
  const socket_address address("127.0.0.1", 80);
  EXPECT_FALSE(listen_error(address, EACCES).MayPass());
  EXPECT_FALSE(listen_error(address, EAFNOSUPPORT).MayPass());
  EXPECT_TRUE(listen_error(address, EADDRINUSE).MayPass());
  EXPECT_TRUE(listen_error(address, EADDRNOTAVAIL).MayPass());
  EXPECT_TRUE(listen_error(address, EMFILE).MayPass());
}

// Guards against a listener that cannot be opened because a connection of the
// same machine got its port as the local port.
TEST_F(listener_claim_test, OpensThePortOfAnOutgoingLink) {
  const tcp_socket peer = tcp_socket::Listen({"127.0.0.1", 0});
  const tcp_socket link = tcp_socket::Connect({"127.0.0.1", LocalPort(peer)});
  const listener_claim claim(loop_, {"127.0.0.1", LocalPort(link)},
                             Callbacks());
  EXPECT_TRUE(opened_.IsValid()) << reasons_.front();
}

TEST_F(listener_claim_test, OpensThePortOfAnOutgoingCall) {
  std::uint16_t caller_port = 0;
  std::shared_ptr<http_exchange> unanswered;
  http_server server(loop_, {}, [&](std::shared_ptr<http_exchange> exchange) {
    unanswered = std::move(exchange);
  });
  http_client client(loop_);
  client.Start({.url = net::url::Parse(
                    "http://127.0.0.1:" + std::to_string(server.Port()) + "/")},
               {.on_done = [](const http_result&) {}});
  ASSERT_TRUE(loop_.RunUntil([&] { return unanswered != nullptr; }, kLimit));
  for (int descriptor = 3; descriptor < 256 && caller_port == 0; ++descriptor) {
    const auto peer = socket_address::OfPeer(descriptor);
    if (peer.Family() == AF_INET && peer.Port() == server.Port()) {
      caller_port = socket_address::OfLocal(descriptor).Port();
    }
  }
  ASSERT_NE(caller_port, 0);
  const listener_claim claim(loop_, {"127.0.0.1", caller_port}, Callbacks());
  EXPECT_TRUE(opened_.IsValid()) << reasons_.front();
}

TEST_F(listener_claim_test, AServerListensWhenItsPortIsFree) {
  tcp_socket holder = tcp_socket::Listen({"127.0.0.1", 0});
  std::vector<bool> changes;
  const persistent_http_server server(
      loop_, {.address = "127.0.0.1", .port = LocalPort(holder)},
      [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->Respond({200, {}, ""});
      },
      [&](const listen_event& event) {
        changes.push_back(event.is_listening);
      });
  EXPECT_EQ(server.Port(), 0);
  holder.Close();
  ASSERT_TRUE(loop_.RunUntil([&] { return server.Port() != 0; }, kLimit));
  EXPECT_EQ(changes, (std::vector<bool>{false, true}));
  http_client client(loop_);
  std::optional<http_result> result;
  client.Start({.url = net::url::Parse(
                    "http://127.0.0.1:" + std::to_string(server.Port()) + "/")},
               {.on_done = [&](const http_result& done) { result = done; }});
  ASSERT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kLimit));
  EXPECT_EQ(result->status, 200);
}

}  // namespace
}  // namespace comfreyspring::net

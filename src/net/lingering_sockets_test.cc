#include "net/lingering_sockets.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

#include "net/event_loop.h"

namespace comfreyspring::net {
namespace {

/** The two ends of a connection on loopback. */
class lingering_sockets_test : public ::testing::Test {
 protected:
  void SetUp() override {
    const tcp_socket listener(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    ASSERT_EQ(::bind(listener.Descriptor(), generic, length), 0);
    ASSERT_EQ(::listen(listener.Descriptor(), 1), 0);
    ASSERT_EQ(::getsockname(listener.Descriptor(), generic, &length), 0);
    client_ = tcp_socket(::socket(AF_INET, SOCK_STREAM, 0));
    ASSERT_EQ(::connect(client_.Descriptor(), generic, length), 0);
    server_ = tcp_socket(::accept(listener.Descriptor(), nullptr, nullptr));
    ASSERT_TRUE(server_.IsValid());
  }

  event_loop loop_;
  tcp_socket client_;
  tcp_socket server_;
  lingering_sockets lingering_{loop_,
                               {.maximum_time = core::milliseconds(1000),
                                .maximum_bytes = 1024 * 1024,
                                .maximum_sockets = 4}};
};

// A client must be told by a reset that a later request was not read.
TEST_F(lingering_sockets_test, DoesNotKeepAnIdleConnection) {
  lingering_.Add(server_.Descriptor());
  EXPECT_EQ(lingering_.Count(), 0U);
}

TEST_F(lingering_sockets_test, KeepsAConnectionUntilTheClientCloses) {
  const std::string response(16 * 1024 * 1024, 'x');
  // The buffers take a part of it.
  ASSERT_GT(::send(server_.Descriptor(), response.data(), response.size(),
                   MSG_DONTWAIT),
            0);
  lingering_.Add(server_.Descriptor());
  EXPECT_EQ(lingering_.Count(), 1U);
  client_ = tcp_socket();
  EXPECT_TRUE(loop_.RunUntil([this] { return lingering_.Count() == 0; },
                             core::milliseconds(500)));
}

}  // namespace
}  // namespace comfreyspring::net

// Ports of a program are held by something else when it starts.

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "net/tcp_socket.h"
#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

constexpr milliseconds kHeldFor{1500};

class held_ports_test : public small_fleet_test {
 protected:
  held_ports_test()
      : small_fleet_test(
            {.name = "held_ports", .gateways = 2, .engines = 1, .plain = 1}) {}

  void StopGateway() {
    Gateway(0).Signal(SIGKILL);
    loop_.RunUntil([this] { return Gateway(0).HasEnded(); }, kTimeout);
  }
  void StopSidecar() {
    Sidecar(0).Signal(SIGKILL);
    loop_.RunUntil([this] { return Sidecar(0).HasEnded(); }, kTimeout);
  }
  net::socket_address GatewayAddress(std::uint16_t port) const {
    return {layout_.Gateway(0), port};
  }
  net::socket_address SidecarAddress(std::uint16_t port) const {
    return {layout_.EndpointRelay(0), port};
  }
  /** A connection to the store that has `from` as its local address. */
  net::tcp_socket ConnectFrom(const net::socket_address& from) const {
    net::tcp_socket result(
        ::socket(from.Family(), SOCK_STREAM | SOCK_CLOEXEC, 0));
    // Connections of the killed program may still be in TIME_WAIT.
    SetAddressReuse(result, 1);
    EXPECT_EQ(::bind(result.Descriptor(), from.Get(), from.Size()), 0);
    SetAddressReuse(result, 0);
    const net::socket_address to(layout_.Store(), fleet_layout::kStorePort);
    EXPECT_EQ(::connect(result.Descriptor(), to.Get(), to.Size()), 0);
    return result;
  }
  /** Without a reset, the port stays in TIME_WAIT for a minute. */
  static void Reset(net::tcp_socket& connection) {
    net::ResetConnection(connection.Descriptor());
    connection.Close();
  }
  static void SetAddressReuse(const net::tcp_socket& socket, int value) {
    ::setsockopt(socket.Descriptor(), SOL_SOCKET, SO_REUSEADDR, &value,
                 sizeof(value));
  }
  /** @returns the answer's status. */
  int Answer(const std::string& route, int gateway) {
    const std::string id = Send(route, gateway);
    WaitForAnswers();
    const auto found =
        std::find_if(outcomes_.begin(), outcomes_.end(),
                     [&](const auto& each) { return each.id == id; });
    return found != outcomes_.end() && found->complete ? found->status : 0;
  }
  /** Waits until the sidecar serves both gateways and operators. */
  void WaitUntilLinked() {
    const auto end = loop_.Now() + kTimeout;
    while (LinkedGateways() != 2) {
      ASSERT_LT(loop_.Now(), end);
      Wait(milliseconds(100));
    }
  }
  int LinkedGateways() {
    const std::string page = Page(layout_.EndpointRelay(0),
                                  fleet_layout::kLastInternalPort, "/metrics");
    const std::string name = "\nsidecar_gateway_links ";
    const auto at = page.find(name);
    return at == std::string::npos ? 0
                                   : std::stoi(page.substr(at + name.size()));
  }
};

class held_gateway_port_test
    : public held_ports_test,
      public ::testing::WithParamInterface<std::uint16_t> {};

// Guards against a gateway that ends for good because a port is held when it
// starts.
TEST_P(held_gateway_port_test, StartsWhenAListenerLeaves) {
  StopGateway();
  std::optional<net::tcp_socket> holder =
      net::tcp_socket::Listen(GatewayAddress(GetParam()));
  StartGateway(0);
  Wait(kHeldFor);
  EXPECT_FALSE(Gateway(0).HasEnded());
  holder.reset();
  WaitUntilReady(0);
  EXPECT_EQ(Answer("order", 0), 200);
}

TEST_P(held_gateway_port_test, StartsWhenAConnectionLeaves) {
  StopGateway();
  net::tcp_socket holder = ConnectFrom(GatewayAddress(GetParam()));
  StartGateway(0);
  Wait(kHeldFor);
  EXPECT_FALSE(Gateway(0).HasEnded());
  Reset(holder);
  WaitUntilReady(0);
  EXPECT_EQ(Answer("order", 0), 200);
}

INSTANTIATE_TEST_SUITE_P(ports, held_gateway_port_test,
                         ::testing::Values(fleet_layout::kCallerPort,
                                           fleet_layout::kReadyPort,
                                           fleet_layout::kAdminPort));

class held_sidecar_port_test
    : public held_ports_test,
      public ::testing::WithParamInterface<std::uint16_t> {};

TEST_P(held_sidecar_port_test, StartsWhenAListenerLeaves) {
  StopSidecar();
  std::optional<net::tcp_socket> holder =
      net::tcp_socket::Listen(SidecarAddress(GetParam()));
  StartSidecar(0);
  Wait(kHeldFor);
  EXPECT_FALSE(Sidecar(0).HasEnded());
  holder.reset();
  WaitUntilLinked();
}

TEST_P(held_sidecar_port_test, StartsWhenAConnectionLeaves) {
  StopSidecar();
  net::tcp_socket holder = ConnectFrom(SidecarAddress(GetParam()));
  StartSidecar(0);
  Wait(kHeldFor);
  EXPECT_FALSE(Sidecar(0).HasEnded());
  Reset(holder);
  WaitUntilLinked();
}

INSTANTIATE_TEST_SUITE_P(ports, held_sidecar_port_test,
                         ::testing::Values(fleet_layout::kFirstInternalPort,
                                           fleet_layout::kLastInternalPort));

// A port that is only for operators does not keep a program from serving.
TEST_F(held_ports_test, ServesWithoutTheOperatorsPorts) {
  StopGateway();
  StopSidecar();
  const auto gateway_holder =
      net::tcp_socket::Listen(GatewayAddress(fleet_layout::kAdminPort));
  const auto sidecar_holder =
      net::tcp_socket::Listen(SidecarAddress(fleet_layout::kLastInternalPort));
  StartGateway(0);
  StartSidecar(0);
  WaitUntilReady(0);
  Wait(kHeldFor);
  EXPECT_FALSE(Gateway(0).HasEnded());
  EXPECT_FALSE(Sidecar(0).HasEnded());
  EXPECT_EQ(Answer("stream", 0), 200);
}

// Guards against a VM without a gateway after a restart: the new process ended
// because its predecessor still served, and then the predecessor ended.
TEST_F(held_ports_test, ANewProcessSucceedsOneThatStillDrains) {
  Engine(0).events = 100;
  const std::string stream = Send("stream", 0);
  Wait(milliseconds(300));
  Gateway(0).Signal(SIGTERM);
  Wait(milliseconds(300));
  const auto successor = StartSecondGateway(0);
  WaitForAnswers();
  ASSERT_EQ(outcomes_.size(), 1U);
  EXPECT_EQ(outcomes_[0].status, 200);
  EXPECT_TRUE(outcomes_[0].complete);
  loop_.RunUntil([this] { return Gateway(0).HasEnded(); }, kTimeout);
  EXPECT_EQ(Gateway(0).Status(), 0);
  EXPECT_FALSE(successor->HasEnded());
  WaitUntilReady(0);
  EXPECT_EQ(Answer("order", 0), 200);
}

TEST_F(held_ports_test, ASecondGatewayOfAVmWaits) {
  const auto second = StartSecondGateway(0);
  Wait(kHeldFor);
  EXPECT_FALSE(second->HasEnded());
  EXPECT_EQ(LinkedGateways(), 2);
  EXPECT_EQ(Answer("order", 0), 200);
  StopGateway();
  WaitUntilReady(0);
  EXPECT_EQ(Answer("order", 0), 200);
  Wait(milliseconds(500));
  EXPECT_EQ(LinkedGateways(), 2);
}

TEST_F(held_ports_test, AWaitingGatewayStopsAtOnce) {
  const auto second = StartSecondGateway(0);
  Wait(milliseconds(300));
  second->Signal(SIGTERM);
  EXPECT_TRUE(
      loop_.RunUntil([&] { return second->HasEnded(); }, milliseconds(1000)));
  EXPECT_EQ(second->Status(), 0);
}

}  // namespace
}  // namespace comfreyspring::process_test

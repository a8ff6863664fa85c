#include "net/port_probe.h"

#include <gtest/gtest.h>

#include <optional>

#include "net/test_peer.h"

namespace comfreyspring::net {
namespace {

class port_probe_test : public ::testing::Test {
 protected:
  std::optional<probe_outcome> Probe(const std::string& address,
                                     std::uint16_t port) {
    std::optional<probe_outcome> outcome;
    probe_.Start(address, port, core::milliseconds(200),
                 [&](probe_outcome result) { outcome = result; });
    EXPECT_FALSE(outcome.has_value());
    loop_.RunUntil([&] { return outcome.has_value(); },
                   core::milliseconds(5000));
    return outcome;
  }

  event_loop loop_;
  port_probe probe_{loop_};
};

TEST_F(port_probe_test, TellsAnOpenPortFromAClosedOne) {
  std::uint16_t port = 0;
  {
    const test_listener open(loop_);
    port = open.Port();
    EXPECT_EQ(Probe("127.0.0.1", port), probe_outcome::accepted);
  }
  EXPECT_EQ(Probe("127.0.0.1", port), probe_outcome::refused);
}

TEST_F(port_probe_test, AnAddressThatIsNoneIsUnknown) {
  EXPECT_EQ(Probe("not an address", 80), probe_outcome::unknown);
}

}  // namespace
}  // namespace comfreyspring::net

#pragma once

#include <cstdint>
#include <string>

namespace comfreyspring::process_test {

/**
 * Addresses of one fleet of gateways and sidecars. Each test process uses its
 * own /24 of loopback, so that several can run in parallel; all use the same
 * ports.
 */
class fleet_layout {
 public:
  explicit fleet_layout(int process_id)
      : network_("127." + std::to_string(16 + process_id / 250 % 200) + '.' +
                 std::to_string(1 + process_id % 250) + '.') {}

  static constexpr std::uint16_t kCallerPort = 18000;
  static constexpr std::uint16_t kReadyPort = 18001;
  static constexpr std::uint16_t kAdminPort = 18002;
  static constexpr std::uint16_t kFirstInternalPort = 18010;
  static constexpr std::uint16_t kLastInternalPort = 18011;
  static constexpr std::uint16_t kEndpointPort = 18020;
  static constexpr std::uint16_t kStorePort = 18030;

  std::string Store() const { return Host(1); }
  std::string Gateway(int index) const { return Host(10 + index); }
  /** Relay between callers and the gateway, and between gateway and store. */
  std::string GatewayRelay(int index) const { return Host(40 + index); }
  std::string Endpoint(int index) const { return Host(180 + index); }
  /** Address of the endpoint in the store; its sidecar listens there too. */
  std::string EndpointRelay(int index) const { return Host(100 + index); }

  static std::string At(const std::string& ip, std::uint16_t port) {
    return ip + ':' + std::to_string(port);
  }

 private:
  std::string Host(int number) const {
    return network_ + std::to_string(number);
  }

  std::string network_;
};

}  // namespace comfreyspring::process_test

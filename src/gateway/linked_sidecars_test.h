#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/sidecar_links.h"
#include "net/frame_link.h"

namespace comfreyspring::gateway::test {

using core::milliseconds;

/** Open links to sidecars, whose side of the messages is the test's. */
class linked_sidecars_test : public ::testing::Test, public sidecar_listener {
 protected:
  explicit linked_sidecars_test(std::vector<std::string> ips)
      : ips_(std::move(ips)) {}

  void SetUp() override {
    for (const std::string& ip : ips_) {
      listeners_[ip] = std::make_unique<net::frame_listener>(
          loop_, ip, port_, net::frame_link_options{}, 8,
          [this, ip](const std::shared_ptr<net::frame_link>& link) {
            return net::frame_link_callbacks{
                .on_open =
                    [link] {
                      link->Send(grants::Encode(grants::status_report{
                          .next_in = milliseconds(5000)}));
                    },
                .on_frame =
                    [this, ip, link](std::string_view frame) {
                      OnGatewayMessage(ip, *link, grants::Decode(frame));
                    },
                .on_closed = [](const std::string&) {}};
          });
      port_ = listeners_[ip]->Port();
    }
    links_.emplace(loop_, sidecar_link_options{.port = port_}, *this, log_);
    for (const std::string& ip : ips_) links_->AddOrUpdate(ip, {});
    ASSERT_TRUE(
        loop_.RunUntil([this] { return links_->OpenCount() == ips_.size(); },
                       milliseconds(5000)));
  }

  /** The sidecar at `ip` has received a message. */
  virtual void OnGatewayMessage(const std::string& ip, net::frame_link& link,
                                const grants::message& value) = 0;

  // sidecar_listener.
  void OnSidecarLost(const std::string&) override {}
  void OnSidecarMessage(const std::string&, const grants::message&) override {}

  std::vector<std::string> ips_;
  net::event_loop loop_;
  telemetry::event_log log_{"test",
                            {},
                            [] { return core::wall_time(); },
                            [](std::string_view text) {
                              return static_cast<std::int64_t>(text.size());
                            }};
  std::uint16_t port_ = 0;
  std::map<std::string, std::unique_ptr<net::frame_listener>> listeners_;
  std::optional<sidecar_links> links_;
};

}  // namespace comfreyspring::gateway::test

// Runs the forwarder of a gateway and the sidecar that gives the slots of a
// plain service, with their link, in one event loop.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/forwarder_fixture_test.h"
#include "sidecar/sidecar_program.h"

namespace comfreyspring::sidecar {
namespace {

using core::milliseconds;

class silent_engine final : public engine_port {
 public:
  void ReadState(milliseconds, state_callback) override {}
  void Order(const grants::engine_order&, const order_sender&, milliseconds,
             order_callback) override {}
};

class slot_program_test : public gateway::test::request_forwarder_test {
 protected:
  /** Three endpoints with 6 slots and a reserve of 2 each. */
  static constexpr std::size_t kSlots = 24;

  void SetUp() override {
    settings_.sheds_by_value = true;
    configuration_.services.push_back({.id = core::service_id("engines"),
                                       .engine = catalog::engine_profile()});
    request_forwarder_test::SetUp();
    sidecar_settings_.node = core::process_id("s1");
    sidecar_settings_.ip = "127.0.0.1";
    program_.emplace(loop_, sidecar_settings_, engine_, log_,
                     net::tcp_socket::Listen({sidecar_settings_.ip, 0}));
    program_links_.emplace(
        loop_,
        gateway::sidecar_link_options{.gateway = core::process_id("g1"),
                                      .port = program_->LinkPort()},
        listener_, log_);
    forwarder_.SetLinks(*program_links_);
    forwarder_.OnEndpoint({catalog::endpoint_change::kind::added,
                           {.instance = catalog::instance_id("e1"),
                            .service = core::service_id("engines"),
                            .address = {"127.0.0.1", 1}}});
    ASSERT_TRUE(loop_.RunUntil([&] { return program_links_->OpenCount() == 1; },
                               milliseconds(5000)));
  }
  void SendMany(std::size_t count, const std::string& limit = "5000") {
    for (std::size_t i = 0; i < count; ++i) {
      exchanges_.push_back(Send("/once/", limit));
    }
  }
  bool AwaitCalls(std::size_t count) {
    return loop_.RunUntil([&] { return http_.calls.size() >= count; },
                          milliseconds(3000));
  }
  void Answer(std::size_t call) {
    const auto callbacks = http_.calls[call].callbacks;
    callbacks.on_headers(200, Own());
    callbacks.on_done({});
  }

  struct forwarding_listener final : gateway::sidecar_listener {
    explicit forwarding_listener(gateway::request_forwarder& target)
        : forwarder(target) {}
    void OnSidecarLost(const std::string& ip) override {
      forwarder.OnSidecarLost(ip);
    }
    void OnSidecarMessage(const std::string& ip,
                          const grants::message& value) override {
      forwarder.OnSidecarMessage(ip, value);
    }
    gateway::request_forwarder& forwarder;
  };

  settings::node_settings sidecar_settings_;
  silent_engine engine_;
  forwarding_listener listener_{forwarder_};
  std::optional<sidecar_program> program_;
  std::optional<gateway::sidecar_links> program_links_;
  std::vector<std::shared_ptr<gateway::test::fake_exchange>> exchanges_;
};

// Guards against requests beyond the slots, and slots that are not given back.
TEST_F(slot_program_test, SendsAsSlotsBecomeFree) {
  SendMany(kSlots + 3);
  ASSERT_TRUE(AwaitCalls(kSlots));
  Wait(milliseconds(300));
  EXPECT_EQ(http_.calls.size(), kSlots);
  Answer(0);
  EXPECT_TRUE(AwaitCalls(kSlots + 1));
  exchanges_[1]->gone();
  EXPECT_TRUE(AwaitCalls(kSlots + 2));
  EXPECT_EQ(InstanceOf(kSlots), InstanceOf(0));
}

// Guards against requests that wait although they cannot be in time.
TEST_F(slot_program_test, RefusesWithARetryTime) {
  SendMany(kSlots + 400, "400");
  ASSERT_TRUE(AwaitCalls(kSlots));
  Wait(milliseconds(300));
  std::size_t refused = 0;
  for (const auto& each : exchanges_) {
    if (each->responses == 0) continue;
    ++refused;
    EXPECT_EQ(each->response.status, 503);
    EXPECT_EQ(each->response.headers.count("retry"), 1u);
  }
  EXPECT_GT(refused, 100u);
}

// Guards against requests that wait for a sidecar that has ended.
TEST_F(slot_program_test, SendsWithoutSlotsOnceTheSidecarIsLost) {
  SendMany(kSlots + 3);
  ASSERT_TRUE(AwaitCalls(kSlots));
  program_.reset();
  EXPECT_TRUE(AwaitCalls(kSlots + 3));
}

}  // namespace
}  // namespace comfreyspring::sidecar

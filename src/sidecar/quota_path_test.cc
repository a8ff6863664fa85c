// The path of a quota from the gateway's client over a link to the sidecar that
// counts, in one process.

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/quota_client.h"
#include "gateway/sidecar_links.h"
#include "sidecar/quota_counter.h"
#include "sidecar/sidecar_program.h"

namespace comfreyspring::sidecar {
namespace {

using core::milliseconds;

/** An engine whose state cannot be read. */
class absent_engine final : public engine_port {
 public:
  void ReadState(milliseconds, state_callback on_done) override {
    on_done({.error = "absent"});
  }
  void Order(const grants::engine_order&, const order_sender&, milliseconds,
             order_callback on_done) override {
    on_done(grants::order_result::impossible, "");
  }
};

class quota_path_test : public ::testing::Test,
                        public gateway::sidecar_listener {
 protected:
  void SetUp() override {
    settings_.node = core::process_id("sidecar-1");
    settings_.ip = "127.0.0.1";
    program_.emplace(loop_, settings_, engine_, log_,
                     net::tcp_socket::Listen({settings_.ip, 0}));
    links_.emplace(
        loop_,
        gateway::sidecar_link_options{.gateway = core::process_id("g"),
                                      .port = program_->LinkPort()},
        *this, log_);
    client_.SetLinks(*links_);
    links_->AddOrUpdate("127.0.0.1", {.batch_slots = 8});
    ASSERT_TRUE(loop_.RunUntil([&] { return links_->OpenCount() == 1; },
                               milliseconds(5000)));
  }
  void OnSidecarLost(const std::string& ip) override {
    client_.OnSidecarLost(ip);
  }
  void OnSidecarMessage(const std::string&,
                        const grants::message& value) override {
    client_.OnSidecarMessage(value);
  }

  void Charge() {
    client_.Charge(tenant_, 1, {}, 0,
                   [this](const gateway::quota_decision& decision) {
                     decisions_.push_back(decision);
                   });
  }
  /** Waits until this many requests are decided. */
  void Expect(std::size_t count) {
    ASSERT_TRUE(loop_.RunUntil([&] { return decisions_.size() >= count; },
                               milliseconds(3000)));
  }
  std::size_t Admitted() const {
    std::size_t count = 0;
    for (const auto& each : decisions_) count += each.is_admitted ? 1 : 0;
    return count;
  }

  net::event_loop loop_;
  std::string log_text_;
  telemetry::event_log log_{"test",
                            {},
                            [] { return core::wall_time(); },
                            [this](std::string_view text) {
                              log_text_ += text;
                              return static_cast<std::int64_t>(text.size());
                            }};
  telemetry::metrics metrics_;
  settings::node_settings settings_;
  absent_engine engine_;
  std::optional<sidecar_program> program_;
  std::optional<gateway::sidecar_links> links_;
  gateway::quota_client client_{loop_, log_, metrics_, core::random_source(1)};
  /** Half a burst to begin with, and next to no rate. */
  catalog::tenant tenant_{.id = core::tenant_id("t"),
                          .quota = {.rate = 10.0, .burst = 20.0}};
  std::vector<gateway::quota_decision> decisions_;
};

TEST_F(quota_path_test, AdmitsWhatTheSidecarGrantsAndRefusesTheRest) {
  for (int i = 0; i < 15; ++i) Charge();
  Expect(15);
  EXPECT_GE(Admitted(), 10U);
  EXPECT_LE(Admitted(), 12U);
  EXPECT_GE(decisions_.back().retry_after, milliseconds(500));
  log_.Flush();
  EXPECT_NE(log_text_.find("\"quota_refusals\""), std::string::npos);
  EXPECT_NE(log_text_.find("\"tenant_quota\""), std::string::npos);
  EXPECT_NE(metrics_.ToText().find("gateway_quota_refused_total"),
            std::string::npos);
  EXPECT_NE(client_.Dump().find("\"primary\": \"127.0.0.1\""),
            std::string::npos);
}

TEST_F(quota_path_test, WhatDidNotRunCanBeUsedAgain) {
  for (int i = 0; i < 10; ++i) Charge();
  Expect(10);
  ASSERT_EQ(Admitted(), 10U);
  decisions_[0].on_not_run();
  Charge();
  // Without a round trip.
  ASSERT_EQ(decisions_.size(), 11U);
  EXPECT_TRUE(decisions_[10].is_admitted);
}

// Requests that wait for an answer must not wait for a sidecar that is gone.
TEST_F(quota_path_test, DecidesAloneWhenTheSidecarIsLost) {
  Charge();
  Expect(1);
  Charge();
  links_->OnUnanswered("127.0.0.1");
  ASSERT_EQ(decisions_.size(), 2U);
  EXPECT_FALSE(decisions_[1].is_admitted);
}

}  // namespace
}  // namespace comfreyspring::sidecar

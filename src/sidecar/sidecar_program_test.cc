// Runs the agent program and the links of many gateways in one event loop.

#include "sidecar/sidecar_program.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/error.h"
#include "gateway/sidecar_links.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"
#include "sidecar/engine_port.h"

namespace comfreyspring::sidecar {
namespace {

using core::milliseconds;

/** An engine with one model that responds immediately. */
class ready_engine final : public engine_port {
 public:
  void ReadState(milliseconds, state_callback on_done) override {
    grants::engine_state state;
    state.started_unix_ms = 1;
    state.models.push_back({core::model_id("m"), {}});
    on_done({.state = state});
  }
  void Order(const grants::engine_order& order, const order_sender&,
             milliseconds, order_callback on_done) override {
    if (order.subject.adapter.Value() == "bad") {
      throw std::runtime_error("cannot be encoded");
    }
    ++orders;
    on_done(grants::order_result::impossible, "");
  }
  int orders = 0;
};

class link_counter final : public gateway::sidecar_listener {
 public:
  void OnSidecarLost(const std::string&) override { ++lost; }
  void OnSidecarMessage(const std::string&,
                        const grants::message& value) override {
    if (const auto* report = std::get_if<grants::status_report>(&value)) {
      ++statuses;
      rank = report->reader_rank;
    }
    if (const auto* batch = std::get_if<grants::change_batch>(&value)) {
      batches.push_back(*batch);
    }
    if (std::holds_alternative<grants::grant_refused>(value)) ++refusals;
    if (const auto* answer = std::get_if<grants::quota_answer>(&value)) {
      quota_answers.push_back(*answer);
    }
  }
  int lost = 0;
  int statuses = 0;
  int refusals = 0;
  std::size_t rank = 0;
  std::vector<grants::change_batch> batches;
  std::vector<grants::quota_answer> quota_answers;
};

class sidecar_program_test : public ::testing::Test {
 protected:
  struct linked_gateway {
    link_counter counter;
    std::optional<gateway::sidecar_links> links;
  };

  void SetUp() override {
    settings_.node = core::process_id("sidecar-1");
    settings_.ip = "127.0.0.1";
    program_.emplace(loop_, settings_, engine_, log_,
                     net::tcp_socket::Listen({settings_.ip, 0}));
  }
  void Connect(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      auto& added = gateways_.emplace_back(std::make_unique<linked_gateway>());
      added->links.emplace(
          loop_,
          gateway::sidecar_link_options{
              .gateway = core::process_id("g" + std::to_string(i)),
              .port = program_->LinkPort()},
          added->counter, log_);
      added->links->AddOrUpdate("127.0.0.1",
                                {.batch_slots = 8, .adapter_slots = 2});
    }
    ASSERT_TRUE(loop_.RunUntil(
        [&] {
          for (const auto& each : gateways_) {
            if (each->links->OpenCount() == 0) return false;
          }
          return true;
        },
        milliseconds(5000)));
  }
  void Wait(milliseconds length) {
    loop_.RunUntil([] { return false; }, length);
  }

  net::event_loop loop_;
  telemetry::event_log log_{"test",
                            {},
                            [] { return core::wall_time(); },
                            [](std::string_view text) {
                              return static_cast<std::int64_t>(text.size());
                            }};
  settings::node_settings settings_;
  ready_engine engine_;
  std::optional<sidecar_program> program_;
  std::vector<std::unique_ptr<linked_gateway>> gateways_;
};

// With 68 gateways the agent reports every 816 ms. The gateways must not take
// this for a timeout.
TEST_F(sidecar_program_test, LinksOfManyGatewaysStayOpen) {
  Connect(68);
  Wait(milliseconds(3500));
  for (const auto& each : gateways_) {
    EXPECT_EQ(each->counter.lost, 0);
    EXPECT_GE(each->counter.statuses, 3);
  }
}

TEST_F(sidecar_program_test, RelaysCatalogChangesToEachGatewayOnce) {
  Connect(6);
  gateways_[0]->links->SendToRelays(
      grants::change_batch{.after = 3, .revision = 5, .documents = {{4, "c"}}});
  gateways_[1]->links->SendToRelays(
      grants::change_batch{.after = 3, .revision = 5, .documents = {{4, "c"}}});
  Wait(milliseconds(200));
  for (const auto& each : gateways_) {
    ASSERT_EQ(each->counter.batches.size(), 1U);
    EXPECT_EQ(each->counter.batches[0].documents.size(), 1U);
  }
}

TEST_F(sidecar_program_test, GatewaysHaveDifferentRanks) {
  Connect(6);
  Wait(milliseconds(400));
  std::set<std::size_t> ranks;
  for (const auto& each : gateways_) ranks.insert(each->counter.rank);
  EXPECT_EQ(ranks, (std::set<std::size_t>{0, 1, 2, 3, 4, 5}));
}

// An error caused by one request must not end the agent for all others.
// Two gateways share one quota; what cannot be served at once waits.
TEST_F(sidecar_program_test, CountsTheQuotaOfATenantOverItsGateways) {
  Connect(2);
  grants::quota_ask ask{.number = 5,
                        .tenant = core::tenant_id("t"),
                        .amount = 50,
                        .minimum = 50,
                        .rate = 500,
                        .burst = 100,
                        .configuration = 1,
                        .deadline_in = milliseconds(0)};
  gateways_[0]->links->Send("127.0.0.1", ask);
  Wait(milliseconds(20));
  ask.number = 6;
  ask.amount = ask.minimum = 60;
  ask.deadline_in = milliseconds(200);
  gateways_[1]->links->Send("127.0.0.1", ask);
  const auto& first = gateways_[0]->counter.quota_answers;
  const auto& second = gateways_[1]->counter.quota_answers;
  ASSERT_TRUE(
      loop_.RunUntil([&] { return second.size() == 1; }, milliseconds(1000)));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].granted, 50);
  EXPECT_EQ(second[0].number, 6U);
  EXPECT_EQ(second[0].granted, 60);
}

TEST_F(sidecar_program_test, SurvivesAnErrorInAnOrder) {
  Connect(1);
  Wait(milliseconds(200));
  gateways_[0]->links->Send(
      "127.0.0.1",
      grants::grant_request{
          .number = 1,
          .adapter = {core::model_id("m"), core::adapter_id("bad")},
          .first_output_due_in = milliseconds(500),
          .deadline_in = milliseconds(800)});
  Wait(milliseconds(1500));
  EXPECT_EQ(gateways_[0]->counter.lost, 0);
  EXPECT_EQ(gateways_[0]->counter.refusals, 1);
  gateways_[0]->links->Send(
      "127.0.0.1",
      grants::grant_request{
          .number = 2,
          .adapter = {core::model_id("m"), core::adapter_id("good")},
          .first_output_due_in = milliseconds(500),
          .deadline_in = milliseconds(800)});
  EXPECT_TRUE(
      loop_.RunUntil([&] { return engine_.orders > 0; }, milliseconds(1000)));
}

}  // namespace
}  // namespace comfreyspring::sidecar

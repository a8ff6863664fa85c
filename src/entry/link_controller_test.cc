#include "entry/link_controller.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "net/frame_link.h"
#include "wire/codec.h"

namespace comfreyspring::entry {
namespace {

constexpr core::milliseconds kLimit{10000};
const core::endpoint_id kEngine("engine-1");

/** Agent that replies to each hello; closes its links when destroyed. */
class fake_agent {
 public:
  fake_agent(net::event_loop& loop, std::uint16_t port, std::int64_t instance)
      : instance_(instance),
        listener_(loop, "127.0.0.1", port, {}, 10,
                  [this](const std::shared_ptr<net::frame_link>& link) {
                    links_.push_back(link);
                    return Callbacks(link.get());
                  }) {}

  std::uint16_t Port() const { return listener_.Port(); }

 private:
  net::frame_link_callbacks Callbacks(net::frame_link* link) {
    return {[] {},
            [this, link](std::string_view frame) {
              if (!std::holds_alternative<wire::hello>(wire::Decode(frame))) {
                return;
              }
              wire::hello hello;
              hello.role = "agent";
              hello.instance_ms = instance_;
              link->Send(wire::Encode(hello));
            },
            [](const std::string&) {}};
  }

  std::int64_t instance_;
  std::vector<std::shared_ptr<net::frame_link>> links_;
  net::frame_listener listener_;
};

class recording_listener : public link_listener {
 public:
  void OnLinkUp(const core::endpoint_id&, const wire::hello&,
                bool resumed) override {
    ++ups;
    if (resumed) ++resumptions;
  }
  void OnLinkDown(const core::endpoint_id&) override { ++downs; }
  void OnEndpointLost(const core::endpoint_id&) override { ++losses; }
  void OnMessage(const core::endpoint_id&, const wire::message&) override {}

  int ups = 0;
  int resumptions = 0;
  int downs = 0;
  int losses = 0;
};

class link_controller_test : public testing::Test {
 protected:
  void Start(std::uint16_t port) {
    config::configuration configuration;
    config::endpoint_record record;
    record.endpoint = kEngine;
    record.address = "127.0.0.1";
    record.agent_port = port;
    configuration.endpoints.push_back(record);
    configuration.Index();
    links_.OnConfiguration(configuration);
    ASSERT_TRUE(loop_.RunUntil([&] { return events_.ups == 1; }, kLimit));
  }

  net::event_loop loop_;
  recording_listener events_;
  link_controller links_{
      loop_,
      // Longer than any test, so that no agent is lost by this timeout.
      {.process = core::process_id("entry-1"),
       .loss_timeout = std::chrono::hours(1)},
      events_};
};

// Guards against streams that wait for the loss timeout although the agent's
// host refuses the connection because its process has ended.
TEST_F(link_controller_test, AnEndedAgentIsLostAtOnce) {
  auto agent = std::make_unique<fake_agent>(loop_, 0, 5);
  Start(agent->Port());
  agent.reset();
  ASSERT_TRUE(loop_.RunUntil([&] { return events_.losses > 0; }, kLimit));
  EXPECT_EQ(events_.losses, 1);
  EXPECT_EQ(events_.downs, 1);
}

// Guards against resuming the streams of a previous instance at a new one.
TEST_F(link_controller_test, ANewInstanceIsALossAndNoResumption) {
  auto agent = std::make_unique<fake_agent>(loop_, 0, 5);
  const std::uint16_t port = agent->Port();
  Start(port);
  agent.reset();
  agent = std::make_unique<fake_agent>(loop_, port, 6);
  ASSERT_TRUE(loop_.RunUntil([&] { return events_.ups == 2; }, kLimit));
  EXPECT_EQ(events_.losses, 1);
  EXPECT_EQ(events_.resumptions, 0);
}

// Guards against failing open streams when only the connection was closed.
TEST_F(link_controller_test, ABrokenLinkToTheSameInstanceIsResumed) {
  fake_agent agent(loop_, 0, 5);
  Start(agent.Port());
  links_.ReplaceLink(kEngine);
  ASSERT_TRUE(loop_.RunUntil([&] { return events_.ups == 2; }, kLimit));
  EXPECT_EQ(events_.resumptions, 1);
  EXPECT_EQ(events_.losses, 0);
}

}  // namespace
}  // namespace comfreyspring::entry

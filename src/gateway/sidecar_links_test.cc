#include "gateway/sidecar_links.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gateway/linked_sidecars_test.h"
#include "net/test_peer.h"

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

/** Three sidecars that count the batches and hellos that they are sent. */
class sidecar_links_test : public test::linked_sidecars_test {
 protected:
  sidecar_links_test()
      : linked_sidecars_test({"127.0.0.1", "127.0.0.2", "127.0.0.3"}) {}

  void OnGatewayMessage(const std::string& ip, net::frame_link& /*link*/,
                        const grants::message& value) override {
    if (std::holds_alternative<grants::change_batch>(value)) ++batches_[ip];
    if (std::holds_alternative<grants::gateway_hello>(value)) ++hellos_;
  }

  int Relayed(std::size_t bytes) {
    batches_.clear();
    links_->SendToRelays(
        grants::change_batch{.documents = {{1, std::string(bytes, 'x')}}});
    loop_.RunUntil([] { return false; }, milliseconds(100));
    int count = 0;
    for (const auto& [ip, batches] : batches_) count += batches;
    return count;
  }

  void OnSidecarSilent(const std::string& ip) override {
    events_.push_back("silent " + ip);
  }
  void OnVmHeard(const std::string& ip) override {
    events_.push_back("heard " + ip);
  }
  void OnSidecarLost(const std::string& ip) override {
    events_.push_back("lost " + ip);
  }
  bool WaitForEvents(const std::vector<std::string>& expected) {
    return loop_.RunUntil([&] { return events_ == expected; },
                          milliseconds(5000));
  }

  std::map<std::string, int> batches_;
  std::vector<std::string> events_;
  int hellos_ = 0;
};

// Guards against several copies of a large configuration on the slow links of
// small entry VMs.
TEST_F(sidecar_links_test, ALargeBatchGoesToOneRelay) {
  EXPECT_EQ(Relayed(100), 3);
  EXPECT_EQ(Relayed(500'000), 1);
  EXPECT_EQ(Relayed(100), 3);
}

// Guards against gateways that ask different sidecars about the same service.
TEST_F(sidecar_links_test, AllGatewaysChooseTheSameSidecar) {
  const auto chosen = links_->FirstTargets("slots/plain");
  ASSERT_FALSE(chosen.first.empty());
  ASSERT_FALSE(chosen.second.empty());
  ASSERT_NE(chosen.first, chosen.second);
  for (const char* ip : {"127.0.0.1", "127.0.0.2", "127.0.0.3"}) {
    if (ip != chosen.first && ip != chosen.second) links_->Remove(ip);
  }
  EXPECT_EQ(links_->FirstTargets("slots/plain"), chosen);
  links_->Remove(chosen.second);
  EXPECT_EQ(links_->FirstTargets("slots/plain").first, chosen.first);
  EXPECT_EQ(links_->FirstTargets("slots/plain").second, "");
  links_->Remove(chosen.first);
  EXPECT_EQ(links_->FirstTargets("slots/plain").first, "");
}

// Guards against a message to every sidecar for each entry that is read: when
// all engines start again, a gateway would be busy with them for seconds.
TEST_F(sidecar_links_test, SendsAConfigurationOnlyIfItHasChanged) {
  const auto hellos_after = [this](const grants::engine_config& config) {
    hellos_ = 0;
    for (int i = 0; i < 50; ++i) {
      for (const auto& [ip, listener] : listeners_) {
        links_->AddOrUpdate(ip, config);
      }
    }
    loop_.RunUntil([] { return false; }, milliseconds(100));
    return hellos_;
  };
  loop_.RunUntil([this] { return hellos_ == 3; }, milliseconds(500));
  EXPECT_EQ(hellos_after({}), 0);
  EXPECT_EQ(hellos_after({.adapter_slots = 4}), 3);
}

TEST_F(sidecar_links_test, NamesTheFirstSidecarsForAKey) {
  const auto all = links_->FirstTargets("key", 9);
  ASSERT_EQ(all.size(), 3U);
  EXPECT_EQ(all[0].ip, links_->FirstTargets("key").first);
  EXPECT_EQ(all[1].ip, links_->FirstTargets("key").second);
  EXPECT_TRUE(all[2].is_open);
  const auto two = links_->FirstTargets("key", 2);
  ASSERT_EQ(two.size(), 2U);
  EXPECT_EQ(two[1].ip, all[1].ip);
  listeners_.erase(all[1].ip);
  EXPECT_TRUE(
      loop_.RunUntil([&] { return !links_->FirstTargets("key", 2)[1].is_open; },
                     milliseconds(5000)));
}

// Guards against a silent VM that is taken for one whose sidecar has ended.
TEST_F(sidecar_links_test, TellsSilentSidecarsFromEndedOnes) {
  EXPECT_EQ(events_.size(), 3U);
  events_.clear();
  links_->OnUnanswered("127.0.0.1");
  EXPECT_TRUE(
      WaitForEvents({"silent 127.0.0.1", "lost 127.0.0.1", "heard 127.0.0.1"}));
  events_.clear();
  // Links that end with their listener; later attempts are refused.
  listeners_.erase("127.0.0.2");
  EXPECT_TRUE(WaitForEvents({"lost 127.0.0.2", "heard 127.0.0.2"}));
}

TEST_F(sidecar_links_test, AVmThatOnlyAcceptsConnectionsIsSilent) {
  events_.clear();
  auto silent =
      net::tcp_socket::Listen(net::socket_address("127.0.0.4", port_));
  links_->AddOrUpdate("127.0.0.4", {});
  EXPECT_TRUE(WaitForEvents({"silent 127.0.0.4"}));
  silent.Close();
  EXPECT_TRUE(WaitForEvents({"silent 127.0.0.4", "heard 127.0.0.4"}));
}

// A gateway that is busy with a large configuration every now and then took
// each time for a reason to wait for a silent sidecar from the start.
TEST_F(sidecar_links_test, ABusyGatewayNoticesASilentSidecar) {
  const net::frame_listener mute(loop_, "127.0.0.4", port_, {}, 8,
                                 [](const std::shared_ptr<net::frame_link>&) {
                                   return net::frame_link_callbacks{
                                       .on_open = [] {},
                                       .on_frame = [](std::string_view) {},
                                       .on_closed = [](const std::string&) {}};
                                 });
  links_->AddOrUpdate("127.0.0.4", {});
  ASSERT_TRUE(loop_.RunUntil([&] { return links_->OpenCount() == 4; },
                             milliseconds(5000)));
  events_.clear();
  const auto timer = loop_.SchedulePeriodic(
      milliseconds(250), [this] { links_->OnPaused(milliseconds(100)); });
  EXPECT_TRUE(WaitForEvents({"silent 127.0.0.4", "lost 127.0.0.4"}));
  loop_.Cancel(timer);
}

}  // namespace
}  // namespace comfreyspring::gateway

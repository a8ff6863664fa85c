#include "gateway/silent_vms.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace comfreyspring::gateway {
namespace {

class silent_vms_test : public ::testing::Test {
 protected:
  void Add(const std::string& ip) {
    auto& view = views_.emplace_back();
    view.record.instance = catalog::instance_id("on " + ip);
    view.record.address = {ip, 80};
  }
  std::vector<std::string> Left() const {
    endpoint_views candidates;
    for (const endpoint_view& view : views_) candidates.push_back(&view);
    vms_.LeaveOut(candidates);
    std::vector<std::string> left;
    for (const endpoint_view* view : candidates) {
      left.push_back(view->record.address.ip);
    }
    return left;
  }

  using ips = std::vector<std::string>;

  std::deque<endpoint_view> views_;
  silent_vms vms_;
};

TEST_F(silent_vms_test, LeavesOutSilentOnesUntilTheyAreHeard) {
  Add("10.0.0.1");
  Add("10.0.0.2");
  EXPECT_EQ(Left(), (ips{"10.0.0.1", "10.0.0.2"}));
  vms_.OnSidecarSilent("10.0.0.1");
  vms_.OnSidecarSilent("10.0.0.1");
  EXPECT_EQ(Left(), ips{"10.0.0.2"});
  vms_.OnHeard("10.0.0.1");
  EXPECT_EQ(Left(), (ips{"10.0.0.1", "10.0.0.2"}));
  EXPECT_EQ(vms_.Count(), 0U);
}

TEST_F(silent_vms_test, KeepsAllIfAllAreSilent) {
  Add("10.0.0.1");
  Add("10.0.0.2");
  vms_.OnSidecarSilent("10.0.0.1");
  vms_.OnSidecarSilent("10.0.0.2");
  EXPECT_EQ(Left(), (ips{"10.0.0.1", "10.0.0.2"}));
  EXPECT_TRUE(vms_.IsSilent("10.0.0.2"));
}

}  // namespace
}  // namespace comfreyspring::gateway

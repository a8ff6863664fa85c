#include "entry/link_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace comfreyspring::entry {
namespace {

config::configuration FleetOf(int data_centres, int engines_each) {
  config::configuration configuration;
  for (int centre = 0; centre < data_centres; ++centre) {
    const core::data_centre_id name("dc-" + std::to_string(centre));
    for (int i = 0; i < engines_each; ++i) {
      config::endpoint_record engine;
      engine.endpoint =
          core::endpoint_id(name.Value() + "-engine-" + std::to_string(i));
      engine.data_centre = name;
      configuration.endpoints.push_back(engine);
    }
    config::endpoint_record service;
    service.endpoint = core::endpoint_id(name.Value() + "-desk");
    service.kind = core::endpoint_kind::plain_service;
    service.data_centre = name;
    configuration.endpoints.push_back(service);
  }
  configuration.Index();
  return configuration;
}

std::size_t LinksOf(const config::configuration& configuration) {
  return PlanLinks(configuration, core::process_id("entry-1"),
                   core::data_centre_id("dc-0"))
      .size();
}

TEST(LinkPlan, LinksToEverythingInASmallFleet) {
  EXPECT_EQ(LinksOf(FleetOf(4, 3)), 16U);
}

// Guards against a number of links that grows with the fleet: with 2,896
// engines an entry has 362 local links, 8 to each of the 7 other data centres,
// and 8 to plain services.
TEST(LinkPlan, LinksToASubsetOfOtherDataCentresInALargeFleet) {
  EXPECT_EQ(LinksOf(FleetOf(8, 362)), 362U + 7U * 8U + 8U);
}

}  // namespace
}  // namespace comfreyspring::entry

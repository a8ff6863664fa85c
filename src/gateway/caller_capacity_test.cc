#include "gateway/caller_capacity.h"

#include <gtest/gtest.h>

namespace comfreyspring::gateway {
namespace {

settings::node_settings Machine(std::size_t megabytes,
                                std::size_t descriptors) {
  settings::node_settings result;
  result.memory_bytes = megabytes * 1'000'000;
  result.maximum_descriptors = descriptors;
  return result;
}

TEST(caller_capacity_test, UnknownMachinesGetTheDefaults) {
  const auto capacity = CapacityFor({});
  EXPECT_EQ(capacity.connections, 3000U);
  EXPECT_EQ(capacity.bodies.large_bytes, 256U * 1024 * 1024);
}

// The smallest entry VM serves at most 17 requests/s of up to 12 s, beside a
// body of 4 MiB.
TEST(caller_capacity_test, TheSmallestMachineServesItsOrdinaryLoad) {
  const auto capacity = CapacityFor(Machine(120, 3075));
  EXPECT_GE(capacity.connections, 2U * 17 * 12);
  EXPECT_GE(capacity.bodies.large_bytes, 2U * 4 * 1024 * 1024);
}

// Guards against shares that together exceed the machine.
TEST(caller_capacity_test, SharesStayWithinTheMachine) {
  for (const std::size_t megabytes : {60, 120, 260, 512, 4000}) {
    for (const std::size_t descriptors : {256, 3075, 8192}) {
      const auto capacity = CapacityFor(Machine(megabytes, descriptors));
      EXPECT_LE(capacity.connections * 64U * 1024 +
                    capacity.bodies.small_bytes + capacity.bodies.large_bytes,
                megabytes * 1'000'000 * 7 / 8);
      EXPECT_LE(2 * capacity.connections + capacity.lingering_connections,
                descriptors * 3 / 4 + 1);
    }
  }
}

// A tiny limit must not leave the gateway without connections.
TEST(caller_capacity_test, ATinyMachineStillAcceptsCallers) {
  EXPECT_EQ(CapacityFor(Machine(1, 8)).connections, 16U);
}

}  // namespace
}  // namespace comfreyspring::gateway

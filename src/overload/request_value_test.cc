#include "overload/request_value.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace comfreyspring::overload {
namespace {

core::time_point At(int milliseconds) {
  return core::time_point(core::milliseconds(milliseconds));
}

/** The number also gives the work. */
request_prospect Request(std::uint64_t number, int priority, bool on_time,
                         int due = 0) {
  return {.key = {1, number},
          .priority = priority,
          .can_be_on_time = on_time,
          .due = At(due),
          .work = static_cast<double>(number)};
}

// Guards against late or large requests that delay those that can be on time.
TEST(request_value_test, OrdersByPriorityThenPunctualityThenWork) {
  std::vector<request_prospect> order = {
      Request(5, 1, false), Request(4, 1, false), Request(3, 1, true, 90),
      Request(2, 1, true, 70), Request(9, 0, false)};
  std::sort(order.begin(), order.end(), ServesBefore);
  std::vector<std::uint64_t> numbers;
  for (const auto& each : order) numbers.push_back(each.key.number);
  EXPECT_EQ(numbers, (std::vector<std::uint64_t>{9, 2, 3, 4, 5}));
}

// Guards against refusals of what callers would miss most.
TEST(request_value_test, RefusesTheLargestOfOnePriority) {
  std::vector<request_prospect> order = {
      Request(90, 0, true), Request(20, 1, true), Request(50, 1, true),
      Request(10, 1, true)};
  EXPECT_EQ(CheapestToRefuse(order, 3, 30.0), 2u);
  // A more urgent one is never refused for a less urgent one.
  EXPECT_EQ(CheapestToRefuse(order, 1, 30.0), 1u);
  order[2].is_promised = true;
  EXPECT_EQ(CheapestToRefuse(order, 3, 30.0), 1u);
  EXPECT_LT(RefusalCost(Request(20, 1, false), 30.0),
            RefusalCost(Request(20, 1, true), 30.0));
}

// Guards against requests that replace each other over and over.
TEST(request_value_test, KeepsTheOrderAmongEquals) {
  const std::vector<request_prospect> order = {Request(20, 1, true),
                                               Request(20, 1, true)};
  EXPECT_EQ(CheapestToRefuse(order, 1, 20.0), 1u);
}

}  // namespace
}  // namespace comfreyspring::overload

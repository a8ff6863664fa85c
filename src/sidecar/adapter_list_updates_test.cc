#include "sidecar/adapter_list_updates.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "core/random_source.h"

namespace comfreyspring::sidecar {
namespace {

using core::milliseconds;
using core::time_point;

catalog::adapter_name Name(int number) {
  return {core::model_id("m"), core::adapter_id("a" + std::to_string(number))};
}

grants::status_report Report(std::uint64_t revision,
                             const std::set<int>& numbers) {
  grants::status_report report;
  report.status.adapters_revision = revision;
  for (const int number : numbers) {
    report.status.adapters.push_back(Name(number));
  }
  return report;
}

TEST(adapter_list_updates_test, SendsTheWholeListFirstAndChangesAfterwards) {
  adapter_list_updates updates;
  const time_point start{core::seconds(1)};
  auto report = Report(1, {1, 2, 3, 4});
  updates.Complete(report, start);
  EXPECT_TRUE(report.has_adapters);
  report = Report(1, {1, 2, 3, 4});
  updates.Complete(report, start + milliseconds(100));
  EXPECT_FALSE(report.has_adapters);
  EXPECT_TRUE(report.adapters_added.empty());
  report = Report(2, {1, 2, 4, 9});
  updates.Complete(report, start + milliseconds(200));
  EXPECT_FALSE(report.has_adapters);
  EXPECT_EQ(report.adapters_added, std::vector{Name(9)});
  EXPECT_EQ(report.adapters_removed, std::vector{Name(3)});
}

// A gateway that has dropped an adapter by mistake must learn of it again.
TEST(adapter_list_updates_test, RepeatsTheWholeList) {
  adapter_list_updates updates;
  const time_point start{core::seconds(1)};
  auto report = Report(1, {1, 2});
  updates.Complete(report, start);
  report = Report(1, {1, 2});
  updates.Complete(report, start + adapter_list_updates::kWholeListPeriod);
  EXPECT_TRUE(report.has_adapters);
}

// A gateway that applies what it is sent knows the adapters of the engine.
TEST(adapter_list_updates_test, AReceiverAlwaysKnowsTheList) {
  core::random_source random(20261206);
  adapter_list_updates updates;
  std::set<catalog::adapter_name> known;
  std::set<int> held;
  time_point now{core::seconds(1)};
  for (std::uint64_t revision = 1; revision < 2000; ++revision) {
    const int number = static_cast<int>(random.NextUnit() * 40);
    if (held.erase(number) == 0 && held.size() < 18) held.insert(number);
    now += milliseconds(20);
    if (random.NextUnit() < 0.5) continue;
    auto report = Report(revision, held);
    updates.Complete(report, now);
    if (report.has_adapters) known.clear();
    const auto& added =
        report.has_adapters ? report.status.adapters : report.adapters_added;
    known.insert(added.begin(), added.end());
    for (const auto& name : report.adapters_removed) known.erase(name);
    ASSERT_EQ(known,
              (std::set<catalog::adapter_name>(report.status.adapters.begin(),
                                               report.status.adapters.end())));
  }
}

}  // namespace
}  // namespace comfreyspring::sidecar

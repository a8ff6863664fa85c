#include "catalog/known_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

namespace comfreyspring::catalog {
namespace {

core::time_point At(int ms) {
  return core::time_point() + core::milliseconds(ms);
}

TEST(known_history_test, AGapIsClosedByTheRangeThatWasMissing) {
  known_history history;
  history.OnAllRead({2, 40});
  EXPECT_EQ(history.OnRange(45, 50, At(3)), std::nullopt);
  EXPECT_TRUE(history.HasGap());
  EXPECT_EQ(history.Position(), (catalog_position{2, 40}));
  EXPECT_EQ(history.OnRange(40, 45, At(2)), At(3));
  EXPECT_FALSE(history.HasGap());
  EXPECT_EQ(history.Position(), (catalog_position{2, 50}));
}

TEST(known_history_test, AnotherEraHasAnotherHistory) {
  known_history history;
  history.OnAllRead({2, 40});
  history.OnRange(45, 50, At(3));
  history.OnAllRead({3, 45});
  EXPECT_FALSE(history.HasGap());
  EXPECT_EQ(history.Position(), (catalog_position{3, 45}));
}

TEST(known_history_test, OnlyTheEndOfTheHistoryIsConfirmed) {
  known_history history;
  history.OnAllRead({0, 40});
  EXPECT_EQ(history.OnRange(40, 40, At(5)), At(5));
  EXPECT_EQ(history.OnRange(30, 39, At(6)), std::nullopt);
}

// The position is the end of what is known without a gap, in whatever order the
// ranges arrive.
RC_GTEST_PROP(known_history_test, KnowsTheSameInAnyOrder, ()) {
  const auto ends =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  known_history history;
  std::set<int> known;
  int end = 0;
  for (std::size_t i = 0; i + 1 < ends.size(); i += 2) {
    const int after = std::min(ends[i], ends[i + 1]);
    const int revision = std::max(ends[i], ends[i + 1]);
    history.OnRange(after, revision, At(0));
    for (int each = after + 1; each <= revision; ++each) known.insert(each);
    end = std::max(end, revision);
    int expected = 0;
    while (known.count(expected + 1) > 0) ++expected;
    RC_ASSERT(history.Position().revision == expected);
    RC_ASSERT(history.HasGap() == (end > expected));
  }
}

}  // namespace
}  // namespace comfreyspring::catalog

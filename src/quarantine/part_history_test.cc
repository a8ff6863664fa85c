#include "quarantine/part_history.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyspring::quarantine {
namespace {

using core::milliseconds;
using core::prompt_part_id;
using core::time_point;

constexpr time_point kStart{std::chrono::seconds(1000)};

std::vector<prompt_part_id> Parts(const std::vector<std::string>& names) {
  std::vector<prompt_part_id> parts;
  for (const std::string& name : names) parts.emplace_back(name);
  return parts;
}

TEST(part_history_test, BlamesPartsWithoutARecentAnswer) {
  part_history history;
  history.OnAnswered(Parts({"first", "subject"}), kStart);
  const auto now = kStart + milliseconds(100);
  EXPECT_EQ(history.Blamed(Parts({"first", "subject", "new"}), now),
            Parts({"new"}));
  EXPECT_EQ(history.Blamed(Parts({"first", "rare", "new"}), now),
            Parts({"rare", "new"}));
  EXPECT_TRUE(history.Blamed({}, now).empty());
  const auto later = kStart + part_history::kRecent;
  EXPECT_EQ(history.Blamed(Parts({"first", "subject"}), later),
            Parts({"first", "subject"}));
}

// A part that has become deadly was answered a short time ago.
TEST(part_history_test, BlamesThePartAnsweredLongestAgoIfAllAreRecent) {
  part_history history;
  history.OnAnswered(Parts({"first", "deadly"}), kStart);
  history.OnAnswered(Parts({"first", "other"}), kStart + milliseconds(50));
  const auto now = kStart + milliseconds(100);
  EXPECT_EQ(history.Blamed(Parts({"first", "deadly", "other"}), now),
            Parts({"deadly"}));
  // Parts that were answered together: the more specific one.
  EXPECT_EQ(history.Blamed(Parts({"first", "other"}), now), Parts({"other"}));
}

TEST(part_history_test, ForgetsThePartsUsedLongestAgo) {
  part_history history;
  for (int i = 0; i < 100'000; ++i) {
    history.OnAnswered(Parts({"first", "p" + std::to_string(i)}), kStart);
  }
  EXPECT_EQ(history.Size(), part_history::kMaximumParts);
  EXPECT_TRUE(history.IsRecent(Parts({"first"})[0], kStart));
  EXPECT_TRUE(history.IsRecent(Parts({"p99999"})[0], kStart));
  EXPECT_FALSE(history.IsRecent(Parts({"p0"})[0], kStart));
}

}  // namespace
}  // namespace comfreyspring::quarantine

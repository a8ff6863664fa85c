#include "config/reader_selection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>

namespace comfreyspring::config {
namespace {

const core::data_centre_id kCentre("porto-a");

std::vector<core::process_id> Entries(std::size_t count) {
  std::vector<core::process_id> entries;
  for (std::size_t number = 0; number < count; ++number) {
    entries.emplace_back("entry-" + std::to_string(number));
  }
  return entries;
}

reader_selection Select(const core::process_id& self, std::uint64_t seed) {
  return {self, kCentre, core::random_source(seed)};
}

// Guards against more readers than the service allows for, and against none.
RC_GTEST_PROP(ReaderSelection, PicksTwoOfTheLiveEntries, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 30);
  auto entries = Entries(count);
  std::size_t watchers = 0;
  for (const core::process_id& self : entries) {
    reader_selection selection = Select(self, 1);
    selection.OnLiveEntries(entries);
    watchers += selection.IsWatcher() ? 1 : 0;
  }
  RC_ASSERT(watchers == std::min<std::size_t>(2, count));
}

// Guards against replacing both readers when one entry leaves.
RC_GTEST_PROP(ReaderSelection, MovesOnlyTheReaderThatLeft, ()) {
  auto entries = Entries(*rc::gen::inRange<std::size_t>(3, 30));
  const auto before = SelectReaders(kCentre, entries);
  const auto departed = *rc::gen::elementOf(entries);
  entries.erase(std::find(entries.begin(), entries.end(), departed));
  const auto after = SelectReaders(kCentre, entries);
  for (const core::process_id& reader : before) {
    const bool is_kept =
        std::find(after.begin(), after.end(), reader) != after.end();
    RC_ASSERT(is_kept == (reader != departed));
  }
}

TEST(ReaderSelection, ReadsWithoutConfirmationAfterTwentySecondsWithJitter) {
  const auto entries = Entries(40);
  const auto readers = SelectReaders(kCentre, entries);
  std::set<std::int64_t> delays;
  for (std::size_t at = 0; at < entries.size(); ++at) {
    if (std::find(readers.begin(), readers.end(), entries[at]) !=
        readers.end()) {
      continue;
    }
    reader_selection selection = Select(entries[at], at);
    selection.OnLiveEntries(entries);
    const core::time_point start{};
    selection.OnConfirmation(start);
    std::int64_t delay = 0;
    while (!selection.ShouldRead(start + core::milliseconds(delay))) ++delay;
    EXPECT_GE(delay, 20000);
    EXPECT_LT(delay, 25000);
    delays.insert(delay);
  }
  EXPECT_GT(delays.size(), 30u);
}

TEST(ReaderSelection, StopsReadingAfterAConfirmation) {
  reader_selection selection = Select(core::process_id("self"), 1);
  auto entries = Entries(30);
  selection.OnLiveEntries(entries);
  ASSERT_FALSE(selection.IsWatcher());
  core::time_point now{};
  EXPECT_FALSE(selection.ShouldRead(now));
  now += core::seconds(25);
  EXPECT_TRUE(selection.ShouldRead(now));
  selection.OnConfirmation(now);
  EXPECT_FALSE(selection.ShouldRead(now + core::seconds(19)));
}

// Guards against excessive reads while the service is down.
TEST(ReaderSelection, WaitsAfterAFailedRead) {
  reader_selection selection = Select(core::process_id("self"), 1);
  selection.OnLiveEntries(Entries(30));
  core::time_point now{};
  selection.ShouldRead(now);
  now += core::seconds(25);
  ASSERT_TRUE(selection.ShouldRead(now));
  selection.OnReadFailed(now);
  EXPECT_FALSE(selection.ShouldRead(now + core::seconds(4)));
  EXPECT_TRUE(selection.ShouldRead(now + core::seconds(10)));
}

}  // namespace
}  // namespace comfreyspring::config

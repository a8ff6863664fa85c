#include "stream/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace comfreyspring::stream {
namespace {

TEST(event_splitter_test, KeepsAnEventUntilItIsWhole) {
  event_splitter splitter;
  EXPECT_EQ(splitter.Feed("id: 7\nda"), "");
  EXPECT_EQ(splitter.LastId(), "");
  EXPECT_EQ(splitter.Feed("ta: x\n\nid: 8\n"), "id: 7\ndata: x\n\n");
  EXPECT_EQ(splitter.LastId(), "7");
  EXPECT_EQ(splitter.Rest(), "id: 8\n");
  EXPECT_EQ(splitter.Count(), 1U);
}

TEST(event_splitter_test, ReadsIdsAmongOtherLines) {
  event_splitter splitter;
  splitter.Feed("weight-versions: 2\r\nid:12\r\ndata: id: 13\r\n\r\n");
  EXPECT_EQ(splitter.LastId(), "12");
}

TEST(event_splitter_test, CommentsAndEmptyLinesAreNoPartOfAnEvent) {
  for (const std::string after :
       {"", "\n", "\r\n\r\n", ": comment\n", ": comment\r", ":\n\n"}) {
    event_splitter splitter;
    EXPECT_EQ(splitter.Feed("id: 1\n\n" + after) + splitter.Rest(),
              "id: 1\n\n" + after);
    EXPECT_FALSE(splitter.EndsInsideEvent()) << after;
    EXPECT_EQ(splitter.Count(), 1U);
  }
}

TEST(event_splitter_test, AnUnfinishedLineEndsInsideAnEvent) {
  for (const std::string after : {"i", ": comm", "\n:", "data: x\n", "x\r\n"}) {
    event_splitter splitter;
    splitter.Feed("id: 1\n\n" + after);
    EXPECT_TRUE(splitter.EndsInsideEvent()) << after;
    splitter.DropRest();
    EXPECT_FALSE(splitter.EndsInsideEvent()) << after;
    EXPECT_EQ(splitter.Feed("id: 2\n\n"), "id: 2\n\n");
  }
}

TEST(event_splitter_test, KnowsWhetherAContinuationFollows) {
  const auto continues = [](const std::string& before,
                            const std::string& after) {
    event_splitter splitter;
    splitter.Feed(before);
    splitter.BeginContinuation();
    splitter.Feed(after);
    return splitter.ContinuesInOrder();
  };
  const std::string two = "id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\nda";
  EXPECT_TRUE(continues(two, "id: 6\ndata: c\n\n"));
  EXPECT_TRUE(continues(two, ": comment\n\nid: 6\n\nid: 7\n\n"));
  EXPECT_TRUE(continues(two, ""));
  // From the beginning, the last one again, one left out, without an id.
  EXPECT_FALSE(continues(two, "id: 1\ndata: a\n\n"));
  EXPECT_FALSE(continues(two, "id: 5\ndata: b\n\n"));
  EXPECT_FALSE(continues(two, "id: 7\ndata: d\n\n"));
  EXPECT_FALSE(continues(two, "{\"error\":\"overloaded\"}\n\n"));
  EXPECT_TRUE(continues("id: 10\n\nid: 20\n\n", "id: 30\n\n"));
  EXPECT_FALSE(continues("id: 10\n\nid: 20\n\n", "id: 10\n\n"));
  // Nothing can be said of streams whose events have no numbers.
  EXPECT_TRUE(continues("data: a\n\n", "data: b\n\n"));
  EXPECT_TRUE(continues("id: x\n\n", "id: y\n\n"));
}

std::string DrawLineEnd() {
  return *rc::gen::element<std::string>("\n", "\r\n", "\r");
}

// A response that breaks off anywhere must be distinguishable from a complete
// one.
RC_GTEST_PROP(event_splitter_property, KnowsWhetherItEndsInsideAnEvent, ()) {
  const std::string end = DrawLineEnd();
  std::string text;
  std::vector<std::size_t> boundaries = {0};
  const auto events = *rc::gen::inRange(1, 6);
  for (int i = 0; i < events; ++i) {
    text += "id: " + std::to_string(i) + end + "data: x" + end + end;
    boundaries.push_back(text.size());
    // The LF of the empty line adds nothing.
    if (end == "\r\n") boundaries.push_back(text.size() - 1);
  }
  event_splitter splitter;
  for (std::size_t size = 0; size <= text.size(); ++size) {
    if (size > 0) splitter.Feed(text.substr(size - 1, 1));
    const bool at_boundary = std::find(boundaries.begin(), boundaries.end(),
                                       size) != boundaries.end();
    RC_ASSERT(splitter.EndsInsideEvent() == !at_boundary);
  }
}

// The forwarded bytes must not depend on how the network splits the input.
RC_GTEST_PROP(event_splitter_property, InputBoundariesDoNotAffectOutput, ()) {
  std::string text;
  const auto events = *rc::gen::inRange(1, 12);
  for (int i = 0; i < events; ++i) {
    const std::string end = DrawLineEnd();
    text += "id: " + std::to_string(i) + end +
            "data: " + std::string(static_cast<std::size_t>(i % 5), 'x') + end +
            end;
  }
  event_splitter splitter;
  std::string passed;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 9);
    passed += splitter.Feed(std::string_view{text}.substr(at, size));
    at += size;
  }
  RC_ASSERT(passed == text);
  RC_ASSERT(splitter.Count() == static_cast<std::size_t>(events));
  RC_ASSERT(splitter.LastId() == std::to_string(events - 1));
}

// Guards against searching an incomplete line again for each piece of it, which
// would take the time of the whole process for a long event in small pieces.
TEST(event_splitter_test, SearchesALongLineOnce) {
  constexpr std::size_t kBytes = 200'000;
  event_splitter splitter;
  const auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(splitter.Feed("data: "), "");
  for (std::size_t i = 0; i < kBytes; ++i) EXPECT_EQ(splitter.Feed("x"), "");
  EXPECT_EQ(splitter.Feed("\n\n").size(), kBytes + 8);
  EXPECT_EQ(splitter.Count(), 1U);
  // Searched again for each byte, it takes over a minute.
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(5));
}

}  // namespace
}  // namespace comfreyspring::stream

#include "stream/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

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

// The forwarded bytes must not depend on how the network splits the input.
RC_GTEST_PROP(event_splitter_property, InputBoundariesDoNotAffectOutput, ()) {
  std::string text;
  const auto events = *rc::gen::inRange(1, 12);
  for (int i = 0; i < events; ++i) {
    const bool crlf = *rc::gen::arbitrary<bool>();
    const std::string end = crlf ? "\r\n" : "\n";
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

}  // namespace
}  // namespace comfreyspring::stream

#include "agent/event_stream_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyspring::agent {
namespace {

// Guards against events that are lost or merged where the network splits the
// bytes.
RC_GTEST_PROP(event_stream_parser_test, AnySplitGivesTheSameEvents, ()) {
  const std::string bytes =
      "data: one\n\n: comment\r\ndata: two\r\ndata:three\r\n\r\n"
      "event: x\nid: 7\ndata: four\n\n\n";
  event_stream_parser parser;
  std::vector<std::string> events;
  for (std::size_t begin = 0; begin < bytes.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    for (auto& event : parser.Feed(bytes.substr(begin, size))) {
      events.push_back(std::move(event));
    }
    begin += size;
  }
  RC_ASSERT(events == (std::vector<std::string>{"one", "two\nthree", "four"}));
}

// Guards against unbounded memory use when the engine never ends an event.
TEST(event_stream_parser_test, AnEndlessEventOverflows) {
  event_stream_parser parser;
  for (int i = 0; i < 2000 && !parser.Overflowed(); ++i) {
    parser.Feed(std::string(1024, 'x'));
  }
  EXPECT_TRUE(parser.Overflowed());
}

}  // namespace
}  // namespace comfreyspring::agent

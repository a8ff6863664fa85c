#include "trace/trace_reader.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <utility>

#include "trace/replayer.h"

namespace comfreyspring::trace {
namespace {

using position = std::pair<std::size_t, std::size_t>;

const std::string kRouterStart =
    "comfreyspring_trace version=1 subject=router\n0 options\n";

/** Returns line and column of the error, or 0, 0 if the trace is valid. */
position ErrorPosition(const std::string& text) {
  std::istringstream in(text);
  try {
    ReplayTrace(in);
  } catch (const trace_error& failure) {
    return {failure.Line(), failure.Column()};
  }
  return {0, 0};
}

TEST(TraceReader, SkipsCommentsAndEmptyLines) {
  EXPECT_EQ(ErrorPosition("# why\n\n" + kRouterStart + "# more\n10 tick\n"),
            position(0, 0));
}

TEST(TraceReader, ErrorsInTheHeader) {
  EXPECT_EQ(ErrorPosition(""), position(1, 1));
  EXPECT_EQ(ErrorPosition("0 options\n"), position(1, 1));
  EXPECT_EQ(ErrorPosition("comfreyspring_trace version=2 subject=router\n"),
            position(1, 21));
  EXPECT_EQ(ErrorPosition("comfreyspring_trace version=1 subject=cache\n"),
            position(1, 31));
  EXPECT_EQ(ErrorPosition("comfreyspring_trace version=1\n"), position(1, 1));
  EXPECT_EQ(
      ErrorPosition(
          "comfreyspring_trace version=1 subject=router expect=nothing\n"),
      position(1, 46));
}

TEST(TraceReader, ErrorsInEvents) {
  // Unknown event, unknown field, field given twice, missing field.
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 tock\n"), position(3, 3));
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 tick a=b\n"), position(3, 8));
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 not_sent attempt=a attempt=b\n"),
            position(3, 22));
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 not_sent\n"), position(3, 3));
  // Values of the wrong type.
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 progress attempt=a chunks=x\n"),
            position(3, 22));
  EXPECT_EQ(
      ErrorPosition(kRouterStart + "5 withdrawn attempt=a outcome=lost\n"),
      position(3, 23));
  EXPECT_EQ(ErrorPosition(kRouterStart +
                          "5 request request=r deadline_us=9 adapter=a"),
            position(3, 35));
}

TEST(TraceReader, ErrorsInLineOrder) {
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 tick\n4 tick\n"), position(4, 1));
  EXPECT_EQ(ErrorPosition(kRouterStart + "5 options\n"), position(3, 3));
  EXPECT_EQ(ErrorPosition(kRouterStart + "tick\n"), position(3, 1));
  const std::string first = "comfreyspring_trace version=1 subject=router\n";
  EXPECT_EQ(ErrorPosition(first + "0 tick\n"), position(2, 3));
  EXPECT_EQ(ErrorPosition(first + "0 action.suspect_link endpoint=e\n"),
            position(2, 3));
}

// A misspelt outcome must be an error, not a check that always passes.
TEST(TraceReader, ErrorsInOutcomes) {
  EXPECT_EQ(ErrorPosition(kRouterStart + "outcome request=r\n"),
            position(3, 1));
  EXPECT_EQ(ErrorPosition(kRouterStart + "outcome request=r result=done\n"),
            position(3, 1));
  EXPECT_EQ(ErrorPosition(kRouterStart + "outcome attempts request=r\n"),
            position(3, 1));
  EXPECT_EQ(
      ErrorPosition(kRouterStart + "outcome endpoint=e no_submit=false\n"),
      position(3, 1));
  // An outcome that applies only to the other subject.
  EXPECT_EQ(ErrorPosition(kRouterStart + "outcome adapter=a@v never_evicted\n"),
            position(3, 1));
}

TEST(TraceReader, ErrorsInInvalidEvents) {
  EXPECT_EQ(ErrorPosition(kRouterStart + "1 heartbeat_limit limit_ms=0\n"),
            position(3, 1));
  const std::string request = "1 request request=r deadline_us=0\n";
  EXPECT_EQ(ErrorPosition(kRouterStart + request + request), position(4, 1));
}

}  // namespace
}  // namespace comfreyspring::trace

#include "trace/trace_reader.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <utility>

#include "trace/replayer.h"

namespace comfreyspring::trace {
namespace {

using place = std::pair<std::size_t, std::size_t>;

const std::string kRouterStart =
    "comfreyspring_trace version=1 subject=router\n0 options\n";

/** Line and column of the fault; 0, 0 if the trace can be read. */
place Fault(const std::string& text) {
  std::istringstream in(text);
  try {
    ReplayTrace(in);
  } catch (const trace_error& failure) {
    return {failure.Line(), failure.Column()};
  }
  return {0, 0};
}

TEST(TraceReader, SkipsCommentsAndEmptyLines) {
  EXPECT_EQ(Fault("# why\n\n" + kRouterStart + "# more\n10 tick\n"),
            place(0, 0));
}

TEST(TraceReader, FaultsOfTheFirstLine) {
  EXPECT_EQ(Fault(""), place(1, 1));
  EXPECT_EQ(Fault("0 options\n"), place(1, 1));
  EXPECT_EQ(Fault("comfreyspring_trace version=2 subject=router\n"),
            place(1, 21));
  EXPECT_EQ(Fault("comfreyspring_trace version=1 subject=cache\n"),
            place(1, 31));
  EXPECT_EQ(Fault("comfreyspring_trace version=1\n"), place(1, 1));
  EXPECT_EQ(
      Fault("comfreyspring_trace version=1 subject=router expect=nothing\n"),
      place(1, 46));
}

TEST(TraceReader, FaultsOfEvents) {
  // Unknown event, unknown field, field given twice, missing field.
  EXPECT_EQ(Fault(kRouterStart + "5 tock\n"), place(3, 3));
  EXPECT_EQ(Fault(kRouterStart + "5 tick a=b\n"), place(3, 8));
  EXPECT_EQ(Fault(kRouterStart + "5 not_sent attempt=a attempt=b\n"),
            place(3, 22));
  EXPECT_EQ(Fault(kRouterStart + "5 not_sent\n"), place(3, 3));
  // Values of the wrong type.
  EXPECT_EQ(Fault(kRouterStart + "5 progress attempt=a chunks=x\n"),
            place(3, 22));
  EXPECT_EQ(Fault(kRouterStart + "5 withdrawn attempt=a outcome=lost\n"),
            place(3, 23));
  EXPECT_EQ(Fault(kRouterStart + "5 request request=r deadline_us=9 adapter=a"),
            place(3, 35));
}

TEST(TraceReader, FaultsOfOrder) {
  EXPECT_EQ(Fault(kRouterStart + "5 tick\n4 tick\n"), place(4, 1));
  EXPECT_EQ(Fault(kRouterStart + "5 options\n"), place(3, 3));
  EXPECT_EQ(Fault(kRouterStart + "tick\n"), place(3, 1));
  const std::string first = "comfreyspring_trace version=1 subject=router\n";
  EXPECT_EQ(Fault(first + "0 tick\n"), place(2, 3));
  EXPECT_EQ(Fault(first + "0 action.suspect_link endpoint=e\n"), place(2, 3));
}

// An outcome that is misspelt must not count as one that holds.
TEST(TraceReader, FaultsOfOutcomes) {
  EXPECT_EQ(Fault(kRouterStart + "outcome request=r\n"), place(3, 1));
  EXPECT_EQ(Fault(kRouterStart + "outcome request=r result=done\n"),
            place(3, 1));
  EXPECT_EQ(Fault(kRouterStart + "outcome attempts request=r\n"), place(3, 1));
  EXPECT_EQ(Fault(kRouterStart + "outcome endpoint=e no_submit=false\n"),
            place(3, 1));
  // A statement about the other subject.
  EXPECT_EQ(Fault(kRouterStart + "outcome adapter=a@v never_evicted\n"),
            place(3, 1));
}

TEST(TraceReader, FaultsOfImpossibleEvents) {
  EXPECT_EQ(Fault(kRouterStart + "1 heartbeat_limit limit_ms=0\n"),
            place(3, 1));
  const std::string request = "1 request request=r deadline_us=0\n";
  EXPECT_EQ(Fault(kRouterStart + request + request), place(4, 1));
}

}  // namespace
}  // namespace comfreyspring::trace

#include "trace/trace_line.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace comfreyspring::trace {
namespace {

/** Returns the column of the parse error, or 0 if the line is valid. */
std::size_t ErrorColumn(const std::string& text) {
  try {
    ParseTraceLine(text, 7);
  } catch (const trace_error& failure) {
    EXPECT_EQ(failure.Line(), 7u);
    return failure.Column();
  }
  return 0;
}

TEST(TraceLine, ReadsTimeNameAndFields) {
  const trace_line line =
      ParseTraceLine(R"(1500 request id=r1 text="a \"b\"\x00\n" flag)", 3);
  EXPECT_EQ(line.time_us, 1500);
  EXPECT_EQ(line.name, "request");
  EXPECT_EQ(line.name_column, 6u);
  ASSERT_EQ(line.fields.size(), 3u);
  EXPECT_EQ(line.fields[0].value, "r1");
  EXPECT_EQ(line.fields[0].column, 14u);
  EXPECT_EQ(line.fields[1].value, std::string("a \"b\"\0\n", 7));
  EXPECT_EQ(line.fields[2].value, "true");
}

// In a trace of thousands of lines, an error needs its column to be found.
TEST(TraceLine, ErrorsReportTheColumn) {
  EXPECT_EQ(ErrorColumn(""), 1u);
  EXPECT_EQ(ErrorColumn("12"), 3u);
  EXPECT_EQ(ErrorColumn("12x tick"), 3u);
  EXPECT_EQ(ErrorColumn("99999999999999999999 tick"), 1u);
  EXPECT_EQ(ErrorColumn("12  tick"), 4u);
  EXPECT_EQ(ErrorColumn("12 Tick"), 4u);
  EXPECT_EQ(ErrorColumn("12 tick "), 9u);
  EXPECT_EQ(ErrorColumn("12 tick a="), 11u);
  EXPECT_EQ(ErrorColumn("12 tick a=b\"c"), 12u);
  EXPECT_EQ(ErrorColumn("12 tick a=\tb"), 11u);
  EXPECT_EQ(ErrorColumn("12 tick a=\"b"), 13u);
  EXPECT_EQ(ErrorColumn("12 tick a=\"b\\"), 13u);
  EXPECT_EQ(ErrorColumn("12 tick a=\"\\q\""), 12u);
  EXPECT_EQ(ErrorColumn("12 tick a=\"\\xg0\""), 12u);
  EXPECT_EQ(ErrorColumn("12 tick a=\"b\"c"), 14u);
  EXPECT_EQ(ErrorColumn("12 tick a.b=c"), 10u);
}

// Ids and messages from callers may contain any byte.
RC_GTEST_PROP(TraceLine, AnyValueSurvivesARoundTrip,
              (const std::vector<std::string>& values, std::uint32_t time)) {
  trace_line line;
  line.time_us = time;
  line.name = "event.name";
  for (const std::string& value : values) line.fields.push_back({"key", value});
  const std::string text = FormatTraceLine(line);
  RC_ASSERT(text.find('\n') == std::string::npos);
  const trace_line read = ParseTraceLine(text, 1);
  RC_ASSERT(read.time_us == line.time_us);
  RC_ASSERT(read.name == line.name);
  RC_ASSERT(read.fields.size() == values.size());
  for (std::size_t i = 0; i < values.size(); ++i) {
    RC_ASSERT(read.fields[i].value == values[i]);
    RC_ASSERT(text.compare(read.fields[i].column - 1, 4, "key=") == 0);
  }
}

}  // namespace
}  // namespace comfreyspring::trace

#include "sheet/csv.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace comfreyspring::sheet {
namespace {

csv_table Parse(const std::string& text, std::vector<issue>& issues) {
  return ParseCsv("test.csv", text, issues);
}

TEST(Csv, ReadsQuotesCommasAndLineEndsInsideCells) {
  std::vector<issue> issues;
  const csv_table table = Parse(
      "\xef\xbb\xbf"
      "a,b\r\n\"x,1\",\"say \"\"hi\"\"\"\r\n\"two\nlines\",plain\n",
      issues);
  EXPECT_TRUE(issues.empty());
  EXPECT_EQ(table.header, (std::vector<std::string>{"a", "b"}));
  ASSERT_EQ(table.rows.size(), 2u);
  EXPECT_EQ(table.rows[0].cells,
            (std::vector<std::string>{"x,1", "say \"hi\""}));
  EXPECT_EQ(table.rows[1].cells[0], "two\nlines");
  EXPECT_EQ(table.rows[1].number, 3u);
}

// Guards against a malformed row hiding errors in later rows.
TEST(Csv, ContinuesAfterAMalformedRow) {
  std::vector<issue> issues;
  const csv_table table = Parse(
      "a,b\n1\n\n,\nx\"y,2\n\"q\"z,3\n\xff,4\n5,6\n\"open,7\n8,9", issues);
  ASSERT_EQ(table.rows.size(), 1u);
  EXPECT_EQ(table.rows[0].number, 8u);
  std::vector<std::size_t> rows;
  for (const issue& item : issues) rows.push_back(item.row);
  EXPECT_EQ(rows, (std::vector<std::size_t>{2, 5, 6, 7, 9}));
}

TEST(Csv, ReportsAnEmptyFileAndAMalformedHeader) {
  for (const std::string text : {"", "\n\n", "\"a", "a,a\n", "a,\n1,2\n"}) {
    std::vector<issue> issues;
    Parse(text, issues);
    EXPECT_EQ(issues.size(), 1u) << text;
  }
}

TEST(Csv, RecognizesWellFormedUtf8) {
  EXPECT_TRUE(IsUtf8("Pôrto é \xf0\x9f\x8c\x8a"));
  EXPECT_FALSE(IsUtf8("\xc0\x80"));
  EXPECT_FALSE(IsUtf8("\xed\xa0\x80"));
  EXPECT_FALSE(IsUtf8("\xf4\x90\x80\x80"));
  EXPECT_FALSE(IsUtf8("\xe2\x82"));
}

// Guards against cells that change when they are quoted and parsed again.
RC_GTEST_PROP(Csv, QuotedCellsRoundTrip, ()) {
  const auto cells = *rc::gen::container<std::vector<std::string>>(
      3, rc::gen::container<std::string>(
             rc::gen::element('a', ',', '"', '\n', '\r', ';', 'z')));
  std::string line = "x";
  for (const std::string& cell : cells)
    line += "," + QuoteCsv("." + cell + ".");
  std::vector<issue> issues;
  const csv_table table = Parse("h,a,b,c\n" + line + "\n", issues);
  RC_ASSERT(issues.empty());
  RC_ASSERT(table.rows.size() == 1u);
  for (std::size_t at = 0; at < cells.size(); ++at) {
    RC_ASSERT(table.rows[0].cells[at + 1] == "." + cells[at] + ".");
  }
}

}  // namespace
}  // namespace comfreyspring::sheet

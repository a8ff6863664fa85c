#include "telemetry/event_log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace comfreyspring::telemetry {
namespace {

class event_log_test : public ::testing::Test {
 protected:
  event_log Make(event_log_options options = {}) {
    return event_log(
        "gateway-1", options, [this] { return now_; },
        [this](std::string_view text) -> std::int64_t {
          if (!reader_accepts_) return -1;
          const auto taken = text.substr(0, write_limit_);
          output_ += taken;
          return static_cast<std::int64_t>(taken.size());
        });
  }

  std::vector<nlohmann::json> Lines() const {
    std::vector<nlohmann::json> lines;
    std::istringstream input(output_);
    for (std::string text; std::getline(input, text);) {
      lines.push_back(nlohmann::json::parse(text));
    }
    return lines;
  }

  core::wall_time now_ = core::WallTimeFromUnix(1'000);
  bool reader_accepts_ = true;
  std::size_t write_limit_ = 7;
  std::string output_;
};

TEST_F(event_log_test, WritesOneObjectPerLine) {
  auto log = Make();
  log.Request(line_class::failure, "refused", "id-1")
      .Add("reason", "queue \"full\"\n\x01\xff")
      .Add("wait_ms", 12)
      .Add("retry", true);
  log.Dependency("platform", "lost").Add("reason", "timeout");
  log.Flush();
  const auto lines = Lines();
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0]["time_ms"], 1000);
  EXPECT_EQ(lines[0]["process"], "gateway-1");
  EXPECT_EQ(lines[0]["event"], "refused");
  EXPECT_EQ(lines[0]["request"], "id-1");
  EXPECT_EQ(lines[0]["wait_ms"], 12);
  EXPECT_EQ(lines[0]["retry"], true);
  EXPECT_EQ(lines[1]["name"], "platform");
  EXPECT_EQ(lines[1]["change"], "lost");
}

// Readers of the JSON did not get a key that is not ASCII: each of its bytes
// was written as a character.
TEST_F(event_log_test, ReadersGetTextAsItIs) {
  auto log = Make();
  const std::string text = "servers/\xc3\xa9\xf0\x9f\x98\x80\x7f";
  log.SystemEvent("entry_unreadable").Add("key", text);
  log.SystemEvent("entry_unreadable").Add("key", "cut\xc3");
  log.Flush();
  EXPECT_EQ(Lines().at(0)["key"], text);
  EXPECT_EQ(Lines().at(1)["key"], "cut\xef\xbf\xbd");
}

// Guards against unbounded memory use when the reader of the log is stuck.
TEST_F(event_log_test, BoundsTheBufferWithoutAReader) {
  auto log =
      Make({.system_events_per_second = 1e9, .maximum_buffered_bytes = 2000});
  reader_accepts_ = false;
  for (int i = 0; i < 10'000; ++i) log.SystemEvent("endpoint").Add("number", i);
  log.Flush();
  EXPECT_GT(log.Dropped(), 9'000U);
  reader_accepts_ = true;
  log.Flush();
  EXPECT_LE(output_.size(), 2000U);
  log.Flush();
  const auto lines = Lines();
  EXPECT_EQ(lines.back()["event"], "log_lines_dropped");
  EXPECT_GT(lines.back()["lines"], 9'000);
}

// Guards against loss of failure lines because routine lines under load use up
// a shared rate limit.
TEST_F(event_log_test, LimitsEachClassSeparately) {
  auto log = Make({.routine_per_second = 5, .failures_per_second = 10});
  for (int i = 0; i < 100; ++i) {
    log.Request(line_class::routine, "answered", "a");
  }
  for (int i = 0; i < 8; ++i) log.Request(line_class::failure, "failed", "b");
  log.Flush();
  EXPECT_EQ(Lines().size(), 5U + 8U + 1U);
  EXPECT_EQ(log.Dropped(), 95U);
  now_ += core::seconds(1);
  log.Request(line_class::routine, "answered", "c");
  log.Flush();
  EXPECT_EQ(Lines().back()["request"], "c");
}

// Guards against a log that stays silent after the wall clock was set back,
// because the rate limiter waits for the clock to catch up.
TEST_F(event_log_test, ContinuesAfterTheClockIsSetBack) {
  auto log = Make({.failures_per_second = 2});
  for (int i = 0; i < 3; ++i) log.Request(line_class::failure, "failed", "a");
  now_ -= core::seconds(3600);
  log.Request(line_class::failure, "failed", "a");
  now_ += core::seconds(1);
  log.Request(line_class::failure, "failed", "late");
  log.Flush();
  const auto lines = Lines();
  ASSERT_EQ(lines.size(), 4U);
  EXPECT_EQ(lines[2]["request"], "late");
  EXPECT_EQ(lines[3]["event"], "log_lines_dropped");
}

}  // namespace
}  // namespace comfreyspring::telemetry

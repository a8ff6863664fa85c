#include "sheet/compiler.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "config/validation.h"
#include "sheet/differ.h"
#include "sheet/document_directory.h"
#include "sheet/row_reader.h"

namespace comfreyspring::sheet {
namespace {

using core::wall_time;

constexpr const char* kSheetHeader =
    "record,name,model,versions,default_version,pattern,priority,deadline_ms,"
    "repeatable,endpoint,starts_at,ends_at,drain_seconds\n";
constexpr const char* kFleetHeader =
    "endpoint,vm,kind,data_centre,address,agent_port,model,service,"
    "checks_fencing\n";

const std::string kSheetRows =
    "model,base,,,,,,,,,,,\n"
    "adapter,straps,base,v1 v2,v2,,,,,,,,\n"
    "adapter,archive-2019,base,v1,v1,,,,,,,,\n"
    "adapter,archive-now,base,v1,v1,,urgent,900,,,,,\n"
    "rule,,,,,archive-*,may_wait,600000,,,,,\n"
    "rule,,,,,archive-2019,,1200000,,,,,\n"
    "service,orders,,,,,,5000,no,,,,\n"
    "stop,,,,,,,,,engine-1,2026-12-04T22:00:00Z,2026-12-04T23:00:00Z,90\n";
const std::string kFleetRows =
    "engine-1,vm-1,engine,porto-a,127.0.0.1,7301,base,,yes\n"
    "desk-1,vm-2,plain_service,porto-a,127.0.0.1,7302,,orders,\n"
    "desk-2,vm-3,plain_service,porto-b,127.0.0.1,7303,,orders,\n";

checked_input Check(const std::string& sheet_rows,
                    const std::string& fleet_rows) {
  return CheckInput({"sheet.csv", kSheetHeader + sheet_rows},
                    {"fleet.csv", kFleetHeader + fleet_rows});
}

config::configuration CompileRows(const std::string& sheet_rows,
                                  const std::string& fleet_rows,
                                  const config::configuration* previous,
                                  std::int64_t now_ms) {
  const checked_input input = Check(sheet_rows, fleet_rows);
  for (const issue& item : input.issues) ADD_FAILURE() << ToString(item);
  return Compile(input, previous, {.now = core::WallTimeFromUnix(now_ms)});
}

std::vector<std::string> Lines(const std::vector<issue>& issues) {
  std::vector<std::string> lines;
  for (const issue& item : issues) {
    lines.push_back(item.file + ":" + std::to_string(item.row) + ":" +
                    item.column);
  }
  return lines;
}

TEST(Compiler, CompilesAValidConfiguration) {
  const auto set = CompileRows(kSheetRows, kFleetRows, nullptr, 1700000000000);
  EXPECT_TRUE(config::Validate(set).empty());
  EXPECT_EQ(set.version.generation, 1u);
  const auto* straps = set.FindAdapter(core::adapter_id("straps"));
  EXPECT_EQ(straps->priority, core::priority_class::urgent);
  EXPECT_EQ(straps->deadline.count(), 30000);
  EXPECT_EQ(straps->versions.size(), 2u);
  const auto* engine = set.FindEndpoint(core::endpoint_id("engine-1"));
  EXPECT_TRUE(engine->checks_fencing);
  EXPECT_FALSE(set.FindService(core::service_id("orders"))->repeatable);
  EXPECT_EQ(FormatUtcTime(set.stops[0].starts_at), "2026-12-04T22:00:00Z");
  EXPECT_EQ(set.stops[0].drain.count(), 90);
}

// Guards against row order changing the priority class of an adapter.
TEST(Compiler, AppliesTheLongestMatchingRuleToUnsetFields) {
  const auto set = CompileRows(kSheetRows, kFleetRows, nullptr, 1);
  const auto* old = set.FindAdapter(core::adapter_id("archive-2019"));
  EXPECT_EQ(old->priority, core::priority_class::may_wait);
  EXPECT_EQ(old->deadline.count(), 1200000);
  const auto* now = set.FindAdapter(core::adapter_id("archive-now"));
  EXPECT_EQ(now->priority, core::priority_class::urgent);
  EXPECT_EQ(now->deadline.count(), 900);
}

TEST(Compiler, IncrementsTheGeneration) {
  const checked_input input = Check(kSheetRows, kFleetRows);
  config::configuration previous;
  previous.version.generation = 7;
  previous.Index();
  const auto generation = [&](std::optional<std::uint64_t> wanted) {
    return Compile(input, &previous, {.generation = wanted}).version.generation;
  };
  EXPECT_EQ(generation(std::nullopt), 8u);
  EXPECT_EQ(generation(5), 8u);
  EXPECT_EQ(generation(20), 20u);
}

// Guards against two endpoints owning the same key while a new member list is
// being distributed.
TEST(Compiler, AddsAnEpochOnlyWhenMembersChangeAndKeepsFour) {
  const auto first = CompileRows(kSheetRows, kFleetRows, nullptr, 1000000);
  const auto& epochs = first.services[0].epochs;
  ASSERT_EQ(epochs.size(), 1u);
  EXPECT_EQ(epochs[0].effective_from_ms, 1000000);
  auto set = CompileRows(kSheetRows, kFleetRows, &first, 2000000);
  EXPECT_EQ(set.services[0].epochs.size(), 1u);
  std::string fleet = kFleetRows;
  for (int round = 0; round < 5; ++round) {
    const std::int64_t now_ms = 3000000 + round * 1000000;
    const std::string number = std::to_string(round + 3);
    fleet += "desk-" + number + ",vm-9" + number +
             ",plain_service,caxias,127.0.0.2,740" + number + ",,orders,\n";
    const config::configuration previous = set;
    set = CompileRows(kSheetRows, fleet, &previous, now_ms);
    EXPECT_EQ(set.services[0].epochs.back().effective_from_ms, now_ms + 60000);
    EXPECT_EQ(set.services[0].epochs.back().epoch, round + 2);
  }
  EXPECT_EQ(set.services[0].epochs.size(), 4u);
  EXPECT_TRUE(config::Validate(set).empty());
}

// Guards against reporting only the first error, which would need one export
// per error.
TEST(Checker, ReportsEveryErrorInBothFiles) {
  const checked_input input = Check(
      "model,base,,,,,,,,,,,\n"
      "adapter,a b,bsae,v1 v1,v9,,soon,0,,,,,\n"
      "adapter,straps,base,,,,,,,,,,\n"
      "adapter,straps,base,v1,v1,,,,yes,,,,\n"
      "rule,,,,,*x*,,,,,,,\n"
      "service,orders,,,,,,,maybe,,,,\n"
      "stop,,,,,,,,,engine-9,2026-13-04T22:00:00Z,,\n"
      "stop,,,,,,,,,engine-8,2026-12-04T22:00:00Z,2026-12-04T21:00:00Z,-1\n"
      "adaptor,x,,,,,,,,,,,\n",
      "engine-1,vm-1,engine,porto-a,localhost,7301,nobase,orders,yes\n"
      "engine-1,vm-1,gpu,,127.0.0.1,70000,,,\n");
  const std::vector<std::string> expected = {"sheet.csv:3:name",
                                             "sheet.csv:3:versions",
                                             "sheet.csv:3:priority",
                                             "sheet.csv:3:deadline_ms",
                                             "sheet.csv:3:default_version",
                                             "sheet.csv:3:model",
                                             "sheet.csv:4:versions",
                                             "sheet.csv:4:default_version",
                                             "sheet.csv:5:repeatable",
                                             "sheet.csv:5:name",
                                             "sheet.csv:6:pattern",
                                             "sheet.csv:6:priority",
                                             "sheet.csv:6:pattern",
                                             "sheet.csv:7:repeatable",
                                             "sheet.csv:7:name",
                                             "sheet.csv:8:starts_at",
                                             "sheet.csv:8:ends_at",
                                             "sheet.csv:9:drain_seconds",
                                             "sheet.csv:9:ends_at",
                                             "sheet.csv:9:endpoint",
                                             "sheet.csv:10:record",
                                             "fleet.csv:2:address",
                                             "fleet.csv:2:service",
                                             "fleet.csv:2:model",
                                             "fleet.csv:3:data_centre",
                                             "fleet.csv:3:agent_port",
                                             "fleet.csv:3:kind",
                                             "fleet.csv:3:endpoint"};
  EXPECT_THAT(Lines(input.issues),
              ::testing::UnorderedElementsAreArray(expected));
  for (const issue& item : input.issues) {
    EXPECT_FALSE(item.remedy.empty()) << ToString(item);
  }
}

TEST(Checker, ReportsOverlappingStopsSharedPortsAndUnusedRules) {
  const checked_input input = Check(
      kSheetRows +
          "rule,,,,,none-*,urgent,,,,,,\n"
          "stop,,,,,,,,,engine-1,2026-12-04T22:30:00Z,2026-12-05T00:00:00Z,\n",
      kFleetRows + "engine-2,vm-4,engine,porto-a,127.0.0.1,7301,base,,\n");
  EXPECT_THAT(
      Lines(input.issues),
      ::testing::ElementsAre("sheet.csv:10:pattern", "sheet.csv:11:endpoint",
                             "fleet.csv:5:agent_port"));
  EXPECT_EQ(input.issues[0].level, severity::warning);
}

TEST(Checker, ReportsUnknownAndMissingColumns) {
  const checked_input input =
      CheckInput({"sheet.csv", "record;name\nmodel;base\n"},
                 {"fleet.csv", "endpoint,vm\n"});
  EXPECT_THAT(
      Lines(input.issues),
      ::testing::ElementsAre("sheet.csv:1:record;name", "sheet.csv:1:record",
                             "fleet.csv:1:kind", "fleet.csv:1:data_centre",
                             "fleet.csv:1:address", "fleet.csv:1:agent_port"));
}

// Guards against crashes on malformed input, and against compiling an invalid
// configuration.
RC_GTEST_PROP(Checker, MalformedFilesGiveErrorsOrAValidConfiguration, ()) {
  std::string sheet = kSheetHeader + kSheetRows;
  std::string fleet = kFleetHeader + kFleetRows;
  const auto mutation_count = *rc::gen::inRange(1, 6);
  for (int count = 0; count < mutation_count; ++count) {
    std::string& text = *rc::gen::arbitrary<bool>() ? sheet : fleet;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto kind = *rc::gen::inRange(0, 3);
    if (kind == 0) text[at] = *rc::gen::arbitrary<char>();
    if (kind == 1) text.erase(at, *rc::gen::inRange<std::size_t>(1, 30));
    if (kind == 2) text.insert(at, *rc::gen::arbitrary<std::string>());
  }
  const checked_input input =
      CheckInput({"sheet.csv", sheet}, {"fleet.csv", fleet});
  for (const issue& item : input.issues) ToString(item);
  if (HasErrors(input.issues)) return;
  const auto set = Compile(input, nullptr, {.now = wall_time()});
  RC_ASSERT(config::Validate(set).empty());
  config::EncodeSet(set);
}

TEST(Time, AcceptsOnlyValidUtcTimes) {
  EXPECT_EQ(core::UnixMilliseconds(*ParseUtcTime("1970-01-02T00:00:01Z")),
            86401000);
  EXPECT_TRUE(ParseUtcTime("2028-02-29T23:59Z"));
  for (const std::string text :
       {"", "2027-02-29T00:00:00Z", "2026-12-04T24:00:00Z",
        "2026-12-04T22:00:00", "2026-12-04 22:00:00Z", "2026-12-04T22:00:0xZ",
        "2026-00-04T22:00:00Z", "2026-12-04T22:00:00+"}) {
    EXPECT_FALSE(ParseUtcTime(text)) << text;
  }
}

TEST(Differ, ListsAddedRemovedAndChangedRecords) {
  const auto before = CompileRows(kSheetRows, kFleetRows, nullptr, 1000);
  auto after = before;
  after.adapters[0].priority = core::priority_class::may_wait;
  after.adapters.pop_back();
  after.models.emplace_back("second");
  EXPECT_THAT(Diff(before, after),
              ::testing::ElementsAre(
                  "- adapter archive-now",
                  "~ adapter straps: priority 'urgent' -> 'may_wait'",
                  "+ model second"));
  EXPECT_TRUE(Diff(before, before).empty());
}

TEST(DocumentDirectory, WrittenDocumentsRoundTrip) {
  const auto directory = std::filesystem::path(::testing::TempDir()) /
                         "comfreyspring-document-directory-test";
  std::filesystem::remove_all(directory);
  const auto set = CompileRows(kSheetRows, kFleetRows, nullptr, 1000);
  EXPECT_THROW(ReadDocuments(directory.string()), file_error);
  WriteDocuments(directory.string(), config::EncodeSet(set));
  const auto read = ReadDocuments(directory.string());
  EXPECT_TRUE(Diff(set, read).empty());
  EXPECT_EQ(read.published_ms, 1000);
  for (const auto& part :
       std::filesystem::directory_iterator(directory / "parts")) {
    std::filesystem::remove(part);
    break;
  }
  EXPECT_THROW(ReadDocuments(directory.string()), file_error);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace comfreyspring::sheet

#include "gateway/superseded_entries.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyspring::gateway {
namespace {

catalog::endpoint_record Record(const std::string& instance,
                                std::int64_t started,
                                const std::string& ip = "10.1.0.1") {
  catalog::endpoint_record record;
  record.instance = catalog::instance_id(instance);
  record.service = core::service_id("s");
  record.address = {ip, 8080};
  record.started_unix_ms = started;
  return record;
}

const core::service_id kService("s");

// Requests for the instance of before a restart are returned unrun.
TEST(superseded_entries_test, ALaterEntryAtTheSameAddressSupersedes) {
  superseded_entries entries;
  entries.OnListed(Record("old", 1000));
  EXPECT_FALSE(entries.IsSuperseded(Record("old", 1000)));
  entries.OnListed(Record("new", 2000));
  EXPECT_TRUE(entries.IsSuperseded(Record("old", 1000)));
  EXPECT_FALSE(entries.IsSuperseded(Record("new", 2000)));
  EXPECT_FALSE(entries.IsSuperseded(Record("other", 500, "10.1.0.2")));
  entries.OnGone(Record("new", 2000));
  EXPECT_FALSE(entries.IsSuperseded(Record("old", 1000)));
}

TEST(superseded_entries_test, TheSidecarsReportSupersedesBeforeTheCatalog) {
  superseded_entries entries;
  entries.OnListed(Record("old", 1000));
  entries.OnReported("10.1.0.1", kService, 1000);
  EXPECT_FALSE(entries.IsSuperseded(Record("old", 1000)));
  entries.OnReported("10.1.0.1", kService, 2000);
  EXPECT_TRUE(entries.IsSuperseded(Record("old", 1000)));
  EXPECT_FALSE(entries.IsSuperseded(Record("new", 2000)));
  // Reports may overtake each other.
  entries.OnReported("10.1.0.1", kService, 1000);
  EXPECT_TRUE(entries.IsSuperseded(Record("old", 1000)));
}

// An address may be assigned to an endpoint of another service.
TEST(superseded_entries_test, AReportConcernsItsServiceOnly) {
  superseded_entries entries;
  entries.OnReported("10.1.0.1", core::service_id("other"), 2000);
  EXPECT_FALSE(entries.IsSuperseded(Record("old", 1000)));
}

TEST(superseded_entries_test, UnknownStartsDecideNothing) {
  superseded_entries entries;
  entries.OnListed(Record("old", 0));
  entries.OnListed(Record("new", 2000));
  entries.OnReported("10.1.0.1", kService, 0);
  EXPECT_FALSE(entries.IsSuperseded(Record("old", 0)));
  EXPECT_FALSE(entries.IsSuperseded(Record("new", 2000)));
}

}  // namespace
}  // namespace comfreyspring::gateway

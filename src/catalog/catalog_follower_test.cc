#include "catalog/catalog_follower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace comfreyspring::catalog {
namespace {

using core::milliseconds;

/** Completes reads when the test calls Answer(). */
class scripted_source final : public catalog_source {
 public:
  void ReadAll(milliseconds, read_callback on_done) override {
    ++all_reads;
    pending = std::move(on_done);
  }
  void ReadChanges(const change_query& query, read_callback on_done) override {
    ++change_reads;
    last_revision = query.after_revision;
    last_timeout = query.timeout;
    last_maximum_bytes = query.maximum_bytes;
    pending = std::move(on_done);
  }
  void ReadEndpointChanges(const change_query& query,
                           read_callback on_done) override {
    ++endpoint_reads;
    endpoint_query = query;
    pending_endpoints = std::move(on_done);
  }
  /**
   * "-i1" is the removal of i1, "=5" version 5 of the configuration; any other
   * text is an entry with that name.
   */
  published_change Decode(const change_document& document) const override {
    if (document.text.starts_with('=')) {
      configuration content;
      content.version = std::stoll(document.text.substr(1));
      return {document.revision, std::move(content), document.text};
    }
    if (document.text.starts_with('-')) {
      return {document.revision,
              endpoint_removed{instance_id(document.text.substr(1))},
              document.text};
    }
    return {document.revision,
            endpoint_record{.instance = instance_id(document.text),
                            .service = core::service_id("s")},
            document.text};
  }
  void Answer(catalog_read read) {
    const auto callback = std::move(pending);
    pending = nullptr;
    callback(std::move(read));
  }

  read_callback pending;
  int all_reads = 0;
  int change_reads = 0;
  read_callback pending_endpoints;
  int endpoint_reads = 0;
  change_query endpoint_query;
  std::int64_t last_revision = 0;
  milliseconds last_timeout{0};
  std::size_t last_maximum_bytes = 0;
};

class recording_listener final : public follower_listener {
 public:
  void OnConfiguration(
      const std::shared_ptr<const route_table>& table) override {
    versions.push_back(table->Version());
  }
  void OnEndpoint(const endpoint_change& change) override {
    changes.push_back(change.record.instance.Value() + ' ' +
                      std::string(ToString(change.what)));
  }
  void OnLocalRead(const change_batch& batch) override {
    batches.push_back(batch);
  }
  std::vector<std::int64_t> versions;
  std::vector<std::string> changes;
  std::vector<change_batch> batches;
};

class catalog_follower_test : public ::testing::Test {
 protected:
  catalog_follower_test() { follower_.Start(); }

  void WaitForRead() {
    ASSERT_TRUE(loop_.RunUntil([&] { return source_.pending != nullptr; },
                               milliseconds(2000)));
  }
  void Wait(milliseconds length) {
    loop_.RunUntil([] { return false; }, length);
  }
  static configuration Configuration(std::int64_t version) {
    configuration content;
    content.version = version;
    return content;
  }
  static endpoint_record Record(const std::string& name) {
    return {.instance = instance_id(name), .service = core::service_id("s")};
  }
  static catalog_read Done(std::vector<catalog_change> changes,
                           std::int64_t revision) {
    catalog_read read{read_outcome::done, {}, revision, ""};
    for (catalog_change& change : changes) {
      read.changes.push_back({0, std::move(change), ""});
    }
    return read;
  }

  net::event_loop loop_;
  telemetry::event_log log_{"test",
                            {},
                            [] { return core::wall_time(); },
                            [](std::string_view text) {
                              return static_cast<std::int64_t>(text.size());
                            }};
  scripted_source source_;
  recording_listener listener_;
  catalog_follower follower_{loop_,
                             source_,
                             {.change_bound = milliseconds(100),
                              .initial_retry_delay = milliseconds(5),
                              .maximum_retry_delay = milliseconds(20),
                              .reregistration_time = milliseconds(300),
                              .outage_threshold = milliseconds(50)},
                             listener_,
                             log_};
};

TEST_F(catalog_follower_test, ReadsAllThenFollowsChanges) {
  source_.Answer(Done({Configuration(3), Record("i1")}, 40));
  EXPECT_TRUE(follower_.IsComplete());
  EXPECT_EQ(follower_.Routes()->Version(), 3);
  EXPECT_EQ(source_.last_revision, 40);
  source_.Answer(
      Done({Configuration(5), endpoint_removed{instance_id("i1")}}, 44));
  EXPECT_EQ(follower_.Routes()->Version(), 5);
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
  WaitForRead();
  EXPECT_EQ(source_.last_revision, 44);
}

// A configuration must never be replaced by a lower version.
TEST_F(catalog_follower_test, NeverGoesBackToALowerVersion) {
  source_.Answer(Done({Configuration(9)}, 40));
  source_.Answer(Done({Configuration(7)}, 41));
  WaitForRead();
  source_.Answer({read_outcome::history_lost, {}, 0, "410"});
  source_.Answer(Done({Configuration(8)}, 50));
  EXPECT_EQ(listener_.versions, std::vector<std::int64_t>{9});
  EXPECT_EQ(source_.all_reads, 2);
}

TEST_F(catalog_follower_test, KeepsItsViewInAnOutage) {
  source_.Answer(Done({Configuration(3), Record("i1")}, 40));
  for (int i = 0; i < 4; ++i) {
    WaitForRead();
    source_.Answer({read_outcome::unavailable, {}, 0, "down"});
  }
  EXPECT_EQ(follower_.Routes()->Version(), 3);
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
}

// Entries that lapsed in an outage are removed only after a grace period.
TEST_F(catalog_follower_test, EntriesThatLapsedInAnOutageAreKept) {
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  source_.Answer({read_outcome::unavailable, {}, 0, "down"});
  Wait(milliseconds(80));
  WaitForRead();
  source_.Answer(Done({endpoint_removed{instance_id("i1")},
                       endpoint_removed{instance_id("i2")}},
                      60));
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
  WaitForRead();
  source_.Answer(Done({Record("i2")}, 61));
  Wait(milliseconds(500));
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i2")), nullptr);
}

// An entry removed after the platform has recovered means that the endpoint has
// left. It must be out of use within the bound, which is shorter than the grace
// period.
TEST_F(catalog_follower_test, ARemovalAfterAnOutageMeetsTheBound) {
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  source_.Answer({read_outcome::unavailable, {}, 0, "down"});
  Wait(milliseconds(80));
  WaitForRead();
  source_.Answer(Done({}, 50));
  WaitForRead();
  source_.Answer(Done({endpoint_removed{instance_id("i1")}}, 60));
  Wait(milliseconds(130));
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
}

// Gateways report the same outage to each other repeatedly.
TEST_F(catalog_follower_test, RepeatedReportsDoNotProlongAnOutage) {
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  source_.Answer({read_outcome::unavailable, {}, 0, "down"});
  Wait(milliseconds(80));
  WaitForRead();
  source_.Answer(Done({}, 50));
  ASSERT_FALSE(listener_.batches.empty());
  change_batch reported = listener_.batches.back();
  EXPECT_TRUE(reported.last_outage);
  std::int64_t revision = 50;
  for (int i = 0; i < 20; ++i) {
    Wait(milliseconds(20));
    reported.after = revision;
    reported.revision = ++revision;
    follower_.OnPeerRead(reported);
  }
  WaitForRead();
  source_.Answer(Done({endpoint_removed{instance_id("i1")}}, revision + 1));
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
}

// A process that was cut off for longer than the others learns from them when
// the outage has ended. Endpoints that have left since then must be out of use
// within the bound; those whose entries lapsed before may still come back.
TEST_F(catalog_follower_test, AnEarlierEndOfTheOutageShortensGracePeriods) {
  source_.Answer(Done({Record("lapsed"), Record("left")}, 40));
  source_.Answer({read_outcome::unavailable, {}, 0, "cut off"});
  Wait(milliseconds(600));
  WaitForRead();
  catalog_read read{read_outcome::done, {}, 60, ""};
  read.changes.push_back({44, endpoint_removed{instance_id("lapsed")}, ""});
  read.changes.push_back({60, endpoint_removed{instance_id("left")}, ""});
  source_.Answer(std::move(read));
  EXPECT_EQ(listener_.changes.back(), "left lapsed");
  follower_.OnPeerRead(
      {.after = 60,
       .revision = 60,
       .last_outage = reported_outage{{0, 45}, milliseconds(80)}});
  const auto has_changed = [&](const char* change) {
    return std::ranges::count(listener_.changes, change) > 0;
  };
  EXPECT_TRUE(loop_.RunUntil([&] { return has_changed("left gone"); },
                             milliseconds(500)));
  EXPECT_FALSE(has_changed("lapsed gone"));
  EXPECT_TRUE(loop_.RunUntil([&] { return has_changed("lapsed gone"); },
                             milliseconds(500)));
}

// A read that fails while it waits for changes does not imply an outage.
TEST_F(catalog_follower_test, AReadThatFailsWhileWaitingIsNoOutage) {
  recording_listener listener;
  scripted_source source;
  catalog_follower follower{loop_,
                            source,
                            {.change_bound = milliseconds(400),
                             .initial_retry_delay = milliseconds(5),
                             .reregistration_time = milliseconds(300),
                             .outage_threshold = milliseconds(50)},
                            listener,
                            log_};
  follower.Start();
  source.Answer(Done({Record("i1"), Record("i2")}, 40));
  Wait(milliseconds(80));
  source.Answer({read_outcome::unavailable, {}, 0, "reset"});
  ASSERT_TRUE(loop_.RunUntil([&] { return source.pending != nullptr; },
                             milliseconds(2000)));
  source.Answer({read_outcome::history_lost, {}, 0, "410"});
  source.Answer(Done({Record("i2")}, 60));
  EXPECT_EQ(listener.changes.back(), "i1 gone");
}

// A read that hangs does not imply an outage if a new one succeeds immediately.
// An entry removed in the meantime belongs to an endpoint that has left.
TEST_F(catalog_follower_test, AHungReadIsNoOutageIfTheNextOneSucceeds) {
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  Wait(milliseconds(150));
  source_.Answer({read_outcome::unavailable, {}, 0, "reset"});
  WaitForRead();
  source_.Answer({read_outcome::history_lost, {}, 0, "410"});
  source_.Answer(Done({Record("i2")}, 60));
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
}

// The response that the history is lost contains no entries and must not end
// the outage.
TEST_F(catalog_follower_test, EntriesThatLapsedWithTheHistoryAreKept) {
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  source_.Answer({read_outcome::unavailable, {}, 0, "down"});
  Wait(milliseconds(80));
  WaitForRead();
  source_.Answer({read_outcome::history_lost, {}, 0, "410"});
  source_.Answer(Done({Record("i2")}, 60));
  Wait(milliseconds(150));
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
  Wait(milliseconds(300));
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
}

// The cost of catching up depends on the catalog, not on what was missed.
TEST_F(catalog_follower_test, ReadsAllInsteadOfAHistoryThatIsLonger) {
  catalog_read all = Done({Configuration(3), Record("i1")}, 40);
  all.received_bytes = 400'000;
  source_.Answer(std::move(all));
  EXPECT_EQ(source_.last_maximum_bytes, 800'000U);
  source_.Answer({read_outcome::too_long, {}, 0, "too large"});
  EXPECT_EQ(source_.all_reads, 2);
  all = Done({Configuration(9), Record("i2")}, 90);
  all.received_bytes = 20'000;
  source_.Answer(std::move(all));
  EXPECT_EQ(follower_.Routes()->Version(), 9);
  EXPECT_EQ(source_.last_revision, 90);
  // One new value may be larger than a small catalog.
  EXPECT_GE(source_.last_maximum_bytes, 256U * 1024U);
}

// A dead connection must not hide a change for longer than the bound.
// Changes that could not be decoded were read again and again.
TEST_F(catalog_follower_test, ReadsAllInsteadOfChangesThatCannotBeDecoded) {
  source_.Answer(Done({Record("i1")}, 40));
  WaitForRead();
  catalog_read undecodable{.error = "invalid JSON"};
  undecodable.is_undecodable = true;
  source_.Answer(std::move(undecodable));
  WaitForRead();
  EXPECT_EQ(source_.all_reads, 2);
  EXPECT_EQ(source_.change_reads, 1);
}

TEST_F(catalog_follower_test, AHungReadTimesOutWithinTheBound) {
  recording_listener listener;
  scripted_source source;
  catalog_follower follower{
      loop_, source, {.change_bound = milliseconds(2000)}, listener, log_};
  follower.Start();
  source.Answer(Done({Record("i1")}, 40));
  EXPECT_LT(source.last_timeout, milliseconds(2000));
}

// Reads with the full timeout delay the detection of the platform's recovery,
// but some are needed in case the platform is only slow.
TEST_F(catalog_follower_test, TimeoutsAreShortWhileThePlatformIsUnavailable) {
  source_.Answer(Done({Record("i1")}, 40));
  source_.Answer({read_outcome::unavailable, {}, 0, "no answer"});
  std::vector<milliseconds> timeouts;
  for (int i = 0; i < 40; ++i) {
    WaitForRead();
    timeouts.push_back(source_.last_timeout);
    source_.Answer({read_outcome::unavailable, {}, 0, "no answer"});
  }
  // The change bound is 100 ms here.
  const auto full =
      std::count(timeouts.begin(), timeouts.end(), milliseconds(50));
  const auto cut =
      std::count(timeouts.begin(), timeouts.end(), milliseconds(12));
  EXPECT_EQ(full + cut, 40);
  EXPECT_GT(full, 0);
  EXPECT_GT(cut, full);
}

// A snapshot read before another gateway reported a removal does not include
// the removal.
TEST_F(catalog_follower_test,
       AnOutdatedSnapshotDoesNotRestoreARemovedEndpoint) {
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  source_.Answer({read_outcome::history_lost, {}, 0, "410"});
  EXPECT_EQ(source_.all_reads, 2);
  follower_.OnPeerRead(
      {.after = 40, .revision = 44, .documents = {{44, "-i1"}}});
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
  source_.Answer(Done({Record("i1"), Record("i2")}, 42));
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i2")), nullptr);
}

// Engines that leave at the same time look like an outage, but must be out of
// use within the bound.
TEST_F(catalog_follower_test, ManySimultaneousRemovalsMeetTheBound) {
  source_.Answer(Done({Record("i1"), Record("i2"), Record("i3")}, 40));
  source_.Answer(Done({endpoint_removed{instance_id("i1")},
                       endpoint_removed{instance_id("i2")}},
                      44));
  Wait(milliseconds(200));
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
  EXPECT_EQ(follower_.Endpoints().FindUsable(instance_id("i2")), nullptr);
}

TEST_F(catalog_follower_test, IgnoresUnreadableEntries) {
  source_.Answer(Done({Configuration(3), Record("i1")}, 40));
  source_.Answer(Done({unreadable_entry{"op/config", "not JSON"}}, 41));
  EXPECT_EQ(follower_.Routes()->Version(), 3);
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i1")), nullptr);
}

// Responses to reads that were in flight when the process was suspended are
// ignored.
TEST_F(catalog_follower_test, IgnoresResponsesFromBeforeASuspension) {
  source_.Answer(Done({Configuration(3)}, 40));
  const auto stale = source_.pending;
  follower_.OnPaused(milliseconds(500));
  stale(Done({Configuration(4)}, 41));
  EXPECT_EQ(follower_.Routes()->Version(), 3);
  source_.Answer(Done({Configuration(5)}, 45));
  EXPECT_EQ(follower_.Routes()->Version(), 5);
}

// A large configuration keeps a small VM busy for longer than the pause that
// is noticed. Each time the read in flight was given up and all was read anew,
// so that none ended and confirmed changes stayed out of force.
TEST_F(catalog_follower_test, AReadOutlivesThePausesOfItsOwnProcess) {
  source_.Answer(Done({Configuration(3)}, 40));
  ASSERT_EQ(source_.change_reads, 1);
  for (int i = 0; i < 10; ++i) follower_.OnPaused(milliseconds(40));
  EXPECT_EQ(source_.all_reads, 1);
  EXPECT_EQ(source_.change_reads, 1);
  source_.Answer(Done({Configuration(4)}, 41));
  EXPECT_EQ(follower_.Routes()->Version(), 4);
}

TEST_F(catalog_follower_test, KeepsTheNewestVersionOfAnAdapter) {
  const adapter_name name{core::model_id("m"), core::adapter_id("a3")};
  source_.Answer(Done({adapter_version_announced{name, 4}}, 40));
  source_.Answer(Done({adapter_version_announced{name, 2}}, 41));
  EXPECT_EQ(follower_.VersionOf(name), 4);
  EXPECT_EQ(follower_.VersionOf({core::model_id("m"), core::adapter_id("x")}),
            0);
}

// Several processes: a few read and inform the others.

TEST_F(catalog_follower_test, AppliesBatchesOfOtherProcesses) {
  source_.Answer(Done({Record("i1")}, 40));
  follower_.OnPeerRead(
      {.after = 38, .revision = 44, .documents = {{39, "i0"}, {42, "i2"}}});
  EXPECT_EQ(listener_.changes,
            (std::vector<std::string>{"i1 added", "i2 added"}));
  // The process's own read, which was in flight, returns the same change.
  catalog_read read{read_outcome::done, {}, 44, ""};
  read.changes.push_back(source_.Decode({42, "i2"}));
  source_.Answer(std::move(read));
  EXPECT_EQ(listener_.changes.size(), 2U);
}

// The changes in the gap between the view and the batch would be lost.
TEST_F(catalog_follower_test, ABatchAfterAGapLeavesTheGapToBeRead) {
  source_.Answer(Done({Record("i1")}, 40));
  follower_.OnPeerRead(
      {.after = 41, .revision = 44, .documents = {{42, "i2"}}});
  catalog_read read{read_outcome::done, {}, 42, ""};
  read.changes.push_back(source_.Decode({41, "i0"}));
  read.changes.push_back(source_.Decode({42, "i2"}));
  source_.Answer(std::move(read));
  EXPECT_EQ(listener_.changes,
            (std::vector<std::string>{"i1 added", "i2 added", "i0 added"}));
  WaitForRead();
  EXPECT_EQ(source_.last_revision, 44);
}

TEST_F(catalog_follower_test, AnOlderBatchChangesNothing) {
  source_.Answer(Done({Record("i1")}, 40));
  follower_.OnPeerRead(
      {.after = 30, .revision = 39, .documents = {{35, "i0"}}});
  EXPECT_EQ(listener_.changes, std::vector<std::string>{"i1 added"});
}

// A large batch takes longer than a small one after it, which comes another
// way.
TEST_F(catalog_follower_test, BatchesInAnyOrderLeaveNoGap) {
  source_.Answer(Done({Configuration(3), Record("i1")}, 40));
  Wait(milliseconds(60));
  follower_.OnPeerRead(
      {.after = 45, .revision = 50, .documents = {{48, "-i1"}}});
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
  EXPECT_GE(follower_.Age(), milliseconds(60));
  follower_.OnPeerRead(
      {.after = 40, .revision = 45, .documents = {{44, "i1"}}});
  // The older change does not undo the later one.
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
  EXPECT_LT(follower_.Age(), milliseconds(60));
  WaitForRead();
  source_.Answer({read_outcome::unavailable, {}, 0, "no answer"});
  WaitForRead();
  EXPECT_EQ(source_.last_revision, 50);
}

// A gateway that cannot read the platform knows what was written after its gap.
TEST_F(catalog_follower_test, ChangesAfterAGapAreInForceAtOnce) {
  source_.Answer(Done({Configuration(3), Record("i1")}, 40));
  follower_.OnPeerRead(
      {.after = 60, .revision = 64, .documents = {{61, "=7"}, {63, "i2"}}});
  EXPECT_EQ(follower_.Routes()->Version(), 7);
  EXPECT_EQ(listener_.changes.back(), "i2 added");
  // The list that is read later is older.
  source_.Answer({read_outcome::history_lost, {}, 0, "410"});
  source_.Answer(Done({Configuration(6), Record("i1")}, 62));
  EXPECT_EQ(follower_.Routes()->Version(), 7);
  EXPECT_NE(follower_.Endpoints().FindUsable(instance_id("i2")), nullptr);
  EXPECT_EQ(source_.last_revision, 64);
}

// A departure waited for the versions of a large configuration before it, in
// a read that took longer than the bound allows for.
TEST_F(catalog_follower_test, EndpointsAreReadBesideARead) {
  follower_.SetReaderRank(9);
  source_.Answer(Done({Record("i1"), Record("i2")}, 40));
  ASSERT_NE(source_.pending, nullptr);
  // The limit of the bound of 100 ms; ticks come each 100 ms.
  ASSERT_TRUE(loop_.RunUntil([&] { return source_.endpoint_reads > 0; },
                             milliseconds(200)));
  EXPECT_EQ(source_.endpoint_query.after_revision, 40);
  EXPECT_EQ(source_.endpoint_query.wait, milliseconds(0));
  catalog_read read{read_outcome::done, {}, 60, ""};
  read.changes.push_back(source_.Decode({55, "-i1"}));
  source_.pending_endpoints(std::move(read));
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
  // It tells nothing of the configuration, and is not passed on.
  EXPECT_GE(follower_.Age(), milliseconds(30));
  EXPECT_TRUE(listener_.batches.empty());
  read = Done({}, 58);
  read.changes.push_back(source_.Decode({50, "i1"}));
  read.changes.push_back(source_.Decode({55, "-i1"}));
  source_.Answer(std::move(read));
  EXPECT_EQ(listener_.changes.back(), "i1 gone");
  WaitForRead();
  EXPECT_EQ(source_.last_revision, 58);
}

TEST_F(catalog_follower_test, AFailedReadOfEndpointsIsRepeated) {
  source_.Answer(Done({Record("i1")}, 40));
  for (int i = 1; i <= 3; ++i) {
    ASSERT_TRUE(loop_.RunUntil([&] { return source_.endpoint_reads == i; },
                               milliseconds(300)));
    source_.pending_endpoints({read_outcome::unavailable, {}, 0, "no answer"});
  }
  EXPECT_NE(source_.pending, nullptr);
  EXPECT_EQ(follower_.Statistics().failed_reads, 3U);
}

// A batch that was delayed by a suspension of the process does not confirm the
// current state.
TEST_F(catalog_follower_test, AddsASuspensionToTheAgeOfDelayedBatches) {
  source_.Answer(Done({Record("i1")}, 40));
  Wait(milliseconds(60));
  follower_.OnPaused(milliseconds(3000));
  follower_.OnPeerRead({.after = 40, .revision = 41});
  EXPECT_GE(follower_.Age(), milliseconds(60));
  Wait(milliseconds(150));
  follower_.OnPeerRead({.after = 41, .revision = 42});
  EXPECT_LT(follower_.Age(), milliseconds(60));
}

TEST_F(catalog_follower_test, ANonReaderReadsWithoutConfirmations) {
  source_.Answer(Done({Record("i1")}, 40));
  follower_.SetReaderRank(9);
  source_.Answer(Done({}, 41));
  const int reads = source_.change_reads;
  const auto start = loop_.Now();
  std::int64_t revision = 41;
  while (loop_.Now() - start < milliseconds(200)) {
    follower_.OnPeerRead({.after = revision, .revision = revision + 1});
    ++revision;
    Wait(milliseconds(2));
  }
  EXPECT_EQ(source_.change_reads, reads);
  WaitForRead();
  EXPECT_EQ(source_.change_reads, reads + 1);
  EXPECT_EQ(source_.last_revision, revision);
}

// A confirmed change stayed out of force: a response that took long to arrive
// counted as the state at its arrival, so that the next read waited.
TEST_F(catalog_follower_test, AResponseThatArrivesLateIsAsOldAsItsRead) {
  follower_.SetReaderRank(9);
  source_.Answer(Done({Record("i1")}, 40));
  Wait(milliseconds(150));
  source_.Answer(Done({Record("i2")}, 41));
  EXPECT_GE(follower_.Age(), milliseconds(150));
  ASSERT_FALSE(listener_.batches.empty());
  EXPECT_GE(listener_.batches.back().age, milliseconds(150));
  // The limit for a process without confirmation is at most 60 ms here.
  EXPECT_NE(source_.pending, nullptr);
}

// The same for the whole catalog, from which the grace periods follow too.
TEST_F(catalog_follower_test, ACatalogThatArrivesLateIsAsOldAsItsRead) {
  Wait(milliseconds(150));
  source_.Answer(Done({Record("i1")}, 40));
  EXPECT_GE(follower_.Age(), milliseconds(150));
}

// A platform without changes answers a read at the end of its wait.
TEST_F(catalog_follower_test, AReadThatWaitedInVainKnowsTheEndOfItsWait) {
  source_.Answer(Done({Record("i1")}, 40));
  // The wait is 25 ms here.
  Wait(milliseconds(40));
  source_.Answer(Done({}, 40));
  EXPECT_GE(follower_.Age(), milliseconds(15));
  EXPECT_LT(follower_.Age(), milliseconds(40));
}

// Heartbeats are not relayed to other processes.
TEST_F(catalog_follower_test, RelaysOnlyRelevantChanges) {
  source_.Answer(Done({Record("i1")}, 40));
  catalog_read read{read_outcome::done, {}, 43, ""};
  read.changes.push_back(source_.Decode({42, "i1"}));
  read.changes.push_back(source_.Decode({43, "i2"}));
  source_.Answer(std::move(read));
  ASSERT_EQ(listener_.batches.size(), 1U);
  EXPECT_EQ(listener_.batches[0].after, 40);
  EXPECT_EQ(listener_.batches[0].revision, 43);
  ASSERT_EQ(listener_.batches[0].documents.size(), 1U);
  EXPECT_EQ(listener_.batches[0].documents[0].text, "i2");
}

// The platform is restored from a copy: a later era, earlier revisions.

class restored_follower_test : public catalog_follower_test {
 protected:
  /** A successful read with the changes that `Decode` understands. */
  catalog_read Read(std::int64_t era, std::int64_t revision,
                    const std::vector<change_document>& documents = {}) const {
    catalog_read read{read_outcome::done, {}, revision, ""};
    read.era = era;
    for (const auto& document : documents) {
      read.changes.push_back(source_.Decode(document));
    }
    return read;
  }
  static catalog_read Failed(read_outcome outcome, std::int64_t era) {
    catalog_read read{outcome, {}, 0, "failed"};
    read.era = era;
    return read;
  }
  bool IsUsable(const char* name) const {
    return follower_.Endpoints().FindUsable(instance_id(name)) != nullptr;
  }
  bool IsReadPending() const { return source_.pending != nullptr; }
};

// A confirmed change stayed out of force until the restored history had passed
// the revision of the one before.
TEST_F(restored_follower_test, ASnapshotOfALaterEraIsNotOutdated) {
  source_.Answer(Read(1, 147, {{140, "=9"}, {141, "i1"}}));
  source_.Answer(Failed(read_outcome::history_lost, 2));
  source_.Answer(Read(2, 90, {{80, "=7"}, {81, "i1"}, {89, "i2"}}));
  EXPECT_EQ(source_.last_revision, 90);
  EXPECT_EQ(follower_.Routes()->Version(), 9);
  EXPECT_TRUE(IsUsable("i2"));
  source_.Answer(Read(2, 93, {{92, "=11"}, {93, "i3"}}));
  EXPECT_EQ(follower_.Routes()->Version(), 11);
  EXPECT_TRUE(IsUsable("i3"));
  WaitForRead();
  EXPECT_EQ(source_.last_revision, 93);
}

// The revision of the new era may have passed that of the one before.
TEST_F(restored_follower_test, ChangesOfALaterEraAreNotTakenForMissedOnes) {
  source_.Answer(Read(1, 147, {{140, "=9"}, {141, "i1"}}));
  source_.Answer(Read(2, 160, {{155, "-i1"}}));
  EXPECT_TRUE(IsUsable("i1"));
  EXPECT_TRUE(listener_.batches.empty());
  EXPECT_EQ(source_.all_reads, 2);
  source_.Answer(Read(2, 161, {{150, "=11"}, {81, "i1"}}));
  EXPECT_EQ(follower_.Routes()->Version(), 11);
}

TEST_F(restored_follower_test, LateResponsesOfAnEarlierEraAreIgnored) {
  source_.Answer(Read(2, 90, {{80, "=7"}, {81, "i1"}}));
  source_.Answer(Read(1, 150, {{149, "-i1"}}));
  EXPECT_TRUE(IsUsable("i1"));
  EXPECT_FALSE(IsReadPending());
  WaitForRead();
  EXPECT_EQ(source_.last_revision, 90);
  source_.Answer(Failed(read_outcome::history_lost, 1));
  EXPECT_FALSE(IsReadPending());
  WaitForRead();
  EXPECT_EQ(source_.all_reads, 1);
  source_.Answer(Failed(read_outcome::history_lost, 2));
  source_.Answer(Read(1, 150, {{149, "i2"}}));
  EXPECT_FALSE(IsUsable("i2"));
  EXPECT_FALSE(IsReadPending());
  WaitForRead();
  EXPECT_EQ(source_.all_reads, 3);
  source_.Answer(Read(2, 95, {{94, "i1"}}));
  EXPECT_EQ(source_.last_revision, 95);
}

TEST_F(restored_follower_test, AResponseWithoutAnEraBelongsToTheKnownOne) {
  source_.Answer(Read(2, 90, {{80, "=7"}}));
  source_.Answer(Read(0, 93, {{92, "=9"}}));
  EXPECT_EQ(follower_.Routes()->Version(), 9);
  ASSERT_EQ(listener_.batches.size(), 1U);
  EXPECT_EQ(listener_.batches[0].Position(), (catalog_position{2, 93}));
  WaitForRead();
  source_.Answer(Failed(read_outcome::history_lost, 0));
  source_.Answer(Read(0, 95, {{94, "=11"}}));
  EXPECT_EQ(follower_.Routes()->Version(), 11);
  EXPECT_EQ(source_.last_revision, 95);
}

// Also refusals tell the era; a watch would cost a call and be refused.
TEST_F(restored_follower_test, AFailureOfALaterEraIsFollowedByAFullRead) {
  source_.Answer(Read(1, 147, {{140, "=9"}}));
  source_.Answer(Failed(read_outcome::throttled, 2));
  WaitForRead();
  EXPECT_EQ(source_.all_reads, 2);
  EXPECT_EQ(source_.change_reads, 1);
}

TEST_F(restored_follower_test, OtherProcessesAreToldOfALaterEraAtOnce) {
  source_.Answer(Read(1, 147, {{140, "=9"}, {141, "i1"}}));
  source_.Answer(Failed(read_outcome::history_lost, 2));
  source_.Answer(Read(2, 90, {{80, "=7"}, {81, "i1"}}));
  ASSERT_EQ(listener_.batches.size(), 1U);
  EXPECT_EQ(listener_.batches[0].After(), (catalog_position{2, 90}));
  EXPECT_EQ(listener_.batches[0].Position(), (catalog_position{2, 90}));
  EXPECT_TRUE(listener_.batches[0].documents.empty());
  ASSERT_TRUE(listener_.batches[0].last_outage);
  EXPECT_EQ(listener_.batches[0].last_outage->position,
            (catalog_position{2, 90}));
}

TEST_F(restored_follower_test, EndpointsThatTheCopyLacksHaveTimeToReregister) {
  source_.Answer(Read(1, 147, {{141, "i1"}, {142, "i2"}, {143, "i3"}}));
  source_.Answer(Failed(read_outcome::history_lost, 2));
  source_.Answer(Read(2, 90, {{81, "i1"}}));
  EXPECT_TRUE(IsUsable("i2"));
  EXPECT_TRUE(IsUsable("i3"));
  source_.Answer(Read(2, 95, {{94, "i2"}}));
  ASSERT_TRUE(
      loop_.RunUntil([&] { return !IsUsable("i3"); }, milliseconds(2000)));
  EXPECT_TRUE(IsUsable("i2"));
}

TEST_F(restored_follower_test, AnEndpointThatLeftDoesNotComeBackWithTheCopy) {
  source_.Answer(Read(1, 140, {{80, "i1"}, {81, "i2"}}));
  source_.Answer(Read(1, 147, {{145, "-i1"}}));
  WaitForRead();
  source_.Answer(Failed(read_outcome::history_lost, 2));
  source_.Answer(Read(2, 90, {{80, "i1"}, {81, "i2"}}));
  EXPECT_FALSE(IsUsable("i1"));
  EXPECT_TRUE(IsUsable("i2"));
  source_.Answer(Read(2, 95, {{94, "i1"}}));
  EXPECT_TRUE(IsUsable("i1"));
}

TEST_F(restored_follower_test, TwoRestorationsInARowAreFollowed) {
  source_.Answer(Read(1, 147, {{140, "=9"}, {141, "i1"}}));
  source_.Answer(Failed(read_outcome::history_lost, 2));
  source_.Answer(Read(3, 60, {{50, "=5"}}));
  EXPECT_TRUE(IsUsable("i1"));
  source_.Answer(Read(4, 55, {}));
  WaitForRead();
  source_.Answer(Read(4, 57, {{56, "=11"}, {57, "i1"}}));
  EXPECT_EQ(follower_.Routes()->Version(), 11);
  EXPECT_EQ(source_.last_revision, 57);
  EXPECT_TRUE(IsUsable("i1"));
}

TEST_F(restored_follower_test, ABatchOfALaterEraIsFollowedByAFullRead) {
  source_.Answer(Read(1, 147, {{140, "=9"}, {141, "i1"}, {142, "i2"}}));
  source_.pending = nullptr;
  follower_.OnPeerRead({.after = 90, .revision = 90, .era = 2});
  // Only the first batch of an era causes a read.
  const int reads = source_.all_reads;
  const change_batch next{.after = 90,
                          .revision = 95,
                          .documents = {{92, "=11"}, {93, "-i1"}, {94, "i3"}},
                          .era = 2};
  follower_.OnPeerRead(next);
  follower_.OnPeerRead(next);
  EXPECT_EQ(follower_.Routes()->Version(), 11);
  EXPECT_FALSE(IsUsable("i1"));
  EXPECT_TRUE(IsUsable("i3"));
  WaitForRead();
  EXPECT_EQ(source_.all_reads, reads + 1);
  // The snapshot is older than the batch.
  source_.Answer(Read(2, 91, {{80, "=7"}, {70, "i1"}, {71, "i2"}}));
  EXPECT_EQ(source_.last_revision, 91);
  EXPECT_EQ(follower_.Routes()->Version(), 11);
  EXPECT_FALSE(IsUsable("i1"));
  EXPECT_TRUE(IsUsable("i2"));
  EXPECT_TRUE(IsUsable("i3"));
}

// A process that cannot reach the platform still gets what only rises.
TEST_F(restored_follower_test, AProcessThatIsCutOffAppliesWhatOnlyRises) {
  source_.Answer(Read(1, 147, {{140, "=9"}, {141, "i1"}}));
  source_.Answer(Failed(read_outcome::unavailable, 0));
  std::int64_t revision = 90;
  for (std::int64_t version = 10; version < 20; ++version) {
    WaitForRead();
    source_.Answer(Failed(read_outcome::unavailable, 0));
    follower_.OnPeerRead(
        {.after = revision,
         .revision = revision + 2,
         .documents = {{revision + 1, '=' + std::to_string(version)}},
         .era = 2});
    revision += 2;
    EXPECT_EQ(follower_.Routes()->Version(), version);
  }
  EXPECT_TRUE(IsUsable("i1"));
}

TEST_F(restored_follower_test, BatchesOfAnEarlierOrUnknownEraAreIgnored) {
  source_.Answer(Read(2, 90, {{80, "=7"}, {81, "i1"}}));
  for (const std::int64_t era : {1, 0}) {
    follower_.OnPeerRead({.after = 90,
                          .revision = 150,
                          .documents = {{149, "-i1"}, {150, "=8"}},
                          .era = era});
    EXPECT_TRUE(IsUsable("i1"));
    EXPECT_EQ(follower_.Routes()->Version(), 7);
  }
  follower_.OnPeerRead(
      {.after = 90, .revision = 93, .documents = {{92, "=9"}}, .era = 2});
  EXPECT_EQ(follower_.Routes()->Version(), 9);
}

// Once a later era is heard of, those of the view confirm nothing.
TEST_F(restored_follower_test, ABatchOfTheFormerEraDoesNotDelayTheFullRead) {
  source_.Answer(Read(1, 147, {{140, "=9"}}));
  follower_.OnPeerRead({.after = 90, .revision = 90, .era = 3});
  follower_.OnPeerRead(
      {.after = 147, .revision = 150, .documents = {{149, "=10"}}, .era = 1});
  follower_.OnPeerRead(
      {.after = 70, .revision = 75, .documents = {{72, "=10"}}, .era = 2});
  EXPECT_EQ(follower_.Routes()->Version(), 9);
  // The read in flight was answered before the restoration.
  source_.Answer(Read(1, 151, {{151, "=10"}}));
  EXPECT_EQ(follower_.Routes()->Version(), 9);
  WaitForRead();
  EXPECT_EQ(source_.all_reads, 2);
}

// Calls are priced and limited; a store that refuses was asked without a pause.
RC_GTEST_FIXTURE_PROP(restored_follower_test, ReadsAreBoundedWhateverTheyYield,
                      (const std::vector<std::uint8_t>& outcomes)) {
  // A pause is at least half of the first retry delay; it is followed by a
  // full read and a read of changes at most, and some follow a first failure.
  constexpr milliseconds kTime{60};
  constexpr int kReadsPerPause = 2;
  constexpr int kReadsAtOnce = 4;
  const auto started = loop_.Now();
  std::size_t next = 0;
  std::int64_t era = 1;
  std::int64_t revision = 100;
  while (loop_.Now() - started < kTime) {
    loop_.RunUntil([&] { return IsReadPending(); }, milliseconds(5));
    if (!IsReadPending()) continue;
    const int outcome =
        outcomes.empty() ? 0 : outcomes[next++ % outcomes.size()] % 8;
    revision += outcome % 2;
    switch (outcome) {
      case 0:
      case 1:
        source_.Answer(Read(era, revision, {{revision, "i1"}}));
        break;
      case 2:
        source_.Answer(Failed(read_outcome::history_lost, era));
        break;
      case 3:
        source_.Answer(Failed(read_outcome::throttled, era));
        break;
      case 4:
        source_.Answer(Read(era, revision - 50));
        break;
      case 5:
        source_.Answer(Read(era - 1, revision + 50));
        break;
      case 6:
        source_.Answer(Read(++era, revision -= 20));
        break;
      default:
        source_.Answer(Failed(read_outcome::history_lost, 0));
        break;
    }
  }
  const auto pauses =
      core::ToMilliseconds(loop_.Now() - started) / milliseconds(2);
  RC_ASSERT(source_.all_reads + source_.change_reads <=
            kReadsAtOnce + kReadsPerPause * static_cast<int>(pauses));
}

}  // namespace
}  // namespace comfreyspring::catalog

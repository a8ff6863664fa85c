// Runs several gateways and sidecars as real processes before a store that is
// away for a moment and comes back from a copy some seconds old. What was
// written in the lost seconds is written again some time later.

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using core::time_point;

constexpr int kGateways = 4;
constexpr int kEngines = 2;

// Endpoints of the plain service, by what happens in the lost seconds.
constexpr int kStays = kEngines;
constexpr int kAnnouncesLeaving = kEngines + 1;
constexpr int kJoins = kEngines + 2;
constexpr int kIsRemoved = kEngines + 3;
constexpr int kPlain = 4;

constexpr milliseconds kLoadPeriod{15};
/** Time within which a change is in force (ConfigApplyMs, DrainMs). */
constexpr milliseconds kChangeBound{2000};
constexpr milliseconds kOutage{700};
/** Endpoints write their entries again after a restore. */
constexpr milliseconds kReregistration{1000};
/** The copy's entry of an endpoint that has ended expires. */
constexpr milliseconds kExpiry{1800};
/** One read of everything, and one more if the first one fails. */
constexpr int kFullReadsPerGateway = 2;

class store_restore_test : public small_fleet_test {
 protected:
  store_restore_test()
      : small_fleet_test({.name = "store_restore",
                          .gateways = kGateways,
                          .engines = kEngines,
                          .plain = kPlain}) {}

  void SetUp() override {
    small_fleet_test::SetUp();
    store_.Remove("servers/" + Engine(kJoins).Instance());
    Engine(kJoins).Start("joined");
    load_timer_ = loop_.SchedulePeriodic(kLoadPeriod, [this] {
      for (const std::string& route : loaded_) {
        routes_[Send(route, sent_ % kGateways)] = route;
      }
    });
    Configure(2, {"second"});
    Wait(kChangeBound);
    loaded_.emplace_back("second");
  }

  void TearDown() override {
    loop_.Cancel(load_timer_);
    small_fleet_test::TearDown();
  }

  void Prepare(engine_stand_in& engine) override {
    engine.on_arrival = [this, &engine](const std::string& /*id*/) {
      arrivals_[engine.Instance()].push_back(loop_.Now());
    };
  }

  // What the operator and the endpoints write.

  /** The configuration is acknowledged now. */
  void Configure(std::int64_t version, const std::vector<std::string>& added) {
    PutConfiguration({.version = version, .added = added});
    for (const std::string& route : added) {
      acknowledged_.try_emplace(route, loop_.Now());
    }
  }
  /** Writes what the store is going to lose. */
  void WriteInLostSeconds() {
    copied_at_ = loop_.Now();
    Wait(milliseconds(200));
    Configure(3, {"second", "third"});
    Register(kJoins);
    Register(kAnnouncesLeaving, "draining");
    store_.Remove("servers/" + Engine(kIsRemoved).Instance());
    left_at_ = loop_.Now();
    Wait(kChangeBound);
    loaded_.emplace_back("third");
    Wait(milliseconds(300));
  }
  void RestoreAfterOutage() {
    store_.SetMode(store_mode::unavailable);
    Wait(kOutage);
    store_.Restore(core::ToMilliseconds(loop_.Now() - copied_at_));
  }
  void ReturnToService() {
    store_.SetMode(store_mode::up);
    calls_before_ = store_.Calls();
    full_reads_before_ = store_.FullReads();
    returned_at_ = loop_.Now();
    loop_.Schedule(kReregistration, [this] {
      Register(kJoins);
      Register(kAnnouncesLeaving, "draining");
    });
    loop_.Schedule(kExpiry, [this] {
      store_.Remove("servers/" + Engine(kIsRemoved).Instance());
    });
  }
  void StopLoad() {
    loop_.Cancel(load_timer_);
    WaitForAnswers();
  }

  // Checks.

  /** Sends to each gateway at the end of the bound. */
  void ExpectInForce(const std::string& route) {
    Wait(core::ToMilliseconds(acknowledged_.at(route) + kChangeBound -
                              loop_.Now()));
    std::vector<std::string> ids;
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      ids.push_back(Send(route, gateway));
    }
    Wait(milliseconds(500));
    for (const std::string& id : ids) {
      EXPECT_EQ(StatusOf(id), 200) << route << " at gateway " << GatewayOf(id);
    }
    loaded_.push_back(route);
  }
  int StatusOf(const std::string& id) const {
    for (const fleet_outcome& each : outcomes_) {
      if (each.id == id) return each.status;
    }
    return 0;
  }
  /** All routes of the load are in force. */
  void ExpectNoChangeTakenBack() const {
    std::map<std::string, int> unknown;
    for (const fleet_outcome& each : outcomes_) {
      const auto route = routes_.find(each.id);
      if (route != routes_.end() && each.status == 404)
        ++unknown[route->second];
    }
    for (const auto& [route, count] : unknown) {
      ADD_FAILURE() << count << " requests were told that there is no route "
                    << route;
    }
  }
  std::size_t ArrivalsBetween(int index, time_point begin, time_point end) {
    std::size_t count = 0;
    for (const time_point at : arrivals_[Engine(index).Instance()]) {
      if (at >= begin && at < end) ++count;
    }
    return count;
  }
  void ExpectEndpointsUsedAsTheyAre() {
    const auto out_of_use = left_at_ + kChangeBound;
    EXPECT_EQ(ArrivalsBetween(kIsRemoved, out_of_use, loop_.Now()), 0U)
        << "the endpoint has left";
    EXPECT_EQ(ArrivalsBetween(kAnnouncesLeaving, out_of_use, loop_.Now()), 0U)
        << "the endpoint has announced that it leaves";
    constexpr milliseconds kStep{500};
    for (auto at = returned_at_; at + kStep < loop_.Now(); at += kStep) {
      EXPECT_GT(ArrivalsBetween(kJoins, at, at + kStep), 0U)
          << "at " << core::ToMilliseconds(at - returned_at_).count()
          << " ms after the restore";
      EXPECT_GT(ArrivalsBetween(kStays, at, at + kStep), 0U);
    }
  }
  void ExpectFewReads() const {
    const int full_reads = store_.FullReads() - full_reads_before_;
    std::cout << "after the restore: " << full_reads << " full reads, "
              << store_.Calls() - calls_before_ << " calls in "
              << core::ToMilliseconds(loop_.Now() - returned_at_).count()
              << " ms" << std::endl;
    EXPECT_LE(full_reads, kGateways * kFullReadsPerGateway);
  }
  void ExpectAllKept() {
    StopLoad();
    ExpectNoChangeTakenBack();
    ExpectEndpointsUsedAsTheyAre();
    ExpectFewReads();
  }

  std::vector<std::string> loaded_{"order"};
  std::map<std::string, std::string> routes_;
  std::map<std::string, std::vector<time_point>> arrivals_;
  std::map<std::string, time_point> acknowledged_;
  time_point copied_at_;
  time_point left_at_;
  time_point returned_at_;
  int calls_before_ = 0;
  int full_reads_before_ = 0;
  net::timer_id load_timer_ = 0;
};

// Guards against changes that are not in force in time after a restore because
// their revisions are at or below those known before it.
TEST_F(store_restore_test, ChangesAfterARestoreAreInForceInTime) {
  WriteInLostSeconds();
  RestoreAfterOutage();
  ReturnToService();
  Wait(milliseconds(800));
  Configure(3, {"second", "third"});
  Wait(milliseconds(200));
  Configure(4, {"second", "third", "fourth"});
  ExpectInForce("fourth");
  Configure(6, {"second", "third", "fourth", "fifth"});
  ExpectInForce("fifth");
  ExpectAllKept();
}

// Guards against readers that go on in the new history from their position in
// the old one, and miss what is written before that position.
TEST_F(store_restore_test,
       AHistoryThatIsPastTheKnownPositionIsReadFromItsStart) {
  WriteInLostSeconds();
  const std::int64_t known = store_.Revision();
  RestoreAfterOutage();
  Configure(3, {"second", "third"});
  Configure(4, {"second", "third", "fourth"});
  while (store_.Revision() < known + 5) Register(kStays);
  ReturnToService();
  ExpectInForce("fourth");
  Configure(5, {"second", "third", "fourth", "fifth"});
  ExpectInForce("fifth");
  ExpectAllKept();
}

// Guards against a second restore that is taken for the first one.
TEST_F(store_restore_test, ChangesAfterTwoRestoresAreInForceInTime) {
  WriteInLostSeconds();
  RestoreAfterOutage();
  ReturnToService();
  Wait(milliseconds(600));
  Configure(3, {"second", "third"});
  Wait(milliseconds(600));
  RestoreAfterOutage();
  ReturnToService();
  Wait(milliseconds(500));
  Configure(3, {"second", "third"});
  Configure(4, {"second", "third", "fourth"});
  ExpectInForce("fourth");
  ExpectAllKept();
}

}  // namespace
}  // namespace comfreyspring::process_test

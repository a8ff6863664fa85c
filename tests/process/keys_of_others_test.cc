// Another writer puts items beside the operator's and the endpoints' into the
// store, under keys of any bytes.

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "small_fleet.h"

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

constexpr int kGateways = 2;
constexpr int kPlain = 3;
constexpr int kRequests = 24;
/** Time within which a change is in force (ConfigApplyMs). */
constexpr milliseconds kChangeBound{2000};
/** Memory that a process may use at the target size. */
constexpr long kMaximumKib = 128 * 1024;
constexpr milliseconds kListingTime{4000};

/** Without their families. */
std::vector<std::string> OddKeys() {
  return {// As in the record of the incident.
          "a00%20", "a01%20zz", "a01%20", "a02&b=", "a03+", "a04%C3%A9",
          // Texts that decode to a key that sorts later or earlier.
          "%7E", "%7e%7E", "~%21", "z%00", "%25", "%", "%2",
          "a=b&after=", "&after", "\u00e9", "\u4e2d\u6587", "\U0001F600",
          std::string(190, '~'), std::string(190, ' ')};
}

/** One for each byte that a key in JSON may hold by itself. */
std::vector<std::string> KeysOfEachByte() {
  std::vector<std::string> keys;
  for (int byte = 0; byte < 0x80; ++byte) {
    keys.push_back(std::string("k") + static_cast<char>(byte));
  }
  return keys;
}

class keys_of_others_test : public small_fleet_test {
 protected:
  keys_of_others_test()
      : small_fleet_test({.name = "keys_of_others",
                          .gateways = kGateways,
                          .engines = 0,
                          .plain = kPlain}) {}

  void Prepare(engine_stand_in& engine) override {
    engine.on_arrival = [this, &engine](const std::string&) {
      ++arrivals_[engine.Instance()];
    };
  }

  void PutKeysOfOthers() {
    const json value = {{"Owner", "backup"}, {"State", "idle"}};
    for (const std::string& key : OddKeys()) {
      for (const char* family : {"", "op/", "op/version/", "servers/"}) {
        store_.Put(family + key, value);
      }
    }
    for (const std::string& key : KeysOfEachByte()) {
      store_.Put("servers/" + key, value);
    }
  }
  /** Callers of all gateways are served, by all endpoints. */
  void ExpectService(const std::string& route) {
    outcomes_.clear();
    sent_ = 0;
    arrivals_.clear();
    for (int i = 0; i < kRequests; ++i) {
      Send(route, i % kGateways);
      Wait(milliseconds(20));
    }
    WaitForAnswers();
    for (const fleet_outcome& outcome : outcomes_) {
      EXPECT_EQ(outcome.status, 200) << outcome.id;
    }
    EXPECT_EQ(arrivals_.size(), static_cast<std::size_t>(kPlain));
  }
  std::string LogOf(int gateway) const {
    std::ifstream file(directory_ /
                       ("gateway-" + std::to_string(gateway) + ".log"));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  int CountInLog(int gateway, const std::string& text) const {
    const std::string log = LogOf(gateway);
    int count = 0;
    for (std::size_t at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1)) {
      ++count;
    }
    return count;
  }

  /** Requests that arrived, by instance. */
  std::map<std::string, int> arrivals_;
};

// Guards against gateways that never read the catalog after a restart, because
// the key at the end of a page was put into the URL of the next one.
TEST_F(keys_of_others_test, GatewaysThatStartReadTheWholeCatalog) {
  PutKeysOfOthers();
  for (const std::size_t items : {std::size_t{1}, std::size_t{2}}) {
    store_.SetPageItems(items);
    for (int i = 0; i < kGateways; ++i) StartGateway(i);
    for (int i = 0; i < kGateways; ++i) WaitUntilReady(i);
    ExpectService("order");
  }
}

// Guards against gateways that do not adopt changes any more once the history
// of the platform is lost, for the same cause.
TEST_F(keys_of_others_test, GatewaysThatRunReadTheWholeCatalog) {
  PutKeysOfOthers();
  store_.SetPageItems(1);
  PutConfiguration({.version = 2, .added = {"added"}});
  store_.ForgetHistory();
  Wait(kChangeBound);
  ExpectService("added");
}

// Guards against requests to endpoints whose ids end the line of their header.
TEST_F(keys_of_others_test, IdsThatNoHeaderHoldsNameNoEndpoints) {
  for (const char* id : {"", "i-9\r\nHold: 1", "i-9\x01", "i-9\x7f"}) {
    store_.Put(std::string("servers/") + id,
               {{"Service", "plain"},
                {"Addr", fleet_layout::At(layout_.EndpointRelay(0),
                                          fleet_layout::kEndpointPort)},
                {"Zone", "z"},
                {"Slots", 8},
                {"State", "ready"}});
  }
  Wait(kChangeBound);
  ExpectService("order");
  for (int i = 0; i < kGateways; ++i) {
    EXPECT_EQ(LogOf(i).find("\"attempt_failed\""), std::string::npos);
    EXPECT_EQ(CountInLog(i, "no header can hold the id"), 4);
  }
}

// Guards against requests with a header line that the name of their tenant has
// added.
TEST_F(keys_of_others_test, ATenantThatNoHeaderHoldsIsNotAdopted) {
  store_.Put("op/config", {{"Version", 2},
                           {"Routes", json::array()},
                           {"Services", json::array()},
                           {"Tenants", {{{"Name", "t\r\nHold: 1"}}}}});
  Wait(kChangeBound);
  ExpectService("order");
  for (int i = 0; i < kGateways; ++i) {
    EXPECT_EQ(CountInLog(i, "no header can hold the name of a tenant"), 1);
  }
  PutConfiguration({.version = 3, .added = {"added"}});
  Wait(kChangeBound);
  ExpectService("added");
}

// Guards against gateways that keep the pages of a list that goes round until
// they are ended for their memory.
TEST_F(keys_of_others_test, AListThatGoesRoundIsGivenUp) {
  for (const char* key : {"0a", "0b", "0c", "0d"}) {
    store_.Put(std::string("servers/") + key,
               {{"Owner", std::string(600'000, 'x')}});
  }
  store_.SetPageItems(1);
  store_.RestartListsAfter("servers/0d");
  StartGateway(0);
  Wait(kListingTime);
  EXPECT_FALSE(Gateway(0).HasEnded());
  EXPECT_LT(Gateway(0).PeakResidentKib(), kMaximumKib);
  EXPECT_NE(LogOf(0).find("\"catalog_read_failed\""), std::string::npos);
  store_.RestartListsAfter("");
  WaitUntilReady(0);
  ExpectService("order");
}

}  // namespace
}  // namespace comfreyspring::process_test

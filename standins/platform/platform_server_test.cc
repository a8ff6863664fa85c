#include "standins/platform/platform_server.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "config/config_test_sets.h"
#include "sheet/document_directory.h"
#include "standins/test_client.h"

namespace comfreyspring::standins {
namespace {

using nlohmann::json;

constexpr core::milliseconds kTimeout{5000};

class platform_server_test : public ::testing::Test {
 protected:
  using call_pointer = std::shared_ptr<test_client::running_call>;

  void Start(const platform_options& options = {}) {
    server_ = std::make_unique<platform_server>(loop_, options);
    client_ = std::make_unique<test_client>(loop_, server_->Port());
  }

  int Status(const std::string& method, const std::string& path,
             const std::string& body = "") {
    return client_->Call(method, path, body)->status;
  }

  void Call(const std::string& method, const std::string& path,
            const std::string& body) {
    EXPECT_EQ(Status(method, path, body), 200);
  }

  json Get(const std::string& path) { return client_->Get(path); }

  net::event_loop loop_;
  std::unique_ptr<platform_server> server_;
  std::unique_ptr<test_client> client_;
};

TEST_F(platform_server_test, StoresValuesWithRevisions) {
  Start();
  EXPECT_EQ(Status("GET", "/config/manifest"), 404);
  EXPECT_EQ(Status("PUT", "/standin/config/part/ab", "x\"\\\n"), 200);
  EXPECT_EQ(Get("/config/part/ab")["value"], "x\"\\\n");
  EXPECT_EQ(Get("/config/part/ab")["revision"], 1);
  EXPECT_EQ(Status("GET", "/elsewhere"), 404);
}

TEST_F(platform_server_test, HoldsValuesOfOneMegabyteAndNoMore) {
  Start();
  const std::string value(kMaximumValueBytes, 'v');
  EXPECT_EQ(Status("PUT", "/standin/config/big", value), 200);
  EXPECT_EQ(Get("/config/big")["value"].get<std::string>().size(),
            kMaximumValueBytes);
  EXPECT_EQ(Status("PUT", "/standin/config/big", value + "v"), 413);
}

// Guards against invalid UTF-8 in a request terminating the program.
TEST_F(platform_server_test, HandlesInvalidUtf8) {
  Start();
  Call("PUT", "/standin/config/raw", "\xff\xfe");
  EXPECT_EQ(Status("GET", "/config/raw"), 200);
  EXPECT_EQ(Status("POST", "/standin/mode", "\xff"), 400);
  EXPECT_EQ(Status("POST", "/standin/mode", R"({"config":"odd"})"), 400);
  EXPECT_EQ(Status("PUT", "/standin/vms", "[]"), 400);
  EXPECT_EQ(Status("GET", "/weights/"), 404);
  EXPECT_EQ(Status("GET", "/weights/only"), 404);
}

TEST_F(platform_server_test, EndsAWatchOnAChangeOrAtItsTimeout) {
  Start();
  Call("PUT", "/standin/config/key", "one");
  const call_pointer watch =
      client_->Start("GET", "/config/key?watch_after=1&timeout_ms=4000");
  const json during = Get("/standin/calls");
  EXPECT_EQ(during["waiting_watches"], 1);
  EXPECT_FALSE(watch->result);
  Call("PUT", "/standin/config/key", "two");
  client_->Wait(watch);
  EXPECT_EQ(json::parse(watch->body)["value"], "two");
  const json timed_out = Get("/config/key?watch_after=2&timeout_ms=30");
  EXPECT_EQ(timed_out["revision"], 2);
  const json calls = Get("/standin/calls");
  EXPECT_EQ(calls["config"], 2);
  EXPECT_EQ(calls["waiting_watches"], 0);
}

// Guards against watches of disconnected clients using up the call budget.
TEST_F(platform_server_test, EndsTheWatchOfADisconnectedClient) {
  Start();
  const call_pointer watch =
      client_->Start("GET", "/config/key?watch_after=0&timeout_ms=60000");
  EXPECT_EQ(Get("/standin/calls")["waiting_watches"], 1);
  client_->Cancel(watch);
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return Get("/standin/calls")["waiting_watches"] == 0; }, kTimeout));
}

TEST_F(platform_server_test, SwitchesToDownAndStaleMode) {
  Start();
  Call("PUT", "/standin/config/key", "one");
  const call_pointer watch =
      client_->Start("GET", "/config/key?watch_after=1&timeout_ms=4000");
  Call("POST", "/standin/mode", R"({"config":"down"})");
  client_->Wait(watch);
  EXPECT_EQ(watch->status, 503);
  EXPECT_EQ(Status("GET", "/config/key"), 503);
  Call("POST", "/standin/mode", R"({"config":"stale"})");
  Call("PUT", "/standin/config/key", "two");
  EXPECT_EQ(Get("/config/key")["value"], "one");
  Call("POST", "/standin/mode", R"({"config":"normal"})");
  EXPECT_EQ(Get("/config/key")["value"], "two");
}

TEST_F(platform_server_test, ShowsTheVmListWithItsLag) {
  Start({.vm_list_lag = core::milliseconds(3600000)});
  Call("PUT", "/standin/vms", R"({"vms":[{"id":"vm-1","state":"leaving"}]})");
  EXPECT_TRUE(Get("/vms")["vms"].empty());
  Call("POST", "/standin/mode", R"({"vm_lag_ms":0})");
  EXPECT_EQ(Get("/vms")["vms"][0]["state"], "leaving");
  EXPECT_EQ(Get("/vms")["revision"], 1);
}

TEST_F(platform_server_test, DeliversWeights) {
  Start();
  const auto start = loop_.Now();
  const json weights = Get("/weights/straps/v2");
  EXPECT_EQ(weights["adapter"], "straps");
  EXPECT_EQ(weights["version"], "v2");
  EXPECT_GE(loop_.Now() - start, core::milliseconds(250));
  EXPECT_EQ(Get("/standin/calls")["weights"], 1);
}

TEST_F(platform_server_test, LoadsCompiledDocuments) {
  const auto directory = std::filesystem::path(::testing::TempDir()) /
                         "comfreyspring-platform-server-test";
  std::filesystem::remove_all(directory);
  const auto documents = config::EncodeSet(config::MakeTestSet(3, "v2"));
  sheet::WriteDocuments(directory.string(), documents);
  Start({.config_directory = directory.string()});
  EXPECT_EQ(Get("/config/manifest")["value"], documents.manifest_bytes);
  for (const auto& [hash, bytes] : documents.parts) {
    EXPECT_EQ(Get("/config/" + config::PartKey(hash))["value"], bytes);
  }
  EXPECT_EQ(Get("/vms")["vms"].size(), 2u);
  std::filesystem::remove_all(directory);
  EXPECT_THROW(platform_server(loop_, {.config_directory = directory.string()}),
               sheet::file_error);
}

}  // namespace
}  // namespace comfreyspring::standins

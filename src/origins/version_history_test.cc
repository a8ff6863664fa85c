#include "origins/version_history.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyspring::origins {
namespace {

class version_history_test : public ::testing::Test {
 protected:
  void List(const std::string& instance, const std::string& version,
            const std::string& service = "s") {
    history_.OnListed(
        instance, {core::service_id(service), core::software_version(version)},
        now_);
  }
  std::string Only(const std::string& service = "s") const {
    const auto only = history_.OnlyVersion(core::service_id(service), now_);
    return only ? only->Value() : "unknown";
  }

  core::time_point now_{std::chrono::seconds(100)};
  version_history history_{now_};
};

TEST_F(version_history_test, TellsNothingUntilItHasWatchedForLong) {
  List("i-1", "v1");
  EXPECT_EQ(Only(), "unknown");
  now_ += kStreamMemory;
  EXPECT_EQ(Only(), "v1");
  EXPECT_EQ(Only("other"), "unknown");
}

TEST_F(version_history_test, AVersionThatHasLeftCountsWhileItsStreamsMayLast) {
  now_ += kStreamMemory;
  List("i-1", "v1");
  List("i-2", "v1");
  List("i-3", "v2", "other");
  EXPECT_EQ(Only(), "v1");
  List("i-2", "v2");
  EXPECT_EQ(Only(), "unknown");
  history_.OnGone("i-1", now_);
  EXPECT_EQ(Only(), "unknown");
  now_ += kStreamMemory + core::milliseconds(1);
  EXPECT_EQ(Only(), "v2");
  history_.OnGone("i-2", now_);
  history_.OnGone("i-2", now_);
  EXPECT_EQ(Only(), "v2");
}

}  // namespace
}  // namespace comfreyspring::origins

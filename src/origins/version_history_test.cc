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
  std::string Versions(const std::string& service = "s") const {
    const core::service_id id(service);
    EXPECT_FALSE(history_.HasOnlyOne(id, now_) &&
                 history_.HasSeveral(id, now_));
    return history_.HasOnlyOne(id, now_)   ? "one"
           : history_.HasSeveral(id, now_) ? "several"
                                           : "unknown";
  }

  core::time_point now_{std::chrono::seconds(100)};
  version_history history_{now_};
};

TEST_F(version_history_test, IsCertainOnceItHasWatchedForLong) {
  List("i-1", "v1");
  EXPECT_EQ(Versions(), "unknown");
  now_ += kStreamMemory;
  EXPECT_EQ(Versions(), "one");
  EXPECT_EQ(Versions("other"), "unknown");
}

TEST_F(version_history_test, KnowsSeveralAtOnce) {
  List("i-1", "v1");
  List("i-2", "v2");
  EXPECT_EQ(Versions(), "several");
}

TEST_F(version_history_test, AVersionThatHasLeftCountsWhileItsStreamsMayLast) {
  now_ += kStreamMemory;
  List("i-1", "v1");
  List("i-2", "v1");
  List("i-3", "v2", "other");
  EXPECT_EQ(Versions(), "one");
  List("i-2", "v2");
  EXPECT_EQ(Versions(), "several");
  history_.OnGone("i-1", now_);
  EXPECT_EQ(Versions(), "several");
  now_ += kStreamMemory + core::milliseconds(1);
  EXPECT_EQ(Versions(), "one");
  history_.OnGone("i-2", now_);
  history_.OnGone("i-2", now_);
  EXPECT_EQ(Versions(), "one");
}

}  // namespace
}  // namespace comfreyspring::origins

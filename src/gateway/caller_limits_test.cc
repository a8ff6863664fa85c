#include "gateway/caller_limits.h"

#include <gtest/gtest.h>

#include <limits>

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

constexpr milliseconds kOverlap{1000};

class caller_limits_test : public ::testing::Test {
 protected:
  std::vector<std::string> AdoptIdle(int ms) {
    return limits_.Adopt({.idle_timeout = milliseconds(ms)}, now_);
  }
  milliseconds IdleAfter(int ms) {
    now_ += milliseconds(ms);
    return limits_.At(now_).idle_timeout;
  }

  core::time_point now_{milliseconds(100'000)};
  caller_limits limits_{
      {.maximum_body_bytes = 8'000'000, .idle_timeout = milliseconds(30'000)},
      {.maximum_header_bytes = 40'000, .maximum_body_bytes = 32'000'000},
      kOverlap};
};

TEST_F(caller_limits_test, TheFirstConfigurationIsInForceAtOnce) {
  EXPECT_EQ(IdleAfter(0), milliseconds(30'000));
  EXPECT_TRUE(AdoptIdle(5000).empty());
  EXPECT_EQ(IdleAfter(0), milliseconds(5000));
  EXPECT_EQ(limits_.At(now_).maximum_body_bytes, 4U * 1024 * 1024);
  EXPECT_FALSE(limits_.NextChange(now_));
}

TEST_F(caller_limits_test, ARaisedTimeoutIsInForceAtOnce) {
  AdoptIdle(5000);
  AdoptIdle(60'000);
  EXPECT_EQ(IdleAfter(0), milliseconds(60'000));
  EXPECT_EQ(IdleAfter(100'000), milliseconds(60'000));
  EXPECT_FALSE(limits_.NextChange(now_));
}

// Guards against closing connections that callers may still use by the earlier
// configuration.
TEST_F(caller_limits_test, ALoweredTimeoutWaitsForTheEarlierOne) {
  AdoptIdle(20'000);
  AdoptIdle(2000);
  EXPECT_EQ(IdleAfter(0), milliseconds(20'000));
  EXPECT_EQ(limits_.NextChange(now_), now_ + kOverlap);
  EXPECT_EQ(IdleAfter(20'999), milliseconds(20'000));
  EXPECT_EQ(limits_.NextChange(now_), now_ + milliseconds(1));
  EXPECT_EQ(IdleAfter(1), milliseconds(2000));
  EXPECT_FALSE(limits_.NextChange(now_));
}

TEST_F(caller_limits_test, AStormOfChangesKeepsTheWidestOfLate) {
  const auto storm = [&](int changes, milliseconds expected) {
    for (int i = 0; i < changes; ++i) {
      now_ += milliseconds(10);
      AdoptIdle(2000 + i % 7 * 1000);
      if (i >= 7) {
        EXPECT_EQ(IdleAfter(0), expected);
      }
    }
    AdoptIdle(1000);
  };
  AdoptIdle(20'000);
  storm(1000, milliseconds(20'000));
  EXPECT_EQ(IdleAfter(10'900), milliseconds(20'000));
  EXPECT_EQ(IdleAfter(200), milliseconds(1000));
  storm(200, milliseconds(8000));
  EXPECT_EQ(IdleAfter(8900), milliseconds(8000));
  EXPECT_EQ(IdleAfter(100), milliseconds(1000));
}

TEST_F(caller_limits_test, LoweredSizesAreInForceAfterTheOverlap) {
  limits_.Adopt({.header_bytes = 9000,
                 .body_bytes = 9'000'000,
                 .header_timeout = milliseconds(9000)},
                now_);
  limits_.Adopt({.header_bytes = 2000,
                 .body_bytes = 2'000'000,
                 .header_timeout = milliseconds(2000)},
                now_);
  EXPECT_EQ(limits_.At(now_).maximum_header_bytes, 9000U);
  EXPECT_EQ(limits_.At(now_).maximum_body_bytes, 9'000'000U);
  EXPECT_EQ(limits_.At(now_).header_timeout, milliseconds(9000));
  now_ = limits_.NextChange(now_).value();
  EXPECT_EQ(limits_.At(now_).maximum_header_bytes, 2000U);
  EXPECT_EQ(limits_.At(now_).maximum_body_bytes, 2'000'000U);
  EXPECT_EQ(limits_.At(now_).header_timeout, milliseconds(2000));
}

TEST_F(caller_limits_test, BadValuesAreBoundedAndNamed) {
  const catalog::client_limits standard;
  for (const int bad : {0, -1, std::numeric_limits<int>::min()}) {
    EXPECT_EQ(AdoptIdle(bad), std::vector<std::string>{"idle_timeout"});
    EXPECT_EQ(IdleAfter(1'000'000), standard.idle_timeout);
  }
  EXPECT_EQ(AdoptIdle(1), std::vector<std::string>{"idle_timeout"});
  EXPECT_EQ(IdleAfter(1'000'000), milliseconds(1000));
  constexpr auto kMost = std::numeric_limits<std::size_t>::max();
  EXPECT_EQ(limits_.Adopt({.header_bytes = kMost,
                           .body_bytes = kMost,
                           .header_timeout = milliseconds::max(),
                           .idle_timeout = milliseconds::max()},
                          now_),
            (std::vector<std::string>{"header_bytes", "body_bytes",
                                      "header_timeout", "idle_timeout"}));
  const auto in_force = limits_.At(now_);
  EXPECT_EQ(in_force.maximum_header_bytes, 40'000U);
  EXPECT_EQ(in_force.maximum_body_bytes, 32'000'000U);
  EXPECT_EQ(in_force.header_timeout, std::chrono::hours(1));
  EXPECT_EQ(in_force.idle_timeout, std::chrono::hours(1));
  limits_.Adopt({.header_bytes = 0, .body_bytes = 0}, now_);
  now_ += milliseconds(10'000'000);
  EXPECT_EQ(limits_.At(now_).maximum_header_bytes, standard.header_bytes);
  EXPECT_EQ(limits_.At(now_).maximum_body_bytes, standard.body_bytes);
}

}  // namespace
}  // namespace comfreyspring::gateway

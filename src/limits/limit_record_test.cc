#include "limits/limit_record.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace comfreyspring::limits {
namespace {

using core::milliseconds;

core::time_point At(int ms) { return core::time_point(milliseconds(ms)); }

response_interval Between(int earliest_ms, int latest_ms) {
  return {At(earliest_ms), At(latest_ms)};
}

TEST(limit_record_test, ALaterResponseWithoutALimitEndsIt) {
  limit_record record;
  EXPECT_EQ(record.OnNamed(request_rate(1.2), Between(0, 100)),
            limit_change::heard);
  EXPECT_EQ(record.OnNotNamed(Between(100, 150)), limit_change::ended);
  EXPECT_FALSE(record.Rate());
}

// Guards against a limit that is dropped because of a response that the
// endpoint generated before it named the limit, such as one that waited in a
// paused gateway.
TEST(limit_record_test, AResponseThatMayBeOlderDoesNotEndALimit) {
  limit_record record;
  record.OnNamed(request_rate(1.2), Between(0, 100));
  EXPECT_EQ(record.OnNotNamed(Between(50, 3000)), limit_change::none);
  EXPECT_EQ(record.Rate(), request_rate(1.2));
}

TEST(limit_record_test, ALimitThatMayBeNewerThanTheEndHoldsAgain) {
  limit_record record;
  record.OnNamed(request_rate(1.2), Between(0, 100));
  record.OnNotNamed(Between(200, 300));
  EXPECT_EQ(record.OnNamed(request_rate(2.0), Between(0, 150)),
            limit_change::none);
  EXPECT_EQ(record.OnNamed(request_rate(2.0), Between(0, 250)),
            limit_change::heard);
}

TEST(limit_record_test, IsLoweredAtOnceAndRaisedByACertainlyNewerResponse) {
  limit_record record;
  record.OnNamed(request_rate(2.0), Between(0, 100));
  EXPECT_EQ(record.OnNamed(request_rate(1.0), Between(50, 120)),
            limit_change::changed);
  EXPECT_EQ(record.OnNamed(request_rate(3.0), Between(60, 130)),
            limit_change::none);
  EXPECT_EQ(record.OnNamed(request_rate(3.0), Between(120, 200)),
            limit_change::changed);
  EXPECT_EQ(record.Rate(), request_rate(3.0));
}

// Guards against a lower limit that stays for as long as requests overlap.
TEST(limit_record_test, IsRaisedWhileResponsesOverlap) {
  limit_record record;
  for (int at = 0; at < 2000; at += 100) {
    record.OnNamed(request_rate(1.0), Between(at, at + 1000));
  }
  for (int at = 2000; at < 5000; at += 100) {
    record.OnNamed(request_rate(4.0), Between(at, at + 1000));
  }
  EXPECT_EQ(record.Rate(), request_rate(4.0));
}

// Whatever the order in which responses are read, the limit of the last one
// holds in the end if the endpoint generated it after all others were sent.
RC_GTEST_PROP(limit_record_property, TheLastResponseDecides, ()) {
  struct response {
    response_interval generated;
    int rate = 0;  // 0: names no limit.
  };
  auto responses = *rc::gen::container<std::vector<response>>(rc::gen::apply(
      [](int at, int before, int after, int rate) {
        return response{Between(at - before, at + after), rate};
      },
      rc::gen::inRange(1000, 5000), rc::gen::inRange(0, 1000),
      rc::gen::inRange(0, 1000), rc::gen::inRange(0, 4)));
  const int last = *rc::gen::inRange(0, 4);
  limit_record record;
  const auto feed = [&record](const response& each) {
    if (each.rate == 0) {
      record.OnNotNamed(each.generated);
    } else {
      record.OnNamed(request_rate(each.rate), each.generated);
    }
  };
  for (const response& each : responses) feed(each);
  feed({Between(7000, 7100), last});
  // A response that was delayed for long must not change it back.
  for (const response& each : responses) feed(each);
  RC_ASSERT(record.Rate().has_value() == (last > 0));
  if (last > 0) RC_ASSERT(record.Rate() == request_rate(last));
}

}  // namespace
}  // namespace comfreyspring::limits

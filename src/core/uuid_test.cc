#include "core/uuid.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/error.h"

namespace comfreyspring::core {
namespace {

// Guards against a wrong creation time, which decides whether a call that must
// not run twice is still accepted.
RC_GTEST_PROP(UuidV7, CarriesItsCreationTime, ()) {
  const auto unix_ms = *rc::gen::inRange<std::int64_t>(0, 1LL << 48);
  random_source random(*rc::gen::arbitrary<std::uint64_t>());
  const std::string text = MakeUuidV7(WallTimeFromUnix(unix_ms), random);
  RC_ASSERT(UnixMilliseconds(UuidV7Time(text)) == unix_ms);
}

TEST(UuidV7, RejectsMalformedText) {
  EXPECT_THROW(UuidV7Time(""), invalid_value_error);
  EXPECT_THROW(UuidV7Time("018f4e2e-0000-4000-8000-000000000000"),
               invalid_value_error);
  EXPECT_THROW(UuidV7Time("018f4e2e-0000-7000-c000-000000000000"),
               invalid_value_error);
  EXPECT_THROW(UuidV7Time("018f4e2e-0000-7000-8000-00000000000g"),
               invalid_value_error);
}

}  // namespace
}  // namespace comfreyspring::core

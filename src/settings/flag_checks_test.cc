#include "settings/flag_checks.h"

#include <gtest/gtest.h>

#include <functional>

namespace comfreyspring::settings {
namespace {

std::string MessageOf(const std::function<void()>& check) {
  try {
    check();
  } catch (const settings_error& failure) {
    return failure.what();
  }
  return "";
}

// Guards against an error message that lacks the flag, its value or the allowed
// values.
TEST(FlagChecks, NamesFlagValueAndAllowedValues) {
  EXPECT_EQ(MessageOf([] { RequireRange("port", 70000, 0, 65535); }),
            "--port='70000' is not allowed; allowed: 0 to 65535");
  EXPECT_EQ(MessageOf([] {
              RequireOneOf("kind", "x", {"a", "b"});
            }),
            "--kind='x' is not allowed; allowed: a, b");
}

TEST(FlagChecks, AcceptsNumericIpAddressesOnly) {
  EXPECT_NO_THROW(RequireIpAddress("address", "127.0.0.1"));
  EXPECT_NO_THROW(RequireIpAddress("address", "::1"));
  EXPECT_THROW(RequireIpAddress("address", "localhost"), settings_error);
}

TEST(FlagChecks, ParsesAddressLists) {
  const auto addresses = ParseAddresses("peers", "10.0.0.1:7301,10.0.0.2:1");
  ASSERT_EQ(addresses.size(), 2U);
  EXPECT_EQ(addresses[0].address, "10.0.0.1");
  EXPECT_EQ(addresses[1].port, 1);
  EXPECT_TRUE(ParseAddresses("peers", "").empty());
}

TEST(FlagChecks, RejectsMalformedAddressLists) {
  for (const char* text : {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "x:1",
                           "10.0.0.1:65536", "10.0.0.1:12x"}) {
    EXPECT_THROW(ParseAddresses("peers", text), settings_error) << text;
  }
}

}  // namespace
}  // namespace comfreyspring::settings

#include "tenants/tenants.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace comfreyspring::tenants {
namespace {

using core::milliseconds;

catalog::tenant Tenant(const std::string& name, std::vector<std::string> keys) {
  catalog::tenant tenant;
  tenant.id = core::tenant_id(name);
  tenant.api_keys = std::move(keys);
  return tenant;
}

TEST(key_directory_test, FindsTheTenantOfEachKey) {
  catalog::configuration content;
  content.tenants = {Tenant("a", {"k1", "k2"}), Tenant("b", {"k3"})};
  const key_directory directory(content);
  EXPECT_TRUE(directory.RequiresKeys());
  ASSERT_NE(directory.Find("k2"), nullptr);
  EXPECT_EQ(directory.Find("k2")->id.Value(), "a");
  ASSERT_NE(directory.Find("k3"), nullptr);
  EXPECT_EQ(directory.Find("k3")->id.Value(), "b");
  EXPECT_EQ(directory.Find("k4"), nullptr);
  // Keys are compared exactly.
  EXPECT_EQ(directory.Find("K1"), nullptr);
}

// A caller without a key must not be taken for a tenant with an empty key.
TEST(key_directory_test, AnEmptyKeyBelongsToNobody) {
  catalog::configuration content;
  content.tenants = {Tenant("a", {""})};
  EXPECT_EQ(key_directory(content).Find(""), nullptr);
}

TEST(key_directory_test, RequiresNoKeysWithoutTenants) {
  catalog::configuration content;
  EXPECT_FALSE(key_directory(content).RequiresKeys());
  content.tenants.emplace();
  EXPECT_TRUE(key_directory(content).RequiresKeys());
}

// A gateway that is cut off must stop before a removed key could run late.
TEST(revocation_guard_test, StopsRelyingOnAnOldViewBeforeTheBound) {
  const revocation_guard strict({.strict = true, .bound = milliseconds(5000)});
  EXPECT_TRUE(strict.MayRelyOnKeys(milliseconds(0)));
  EXPECT_TRUE(strict.MayRelyOnKeys(milliseconds(4000)));
  EXPECT_FALSE(strict.MayRelyOnKeys(milliseconds(4001)));
  EXPECT_FALSE(strict.MayRelyOnKeys(milliseconds(5000)));
}

TEST(revocation_guard_test, KeepsKnownKeysUnlessRevocationIsStrict) {
  const revocation_guard lenient({.strict = false});
  EXPECT_TRUE(lenient.MayRelyOnKeys(milliseconds(60'000)));
}

}  // namespace
}  // namespace comfreyspring::tenants

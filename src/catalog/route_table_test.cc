#include "catalog/route_table.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace comfreyspring::catalog {
namespace {

configuration Sample() {
  configuration content;
  content.version = 7;
  const auto add = [&](const std::string& host, const std::string& prefix) {
    content.routes.push_back({.name = host + prefix,
                              .host = host,
                              .prefix = prefix,
                              .destinations = {{core::service_id("s"), 1.0}}});
  };
  add("a.example", "/");
  add("a.example", "/x/");
  add("a.example", "/x/y/");
  add("b.example", "/x/");
  content.services.push_back({.id = core::service_id("s")});
  return content;
}

std::string NameOf(const route* matched) {
  return matched == nullptr ? "none" : matched->name;
}

TEST(route_table_test, TheLongestPrefixOfTheHostWins) {
  const route_table table(Sample());
  EXPECT_EQ(NameOf(table.Match("a.example", "/x/y/z?q=/b/")), "a.example/x/y/");
  EXPECT_EQ(NameOf(table.Match("A.Example:8080", "/x/y")), "a.example/x/");
  EXPECT_EQ(NameOf(table.Match("a.example", "/other")), "a.example/");
  EXPECT_EQ(NameOf(table.Match("b.example", "/x")), "none");
  EXPECT_EQ(NameOf(table.Match("b.example", "/x/")), "b.example/x/");
  EXPECT_EQ(NameOf(table.Match("c.example", "/x/")), "none");
  EXPECT_EQ(NameOf(table.Match("b.example", "")), "none");
}

TEST(route_table_test, SplitsByWeight) {
  route split{.destinations = {{core::service_id("s1"), 90.0},
                               {core::service_id("s2"), 10.0}}};
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
    ++chosen[route_table::ChooseDestination(split, seed)->Value()];
  }
  EXPECT_NEAR(chosen["s2"], 1000, 150);
  EXPECT_EQ(*route_table::ChooseDestination(split, 5),
            *route_table::ChooseDestination(split, 5));
}

}  // namespace
}  // namespace comfreyspring::catalog

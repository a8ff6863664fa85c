#include "core/json_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace comfreyspring::core {
namespace {

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST(json_parser_test, LimitsTheDepth) {
  EXPECT_TRUE(IsNestedWithin(Nested(3), 3));
  EXPECT_FALSE(IsNestedWithin(Nested(4), 3));
  EXPECT_TRUE(IsNestedWithin("[[],[],{\"a\":[]}]", 3));
  EXPECT_FALSE(TryParseJson(Nested(kMaximumJsonDepth)).is_discarded());
  EXPECT_TRUE(TryParseJson(Nested(kMaximumJsonDepth + 1)).is_discarded());
  EXPECT_THROW(ParseJson(Nested(10'000'000)), invalid_value_error);
  EXPECT_THROW(ParseJson("[1,"), invalid_value_error);
  EXPECT_EQ(ParseJson("[1]")[0], 1);
}

TEST(json_parser_test, BracketsWithinTextsAreNoNesting) {
  EXPECT_TRUE(IsNestedWithin(R"(["[[[[\"[[[[\\"])", 1));
  EXPECT_FALSE(IsNestedWithin(R"(["\\",[[]]])", 2));
}

/** @returns the depth of a value that the library has accepted. */
std::size_t DepthOf(const nlohmann::json& value) {
  std::size_t deepest = 0;
  if (!value.is_structured()) return 0;
  for (const auto& each : value) deepest = std::max(deepest, DepthOf(each));
  return deepest + 1;
}

// The depth must be that of the value which the library makes of the text.
RC_GTEST_PROP(json_parser_property, FindsTheDepthOfAnyValidText, ()) {
  std::string text;
  const int size = *rc::gen::inRange(0, 40);
  for (int i = 0; i < size; ++i) {
    text += *rc::gen::element<std::string>("[", "]", "{", "}", "\"a\"", ":",
                                           ",", "1", "\"\\\"\"", "\"[\"");
  }
  const auto value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded()) return;
  const std::size_t depth = DepthOf(value);
  RC_ASSERT(IsNestedWithin(text, depth));
  if (depth > 0) RC_ASSERT(!IsNestedWithin(text, depth - 1));
}

}  // namespace
}  // namespace comfreyspring::core

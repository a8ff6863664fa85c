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

// The message goes into logs, and a configuration contains API keys.
TEST(json_parser_test, AnErrorDoesNotRepeatTheText) {
  for (const char* text : {R"({"ApiKeys":["secret)", R"({"a":secret})",
                           "[\"secret\" 1]", "{\"secret\"}", "[1, secret]"}) {
    try {
      ParseJson(text);
      ADD_FAILURE() << text;
    } catch (const invalid_value_error& failure) {
      const std::string message = failure.what();
      EXPECT_EQ(message.find("secret"), std::string::npos) << message;
      EXPECT_NE(message.find("byte"), std::string::npos) << message;
    }
  }
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

TEST(cbor_nesting_test, RejectsIndefiniteLengthsTagsAndCutItems) {
  for (const std::string frame :
       {"\x9f\xff", "\xbf\xff", "\x7f\xff", "\x5f\xff", "\xc0\x01", "\x82\x01",
        "\x63"
        "ab",
        "\x19\x01", "\xff", "", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"}) {
    EXPECT_FALSE(IsCborNestedWithin(frame, kMaximumCborDepth));
  }
}

// Whatever the library writes must pass, up to its depth.
RC_GTEST_PROP(cbor_nesting_property, FindsTheDepthOfAnyEncodedValue, ()) {
  nlohmann::json value = 1;
  std::size_t depth = 0;
  const int size = *rc::gen::inRange(0, 12);
  for (int i = 0; i < size; ++i) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        value = nlohmann::json::array({value, -7, std::string(300, 'x')});
        ++depth;
        break;
      case 1:
        value = {{"a", nlohmann::json::array()}, {"b", value}};
        ++depth;
        break;
      case 2:
        value = nlohmann::json::array({value, 1.5, nullptr, true, 70'000});
        ++depth;
        break;
      default:
        value = nlohmann::json::array({nlohmann::json::object(), value});
        ++depth;
        break;
    }
  }
  // The empty containers beside the first value are one level deeper.
  const std::size_t deepest = DepthOf(value);
  std::string frame;
  nlohmann::json::to_cbor(value, frame);
  RC_ASSERT(deepest >= depth);
  RC_ASSERT(IsCborNestedWithin(frame, deepest));
  if (deepest > 0) RC_ASSERT(!IsCborNestedWithin(frame, deepest - 1));
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

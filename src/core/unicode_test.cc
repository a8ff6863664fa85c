#include "core/unicode.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace comfreyspring::core {
namespace {

TEST(unicode_test, KeepsWhatIsValid) {
  for (const std::string text :
       {R"(["\\ud800","\"","\ud83d\ude00","\u00e9"])", "[\"\xc3\xa9\"]",
        "[\"\xf0\x9f\x98\x80\"]", R"({"a":[1,true,null]})"}) {
    EXPECT_EQ(ReplaceInvalidUnicode(text), text);
  }
}

TEST(unicode_test, ReplacesWhatIsInvalid) {
  EXPECT_EQ(ReplaceInvalidUnicode("a\xe9z\xc3"), "a\ufffdz\ufffd");
  // Overlong, and a surrogate in UTF-8.
  EXPECT_EQ(ReplaceInvalidUnicode("\xc0\xaf"), "\ufffd\ufffd");
  EXPECT_EQ(ReplaceInvalidUnicode("\xed\xb3\xa9"), "\ufffd\ufffd\ufffd");
  EXPECT_EQ(ReplaceInvalidUnicode(R"(\udce9 \ud83d\u0041 \ud83d)"),
            "\ufffd \ufffd\\u0041 \ufffd");
}

RC_GTEST_PROP(unicode_test, AnyTextBecomesAString, (std::string text)) {
  std::erase_if(text, [](char c) {
    return c == '"' || c == '\\' || static_cast<unsigned char>(c) < 0x20;
  });
  const std::string repaired = ReplaceInvalidUnicode('"' + text + '"');
  RC_ASSERT(nlohmann::json::accept(repaired));
}

}  // namespace
}  // namespace comfreyspring::core

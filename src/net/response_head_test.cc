#include "net/response_head.h"

#include <gtest/gtest.h>

#include <string>

#include "net/event_loop.h"

namespace comfreyspring::net {
namespace {

constexpr std::size_t kMaximumFields = 8;

/** @returns the error; empty if the whole head is accepted. */
std::string ErrorOf(const std::string& status_line, const std::string& field) {
  response_head head(kMaximumFields);
  try {
    head.AddLine(status_line + "\r\n");
    head.AddLine(field + "\r\n");
    EXPECT_TRUE(head.AddLine("\r\n"));
    EXPECT_TRUE(head.IsComplete());
    return {};
  } catch (const net_error& error) {
    EXPECT_FALSE(head.IsComplete());
    return error.what();
  }
}

TEST(response_head_test, AcceptsTheStatusCodesOfFinalResponses) {
  for (int status = 200; status < 1000; ++status) {
    const std::string code = std::to_string(status);
    EXPECT_EQ(ErrorOf("HTTP/1.1 " + code + " Text", "a: b").empty(),
              status <= 599)
        << status;
  }
  for (const char* code : {"000", "001", "099"}) {
    EXPECT_EQ(ErrorOf(std::string("HTTP/1.1 ") + code, "a: b"),
              std::string("the response has the invalid status code ") + code);
  }
}

TEST(response_head_test, AcceptsTokensAsNames) {
  const std::string separators = "\"(),/:;<=>?@[\\]{} ";
  for (int byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    // The name of the field ends with its first colon.
    if (c == ':') continue;
    const bool is_token =
        byte > ' ' && byte < 0x7f && separators.find(c) == std::string::npos;
    const std::string field = std::string("a") + c + "b: v";
    EXPECT_EQ(ErrorOf("HTTP/1.1 200 OK", field).empty(), is_token) << byte;
  }
  EXPECT_EQ(ErrorOf("HTTP/1.1 200 OK", "bad name: v"),
            "a field name of the response has the character 0x20");
}

TEST(response_head_test, AcceptsNoControlCharacterInText) {
  for (int byte = 0; byte < 256; ++byte) {
    const std::string text = std::string("x") + static_cast<char>(byte) + "y";
    const bool is_valid = byte == '\t' || (byte >= ' ' && byte != 0x7f);
    EXPECT_EQ(ErrorOf("HTTP/1.1 200 OK", "a: " + text).empty(), is_valid)
        << byte;
    EXPECT_EQ(ErrorOf("HTTP/1.1 200 " + text, "a: b").empty(), is_valid)
        << byte;
  }
  EXPECT_EQ(ErrorOf("HTTP/1.1 200 OK", "a: \x01"),
            "the field a of the response has the control character 0x01");
}

TEST(response_head_test, LeavesOutTheFieldsOfInterimResponses) {
  response_head head(kMaximumFields);
  for (const char* line : {"HTTP/1.1 103 Early Hints", "a: 1", "b: 1", "",
                           "HTTP/1.1 200 OK", "A: \t2 \t"}) {
    EXPECT_FALSE(head.AddLine(line));
  }
  EXPECT_FALSE(head.IsComplete());
  EXPECT_TRUE(head.AddLine(""));
  EXPECT_EQ(head.Status(), 200);
  EXPECT_EQ(head.Headers(), (header_map{{"a", "2"}}));
}

TEST(response_head_test, BoundsTheNumberOfFields) {
  response_head head(1);
  head.AddLine("HTTP/1.1 200 OK");
  head.AddLine("a: 1");
  EXPECT_THROW(head.AddLine("b: 1"), net_error);
}

}  // namespace
}  // namespace comfreyspring::net

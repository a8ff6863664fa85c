#include "net/url.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "core/error.h"

namespace comfreyspring::net {
namespace {

const core::network_address kAddress{"10.0.0.1", 80};

TEST(url_test, HasAPathAndAQuery) {
  EXPECT_EQ(url(kAddress).Text(), "http://10.0.0.1:80/");
  EXPECT_EQ(url(kAddress, "/streams").AddSegment("7").AddPath("/cancel").Text(),
            "http://10.0.0.1:80/streams/7/cancel");
  EXPECT_EQ(url(kAddress, "/list")
                .AddParameter("from", "a")
                .AddParameter("to", "")
                .Text(),
            "http://10.0.0.1:80/list?from=a&to=");
  EXPECT_EQ(url::Parse("http://h/").AddPath("/status").Text(),
            "http://h/status");
  EXPECT_EQ(url::Parse("http://h/list?a=1").AddParameter("b", "2").Text(),
            "http://h/list?a=1&b=2");
}

TEST(url_test, RejectsWhatIsNoHttpUrl) {
  for (const char* text : {"", "not a url", "10.0.0.1:80", "/path", "ftp://h/",
                           "http://", "http://h/a b", "http://h/\n"}) {
    EXPECT_THROW(url::Parse(text), core::invalid_value_error) << text;
  }
}

// A key of the platform's store ended the parameter that it was given in.
RC_GTEST_PROP(url_test, TextDoesNotLeaveItsPart, (const std::string& text)) {
  const std::string whole =
      url(kAddress, "/a").AddSegment(text).AddParameter("key", text).Text();
  const std::string rest =
      whole.substr(std::string("http://10.0.0.1:80/a/").size());
  const std::size_t split = rest.find("?key=");
  RC_ASSERT(split != std::string::npos);
  for (const std::string& part :
       {rest.substr(0, split), rest.substr(split + 5)}) {
    std::string decoded;
    for (std::size_t at = 0; at < part.size(); ++at) {
      const char c = part[at];
      if (c == '%') {
        decoded +=
            static_cast<char>(std::stoi(part.substr(at + 1, 2), nullptr, 16));
        at += 2;
        continue;
      }
      RC_ASSERT(std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                std::string("-._~").find(c) != std::string::npos);
      decoded += c;
    }
    RC_ASSERT(decoded == text);
  }
}

}  // namespace
}  // namespace comfreyspring::net

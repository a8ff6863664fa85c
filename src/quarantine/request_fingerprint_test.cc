#include "quarantine/request_fingerprint.h"

#include <gtest/gtest.h>

namespace comfreyspring::quarantine {
namespace {

TEST(request_fingerprint_test, IsTheSameForTheSameRequestOnly) {
  const auto first = RequestFingerprint({"POST", "/a/", "key", "body"});
  EXPECT_EQ(first, RequestFingerprint({"POST", "/a/", "key", "body"}));
  EXPECT_NE(first, RequestFingerprint({"POST", "/b/", "key", "body"}));
  EXPECT_NE(first, RequestFingerprint({"POST", "/a/", "other", "body"}));
  EXPECT_NE(first, RequestFingerprint({"POST", "/a/", "key", "body2"}));
  // What is moved from one field to the next makes another request.
  EXPECT_NE(first, RequestFingerprint({"POST", "/a/", "keyb", "ody"}));
}

TEST(request_fingerprint_test, IsNoPromptPart) {
  EXPECT_TRUE(IsRequest(RequestFingerprint({"a"})));
  EXPECT_FALSE(IsRequest(core::prompt_part_id("5c1e07a2")));
}

}  // namespace
}  // namespace comfreyspring::quarantine

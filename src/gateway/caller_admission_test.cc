#include "gateway/caller_admission.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "gateway/forwarder_fixture_test.h"

namespace comfreyspring::gateway::test {
namespace {

/** A gateway whose configuration has tenants. */
class caller_admission_test : public request_forwarder_test {
 protected:
  void SetUp() override {
    settings_.strict_revocation = true;
    settings_.revocation_bound = milliseconds(500);
    Route("/public/", "plain", {.is_public = true});
    configuration_.tenants = {
        {.id = core::tenant_id("t1"), .api_keys = {"k1"}, .priority = 4},
        {.id = core::tenant_id("t2"), .api_keys = {"k2"}},
        {.id = core::tenant_id("limited"),
         .api_keys = {"k4"},
         .quota = {.rate = 32.0 / quotas::kLocalShare * 20.0, .burst = 1}}};
    admission_.emplace(settings_, follower_, quotas_, metrics_,
                       core::random_source(1));
    forwarder_.SetAdmission(*admission_);
    request_forwarder_test::SetUp();
  }

  admission_decision Decide(const std::string& key, const char* target) {
    std::optional<admission_decision> decision;
    request_metadata request;
    request.api_key = key;
    admission_->Admit(request, *follower_.Routes()->Match("h", target),
                      [&](admission_decision made) { decision = made; });
    EXPECT_TRUE(decision.has_value());
    return decision.value_or(admission_decision{});
  }

  quota_client quotas_{loop_, log_, metrics_, core::random_source(1)};
  std::optional<caller_admission> admission_;
};

TEST_F(caller_admission_test, AdmitsAKnownKeyAsItsTenant) {
  const auto decision = Decide("k1", "/once/");
  EXPECT_FALSE(decision.refusal);
  EXPECT_EQ(decision.caller.tenant, core::tenant_id("t1"));
  EXPECT_EQ(decision.caller.priority, 4);
  EXPECT_FALSE(Decide("k2", "/once/").caller.priority);
}

// A request that runs for a key that no configuration contains is the gravest
// fault of this part.
TEST_F(caller_admission_test, RefusesUnknownAndMissingKeysWithoutSending) {
  for (const char* key : {"", "k3", "K1"}) {
    const auto decision = Decide(key, "/once/");
    ASSERT_TRUE(decision.refusal);
    EXPECT_EQ(decision.refusal->status, 401);
  }
  const auto exchange = Send("/once/");
  EXPECT_EQ(exchange->response.status, 401);
  EXPECT_TRUE(http_.calls.empty());
}

TEST_F(caller_admission_test, APublicRouteNeedsNoKeyAndHasNoTenant) {
  const auto decision = Decide("", "/public/");
  EXPECT_FALSE(decision.refusal);
  EXPECT_EQ(decision.caller.tenant, core::tenant_id());
  Send("/public/");
  EXPECT_EQ(http_.calls.size(), 1U);
}

// A gateway that hears nothing of removed keys must not serve them for long.
TEST_F(caller_admission_test, RefusesKeysWhileTheViewIsUnconfirmed) {
  EXPECT_FALSE(Decide("k1", "/once/").refusal);
  Wait(milliseconds(450));
  const auto decision = Decide("k1", "/once/");
  ASSERT_TRUE(decision.refusal);
  EXPECT_EQ(decision.refusal->status, 503);
  EXPECT_TRUE(decision.refusal->retry_after);
  EXPECT_FALSE(Decide("", "/public/").refusal);
}

TEST_F(caller_admission_test, ARemovedKeyIsNotAdmittedAnyMore) {
  const auto caller = Decide("k1", "/once/").caller;
  EXPECT_TRUE(admission_->IsStillAdmitted(caller));
  configuration_.version = 4;
  configuration_.tenants->front().api_keys = {"k9"};
  catalog::catalog_read read;
  read.outcome = catalog::read_outcome::done;
  read.changes.emplace_back().content = configuration_;
  source_.pending(read);
  EXPECT_FALSE(admission_->IsStillAdmitted(caller));
  EXPECT_TRUE(Decide("k1", "/once/").refusal);
  EXPECT_FALSE(Decide("k9", "/once/").refusal);
}

// No sidecar counts here, so the gateway uses its part of the local share: 20
// requests a second, of which none has accumulated at first.
TEST_F(caller_admission_test, RefusesWhatIsOverTheQuotaOfATenant) {
  const auto refused = Decide("k4", "/once/");
  ASSERT_TRUE(refused.refusal);
  EXPECT_EQ(refused.refusal->status, 429);
  EXPECT_EQ(refused.refusal->type, "quota_exceeded");
  EXPECT_GE(refused.refusal->retry_after, milliseconds(500));
  EXPECT_EQ(Send("/once/")->response.status, 401);
  Wait(milliseconds(100));
  const auto admitted = Decide("k4", "/once/");
  ASSERT_FALSE(admitted.refusal);
  EXPECT_EQ(admitted.caller.tenant, core::tenant_id("limited"));
  EXPECT_TRUE(admitted.caller.on_not_run);
  EXPECT_FALSE(Decide("k1", "/once/").refusal);
}

TEST_F(caller_admission_test, ARequestCountsItsTokensOrThePlainAmount) {
  const catalog::tenant_quota tokens{
      .counted_in = catalog::tenant_quota::unit::tokens, .plain_tokens = 200};
  request_metadata request{.prompt_tokens = 826, .maximum_output_tokens = 294};
  EXPECT_EQ(quota_client::AmountOf(tokens, request), 200);
  EXPECT_EQ(quota_client::AmountOf({}, request), 1);
  request.names_tokens = true;
  EXPECT_EQ(quota_client::AmountOf(tokens, request), 1120);
}

// Deployments without tenants are served as if this part did not exist.
TEST_F(request_forwarder_test, WithoutTenantsEveryCallerIsAdmitted) {
  quota_client quotas(loop_, log_, metrics_, core::random_source(1));
  caller_admission admission(settings_, follower_, quotas, metrics_,
                             core::random_source(1));
  forwarder_.SetAdmission(admission);
  Send("/once/");
  EXPECT_EQ(http_.calls.size(), 1U);
}

}  // namespace
}  // namespace comfreyspring::gateway::test

#include "entry/filters.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "core/uuid.h"
#include "entry/fake_exchange.h"

namespace comfreyspring::entry {
namespace {

constexpr std::int64_t kNowMs = 1'800'000'000'000;

std::shared_ptr<const config::configuration> TestConfiguration() {
  auto configuration = std::make_shared<config::configuration>();
  configuration->version = {3, 1};
  config::adapter_record straps;
  straps.adapter = core::adapter_id("straps");
  straps.model = core::model_id("base");
  straps.versions = {core::version_id("v1"), core::version_id("v2")};
  straps.default_version = core::version_id("v2");
  configuration->adapters.push_back(straps);
  config::service_record orders;
  orders.service = core::service_id("orders");
  orders.repeatable = false;
  orders.epochs.push_back(
      {1, 0, {core::endpoint_id("desk-1"), core::endpoint_id("desk-2")}});
  configuration->services.push_back(orders);
  configuration->Index();
  return configuration;
}

request_context ContextOf(net::http_request request) {
  request_context context;
  context.exchange = std::make_shared<fake_exchange>(std::move(request));
  context.received_wall_time = core::WallTimeFromUnix(kNowMs);
  context.configuration = TestConfiguration();
  return context;
}

entry_filter_chain Chain(overload_filter::entry_load load = {false, 0, 10}) {
  return entry_filter_chain(
      request_id_filter(core::random_source(1)), size_limit_filter({}),
      parse_filter({}), resolve_filter(), priority_filter({}),
      idempotency_filter(), overload_filter([load] { return load; }));
}

/** Status with which the chain rejects the request; 200 if it passes. */
int StatusOf(net::http_request request,
             overload_filter::entry_load load = {false, 0, 10}) {
  request_context context = ContextOf(std::move(request));
  try {
    Chain(load).Apply(context);
  } catch (const request_error& failure) {
    EXPECT_EQ(failure.Outcome() == core::outcome::unknown,
              failure.Type() == "key_too_old");
    return failure.Status();
  }
  return 200;
}

net::http_request Completion(const std::string& body) {
  return {.method = "POST", .path = "/v1/completions", .body = body};
}

net::http_request Order(const std::string& key) {
  net::http_request request = {.method = "POST",
                               .path = "/v1/services/orders/new"};
  if (!key.empty()) request.headers["idempotency-key"] = key;
  return request;
}

std::string KeyMadeAt(std::int64_t unix_ms) {
  core::random_source random(7);
  return core::MakeUuidV7(core::WallTimeFromUnix(unix_ms), random);
}

TEST(FilterChain, ResolvesDefaultAndNamedVersion) {
  request_context context =
      ContextOf(Completion(R"({"model":"straps","prompt":"p"})"));
  Chain().Apply(context);
  EXPECT_EQ(core::ToString(context.adapter), "straps@v2");
  context = ContextOf(Completion(R"({"model":"straps@v1","prompt":"p"})"));
  Chain().Apply(context);
  EXPECT_EQ(core::ToString(context.adapter), "straps@v1");
}

// Guards against invalid input that crashes the entry or runs on an adapter.
TEST(FilterChain, RefusesBadCompletions) {
  EXPECT_EQ(StatusOf(Completion("")), 400);
  EXPECT_EQ(StatusOf(Completion("[1]")), 400);
  EXPECT_EQ(StatusOf(Completion("{\"model\":")), 400);
  EXPECT_EQ(StatusOf(Completion(R"({"model":7,"prompt":"p"})")), 400);
  EXPECT_EQ(StatusOf(Completion(R"({"model":"straps"})")), 400);
  EXPECT_EQ(
      StatusOf(Completion(R"({"model":"straps","prompt":"p","max_tokens":0})")),
      400);
  EXPECT_EQ(
      StatusOf(Completion(R"({"model":"straps","prompt":"p","stream":1})")),
      400);
  EXPECT_EQ(StatusOf(Completion(R"({"model":"other","prompt":"p"})")), 404);
  EXPECT_EQ(StatusOf(Completion(R"({"model":"straps@v9","prompt":"p"})")), 404);
  EXPECT_EQ(StatusOf(Completion(std::string(2 << 20, ' '))), 413);
  EXPECT_EQ(StatusOf(Completion(R"({"model":"straps","prompt":)" +
                                std::string(200'000, '[') +
                                std::string(200'000, ']') + '}')),
            400);
  EXPECT_EQ(StatusOf({.method = "GET", .path = "/v1/completions"}), 405);
  EXPECT_EQ(StatusOf({.method = "GET", .path = "/nothing"}), 404);
  EXPECT_EQ(StatusOf({.method = "POST", .path = "/v1/services/none/x"}), 404);
}

RC_GTEST_PROP(FilterChain, RejectsAnyBodyWithAClientErrorOrPasses,
              (const std::string& body)) {
  const int status = StatusOf(Completion(body));
  RC_ASSERT(status == 200 || (status >= 400 && status < 500));
}

// Guards against a non-repeatable call that is sent without a valid key.
TEST(FilterChain, RequiresAUsableKeyForNonRepeatableCalls) {
  EXPECT_EQ(StatusOf(Order("")), 400);
  EXPECT_EQ(StatusOf(Order("no-uuid")), 400);
  EXPECT_EQ(StatusOf(Order(KeyMadeAt(kNowMs + 60000))), 400);
  EXPECT_EQ(StatusOf(Order(KeyMadeAt(kNowMs))), 200);
}

TEST(FilterChain, PicksTheSameHomeForTheSameKey) {
  const std::string key = KeyMadeAt(kNowMs);
  request_context first = ContextOf(Order(key));
  request_context second = ContextOf(Order(key));
  Chain().Apply(first);
  Chain().Apply(second);
  EXPECT_FALSE(first.idempotent);
  ASSERT_TRUE(first.key_owner.has_value());
  EXPECT_EQ(first.key_owner->endpoint, second.key_owner->endpoint);
}

TEST(FilterChain, LowersButNeverRaisesTheClass) {
  net::http_request request = Completion(R"({"model":"straps","prompt":"p"})");
  request.headers["x-priority"] = "may-wait";
  request_context context = ContextOf(request);
  Chain().Apply(context);
  EXPECT_EQ(context.priority, core::priority_class::may_wait);
  request.headers["x-priority"] = "first";
  EXPECT_EQ(StatusOf(request), 400);
}

TEST(FilterChain, RefusesWhileDrainingOrOverloaded) {
  const auto request = Completion(R"({"model":"straps","prompt":"p"})");
  EXPECT_EQ(StatusOf(request, {true, 0, 10}), 503);
  EXPECT_EQ(StatusOf(request, {false, 10, 10}), 429);
}

TEST(RequestError, CarriesOutcomeAndRetryAfter) {
  const request_error failure = ErrorForFailure(
      core::outcome::not_run, "overloaded", "busy", core::milliseconds(1500));
  const net::http_response response =
      failure.ToResponse(core::request_id("r1"));
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(response.headers.at("retry-after"), "2");
  const auto body = nlohmann::json::parse(response.body);
  EXPECT_EQ(body["error"]["outcome"], "not_run");
  EXPECT_EQ(body["error"]["request_id"], "r1");
  EXPECT_EQ(ErrorForFailure(core::outcome::unknown, "outcome_unknown", "",
                            core::milliseconds(0))
                .Status(),
            502);
}

}  // namespace
}  // namespace comfreyspring::entry

#include "agent/service_controller.h"

#include <gtest/gtest.h>

#include "agent/test_doubles.h"

namespace comfreyspring::agent {
namespace {

using ::testing::_;
using ::testing::Field;
using ::testing::NiceMock;

const core::attempt_id kAttempt("r.1");

class service_controller_test : public ::testing::Test {
 protected:
  service_controller_test() {
    service_.SetListener(listener_);
    service_.Begin();
  }

  net::http_call_id Run(bool idempotent,
                        const std::string& path = "/orders/7") {
    auto request = std::make_shared<wire::submit>();
    request->attempt = kAttempt;
    request->kind = core::request_kind::service_call;
    request->idempotent = idempotent;
    request->key = core::idempotency_key("key-1");
    request->method = "PUT";
    request->path = path;
    request->content_type = "application/json";
    request->body = "{}";
    service_.Run({.request = request});
    return http_.Open("http://s").front();
  }

  net::event_loop loop_;
  NiceMock<mock_http_client> http_;
  NiceMock<mock_endpoint_listener> listener_;
  service_controller service_{loop_,
                              http_,
                              {.url = net::url::Parse("http://s"),
                               .down_duration = core::milliseconds(20)}};
};

TEST_F(service_controller_test, ForwardsTheCallAndItsKey) {
  const auto call = Run(false);
  EXPECT_EQ(http_.CallOf(call).method, "PUT");
  EXPECT_EQ(http_.CallOf(call).url.Text(), "http://s/orders/7");
  EXPECT_EQ(http_.CallOf(call).headers.at("idempotency-key"), "key-1");
  EXPECT_EQ(http_.CallOf(call).headers.at("content-type"), "application/json");
  EXPECT_EQ(http_.CallOf(call).body, "{}");
  EXPECT_CALL(listener_,
              OnCompleted(kAttempt, Field(&run_result::status, 503)));
  http_.Answer(call, 503, "busy");
}

// A path with a space was never sent; one with '?' reached another path.
TEST_F(service_controller_test, ThePathOfACallIsEncoded) {
  const auto call = Run(true, "/a b/?c#d/%2F/\r\n/");
  EXPECT_EQ(http_.CallOf(call).url.Text(),
            "http://s/a%20b/%3Fc%23d/%252F/%0D%0A/");
}

// Guards against a second run: the HTTP library may resend a call on a reused
// connection.
TEST_F(service_controller_test, ANonRepeatableCallUsesAFreshConnection) {
  EXPECT_TRUE(http_.CallOf(Run(false)).fresh_connection);
}

// Guards against a second run after the connection broke during the call.
TEST_F(service_controller_test, ABrokenConnectionIsUnknownAndNotRetried) {
  const auto call = Run(false);
  EXPECT_CALL(http_, Start(_, _)).Times(0);
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::unknown)));
  EXPECT_CALL(listener_, OnReleased(kAttempt));
  http_.Fail(call, net::http_failure::broken);
}

TEST_F(service_controller_test, ARefusedConnectionIsNotRun) {
  const auto call = Run(false);
  EXPECT_CALL(listener_, OnFailed(kAttempt, Field(&run_failure::outcome,
                                                  core::outcome::not_run)));
  http_.Fail(call, net::http_failure::not_sent);
  EXPECT_FALSE(service_.IsUp());
  EXPECT_TRUE(loop_.RunUntil([&] { return service_.IsUp(); },
                             core::milliseconds(5000)));
}

TEST_F(service_controller_test, CancelDropsTheCall) {
  Run(true);
  EXPECT_CALL(listener_, OnCancelled(kAttempt));
  service_.Cancel(kAttempt);
  EXPECT_TRUE(http_.Open("http://s").empty());
}

}  // namespace
}  // namespace comfreyspring::agent

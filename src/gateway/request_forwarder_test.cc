#include "gateway/request_forwarder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/forwarder_fixture_test.h"

namespace comfreyspring::gateway::test {
namespace {

/** A gateway whose first read of the configuration has not completed. */
class starting_gateway_test : public request_forwarder_test {
 protected:
  void SetUp() override {
    source_.is_late = true;
    request_forwarder_test::SetUp();
  }
};

TEST_F(starting_gateway_test, ServesRequestsHeldForTheConfiguration) {
  const auto caller = Send("/once/a");
  EXPECT_EQ(caller->responses, 0);
  EXPECT_EQ(forwarder_.ActiveCount(), 1U);
  source_.CompleteRead();
  EXPECT_TRUE(
      loop_.RunUntil([&] { return !http_.calls.empty(); }, milliseconds(1000)));
  http_.Respond(200, Own(), "x");
  EXPECT_EQ(caller->response.status, 200);
}

TEST_F(starting_gateway_test, RefusesHeldRequestsWhenThePlatformIsUnreachable) {
  const auto caller = Send("/once/a");
  EXPECT_TRUE(
      loop_.RunUntil([&] { return caller->responses > 0; }, milliseconds(800)));
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.body, "no_configuration");
  const auto later = Send("/once/a");
  EXPECT_EQ(later->response.status, 503);
}

// The caller's time may end before the wait for the configuration does.
TEST_F(starting_gateway_test, AnswersAHeldRequestAtItsDeadline) {
  const auto caller = Send("/once/a", "150");
  const auto patient = Send("/once/a");
  Wait(milliseconds(180));
  EXPECT_EQ(caller->responses, 1);
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.headers.count("retry"), 1U);
  EXPECT_EQ(patient->responses, 0);
  EXPECT_EQ(forwarder_.ActiveCount(), 1U);
  source_.CompleteRead();
  Wait(milliseconds(50));
  EXPECT_EQ(http_.calls.size(), 1U);
  EXPECT_EQ(caller->responses, 1);
}

TEST_F(starting_gateway_test, AnswersARequestThatHasNoTimeToBeHeld) {
  const auto caller = Send("/once/a", "10");
  Wait(milliseconds(50));
  EXPECT_EQ(caller->response.status, 503);
}

// The time for which a request was held is part of its time limit.
TEST_F(starting_gateway_test, ForwardsTheTimeThatAHeldRequestHasLeft) {
  Send("/once/a", "400");
  Wait(milliseconds(200));
  source_.CompleteRead();
  Wait(milliseconds(50));
  ASSERT_EQ(http_.calls.size(), 1U);
  EXPECT_LE(std::stoi(http_.calls[0].call.headers.at("left")), 200);
}

TEST_F(starting_gateway_test, RefusesHeldRequestsOfAServiceWithoutEndpoints) {
  std::erase_if(source_.first.changes, [](const auto& change) {
    return std::holds_alternative<catalog::endpoint_record>(change.content);
  });
  const auto caller = Send("/once/a");
  source_.CompleteRead();
  Wait(milliseconds(50));
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.body, "no_endpoint");
}

TEST_F(starting_gateway_test, AnswersHeldRequestsWithoutARoute) {
  const auto caller = Send("/none/");
  source_.CompleteRead();
  Wait(milliseconds(50));
  EXPECT_EQ(caller->response.status, 404);
}

TEST_F(starting_gateway_test, ServesHeldRequestsWhileTheStopLeavesTime) {
  const auto caller = Send("/once/a");
  BeginDrain(milliseconds(1000), milliseconds(2000));
  source_.CompleteRead();
  Wait(milliseconds(50));
  ASSERT_EQ(http_.calls.size(), 1U);
  EXPECT_LE(std::stoi(http_.calls[0].call.headers.at("left")), 2000);
  http_.Respond(200, Own(), "x");
  EXPECT_EQ(caller->response.status, 200);
}

// A stop does not end the wait for a configuration that does not come.
TEST_F(starting_gateway_test, RefusesHeldRequestsInTimeWhileItStops) {
  const auto caller = Send("/once/a");
  BeginDrain(milliseconds(2000), milliseconds(4000));
  EXPECT_TRUE(
      loop_.RunUntil([&] { return caller->responses > 0; }, milliseconds(800)));
  EXPECT_EQ(caller->response.status, 503);
}

TEST_F(starting_gateway_test, DropsHeldRequestsOfDisconnectedCallers) {
  const auto caller = Send("/once/a");
  caller->gone();
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
  source_.CompleteRead();
  loop_.RunUntil([] { return false; }, milliseconds(50));
  EXPECT_TRUE(http_.calls.empty());
}

TEST_F(request_forwarder_test, ForwardsAResponseUnchanged) {
  const auto caller = Send("/once/a?b=%20");
  ASSERT_EQ(http_.calls.size(), 1U);
  EXPECT_EQ(http_.calls[0].call.target, "/once/a?b=%20");
  http_.Respond(201, Own(), "body");
  EXPECT_EQ(caller->response.status, 201);
  EXPECT_EQ(caller->response.body, "body");
  EXPECT_EQ(caller->responses, 1);
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

TEST_F(request_forwarder_test, AnswersRequestsWithoutARoute) {
  EXPECT_EQ(Send("/none/")->response.status, 404);
  EXPECT_TRUE(http_.calls.empty());
}

// A call that may have run must neither be sent again nor be reported as not
// run.
TEST_F(request_forwarder_test, ABrokenUnsafeCallIsNotRetried) {
  const auto caller = Send("/once/a");
  http_.Done(net::http_failure::broken);
  EXPECT_EQ(http_.calls.size(), 1U);
  EXPECT_EQ(caller->response.status, 502);
  EXPECT_EQ(caller->response.headers.count("retry"), 0U);
}

TEST_F(request_forwarder_test, AnUnsafeCallThatWasNotSentIsRetriedElsewhere) {
  const auto caller = Send("/once/a");
  http_.Done(net::http_failure::not_sent);
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_NE(InstanceOf(0), InstanceOf(1));
  http_.Respond(200, Own(), "x");
  EXPECT_EQ(caller->response.status, 200);
}

TEST_F(request_forwarder_test, ReportsAShedUnsafeCallAsNotRun) {
  const auto caller = Send("/once/a");
  http_.Respond(503, {{"not-run", "1"}});
  // The route allows one endpoint, so only the same one may be retried.
  while (caller->responses == 0) {
    EXPECT_EQ(InstanceOf(http_.calls.size() - 1), InstanceOf(0));
    http_.Respond(503, {{"not-run", "1"}});
  }
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.headers.count("retry"), 1U);
}

// A 503 without the not-run header does not prove that the call has not run, so
// the caller must not be told to retry.
TEST_F(request_forwarder_test, A503WithoutTheNotRunHeaderMayHaveRun) {
  const auto caller = Send("/once/a");
  http_.Respond(503, {});
  EXPECT_EQ(caller->response.status, 502);
}

// What the first endpoint stated is no statement of the second one.
TEST_F(request_forwarder_test, AnAttemptWithoutAResponseIsNotReportedAsNotRun) {
  const auto caller = Send("/once/a");
  http_.Respond(503, {{"not-run", "1"}});
  ASSERT_EQ(http_.calls.size(), 2U);
  http_.Done();
  EXPECT_EQ(http_.calls.size(), 2U);
  EXPECT_EQ(caller->response.status, 502);
}

TEST_F(request_forwarder_test, RetriesAnIdempotentCallElsewhere) {
  const auto caller = Send("/again/a");
  http_.Respond(500, Own(), "failed");
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_NE(InstanceOf(0), InstanceOf(1));
  http_.Respond(200, Own(), "good");
  EXPECT_EQ(caller->response.body, "good");
}

TEST_F(request_forwarder_test, ReturnsTheEndpointsErrorWhenRetriesFail) {
  const auto caller = Send("/again/a");
  http_.Respond(500, Own(), "failed");
  while (caller->responses == 0) http_.Done(net::http_failure::broken);
  EXPECT_EQ(caller->response.status, 500);
  EXPECT_EQ(caller->response.body, "failed");
}

// Guards against forwarding a response to another request on the same
// connection, which would leak it to the wrong caller.
TEST_F(request_forwarder_test, DoesNotForwardAResponseToAnotherRequest) {
  const auto caller = Send("/once/a");
  http_.Respond(200, {{"id", "other"}}, "secret");
  EXPECT_EQ(caller->response.status, 502);
  EXPECT_EQ(caller->response.body.find("secret"), std::string::npos);
}

TEST_F(request_forwarder_test, StreamsCompleteEventsAsTheyArrive) {
  const auto caller = Send("/stream/a");
  http_.Headers(200, Own());
  EXPECT_FALSE(caller->streaming);
  http_.Data("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_TRUE(caller->streaming);
  EXPECT_EQ(caller->written, "id: 1\ndata: a\n\n");
  http_.Data("ta: b\n\n");
  http_.Done();
  EXPECT_EQ(caller->written, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(caller->ended);
}

// A stream that is cut off must not look complete to the caller.
TEST_F(request_forwarder_test, AbortsTheCallersConnectionWhenAStreamBreaks) {
  const auto caller = Send("/stream/a");
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  http_.Done(net::http_failure::broken);
  EXPECT_FALSE(caller->ended);
  EXPECT_TRUE(caller->aborted);
  EXPECT_EQ(http_.calls.size(), 1U);
}

// No event is lost or duplicated when a stream resumes at another endpoint.
TEST_F(request_forwarder_test, ResumesAStreamAfterItsLastEvent) {
  const auto caller = Send("/resume/a");
  http_.Headers(200, Own());
  http_.Data("id: 1\n\nid: 2\n\nid: 3\nhalf");
  http_.Done(net::http_failure::broken);
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_NE(InstanceOf(0), InstanceOf(1));
  EXPECT_EQ(http_.calls[1].call.headers.at("after"), "2");
  http_.Headers(200, Own());
  http_.Data("id: 3\n\n");
  http_.Done();
  EXPECT_EQ(caller->written, "id: 1\n\nid: 2\n\nid: 3\n\n");
  EXPECT_TRUE(caller->ended);
  EXPECT_EQ(caller->responses, 1);
}

/** A stream that ends without an error; the parameter tells how. */
class stream_end_test : public request_forwarder_test,
                        public ::testing::WithParamInterface<net::body_end> {
 protected:
  std::shared_ptr<fake_exchange> Stream(const std::string& target,
                                        const std::string& body) {
    auto caller = Send(target);
    http_.Headers(200, Own());
    if (!body.empty()) http_.Data(body);
    http_.End(GetParam());
    return caller;
  }
};

INSTANTIATE_TEST_SUITE_P(ends, stream_end_test,
                         ::testing::Values(net::body_end::framed,
                                           net::body_end::connection),
                         [](const auto& instance) {
                           return std::string(ToString(instance.param));
                         });

// An engine that breaks off may end the message in order.
TEST_P(stream_end_test, InsideAnEventIsNotComplete) {
  for (const std::string rest :
       {"i", "id: 2", "id: 2\n", "id: 2\r\ndata: b", "data: b\r", ": comm"}) {
    const auto caller = Stream("/stream/a", "id: 1\ndata: a\n\n" + rest);
    EXPECT_FALSE(caller->ended) << rest;
    EXPECT_TRUE(caller->aborted) << rest;
    EXPECT_EQ(caller->written, "id: 1\ndata: a\n\n") << rest;
  }
}

TEST_P(stream_end_test, InsideAnEventIsResumed) {
  const auto caller = Stream("/resume/a", "id: 1\ndata: a\n\nid: 2\ndat");
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_EQ(http_.calls[1].call.headers.at("after"), "1");
  http_.Headers(200, Own());
  http_.Data("id: 2\ndata: b\n\n");
  http_.End(GetParam());
  EXPECT_EQ(caller->written, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(caller->ended);
  EXPECT_EQ(caller->responses, 1);
}

TEST_P(stream_end_test, InsideTheFirstEventIsAFailureBeforeTheResponse) {
  const auto caller = Stream("/stream/a", "id: 1\nda");
  EXPECT_EQ(caller->response.status, 502);
  EXPECT_FALSE(caller->streaming);
  Stream("/resume/a", "id: 1\nda");
  EXPECT_EQ(http_.calls.size(), 3U);
  EXPECT_EQ(http_.calls[2].call.headers.at("after"), "");
}

TEST_P(stream_end_test, BetweenEventsIsComplete) {
  for (const std::string body : {"id: 1\n\n", "id: 1\r\n\r\n", "id: 1\r\r",
                                 "id: 1\n\n: comment\n", "id: 1\n\n\n"}) {
    const auto caller = Stream("/stream/a", body);
    EXPECT_TRUE(caller->ended) << body;
    EXPECT_EQ(caller->written, body);
  }
}

// An empty stream that ends with its connection looks like one that broke off
// ahead of its first event.
TEST_P(stream_end_test, WithoutAnEventIsCompleteOnlyIfFramed) {
  const bool is_framed = GetParam() == net::body_end::framed;
  EXPECT_EQ(Stream("/stream/a", "")->response.status, is_framed ? 200 : 502);
  const auto resumed = Stream("/resume/a", "id: 1\ndata: a\n\nid");
  http_.Headers(200, Own());
  http_.End(GetParam());
  EXPECT_EQ(resumed->ended, is_framed);
}

// A response without a stream may end with its connection; the users' protocol
// has no other sign of its end.
TEST_P(stream_end_test, OfAPlainBodyIsComplete) {
  EXPECT_EQ(Stream("/once/a", "body")->response.body, "body");
}

/** What further endpoints answer to a stream that has broken off. */
struct bad_continuation {
  const char* name;
  int status;
  bool authentic;
  std::string type;
  std::string body;
  net::http_failure failure = net::http_failure::none;
};

class bad_continuation_test
    : public request_forwarder_test,
      public ::testing::WithParamInterface<bad_continuation> {};

INSTANTIATE_TEST_SUITE_P(
    answers, bad_continuation_test,
    ::testing::Values(
        bad_continuation{"Error", 500, true, "text/plain", "no memory\n\n"},
        bad_continuation{"ErrorWithoutMark", 500, false, "text/plain",
                         "bad\n\n"},
        bad_continuation{"ErrorAsEvents", 500, true, "text/event-stream",
                         "id: 3\ndata: error\n\n"},
        bad_continuation{"HeadCutOff", 0, false, "", "",
                         net::http_failure::broken},
        bad_continuation{"SuccessOfAnotherType", 200, true, "application/json",
                         "{\"error\":\"no memory\"}\n\n"},
        bad_continuation{"TextInsteadOfEvents", 200, true, "text/event-stream",
                         "HTTP/1.1 500 Error\r\nx: y\r\n\r\nno memory"},
        bad_continuation{"FromTheBeginning", 200, true, "text/event-stream",
                         "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
        bad_continuation{"OneLeftOut", 200, true, "text/event-stream",
                         "id: 4\ndata: d\n\n"}),
    [](const auto& instance) { return std::string(instance.param.name); });

// Nothing but the events that are due may follow in the caller's stream, and
// the stream must not look complete.
TEST_P(bad_continuation_test, DoesNotReachTheCallersStream) {
  const auto caller = Send("/resume/a");
  auto first = Own();
  first["content-type"] = "text/event-stream";
  http_.Headers(200, first);
  http_.Data("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  http_.Done(net::http_failure::broken);
  std::size_t answered = 1;
  while (http_.calls.size() > answered && answered < 10) {
    answered = http_.calls.size();
    EXPECT_EQ(http_.calls.back().call.headers.at("after"), "2");
    if (GetParam().status != 0) {
      net::header_map headers;
      if (GetParam().authentic) headers = Own();
      headers["content-type"] = GetParam().type;
      http_.Headers(GetParam().status, headers);
      if (!http_.calls.back().cancelled) http_.Data(GetParam().body);
    }
    if (!http_.calls.back().cancelled && http_.calls.size() == answered) {
      http_.Done(GetParam().failure);
    }
  }
  EXPECT_GE(answered, 2U);
  EXPECT_EQ(caller->written, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_FALSE(caller->ended);
  EXPECT_TRUE(caller->aborted);
  EXPECT_EQ(caller->responses, 1);
}

// The earlier answer to the request, written once more, bears the same id.
TEST_F(request_forwarder_test, ASecondAttemptAtAnEndpointHasANewConnection) {
  Send("/again/a");
  std::set<std::string> used;
  for (std::size_t attempt = 0; attempt < 4; ++attempt) {
    ASSERT_GT(http_.calls.size(), attempt);
    const bool is_again = !used.insert(InstanceOf(attempt)).second;
    EXPECT_EQ(http_.calls[attempt].call.fresh_connection, is_again) << attempt;
    auto headers = Own();
    headers["not-run"] = "1";
    http_.Respond(503, headers);
  }
}

// A response to another request may be followed on the same connection by the
// one that is due. Such a connection must not be reused.
TEST_F(request_forwarder_test, AResponseToAnotherRequestEndsItsConnection) {
  Send("/once/a");
  http_.Headers(200, {{"id", "other"}});
  EXPECT_TRUE(http_.calls[0].cancelled);
}

// The gateway acts on the notice itself while the platform still lists the
// endpoint as ready.
TEST_F(request_forwarder_test, ADrainingEndpointGetsNoNewRequests) {
  const auto first = Send("/once/a");
  const std::string left = InstanceOf(0);
  auto headers = Own();
  headers["leaving"] = "1";
  http_.Respond(200, headers, "x");
  EXPECT_EQ(first->response.status, 200);
  for (int i = 0; i < 20; ++i) {
    Send("/again/a");
    EXPECT_NE(InstanceOf(http_.calls.size() - 1), left);
    http_.Respond(200, Own(), "x");
  }
}

TEST_F(request_forwarder_test, RequestsAtADrainingEndpointContinue) {
  std::vector<std::shared_ptr<fake_exchange>> callers;
  for (int i = 0; i < 6; ++i) callers.push_back(Send("/stream/a"));
  for (std::size_t call = 0; call < 6; ++call) {
    auto headers = Own();
    headers["leaving"] = "1";
    const auto on_headers = http_.calls[call].callbacks.on_headers;
    on_headers(200, headers);
  }
  loop_.RunUntil([] { return false; }, milliseconds(50));
  for (std::size_t call = 0; call < 6; ++call) {
    EXPECT_FALSE(http_.calls[call].cancelled);
    const auto on_data = http_.calls[call].callbacks.on_data;
    on_data("id: 1\n\n");
    const auto on_done = http_.calls[call].callbacks.on_done;
    on_done({});
    EXPECT_TRUE(callers[call]->ended);
  }
  // All endpoints are draining: the next request is refused at once.
  EXPECT_EQ(Send("/stream/a")->response.status, 503);
}

TEST_F(request_forwarder_test, AnEndpointGetsNoRequestsDuringItsBackoff) {
  const auto first = Send("/once/a");
  const std::string refusing = InstanceOf(0);
  http_.Respond(503, {{"not-run", "1"}, {"refuses-ms", "300"}});
  EXPECT_EQ(first->response.status, 503);
  for (int i = 0; i < 20; ++i) {
    Send("/again/a");
    EXPECT_NE(InstanceOf(http_.calls.size() - 1), refusing);
    http_.Respond(200, Own(), "x");
  }
  loop_.RunUntil([] { return false; }, milliseconds(400));
  // Drains the others, so that the choice does not depend on their latencies.
  bool is_used = false;
  for (int i = 0; i < 10; ++i) {
    const auto caller = Send("/again/a");
    if (InstanceOf(http_.calls.size() - 1) == refusing) {
      is_used = true;
      http_.Respond(200, Own(), "x");
    } else {
      http_.Respond(200, {{"id", "r1"}, {"leaving", "1"}}, "x");
    }
    EXPECT_EQ(caller->response.status, 200);
  }
  EXPECT_TRUE(is_used);
}

// All endpoints are backing off: the caller is told the earliest time at which
// one of them accepts requests again.
TEST_F(request_forwarder_test, ReportsTheShortestBackoffOfAllEndpoints) {
  for (const char* time : {"900", "400", "700"}) {
    Send("/once/a");
    http_.Respond(503, {{"not-run", "1"}, {"refuses-ms", time}});
  }
  const std::size_t calls = http_.calls.size();
  const auto caller = Send("/again/a");
  EXPECT_EQ(http_.calls.size(), calls);
  EXPECT_EQ(caller->response.status, 503);
  const int retry = std::stoi(caller->response.headers.at("retry"));
  EXPECT_GT(retry, 300);
  EXPECT_LE(retry, 450);
}

// No sidecar can count the requests of all gateways, so only a few requests are
// sent to hear when the limit ends; the other endpoints serve the rest.
TEST_F(request_forwarder_test, ALimitThatNoSidecarCountsIsOnlyProbed) {
  Send("/once/a");
  const std::string limited = InstanceOf(0);
  http_.Respond(200, {{"id", "r1"}, {"limit-per-s", "50"}}, "x");
  int sent_there = 0;
  for (int i = 0; i < 60; ++i) {
    const auto caller = Send("/again/a");
    if (InstanceOf(http_.calls.size() - 1) == limited) ++sent_there;
    http_.Respond(200, {{"id", "r1"}}, "x");
    EXPECT_EQ(caller->response.status, 200);
  }
  EXPECT_LE(sent_there, 1);
  log_.Flush();
  EXPECT_NE(log_text_.find("\"per_s\":\"50\""), std::string::npos);
}

// Guards against callers that wait for endpoints that cannot take them.
TEST_F(request_forwarder_test, RefusesAtOnceIfAllEndpointsAreRateLimited) {
  for (int i = 0; i < 12; ++i) {
    const std::size_t calls = http_.calls.size();
    Send("/once/a");
    if (http_.calls.size() == calls) continue;
    http_.Respond(200, {{"id", "r1"}, {"limit-per-s", "0"}}, "x");
  }
  const std::size_t calls = http_.calls.size();
  EXPECT_LE(calls, 6U);
  const auto caller = Send("/once/a");
  EXPECT_EQ(http_.calls.size(), calls);
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.body, "rate_limited");
  EXPECT_GT(std::stoi(caller->response.headers.at("retry")), 0);
}

TEST_F(request_forwarder_test, IgnoresLimitsThatAreUnreadableOrOfOthers) {
  Send("/once/a");
  http_.Respond(200, {{"id", "r1"}, {"limit-per-s", "unreadable"}}, "x");
  Send("/once/a");
  http_.Respond(200, {{"id", "other"}, {"limit-per-s", "0"}}, "x");
  const auto state = nlohmann::json::parse(forwarder_.Dump());
  for (const auto& endpoint : state.at("endpoints")) {
    EXPECT_EQ(endpoint.at("limit_per_s"), "");
  }
  log_.Flush();
  EXPECT_NE(log_text_.find("\"change\":\"unreadable\""), std::string::npos);
}

// The page of the state failed while such a request was in progress.
TEST_F(request_forwarder_test, TheStateHoldsIdsThatAreNoText) {
  Send("/once/a", "1000", "r\xff");
  const auto state = nlohmann::json::parse(forwarder_.Dump());
  EXPECT_EQ(state.at("requests").size(), 1U);
}

TEST_F(request_forwarder_test, CancelsAnEndlessResponse) {
  const auto caller = Send("/once/a");
  http_.Headers(200, Own());
  const std::string piece(1024 * 1024, 'x');
  for (int i = 0; i < 64 && !http_.calls[0].cancelled; ++i) http_.Data(piece);
  EXPECT_TRUE(http_.calls[0].cancelled);
  EXPECT_EQ(caller->response.status, 502);
}

// The memory limit applies to all buffered responses together, and all of it is
// available again afterwards.
TEST_F(request_forwarder_test, LimitsTheMemoryOfManyEndlessResponses) {
  std::vector<std::shared_ptr<fake_exchange>> callers;
  for (int i = 0; i < 40; ++i) callers.push_back(Send("/once/a"));
  const std::string piece(1024 * 1024, 'x');
  std::vector<std::size_t> received(40);
  for (std::size_t call = 0; call < 40; ++call) {
    const auto on_headers = http_.calls[call].callbacks.on_headers;
    on_headers(200, Own());
    const auto on_data = http_.calls[call].callbacks.on_data;
    for (int i = 0; i < 4 && !http_.calls[call].cancelled; ++i) {
      on_data(piece);
      received[call] += piece.size();
      std::size_t held = 0;
      for (std::size_t other = 0; other < 40; ++other) {
        if (!http_.calls[other].cancelled) held += received[other];
      }
      ASSERT_LE(held, 16U * 1024 * 1024);
    }
  }
  for (std::size_t call = 0; call < 40; ++call) {
    if (http_.calls[call].cancelled) continue;
    const auto on_done = http_.calls[call].callbacks.on_done;
    on_done({.failure = net::http_failure::broken});
  }
  const auto caller = Send("/once/a");
  http_.Respond(200, Own(), piece);
  EXPECT_EQ(caller->response.status, 200);
}

// Responses without end that fill the buffers must not take the place of small
// ones.
TEST_F(request_forwarder_test, FullBuffersAreFreedOfTheLargestResponses) {
  const auto sound = Send("/once/a");
  const net::http_callbacks of_sound = http_.calls[0].callbacks;
  of_sound.on_headers(200, Own());
  of_sound.on_data("first half, ");
  std::vector<std::shared_ptr<fake_exchange>> callers;
  // Smaller and smaller pieces, until not a byte is free.
  for (std::size_t size = 512 * 1024; size > 0; size /= 8) {
    const std::string piece(size, 'x');
    for (int i = 0; i < 40; ++i) {
      callers.push_back(Send("/once/a"));
      http_.Headers(200, Own());
      http_.Data(piece);
    }
  }
  of_sound.on_data("second half");
  EXPECT_FALSE(http_.calls[0].cancelled);
  of_sound.on_done({});
  EXPECT_EQ(sound->response.status, 200);
  EXPECT_EQ(sound->response.body, "first half, second half");
  const auto failed = std::count_if(
      callers.begin(), callers.end(),
      [](const auto& caller) { return caller->response.status == 502; });
  EXPECT_GE(failed, 8);
}

// A caller that reads nothing of a stream counts with what waits for it.
TEST_F(request_forwarder_test, FullBuffersAreFreedOfUnreadStreams) {
  const auto start_stream = [&](int events) {
    auto caller = Send("/stream/a");
    caller->reads = false;
    http_.Headers(200, Own());
    for (int event = 1; event <= events && !caller->aborted; ++event) {
      http_.Data("id: " + std::to_string(event) +
                 "\ndata: " + std::string(200 * 1000, 'x') + "\n\n");
    }
    return caller;
  };
  const auto unread = start_stream(45);
  const auto answer = Send("/once/a");
  http_.Headers(200, Own());
  http_.Data(std::string(1000 * 1000, 'x'));
  EXPECT_FALSE(unread->aborted);
  const auto other = start_stream(40);
  EXPECT_TRUE(unread->aborted);
  EXPECT_FALSE(other->aborted);
  EXPECT_FALSE(http_.calls[1].cancelled);
}

TEST_F(request_forwarder_test, CancelsAnEndlessEvent) {
  const auto caller = Send("/stream/a");
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  const std::string piece(64 * 1024, 'x');
  for (int i = 0; i < 64 && !http_.calls[0].cancelled; ++i) http_.Data(piece);
  EXPECT_TRUE(http_.calls[0].cancelled);
  EXPECT_TRUE(caller->aborted);
  EXPECT_EQ(caller->written, "id: 1\n\n");
}

/** Bytes that a stream sends without end and that hold no event. */
class endless_stream_test : public request_forwarder_test,
                            public ::testing::WithParamInterface<const char*> {
};

TEST_P(endless_stream_test, IsCancelledAfterItsEvents) {
  const auto caller = Send("/stream/a");
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  std::string piece;
  while (piece.size() < std::size_t{64} * 1024) piece += GetParam();
  for (int i = 0; i < 64 && !http_.calls[0].cancelled; ++i) http_.Data(piece);
  EXPECT_TRUE(http_.calls[0].cancelled);
  EXPECT_TRUE(caller->aborted);
  EXPECT_EQ(caller->written.substr(0, 7), "id: 1\n\n");
  EXPECT_LE(caller->written.size(), std::size_t{512} * 1024);
}

INSTANTIATE_TEST_SUITE_P(answers, endless_stream_test,
                         ::testing::Values("\n", "\r\n", ":\n\n", ": comment\n",
                                           "\r"));

// Keep-alives between events are rare and short, but there may be many.
TEST_F(request_forwarder_test, AStreamWithCommentsBetweenItsEventsIsPassedOn) {
  const auto caller = Send("/stream/a");
  http_.Headers(200, Own());
  for (int event = 1; event <= 1000; ++event) {
    for (int i = 0; i < 20; ++i) http_.Data(": keep-alive\n\n");
    http_.Data("id: " + std::to_string(event) + "\n\n");
  }
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

/** A stream whose caller reads more slowly than the endpoint sends. */
class unread_stream_test : public request_forwarder_test {
 protected:
  static constexpr std::size_t kEventBytes = std::size_t{64} * 1024;

  void StartStream() {
    caller_ = Send("/resume/a", "20000");
    caller_->reads = false;
    http_.Headers(200, Own());
  }
  /** The caller reads nothing of what the endpoint sends until it is held. */
  std::size_t SendUntilHeld() {
    std::size_t sent = 0;
    while (!http_.calls[0].held && !http_.calls[0].cancelled &&
           sent < 64 * kEventBytes) {
      const std::string event = "id: " + std::to_string(++events_) +
                                "\ndata: " + std::string(kEventBytes, 'd') +
                                "\n\n";
      sent += event.size();
      http_.Data(event);
    }
    return sent;
  }
  /** The caller reads all but `left` bytes. */
  void Read(std::size_t left) {
    caller_->pending = left;
    if (left > caller_->drained_at || !caller_->drained) return;
    std::exchange(caller_->drained, nullptr)();
  }

  std::shared_ptr<fake_exchange> caller_;
  int events_ = 0;
};

// Callers that read slowly must not make the gateway keep what endpoints send:
// the endpoint waits instead, and goes on when the caller has read.
TEST_F(unread_stream_test, WaitsAtItsEndpoint) {
  StartStream();
  EXPECT_LE(SendUntilHeld(), std::size_t{256} * 1024);
  EXPECT_TRUE(http_.calls[0].held);
  Read(100 * 1000);
  EXPECT_TRUE(http_.calls[0].held);
  Read(0);
  EXPECT_FALSE(http_.calls[0].held);
  EXPECT_GT(SendUntilHeld(), 0U);
  Read(0);
  http_.Done();
  EXPECT_TRUE(caller_->ended);
}

// The silence of an endpoint that must wait is not its own.
TEST_F(unread_stream_test, IsNotTakenForASilentEndpoint) {
  StartStream();
  SendUntilHeld();
  for (int i = 1; i <= 6; ++i) {
    Wait(milliseconds(400));
    Read(130 * 1000 - static_cast<std::size_t>(i) * 1000);
  }
  EXPECT_FALSE(http_.calls[0].cancelled);
  EXPECT_EQ(http_.calls.size(), 1U);
}

// A caller that reads nothing would hold its endpoint's capacity for ever.
TEST_F(unread_stream_test, EndsWhenItsCallerReadsNothing) {
  StartStream();
  SendUntilHeld();
  Wait(milliseconds(1500));
  EXPECT_FALSE(caller_->aborted);
  Wait(milliseconds(1000));
  EXPECT_TRUE(caller_->aborted);
  EXPECT_TRUE(http_.calls[0].cancelled);
  log_.Flush();
  EXPECT_NE(log_text_.find("caller_does_not_read"), std::string::npos);
}

// Single bytes are no progress; complete events are, however slow.
TEST_F(request_forwarder_test, ResumesElsewhereWhenAStreamOnlyDripsBytes) {
  Send("/resume/a");
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  const auto on_data = http_.calls[0].callbacks.on_data;
  const auto drip = loop_.SchedulePeriodic(milliseconds(100), [&] {
    if (!http_.calls[0].cancelled) on_data(":\n\n:");
  });
  EXPECT_TRUE(loop_.RunUntil([&] { return http_.calls.size() == 2; },
                             milliseconds(3000)));
  loop_.Cancel(drip);
  EXPECT_TRUE(http_.calls[0].cancelled);
}

TEST_F(request_forwarder_test, ASlowStreamOfCompleteEventsIsNotCancelled) {
  const auto caller = Send("/resume/a");
  http_.Headers(200, Own());
  int event = 0;
  const auto on_data = http_.calls[0].callbacks.on_data;
  const auto slow = loop_.SchedulePeriodic(milliseconds(700), [&] {
    on_data("id: " + std::to_string(++event) + "\n\n");
  });
  loop_.RunUntil([&] { return event == 5; }, milliseconds(4500));
  loop_.Cancel(slow);
  EXPECT_EQ(http_.calls.size(), 1U);
  EXPECT_FALSE(http_.calls[0].cancelled);
  EXPECT_FALSE(caller->aborted);
}

/** Streams of two engines whose sidecars are linked. */
class granted_stream_test : public request_forwarder_test {
 protected:
  void SetUp() override {
    Route("/tokens/", "engine",
          {.streams = true, .resumable = true, .maximum_endpoints = 2});
    configuration_.services.push_back(
        {.id = core::service_id("engine"),
         .engine = catalog::engine_profile{
             .batch_slots = 8, .adapter_slots = 4, .cache_tokens = 1000}});
    request_forwarder_test::SetUp();
    for (const char* name : {"e1", "e2"}) {
      source_.first.changes.emplace_back().content = catalog::endpoint_record{
          .instance = catalog::instance_id(name),
          .service = core::service_id("engine"),
          .address = {std::string("10.1.0.") + name[1], 80},
          .slots = 8};
    }
    ReadAgain();
    ReportStatus();
  }

  /** Both sidecars report for the first time on their links. */
  void ReportStatus() {
    for (const char* ip : {"10.1.0.1", "10.1.0.2"}) {
      grants::status_report report;
      report.status.serving = true;
      report.status.free_adapter_slots = 4;
      forwarder_.OnSidecarMessage(ip, report);
    }
  }
  /** Publishes the configuration after a change of its services. */
  void Configure(const std::function<void(catalog::service&)>& change) {
    configuration_.version += 1;
    catalog::catalog_read read;
    read.outcome = catalog::read_outcome::done;
    catalog::configuration changed = configuration_;
    for (catalog::service& service : changed.services) change(service);
    std::erase_if(changed.services, [](const catalog::service& service) {
      return service.id.Value().empty();
    });
    read.changes.emplace_back().content = std::move(changed);
    // The follower reads again after a pause.
    ASSERT_TRUE(loop_.RunUntil([this] { return source_.pending != nullptr; },
                               milliseconds(1000)));
    std::exchange(source_.pending, nullptr)(std::move(read));
  }
  void DropTheEngineService() {
    Configure([](catalog::service& service) {
      if (service.engine) service.id = core::service_id("");
    });
  }
  void MakeTheEngineServicePlain() {
    Configure([](catalog::service& service) { service.engine.reset(); });
  }
  void RestoreTheServices() {
    Configure([](catalog::service&) {});
  }

  std::shared_ptr<fake_exchange> SendTokens() {
    auto exchange = std::make_shared<fake_exchange>();
    exchange->request.method = "POST";
    exchange->request.target = "/tokens/a";
    exchange->request.headers = {
        {"id", "r1"}, {"host", "h"}, {"limit", "5000"}, {"model", "m"}};
    forwarder_.OnRequest(exchange);
    return exchange;
  }
  /** Answers the grant request with this number. */
  void Grant(std::uint64_t number) {
    forwarder_.OnSidecarMessage("", grants::grant_issued{.number = number});
  }
  void Refuse(std::uint64_t number, grants::refusal_reason reason =
                                        grants::refusal_reason::wait_too_long) {
    forwarder_.OnSidecarMessage(
        "", grants::grant_refused{.number = number,
                                  .reason = reason,
                                  .retry_after = milliseconds(500)});
  }
  /** Starts a stream that falls silent after its first event. */
  std::shared_ptr<fake_exchange> StartSilentStream() {
    const auto caller = SendTokens();
    Grant(1);
    EXPECT_EQ(http_.calls.size(), 1U);
    http_.Headers(200, Own());
    http_.Data("id: 1\n\n");
    // Longer than the stall timeout of the route.
    loop_.RunUntil([] { return false; }, milliseconds(1200));
    return caller;
  }
};

// An engine that is too slow for an answer says nothing about the others, and
// one that may be fast enough must be asked at once.
TEST_F(granted_stream_test, AnAnswerThatCannotEndInTimeIsSentElsewhere) {
  const auto caller = SendTokens();
  Refuse(1, grants::refusal_reason::cannot_finish);
  Refuse(2, grants::refusal_reason::cannot_finish);
  EXPECT_TRUE(http_.calls.empty());
  Grant(3);
  ASSERT_EQ(http_.calls.size(), 1U);
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

TEST_F(granted_stream_test, ASilentStreamThatNoOtherEngineTakesGoesOn) {
  const auto caller = StartSilentStream();
  Refuse(2);
  EXPECT_FALSE(http_.calls[0].cancelled);
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_EQ(caller->written, "id: 1\n\nid: 2\n\n");
  EXPECT_TRUE(caller->ended);
  EXPECT_FALSE(caller->aborted);
}

TEST_F(granted_stream_test, ASilentStreamIsResumedAtAnEngineThatTakesIt) {
  const auto caller = StartSilentStream();
  EXPECT_FALSE(http_.calls[0].cancelled);
  Grant(2);
  EXPECT_TRUE(http_.calls[0].cancelled);
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_NE(InstanceOf(0), InstanceOf(1));
  EXPECT_EQ(http_.calls[1].call.headers.at("after"), "1");
  http_.Headers(200, Own());
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_EQ(caller->written, "id: 1\n\nid: 2\n\n");
  EXPECT_TRUE(caller->ended);
}

// The grant may be in transit when the engine goes on.
TEST_F(granted_stream_test, AStreamThatHasGoneOnIsNotTakenOver) {
  const auto caller = StartSilentStream();
  http_.Data("id: 2\n\n");
  Grant(2);
  EXPECT_FALSE(http_.calls[0].cancelled);
  EXPECT_EQ(http_.calls.size(), 1U);
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

TEST_F(granted_stream_test, ASilentStreamThatEndsIsResumedElsewhere) {
  StartSilentStream();
  http_.Done(net::http_failure::broken);
  // The sidecar's verdict on the lost run, then the next grant request.
  forwarder_.OnSidecarMessage(
      "", grants::run_checked{.number = 1, .engine_ended = false});
  Grant(3);
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_EQ(forwarder_.ActiveCount(), 1U);
}

TEST_F(granted_stream_test, ASilentStreamGoesOnWhenItsStandbyIsLost) {
  const auto caller = StartSilentStream();
  forwarder_.OnSidecarLost("10.1.0.1");
  forwarder_.OnSidecarLost("10.1.0.2");
  Grant(2);
  loop_.RunUntil([] { return false; }, milliseconds(400));
  EXPECT_FALSE(http_.calls[0].cancelled);
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

TEST_F(granted_stream_test, AnEngineThatRefusedBeforeMayTakeASilentStream) {
  const auto caller = SendTokens();
  forwarder_.OnSidecarMessage(
      "",
      grants::grant_refused{
          .number = 1, .reason = grants::refusal_reason::fuller_than_known});
  Grant(2);
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  loop_.RunUntil([] { return false; }, milliseconds(1200));
  Grant(3);
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_NE(InstanceOf(0), InstanceOf(1));
}

// The new grant request would be the last in the queue.
TEST_F(granted_stream_test, ASilentStreamThatBreaksKeepsItsPlaceInTheQueue) {
  const auto caller = SendTokens();
  Grant(1);
  http_.Headers(200, Own());
  http_.Data("id: 1\n\nid: 2\n\n");
  loop_.RunUntil([] { return false; }, milliseconds(1200));
  http_.Done(net::http_failure::broken);
  EXPECT_EQ(http_.calls.size(), 1U);
  Grant(2);
  ASSERT_EQ(http_.calls.size(), 2U);
  EXPECT_EQ(http_.calls[1].call.headers.at("after"), "2");
}

TEST_F(granted_stream_test, ACallerThatLeavesLeavesNoStandbyBehind) {
  const auto caller = StartSilentStream();
  caller->gone();
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
  Grant(2);
  EXPECT_EQ(http_.calls.size(), 1U);
}

// The configuration takes away the sidecar in whose queue the request is.
TEST_F(granted_stream_test, AWaitingRequestIsPlacedWhenItsServiceIsDropped) {
  const auto caller = SendTokens();
  EXPECT_TRUE(http_.calls.empty());
  DropTheEngineService();
  ASSERT_EQ(http_.calls.size(), 1U);
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  http_.Done();
  EXPECT_TRUE(caller->ended);
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

TEST_F(granted_stream_test, AWaitingRequestIsPlacedWhenItsServiceBecomesPlain) {
  SendTokens();
  MakeTheEngineServicePlain();
  EXPECT_EQ(http_.calls.size(), 1U);
}

TEST_F(granted_stream_test, ARunningStreamGoesOnWhenItsServiceIsDropped) {
  const auto caller = SendTokens();
  Grant(1);
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  DropTheEngineService();
  EXPECT_FALSE(http_.calls[0].cancelled);
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_EQ(caller->written, "id: 1\n\nid: 2\n\n");
  EXPECT_TRUE(caller->ended);
  EXPECT_EQ(http_.calls.size(), 1U);
}

// The sidecar must not be asked any more either.
TEST_F(granted_stream_test, ARetryAfterItsServiceWasDroppedIsNotLeftWaiting) {
  const auto caller = SendTokens();
  Grant(1);
  DropTheEngineService();
  http_.Respond(503, {{"not-run", "1"}});
  EXPECT_EQ(http_.calls.size(), 2U);
  EXPECT_EQ(caller->responses, 0);
}

// Without its sidecar nothing tells whether the engine has ended.
TEST_F(granted_stream_test, ALostRunIsAnsweredWhenItsServiceIsDropped) {
  const auto caller = SendTokens();
  Grant(1);
  http_.Done(net::http_failure::broken);
  EXPECT_EQ(caller->responses, 0);
  DropTheEngineService();
  EXPECT_EQ(caller->response.status, 502);
  EXPECT_EQ(http_.calls.size(), 1U);
}

TEST_F(granted_stream_test, AStandbyIsNotUsedOnceItsServiceIsDropped) {
  const auto caller = StartSilentStream();
  DropTheEngineService();
  Grant(2);
  EXPECT_FALSE(http_.calls[0].cancelled);
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

TEST_F(granted_stream_test, AServiceThatIsNamedAgainGrantsItsRequests) {
  SendTokens();
  DropTheEngineService();
  RestoreTheServices();
  SendTokens();
  // Its sidecars have not reported on their new links.
  EXPECT_EQ(http_.calls.size(), 2U);
  ReportStatus();
  SendTokens();
  EXPECT_EQ(http_.calls.size(), 2U);
  Grant(2);
  EXPECT_EQ(http_.calls.size(), 3U);
}

// A silent endpoint of a plain service is no reason to refuse either.
TEST_F(request_forwarder_test, ASilentCallWithoutAnAlternativeGoesOn) {
  for (const char* name : {"p2", "p3"}) {
    forwarder_.OnEndpoint({.what = catalog::endpoint_change::kind::gone,
                           .record = {.instance = catalog::instance_id(name)}});
  }
  const auto caller = Send("/again/a");
  loop_.RunUntil([] { return false; }, milliseconds(500));
  EXPECT_FALSE(http_.calls[0].cancelled);
  http_.Respond(200, Own(), "x");
  EXPECT_EQ(caller->response.status, 200);
}

// After a pause of the gateway itself the endpoint must not count as silent.
TEST_F(request_forwarder_test, APauseOfTheGatewayIsNoStallOfTheEndpoint) {
  Send("/again/a");
  loop_.RunUntil([] { return false; }, milliseconds(250));
  forwarder_.OnPaused();
  loop_.RunUntil([] { return false; }, milliseconds(150));
  EXPECT_EQ(http_.calls.size(), 1U);
}

TEST_F(request_forwarder_test, CancelsWhenTheCallerDisconnects) {
  const auto caller = Send("/stream/a");
  caller->gone();
  EXPECT_TRUE(http_.calls[0].cancelled);
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

// No request waits beyond the caller's deadline or the route's timeout.
TEST_F(request_forwarder_test, RespondsAtTheDeadline) {
  const auto caller = Send("/once/a", "100");
  ASSERT_TRUE(loop_.RunUntil([&] { return caller->responses > 0; },
                             milliseconds(1000)));
  EXPECT_EQ(caller->response.status, 504);
  EXPECT_TRUE(http_.calls[0].cancelled);
}

TEST_F(request_forwarder_test, RetriesAnIdempotentCallOfASilentEndpoint) {
  const auto caller = Send("/again/a");
  ASSERT_TRUE(loop_.RunUntil([&] { return http_.calls.size() == 2; },
                             milliseconds(2000)));
  EXPECT_TRUE(http_.calls[0].cancelled);
  EXPECT_NE(InstanceOf(0), InstanceOf(1));
}

TEST_F(request_forwarder_test, ForwardsTheRemainingTime) {
  Send("/once/a", "300");
  const int left = std::stoi(http_.calls[0].call.headers.at("left"));
  EXPECT_LE(left, 300);
  EXPECT_GT(left, 200);
}

TEST_F(request_forwarder_test, AStoppingGatewayRefusesNewRequests) {
  BeginDrain(milliseconds(4000), milliseconds(7500));
  const auto served = Send("/once/a");
  http_.Respond(200, Own(), "x");
  EXPECT_EQ(served->response.headers.at("connection"), "close");
  forwarder_.RefuseNew();
  const auto late = Send("/once/a");
  EXPECT_EQ(late->response.status, 503);
  EXPECT_EQ(late->response.headers.count("retry"), 1U);
}

// No request may end with the process before it has its final response.
TEST_F(request_forwarder_test, AStoppingGatewayAnswersACallThatOutlastsIt) {
  const auto caller = Send("/once/a");
  BeginDrain(milliseconds(50), milliseconds(200));
  Wait(milliseconds(150));
  EXPECT_EQ(caller->responses, 0);
  Wait(milliseconds(100));
  EXPECT_EQ(caller->response.status, 504);
  EXPECT_EQ(caller->response.body, "stopping");
  EXPECT_TRUE(http_.calls[0].cancelled);
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

TEST_F(request_forwarder_test, AStoppingGatewayForwardsAStreamUntilTheLast) {
  const auto caller = Send("/stream/a");
  http_.Headers(200, Own());
  BeginDrain(milliseconds(50), milliseconds(200));
  http_.Data("id: 1\n\n");
  Wait(milliseconds(150));
  http_.Data("id: 2\n\n");
  EXPECT_FALSE(caller->aborted);
  Wait(milliseconds(100));
  EXPECT_EQ(caller->written, "id: 1\n\nid: 2\n\n");
  EXPECT_TRUE(caller->aborted);
  EXPECT_FALSE(caller->ended);
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

TEST_F(request_forwarder_test, AStoppingGatewayForwardsTheTimeThatItHasLeft) {
  BeginDrain(milliseconds(400), milliseconds(1000));
  Send("/once/a");
  const int left = std::stoi(http_.calls[0].call.headers.at("left"));
  EXPECT_LE(left, 1000);
  EXPECT_GT(left, 900);
}

// A run that begins too late would be cut off by the end of the process.
TEST_F(request_forwarder_test, AStoppingGatewayStartsNoRequestThatItMustCut) {
  BeginDrain(milliseconds(0), milliseconds(1000));
  for (const char* route : {"/once/a", "/again/a", "/stream/a", "/resume/a"}) {
    const auto caller = Send(route);
    EXPECT_EQ(caller->response.status, 503) << route;
    EXPECT_EQ(caller->response.headers.at("retry"), "20") << route;
  }
  EXPECT_TRUE(http_.calls.empty());
}

TEST_F(request_forwarder_test, AStoppingGatewayRefusesWhatDidNotRunAtOnce) {
  const auto caller = Send("/again/a");
  BeginDrain(milliseconds(0), milliseconds(1000));
  http_.Respond(503, {{"not-run", "1"}});
  EXPECT_EQ(http_.calls.size(), 1U);
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.headers.at("retry"), "20");
}

// The caller has a part of the response; only this gateway can complete it.
TEST_F(request_forwarder_test, AStoppingGatewayResumesAStreamThatBreaksLate) {
  const auto caller = Send("/resume/a");
  http_.Headers(200, Own());
  http_.Data("id: 1\n\n");
  BeginDrain(milliseconds(0), milliseconds(1000));
  http_.Done(net::http_failure::broken);
  ASSERT_EQ(http_.calls.size(), 2U);
  http_.Headers(200, Own());
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

TEST_F(granted_stream_test, AStoppingGatewayRefusesRequestsThatWaitTooLong) {
  const auto caller = SendTokens();
  BeginDrain(milliseconds(100), milliseconds(2000));
  Wait(milliseconds(50));
  EXPECT_EQ(caller->responses, 0);
  Wait(milliseconds(100));
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.headers.at("retry"), "20");
  Grant(1);
  EXPECT_TRUE(http_.calls.empty());
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

// A grant may arrive between two ticks of the timer.
TEST_F(granted_stream_test, AStoppingGatewayDoesNotUseAGrantThatComesTooLate) {
  const auto caller = SendTokens();
  BeginDrain(milliseconds(0), milliseconds(2000));
  Grant(1);
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_TRUE(http_.calls.empty());
}

TEST_F(granted_stream_test, AStoppingGatewayLeavesASilentStreamAtItsEngine) {
  const auto caller = StartSilentStream();
  BeginDrain(milliseconds(0), milliseconds(2000));
  Grant(2);
  EXPECT_FALSE(http_.calls[0].cancelled);
  EXPECT_EQ(http_.calls.size(), 1U);
  http_.Data("id: 2\n\n");
  http_.Done();
  EXPECT_TRUE(caller->ended);
}

TEST_F(starting_gateway_test, RefusesHeldRequestsWhenItStops) {
  const auto caller = Send("/once/a");
  BeginDrain(milliseconds(50), milliseconds(2000));
  Wait(milliseconds(150));
  EXPECT_EQ(caller->response.status, 503);
  EXPECT_EQ(caller->response.body, "stopping");
  EXPECT_EQ(forwarder_.ActiveCount(), 0U);
}

// However a request ends, the log must state its cause.
TEST_F(request_forwarder_test, EveryOutcomeLogsItsCause) {
  struct ending {
    std::string target;
    std::function<void()> finish;
    std::string event;
    std::string cause;
  };
  const std::vector<ending> endings = {
      {"/once/a", [&] { http_.Done(net::http_failure::broken); }, "failed",
       "unknown"},
      {"/once/a", [&] { http_.Respond(500, Own()); }, "answered", "failed"},
      {"/none/", [] {}, "unrouted", "no_route"},
      {"/stream/a",
       [&] {
         http_.Headers(200, Own());
         http_.Data("id: 1\n\n");
         http_.Done(net::http_failure::broken);
       },
       "broken_off", "unknown"},
  };
  for (const ending& each : endings) {
    log_.Flush();
    log_text_.clear();
    const auto caller = Send(each.target);
    each.finish();
    log_.Flush();
    bool found = false;
    std::istringstream lines(log_text_);
    for (std::string text; std::getline(lines, text);) {
      const auto line = nlohmann::json::parse(text);
      if (line.at("event") == each.event && line.value("request", "") == "r1" &&
          line.value("cause", "") == each.cause) {
        found = true;
      }
    }
    EXPECT_TRUE(found) << each.event << ' ' << each.cause << '\n' << log_text_;
  }
}

}  // namespace
}  // namespace comfreyspring::gateway::test

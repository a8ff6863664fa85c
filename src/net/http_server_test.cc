#include "net/http_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "net/http_client.h"
#include "net/test_peer.h"

namespace comfreyspring::net {
namespace {

using core::milliseconds;

constexpr milliseconds kLimit{5000};

class http_server_test : public ::testing::Test {
 protected:
  void StartServer(http_server_options options, http_server::handler handler) {
    server_ = std::make_unique<http_server>(loop_, std::move(options),
                                            std::move(handler));
  }
  void StartServer(http_server::handler handler) {
    StartServer(http_server_options{}, std::move(handler));
  }

  url Url(const std::string& path) const {
    return url::Parse("http://127.0.0.1:" + std::to_string(server_->Port()) +
                      path);
  }

  http_result Call(http_call call) {
    std::optional<http_result> result;
    http_callbacks callbacks;
    callbacks.on_done = [&](const http_result& done) { result = done; };
    client_->Start(std::move(call), std::move(callbacks));
    EXPECT_TRUE(loop_.RunUntil([&] { return result.has_value(); }, kLimit));
    return result.value_or(http_result{});
  }
  http_result Get(const std::string& path) { return Call({.url = Url(path)}); }

  /** Fails the test unless the server still answers a new client. */
  void ExpectAlive() { EXPECT_EQ(Get("/alive").status, 200); }

  static void Echo(const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond({200, {}, exchange->Request().body});
  }

  event_loop loop_;
  std::unique_ptr<http_server> server_;
  std::optional<http_client> client_{std::in_place, loop_};
};

TEST_F(http_server_test, PassesTheWholeRequestAndAnswer) {
  http_request seen;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    seen = exchange->Request();
    exchange->Respond({201, {{"x-answer", "yes"}}, "made"});
  });
  const http_result result = Call({.method = "PUT",
                                   .url = Url("/a%20b/c?key=v%3D1&empty="),
                                   .headers = {{"X-Mixed-Case", "Value"}},
                                   .body = std::string("bo\0dy", 5)});
  EXPECT_EQ(seen.method, "PUT");
  EXPECT_EQ(seen.path, "/a b/c");
  EXPECT_EQ(seen.target.substr(0, 8), "/a%20b/c");
  EXPECT_EQ(seen.query.at("key"), "v=1");
  EXPECT_EQ(seen.query.at("empty"), "");
  EXPECT_EQ(seen.headers.at("x-mixed-case"), "Value");
  EXPECT_EQ(seen.body, std::string("bo\0dy", 5));
  EXPECT_EQ(result.failure, http_failure::none);
  EXPECT_EQ(result.status, 201);
  EXPECT_EQ(result.headers.at("x-answer"), "yes");
  EXPECT_EQ(result.body, "made");
}

// A forwarded target must reach the endpoint byte for byte.
TEST_F(http_server_test, KeepsTheTargetAsItWasSent) {
  std::vector<std::string> seen;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    seen.push_back(exchange->Request().target);
    exchange->Respond({200, {}, ""});
  });
  const std::vector<std::string> targets = {"/a%2Fb/../c%20d?x=%41&y", "/p?",
                                            "//double/./dot?q=a+b%zz"};
  for (const std::string& target : targets) {
    Call({.url = Url("/"), .target = target});
  }
  EXPECT_EQ(seen, targets);
}

// What a caller may not send would fail the call that passes it on, at one
// endpoint after the other.
TEST_F(http_server_test, RefusesHeadsThatAreNoHttp) {
  int handled = 0;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    exchange->Respond({200, {}, ""});
  });
  const auto answer_to = [&](const std::string& request_line,
                             const std::string& field = "x-a: 1") {
    test_peer peer(loop_, server_->Port());
    peer.Send(request_line + " HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n");
    loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, milliseconds(100));
    return peer.Received().substr(0, peer.Received().find(" ", 9));
  };
  const std::string refused = "HTTP/1.1 400";
  for (const char* line : {"GET /a b", "GET /a\tb", "GET /a\x01", "GET /a\x7f",
                           "GET /a\rb", "G(T /a", "G\x01T /a"}) {
    EXPECT_EQ(answer_to(line), refused) << line;
  }
  for (const char* field :
       {"x-a: \x01", "x-a: \x7f", "x-a: a\rhold: 1", "x a: 1", "x(a: 1",
        "x\xc3\xa9: 1", "transfer-encoding : chunked", "hold : 1"}) {
    EXPECT_EQ(answer_to("GET /", field), refused) << field;
  }
  EXPECT_EQ(handled, 0);
  for (const char* field : {"x-a: a\tb", "x-a: \xc3\xa9",
                            "x-a:", "x-a:  ", "!#$%&'*+-.^_`|~09: 1"}) {
    EXPECT_EQ(answer_to("GET /%20?a=\xc3\xa9\"<>", field), "HTTP/1.1 200")
        << field;
  }
}

// Guards against a body that is run as a request of its own since two fields
// disagree on its length, and against such requests that nobody answers.
TEST_F(http_server_test, RefusesAmbiguousBodies) {
  std::vector<std::string> handled;
  std::map<int, int> refusals;
  http_server_options options;
  options.on_refusal = [&](const refusal_event& event) {
    EXPECT_EQ(event.type, "malformed_request");
    ++refusals[event.status];
  };
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    handled.push_back(exchange->Request().target);
    Echo(exchange);
  });
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(inner.size()) + "\r\n";
  const std::vector<std::string> fields = {
      "Content-Length: 0\r\n" + length,
      "Content-Length:\r\n " + std::to_string(inner.size()) + "\r\n",
      "Transfer-Encoding: chunked\r\n" + length,
      length + "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n"};
  for (const std::string& each : fields) {
    test_peer peer(loop_, server_->Port());
    peer.Send("POST / HTTP/1.1\r\nHost: h\r\n" + each + "\r\n" + inner);
    EXPECT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit))
        << each;
    EXPECT_THAT(peer.Received(), ::testing::HasSubstr("not_run")) << each;
  }
  EXPECT_THAT(handled, ::testing::IsEmpty());
  EXPECT_EQ(refusals, (std::map<int, int>{{400, 6}, {501, 1}}));
}

struct head_of_parts {
  const char* name;
  /** What the request line and the fields repeat. */
  std::string parameter;
  std::string field;
  std::string cookie;
};

class head_of_parts_test : public http_server_test,
                           public ::testing::WithParamInterface<head_of_parts> {
 protected:
  static std::string Request(const head_of_parts& head, int parts) {
    const auto repeat = [&](const std::string& text) {
      std::string result;
      for (int i = 0; i < parts; ++i) result += text;
      return result;
    };
    const std::string cookies = repeat(head.cookie);
    return "GET /p?" + repeat(head.parameter) + " HTTP/1.1\r\nHost: h\r\n" +
           repeat(head.field) +
           (cookies.empty() ? "" : "Cookie: " + cookies + "\r\n") + "\r\n";
  }
};

// Guards against requests that are run and never answered, and against callers
// that learn nothing, because of the number of parts of a head (review/15).
TEST_P(head_of_parts_test, EachSizeIsAnswered) {
  constexpr int kMostParts = 1640;
  int handled = 0;
  const header_map fields{{"x-large", std::string(3800, 'x')}};
  http_server_options options;
  options.maximum_header_bytes = 40 * 1024;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    exchange->Respond({200, handled % 2 == 0 ? fields : header_map(), "ok"});
  });
  std::map<std::string, int> statuses;
  int served = 0;
  for (int parts = 1; parts <= kMostParts; parts += parts < 400 ? 7 : 1) {
    const int handled_before = handled;
    test_peer peer(loop_, server_->Port());
    // On a kept connection, with a next request behind it.
    peer.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(loop_.RunUntil(
        [&] { return peer.Received().find("ok") != std::string::npos; },
        kLimit));
    const std::size_t start = peer.Received().size();
    peer.Send(Request(GetParam(), parts));
    ASSERT_TRUE(loop_.RunUntil(
        [&] {
          return peer.IsClosedByPeer() ||
                 peer.Received().find("ok", start) != std::string::npos;
        },
        kLimit))
        << parts;
    const std::string answer = peer.Received().substr(start, 12);
    ++statuses[answer];
    const bool was_run = handled == handled_before + 2;
    EXPECT_EQ(answer == "HTTP/1.1 200", was_run) << parts << ' ' << answer;
    served += was_run ? 1 : 0;
  }
  for (const auto& [answer, count] : statuses) {
    EXPECT_THAT(answer, ::testing::AnyOf("HTTP/1.1 200", "HTTP/1.1 414",
                                         "HTTP/1.1 431"))
        << count;
  }
  EXPECT_GT(served, 10);
}

INSTANTIATE_TEST_SUITE_P(
    parts, head_of_parts_test,
    ::testing::Values(head_of_parts{"parameters", "i=1&", "", ""},
                      head_of_parts{"empty_parameters", "&", "", ""},
                      head_of_parts{"fields", "", "x: 1\r\n", ""},
                      head_of_parts{"cookies", "", "", "a=1; "},
                      head_of_parts{"both", "i&", "x: 1\r\n", ""}),
    [](const auto& test) { return std::string(test.param.name); });

// The library closes these connections without an answer of its own.
TEST_F(http_server_test, AnswersAFirstRequestWithoutRoom) {
  std::vector<std::string> refusals;
  http_server_options options;
  options.maximum_header_bytes = 40 * 1024;
  options.on_refusal = [&](const refusal_event& event) {
    refusals.push_back(event.type);
  };
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  const auto answer_to = [&](const std::string& request) {
    test_peer peer(loop_, server_->Port());
    peer.Send(request);
    EXPECT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
    return peer.Received().substr(0, 12);
  };
  const std::string fields = " HTTP/1.1\r\nHost: h\r\n";
  EXPECT_EQ(answer_to("GET /?" + std::string(700, '&') + fields + "\r\n"),
            "HTTP/1.1 414");
  EXPECT_EQ(answer_to("GET /" + std::string(60'000, 'a') + fields + "\r\n"),
            "HTTP/1.1 414");
  EXPECT_EQ(answer_to("GET /" + fields + "X: " + std::string(60'000, 'a') +
                      "\r\n\r\n"),
            "HTTP/1.1 431");
  EXPECT_EQ(answer_to("no request\r\n\r\n"), "HTTP/1.1 400");
  EXPECT_THAT(refusals, ::testing::Contains("target_too_large"));
}

// The library reads ahead, so a next request takes memory from this one.
TEST_F(http_server_test, AnswersBesideALargeNextRequest) {
  int handled = 0;
  http_server_options options;
  options.maximum_header_bytes = 40 * 1024;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    handled += exchange->Request().path == "/p" ? 1 : 0;
    exchange->Respond({200, {{"x-large", std::string(3800, 'x')}}, "ok"});
  });
  for (int parts = 150; parts < 560; ++parts) {
    handled = 0;
    std::string request = "GET /p?";
    for (int i = 0; i < parts; ++i) request += "i&";
    request += " HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string next =
        "GET / HTTP/1.1\r\nX: " + std::string(30'000, 'x') + "\r\n\r\n";
    test_peer peer(loop_, server_->Port());
    peer.Send(request + next);
    ASSERT_TRUE(loop_.RunUntil(
        [&] {
          return peer.IsClosedByPeer() ||
                 peer.Received().find("ok") != std::string::npos;
        },
        kLimit))
        << parts;
    const std::string answer = peer.Received().substr(0, 12);
    EXPECT_THAT(answer, ::testing::AnyOf("HTTP/1.1 200", "HTTP/1.1 414",
                                         "HTTP/1.1 431"))
        << parts;
    EXPECT_EQ(answer == "HTTP/1.1 200", handled > 0) << parts << ' ' << answer;
  }
}

// A response may be too large for what the request has left.
TEST_F(http_server_test, AnswersThatAResponseHasNoRoom) {
  std::vector<refusal_event> refusals;
  http_server_options options;
  options.maximum_header_bytes = 40 * 1024;
  options.on_refusal = [&](const refusal_event& event) {
    refusals.push_back(event);
  };
  int status = 200;
  bool streams = false;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    const header_map fields{{"x-large", std::string(30'000, 'x')}};
    if (!streams) return exchange->Respond({status, fields, "ok"});
    exchange->BeginStream(status, fields);
    exchange->Write("ok");
    exchange->EndStream();
  });
  const std::string request =
      "GET / HTTP/1.1\r\nX: " + std::string(14'000, 'x') + "\r\n\r\n";
  for (const auto& [handler_status, expected] :
       std::vector<std::pair<int, std::string>>{{200, "HTTP/1.1 502"},
                                                {503, "HTTP/1.1 503"}}) {
    for (const bool streamed : {false, true}) {
      status = handler_status;
      streams = streamed;
      test_peer peer(loop_, server_->Port());
      peer.Send(request);
      ASSERT_TRUE(
          loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
      EXPECT_EQ(peer.Received().substr(0, 12), expected);
      EXPECT_THAT(peer.Received(), ::testing::HasSubstr("unknown"));
    }
  }
  EXPECT_EQ(refusals.size(), 4U);
}

// The daemon leaves out what it refuses and sends the rest.
TEST_F(http_server_test, HeadersOfAResponseAreNotLost) {
  http_response response;
  bool streams = false;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    if (!streams) {
      exchange->Respond(response);
      return;
    }
    exchange->BeginStream(response.status, response.headers);
    exchange->Write("data");
    exchange->EndStream();
  });
  for (const bool each : {false, true}) {
    streams = each;
    response = {
        200, {{"x-tab", "a\tb"}, {"x-empty", ""}, {"x-b", "1"}}, "data"};
    auto result = Get("/");
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "data");
    EXPECT_EQ(result.headers["x-tab"], "a\tb");
    EXPECT_EQ(result.headers["x-b"], "1");
    EXPECT_EQ(result.headers.count("x-empty"), 1U);

    for (const auto& [name, value] : header_map{{"x-a", "1\r\nx-b: 2"},
                                                {"x-c", std::string("1\0", 2)},
                                                {"x-d: 1", "2"},
                                                {"x\x01", "1"}}) {
      response.headers = {{name, value}};
      result = Get("/");
      EXPECT_EQ(result.status, 500) << name;
      EXPECT_NE(result.body, "data") << name;
      EXPECT_EQ(result.headers.count(name), 0U) << name;
    }
  }
}

// The response may be sent several turns later, from a timer.
TEST_F(http_server_test, AnswersLater) {
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    loop_.Schedule(milliseconds(20), [exchange] {
      exchange->Respond({200, {}, "late"});
    });
  });
  EXPECT_EQ(Get("/").body, "late");
  EXPECT_EQ(Get("/").body, "late");
}

// Guards against a lost or duplicated piece when the connection is suspended
// and resumed.
TEST_F(http_server_test, StreamsPiecesAsTheyAreWritten) {
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->BeginStream(200, {{"content-type", "text/event-stream"}});
    for (int i = 0; i < 20; ++i) {
      loop_.Schedule(milliseconds(i), [exchange, i] {
        exchange->Write("piece" + std::to_string(i) + ";");
        if (i == 19) exchange->EndStream();
      });
    }
  });
  std::string body;
  int pieces = 0;
  bool done = false;
  http_callbacks callbacks;
  callbacks.on_data = [&](std::string_view data) {
    body += data;
    ++pieces;
  };
  callbacks.on_done = [&](const http_result& result) {
    EXPECT_EQ(result.failure, http_failure::none);
    EXPECT_EQ(result.headers.at("content-type"), "text/event-stream");
    done = true;
  };
  client_->Start({.url = Url("/")}, callbacks);
  ASSERT_TRUE(loop_.RunUntil([&] { return done; }, kLimit));
  std::string expected;
  for (int i = 0; i < 20; ++i) expected += "piece" + std::to_string(i) + ";";
  EXPECT_EQ(body, expected);
  EXPECT_GT(pieces, 1);
}

// Covers bodies that are larger than the daemon's block and socket buffers.
TEST_F(http_server_test, StreamsAndAnswersLargeBodies) {
  const std::string large(3 * 1024 * 1024, 'x');
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->Request().path == "/whole") {
      exchange->Respond({200, {}, large});
      return;
    }
    exchange->BeginStream(200, {});
    exchange->Write(large);
    exchange->EndStream();
  });
  EXPECT_EQ(Get("/whole").body, large);
  EXPECT_EQ(Get("/stream").body, large);
}

// Guards against an aborted stream that looks like a complete response.
TEST_F(http_server_test, AbortBreaksTheStream) {
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->BeginStream(200, {});
    exchange->Write("half");
    loop_.Schedule(milliseconds(10), [exchange] { exchange->Abort(); });
  });
  const http_result result = Get("/");
  EXPECT_EQ(result.failure, http_failure::broken);
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(result.body, "half");
}

// Output that was ready is delivered, whatever comes after it.
TEST_F(http_server_test, AnIncompleteStreamDeliversWhatWasWritten) {
  std::string data(300'000, 'x');
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->BeginStream(200, {});
    exchange->Write(data);
    exchange->EndIncomplete();
  });
  const http_result result = Get("/");
  EXPECT_EQ(result.failure, http_failure::broken);
  EXPECT_EQ(result.body.size(), data.size());
}

/** What a raw client receives of a stream that is aborted after "half". */
class aborted_stream_test : public http_server_test {
 protected:
  std::string Receive(const std::string& request,
                      const header_map& response_headers) {
    StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
      exchange->BeginStream(200, response_headers);
      exchange->Write("half");
      loop_.Schedule(milliseconds(10), [exchange] { exchange->Abort(); });
    });
    test_peer peer(loop_, server_->Port());
    peer.Send(request);
    EXPECT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
    was_reset_ = peer.WasReset();
    return peer.Received();
  }

  bool was_reset_ = false;
};

// A response of unknown length must stay recognisable as incomplete while the
// server drains, when it announces the end of the connection.
TEST_F(aborted_stream_test, HasNoLastChunkOnAClosingConnection) {
  const std::string received = Receive("GET / HTTP/1.1\r\nHost: test\r\n\r\n",
                                       {{"connection", "close"}});
  EXPECT_NE(received.find("chunked"), std::string::npos) << received;
  EXPECT_NE(received.find("4\r\nhalf"), std::string::npos) << received;
  EXPECT_EQ(received.find("\r\n0\r\n"), std::string::npos) << received;
}

// Without chunks only a reset tells the client that the end of the connection
// is not the end of the response.
TEST_F(aborted_stream_test, IsResetForAClientWithoutChunks) {
  const std::string received =
      Receive("GET / HTTP/1.0\r\nHost: test\r\n\r\n", {});
  EXPECT_EQ(received.find("chunked"), std::string::npos) << received;
  EXPECT_TRUE(was_reset_) << received;
}

// Guards against an unnoticed disconnect: the HTTP library does not poll a
// suspended connection.
TEST_F(http_server_test, ReportsAClientThatLeavesMidStream) {
  bool gone = false;
  std::shared_ptr<http_exchange> kept;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->Request().path == "/alive") {
      Echo(exchange);
      return;
    }
    kept = exchange;
    exchange->OnClientGone([&] { gone = true; });
    exchange->BeginStream(200, {});
    exchange->Write("first");
  });
  test_peer peer(loop_, server_->Port());
  peer.Send("GET /stream HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return peer.Received().find("first") != std::string::npos; },
      kLimit));
  EXPECT_FALSE(gone);
  peer.Close();
  ASSERT_TRUE(loop_.RunUntil([&] { return gone; }, kLimit));
  kept->Write("ignored");
  kept->EndStream();
  ExpectAlive();
  EXPECT_LE(server_->ConnectionCount(), 1U);
}

TEST_F(http_server_test, ReportsAClientThatLeavesBeforeTheAnswer) {
  bool gone = false;
  std::shared_ptr<http_exchange> kept;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->Request().path == "/alive") {
      Echo(exchange);
      return;
    }
    kept = exchange;
    exchange->OnClientGone([&] { gone = true; });
  });
  test_peer peer(loop_, server_->Port());
  peer.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return kept != nullptr; }, kLimit));
  peer.Close();
  ASSERT_TRUE(loop_.RunUntil([&] { return gone; }, kLimit));
  kept->Respond({200, {}, "nobody reads this"});
  ExpectAlive();
}

// Guards against a client that waits forever when the handler releases the
// exchange without a response.
TEST_F(http_server_test, AnswersForADroppedExchange) {
  StartServer([](const std::shared_ptr<http_exchange>&) {});
  EXPECT_EQ(Get("/").status, 500);
}

TEST_F(http_server_test, AnswersForAHandlerThatThrows) {
  StartServer([](const std::shared_ptr<http_exchange>&) {
    throw std::runtime_error("fault in the handler");
  });
  EXPECT_EQ(Get("/").status, 500);
}

// Bounds the memory of one request: an oversized body must not reach the
// handler.
TEST_F(http_server_test, RefusesAnOversizedBody) {
  int handled = 0;
  http_server_options options;
  options.maximum_body_bytes = 1000;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    Echo(exchange);
  });
  http_call call{.method = "POST", .url = Url("/")};
  call.body = std::string(1001, 'x');
  EXPECT_EQ(Call(call).status, 413);
  EXPECT_EQ(handled, 0);
  call.body = std::string(1000, 'x');
  EXPECT_EQ(Call(call).body.size(), 1000U);
  EXPECT_EQ(handled, 1);
}

// Guards against a connection reset that discards the response at a client that
// is still sending a rejected body larger than the socket buffers.
TEST_F(http_server_test, AnswersAClientThatSendsAnOversizedBody) {
  int handled = 0;
  http_server_options options;
  options.maximum_body_bytes = 1000000;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    Echo(exchange);
  });
  for (const std::size_t bytes : {1000001, 3000000, 1000001}) {
    http_call call{.method = "PUT", .url = Url("/")};
    call.body = std::string(bytes, 'x');
    const http_result result = Call(call);
    EXPECT_EQ(result.status, 413) << bytes;
    EXPECT_EQ(result.failure, http_failure::none) << bytes;
  }
  EXPECT_EQ(handled, 0);
  ExpectAlive();
}

// Guards against waiting for a body that is too large to be read and discarded,
// or that the client withholds until it receives 100 Continue.
TEST_F(http_server_test, RefusesAnOversizedBodyBeforeItIsSent) {
  http_server_options options;
  options.maximum_body_bytes = 1000;
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  for (const char* headers :
       {"Content-Length: 1000000\r\n",
        "Content-Length: 1001\r\nExpect: 100-continue\r\n"}) {
    test_peer peer(loop_, server_->Port());
    peer.Send(std::string("PUT / HTTP/1.1\r\nHost: test\r\n") + headers +
              "\r\n");
    ASSERT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit))
        << headers;
    EXPECT_EQ(peer.Received().rfind("HTTP/1.1 413", 0), 0U) << headers;
  }
  ExpectAlive();
}

// Guards against a connection held forever by a client that stops sending a
// body that is being discarded.
TEST_F(http_server_test, ClosesAConnectionWithHalfAnOversizedBody) {
  http_server_options options;
  options.maximum_body_bytes = 1000;
  options.idle_timeout = core::seconds(1);
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  test_peer peer(loop_, server_->Port());
  peer.Send("PUT / HTTP/1.1\r\nHost: test\r\nContent-Length: 2000\r\n\r\n" +
            std::string(1500, 'x'));
  EXPECT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
  EXPECT_TRUE(
      loop_.RunUntil([&] { return server_->ConnectionCount() == 0; }, kLimit));
  ExpectAlive();
}

// Guards against connections that remain open, using memory and counting
// towards the limit, after their clients close them in the middle of a request.
TEST_F(http_server_test, DropsHalfARequestWhoseClientHasGone) {
  StartServer({}, [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  for (const std::string half :
       {"GET / HTTP/1.1\r\nHo",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"}) {
    // The data and the FIN arrive before the server reads.
    auto socket =
        tcp_socket::Connect(socket_address("127.0.0.1", server_->Port()));
    for (int i = 0; i < 100 && socket.ConnectError() != 0; ++i) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    socket.Write(half.data(), half.size());
    socket.Close();
    loop_.RunUntil([&] { return server_->ConnectionCount() == 1; }, kLimit);
    EXPECT_TRUE(
        loop_.RunUntil([&] { return server_->ConnectionCount() == 0; }, kLimit))
        << half;
  }
  ExpectAlive();
}

// Guards against memory that grows with the number of large bodies: of those
// that stop short, the largest ones make room, and small requests are served.
TEST_F(http_server_test, ClosesTheLargestIncompleteBodyWhenMemoryIsShort) {
  std::vector<overload_event> events;
  http_server_options options;
  options.maximum_body_bytes = 64 * 1024;
  options.body_memory = {.large_bytes = 96 * 1024, .small_bytes = 64 * 1024};
  options.on_overload = [&](const overload_event& event) {
    events.push_back(event);
  };
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  const std::string head =
      "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 65536\r\n\r\n";
  test_peer largest(loop_, server_->Port());
  largest.Send(head + std::string(60'000, 'x'));
  test_peer other(loop_, server_->Port());
  other.Send(head + std::string(30'000, 'x'));
  ASSERT_TRUE(
      loop_.RunUntil([&] { return server_->BodyBytes() >= 90'000; }, kLimit));
  const http_result served = Call(
      {.method = "POST", .url = Url("/"), .body = std::string(50'000, 'y')});
  EXPECT_EQ(served.body, std::string(50'000, 'y'));
  EXPECT_TRUE(largest.IsClosedByPeer());
  EXPECT_FALSE(other.IsClosedByPeer());
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].what, overload_event::kind::body_closed);
  EXPECT_EQ(events[0].body_bytes, 60'000U);
  other.Close();
  EXPECT_TRUE(
      loop_.RunUntil([&] { return server_->BodyBytes() == 0; }, kLimit));
}

// Guards against requests in flight that lose their bodies, and against a
// refusal of a request that runs.
TEST_F(http_server_test, RefusesALargeBodyWhileCompleteOnesFillTheMemory) {
  http_server_options options;
  options.maximum_body_bytes = 64 * 1024;
  options.body_memory = {.large_bytes = 64 * 1024, .small_bytes = 64 * 1024};
  std::vector<std::shared_ptr<http_exchange>> held;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    held.push_back(exchange);
    if (exchange->Request().body.size() < 60'000) Echo(exchange);
  });
  std::optional<http_result> first;
  client_->Start(
      {.method = "POST", .url = Url("/"), .body = std::string(60'000, 'x')},
      {.on_done = [&](const http_result& done) { first = done; }});
  ASSERT_TRUE(loop_.RunUntil([&] { return held.size() == 1; }, kLimit));
  const http_call large{
      .method = "POST", .url = Url("/"), .body = std::string(40'000, 'y')};
  const http_result refused = Call(large);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.headers.at("retry-after"), "1");
  EXPECT_NE(refused.body.find("not_run"), std::string::npos);
  EXPECT_EQ(held.size(), 1U);
  EXPECT_EQ(Call({.method = "POST", .url = Url("/"), .body = "small"}).body,
            "small");
  Echo(held[0]);
  EXPECT_TRUE(loop_.RunUntil([&] { return first.has_value(); }, kLimit));
  EXPECT_EQ(first->body.size(), 60'000U);
  held.clear();
  EXPECT_EQ(Call(large).status, 200);
}

// Guards against handling a request whose body was dropped just before its last
// chunk was read.
TEST_F(http_server_test, ADroppedBodyIsNotHandledWhenItsEndArrives) {
  int handled = 0;
  http_server_options options;
  options.maximum_body_bytes = 64 * 1024;
  options.body_memory = {.large_bytes = 64 * 1024, .small_bytes = 64 * 1024};
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    EXPECT_GE(exchange->Request().body.size(), 40'000U);
    Echo(exchange);
  });
  for (int round = 0; round < 20; ++round) {
    handled = 0;
    const std::string head = "POST / HTTP/1.1\r\nHost: t\r\n";
    test_peer chunked(loop_, server_->Port());
    chunked.Send(head + "Transfer-Encoding: chunked\r\n\r\nc350\r\n" +
                 std::string(50'000, 'x') + "\r\n");
    ASSERT_TRUE(
        loop_.RunUntil([&] { return server_->BodyBytes() >= 50'000; }, kLimit));
    test_peer other(loop_, server_->Port());
    other.Send(head + "Content-Length: 40000\r\n\r\n" +
               std::string(40'000, 'y'));
    chunked.Send("0\r\n\r\n");
    const auto has_answer = [](const test_peer& peer) {
      return peer.Received().find("\r\n\r\n") != std::string::npos;
    };
    const auto has_ended = [&](const test_peer& peer) {
      return peer.IsClosedByPeer() || has_answer(peer);
    };
    ASSERT_TRUE(loop_.RunUntil(
        [&] { return has_ended(chunked) && has_ended(other); }, kLimit));
    const auto is_served = [](const test_peer& peer) {
      return peer.Received().find(" 200 ") != std::string::npos;
    };
    EXPECT_EQ(handled,
              (is_served(chunked) ? 1 : 0) + (is_served(other) ? 1 : 0));
    chunked.Close();
    other.Close();
    ASSERT_TRUE(
        loop_.RunUntil([&] { return server_->BodyBytes() == 0; }, kLimit));
  }
}

// Guards against clients that hold all connections with requests that they do
// not complete; those that wait for a response remain.
TEST_F(http_server_test, ClosesQuietIncompleteRequestsWhenItIsFull) {
  http_server_options options;
  options.maximum_connections = 4;
  std::shared_ptr<http_exchange> waiting;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->Request().path == "/wait") {
      waiting = exchange;
    } else {
      Echo(exchange);
    }
  });
  test_peer served(loop_, server_->Port());
  served.Send("GET /wait HTTP/1.1\r\nHost: t\r\n\r\n");
  std::vector<std::unique_ptr<test_peer>> quiet;
  for (const std::string half :
       {"GET / HTTP/1.1\r\nHo", "",
        "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nab"}) {
    quiet.push_back(std::make_unique<test_peer>(loop_, server_->Port()));
    quiet.back()->Send(half);
  }
  ASSERT_TRUE(
      loop_.RunUntil([&] { return server_->ConnectionCount() == 4; }, kLimit));
  ExpectAlive();
  EXPECT_TRUE(std::any_of(quiet.begin(), quiet.end(), [](const auto& peer) {
    return peer->IsClosedByPeer();
  }));
  ASSERT_NE(waiting, nullptr);
  waiting->Respond({200, {}, "late"});
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return served.Received().find("late") != std::string::npos; },
      kLimit));
}

// Guards against idle clients that keep new ones waiting for the idle timeout.
TEST_F(http_server_test, ClosesIdleConnectionsWhenItIsFull) {
  http_server_options options;
  options.maximum_connections = 3;
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  std::vector<std::unique_ptr<test_peer>> idle;
  for (int i = 0; i < 3; ++i) {
    idle.push_back(std::make_unique<test_peer>(loop_, server_->Port()));
    idle.back()->Send("GET / HTTP/1.1\r\nHost: t\r\n\r\n");
    ASSERT_TRUE(loop_.RunUntil(
        [&] {
          return idle.back()->Received().find("200") != std::string::npos;
        },
        kLimit));
  }
  ExpectAlive();
}

// Guards against handling a request that its client has not sent completely.
TEST_F(http_server_test, ARequestCutAtAnyByteIsNotHandled) {
  int handled = 0;
  StartServer({}, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    Echo(exchange);
  });
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& whole :
       {start + "Content-Length: 5\r\n\r\nhello",
        start + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n"}) {
    std::vector<std::unique_ptr<test_peer>> peers;
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
      peers.push_back(std::make_unique<test_peer>(loop_, server_->Port()));
      peers.back()->Send(whole.substr(0, cut));
      peers.back()->Close();
    }
    ASSERT_TRUE(loop_.RunUntil([&] { return server_->ConnectionCount() == 0; },
                               kLimit));
    EXPECT_EQ(handled, 0) << whole;
  }
  ExpectAlive();
}

// Guards against a process that exits before a response is written completely.
TEST_F(http_server_test, CountsAnswersThatAreNotWritten) {
  std::shared_ptr<http_exchange> taken;
  StartServer({}, [&](std::shared_ptr<http_exchange> exchange) {
    taken = std::move(exchange);
  });
  EXPECT_EQ(server_->UnfinishedCount(), 0U);
  test_peer peer(loop_, server_->Port());
  peer.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return taken != nullptr; }, kLimit));
  taken->BeginStream(200, {});
  taken->Write("end");
  taken->EndStream();
  taken.reset();
  EXPECT_EQ(server_->UnfinishedCount(), 1U);
  ASSERT_TRUE(
      loop_.RunUntil([&] { return server_->UnfinishedCount() == 0; }, kLimit));
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return peer.Received().find("end") != std::string::npos; },
      kLimit));
}

// Guards against a crash when a request arrives while the server is being
// destroyed.
TEST_F(http_server_test, DropsARequestThatArrivesAtItsEnd) {
  std::shared_ptr<http_exchange> unanswered;
  StartServer({}, [&](std::shared_ptr<http_exchange> exchange) {
    unanswered = std::move(exchange);
  });
  test_peer peer(loop_, server_->Port());
  loop_.RunUntil([&] { return server_->ConnectionCount() == 1; }, kLimit);
  peer.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  server_.reset();
  EXPECT_EQ(unanswered, nullptr);
}

// As RefusesAnOversizedBody, for a body without Content-Length.
TEST_F(http_server_test, RefusesAnOversizedChunkedBody) {
  int handled = 0;
  http_server_options options;
  options.maximum_body_bytes = 1000;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    Echo(exchange);
  });
  test_peer peer(loop_, server_->Port());
  peer.Send(
      "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 3; ++i) {
    peer.Send("1f4\r\n" + std::string(500, 'x') + "\r\n");
  }
  peer.Send("0\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
  EXPECT_EQ(peer.Received().rfind("HTTP/1.1 413", 0), 0U);
  EXPECT_EQ(handled, 0);

  test_peer endless(loop_, server_->Port());
  endless.Send(
      "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    endless.Send("1f4\r\n" + std::string(500, 'x') + "\r\n");
  }
  ASSERT_TRUE(loop_.RunUntil([&] { return endless.IsClosedByPeer(); }, kLimit));
  EXPECT_EQ(handled, 0);
  ExpectAlive();
}

/**
 * A client that sends all that it has before it reads. Its buffer is small
 * against a large response, most of which the server's system has yet to send.
 */
class late_reader {
 public:
  late_reader(event_loop& loop, std::uint16_t port)
      : loop_(loop),
        socket_(tcp_socket::Connect(socket_address("127.0.0.1", port))) {
    const int bytes = 256 * 1024;
    setsockopt(socket_.Descriptor(), SOL_SOCKET, SO_RCVBUF, &bytes,
               sizeof(bytes));
    loop_.RunUntil([this] { return socket_.ConnectError() == 0; }, kLimit);
  }

  /** @returns false if the connection ended first. */
  bool Send(const std::string& data) {
    std::size_t sent = 0;
    bool ended = false;
    Repeat([&] {
      const auto result = socket_.Write(data.data() + sent, data.size() - sent);
      sent += result.bytes;
      ended = result.outcome == transfer_result::kind::ended;
      return ended || sent == data.size();
    });
    return !ended && sent == data.size();
  }
  /** Reads until the connection ends. */
  std::string ReadAll() {
    std::string text;
    Repeat([&] {
      std::string buffer(65536, '\0');
      const auto result = socket_.Read(buffer.data(), buffer.size());
      text.append(buffer.data(), result.bytes);
      reason_ = result.reason;
      return result.outcome == transfer_result::kind::ended;
    });
    return text;
  }
  bool WasReset() const {
    return reason_.find("reset by peer") != std::string::npos;
  }
  tcp_socket& Socket() { return socket_; }

 private:
  void Repeat(const std::function<bool()>& step) {
    const timer_id waker = loop_.SchedulePeriodic(milliseconds(1), [] {});
    loop_.RunUntil(step, kLimit);
    loop_.Cancel(waker);
  }

  event_loop& loop_;
  tcp_socket socket_;
  std::string reason_;
};

/** A server that closes its connections after each response. */
class early_close_test : public http_server_test {
 protected:
  static constexpr std::size_t kBodyBytes = 3 * 1024 * 1024;

  void SetUp() override {
    http_server_options options;
    options.maximum_body_bytes = 50'000;
    StartServer(options, [this](const std::shared_ptr<http_exchange>& e) {
      ++answered_;
      e->Respond(
          {200, {{"connection", "close"}}, std::string(kBodyBytes, 'x')});
    });
  }
  void Pause(int ms) {
    loop_.RunUntil([] { return false; }, milliseconds(ms));
  }
  static std::string Request() {
    return "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  }
  static std::string Requests(int count) {
    std::string text;
    for (int i = 0; i < count; ++i) text += Request();
    return text;
  }

  int answered_ = 0;
};

// Closing a socket with unread bytes, or one whose peer goes on sending, resets
// the connection and discards what is left of the response.
TEST_F(early_close_test, AClosingResponseIsReadBesidePipelinedRequests) {
  late_reader client(loop_, server_->Port());
  ASSERT_TRUE(client.Send(Request() + Requests(4000)));
  Pause(300);
  const std::string text = client.ReadAll();
  EXPECT_GT(text.size(), kBodyBytes);
  EXPECT_FALSE(client.WasReset());
  EXPECT_EQ(answered_, 1);
  ExpectAlive();
}

TEST_F(early_close_test, AClosingResponseIsReadByAClientThatGoesOnSending) {
  late_reader client(loop_, server_->Port());
  ASSERT_TRUE(client.Send(Request()));
  Pause(200);
  EXPECT_TRUE(client.Send(Requests(4000)));
  const std::string text = client.ReadAll();
  EXPECT_GT(text.size(), kBodyBytes);
  EXPECT_FALSE(client.WasReset());
}

// Clients may report a failed write without reading the response.
TEST_F(early_close_test, ARefusalIsReadAfterTheWholeRequestWasSent) {
  const std::string large(16 * 1024 * 1024, 'x');
  for (const std::string& request :
       {"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
            std::to_string(large.size()) + "\r\n\r\n" + large,
        "PUT / HTTP/1.1\r\nHost: h\r\nX-Large: " + large + "\r\n\r\n",
        "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n" + large}) {
    const std::string start = request.substr(0, 60);
    late_reader client(loop_, server_->Port());
    EXPECT_TRUE(client.Send(request)) << start;
    EXPECT_EQ(client.ReadAll().rfind("HTTP/1.1 4", 0), 0U) << start;
    EXPECT_FALSE(client.WasReset()) << start;
  }
  EXPECT_EQ(answered_, 0);
}

// As above, for a response that is complete when the server ends.
TEST_F(early_close_test, AResponseIsReadAfterTheEndOfTheServer) {
  late_reader client(loop_, server_->Port());
  ASSERT_TRUE(client.Send(Requests(4000)));
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return answered_ == 1 && server_->UnfinishedCount() == 0; },
      kLimit));
  server_.reset();
  const std::string text = client.ReadAll();
  EXPECT_GT(text.size(), kBodyBytes);
  EXPECT_FALSE(client.WasReset());
}

// A client that neither reads nor closes must not hold its connection.
TEST_F(early_close_test, AClientThatStaysIsClosedAfterABoundedTime) {
  late_reader client(loop_, server_->Port());
  ASSERT_TRUE(client.Send(Request()));
  bool has_ended = false;
  const timer_id writer = loop_.SchedulePeriodic(milliseconds(100), [&] {
    has_ended =
        client.Socket().Write("x", 1).outcome == transfer_result::kind::ended;
  });
  EXPECT_TRUE(loop_.RunUntil([&] { return has_ended; }, milliseconds(10'000)));
  loop_.Cancel(writer);
  ExpectAlive();
}

TEST_F(http_server_test, RefusesOversizedHeaders) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  test_peer peer(loop_, server_->Port());
  peer.Send("GET / HTTP/1.1\r\nHost: test\r\nX-Large: " +
            std::string(64 * 1024, 'x') + "\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
  EXPECT_EQ(peer.Received().find("HTTP/1.1 2"), std::string::npos);
  ExpectAlive();
}

TEST_F(http_server_test, AcceptsHeadersWithinTheLimit) {
  std::string seen;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    seen = exchange->Request().headers.at("x-large");
    Echo(exchange);
  });
  const std::string large(20 * 1024, 'x');
  EXPECT_EQ(Call({.url = Url("/"), .headers = {{"x-large", large}}}).status,
            200);
  EXPECT_EQ(seen, large);
}

// A handler that waits for its client hears of it once, when the client has
// read enough.
TEST_F(http_server_test, TellsWhenASlowReaderHasRead) {
  constexpr std::size_t kBytes = 32 * 1024 * 1024;
  std::shared_ptr<http_exchange> kept;
  int drained = 0;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    kept = exchange;
    exchange->BeginStream(200, {});
    exchange->Write(std::string(kBytes, 'p'));
    exchange->OnDrained(kBytes / 2, [&] { ++drained; });
  });
  tcp_socket slow =
      tcp_socket::Connect(socket_address("127.0.0.1", server_->Port()));
  loop_.RunUntil([&] { return slow.ConnectError() == 0; }, kLimit);
  const std::string request = "GET / HTTP/1.0\r\nHost: test\r\n\r\n";
  slow.Write(request.data(), request.size());
  ASSERT_TRUE(loop_.RunUntil([&] { return kept != nullptr; }, kLimit));
  EXPECT_FALSE(loop_.RunUntil([&] { return drained > 0; }, milliseconds(50)));
  std::string buffer(65536, '\0');
  const timer_id reader = loop_.SchedulePeriodic(
      milliseconds(1), [&] { slow.Read(buffer.data(), buffer.size()); });
  EXPECT_TRUE(loop_.RunUntil([&] { return drained > 0; }, kLimit));
  EXPECT_LE(kept->PendingBytes(), kBytes / 2);
  EXPECT_TRUE(
      loop_.RunUntil([&] { return kept->PendingBytes() == 0; }, kLimit));
  loop_.Cancel(reader);
  EXPECT_EQ(drained, 1);
  kept->OnDrained(0, [&] { ++drained; });
  EXPECT_EQ(drained, 1);
  EXPECT_TRUE(loop_.RunUntil([&] { return drained == 2; }, kLimit));
}

// Clients that do not read large responses must not fill the memory; those that
// do read get theirs.
TEST_F(http_server_test, BoundsTheResponsesThatClientsDoNotRead) {
  constexpr std::size_t kBytes = 16 * 1024 * 1024;
  http_server_options options;
  options.maximum_unread_bytes = 4 * kBytes;
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond({200, {}, std::string(kBytes, 'p')});
  });
  const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  std::vector<tcp_socket> silent;
  for (int i = 0; i < 12; ++i) {
    silent.push_back(
        tcp_socket::Connect(socket_address("127.0.0.1", server_->Port())));
    loop_.RunUntil([&] { return silent.back().ConnectError() == 0; }, kLimit);
    silent.back().Write(request.data(), request.size());
    loop_.RunUntil([] { return false; }, milliseconds(20));
    EXPECT_LE(server_->UnfinishedCount(), 4U);
  }
  test_peer reader(loop_, server_->Port());
  reader.Send(request);
  EXPECT_TRUE(loop_.RunUntil([&] { return reader.Received().size() > kBytes; },
                             kLimit));
}

// Output for a slow reader must stay pending and be delivered completely.
TEST_F(http_server_test, StreamsToASlowReader) {
  constexpr std::size_t kPieces = 400;
  const std::string piece(20000, 'p');
  std::shared_ptr<http_exchange> kept;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    kept = exchange;
    exchange->BeginStream(200, {});
    for (std::size_t i = 0; i < kPieces; ++i) exchange->Write(piece);
    exchange->EndStream();
  });
  tcp_socket slow =
      tcp_socket::Connect(socket_address("127.0.0.1", server_->Port()));
  loop_.RunUntil([&] { return slow.ConnectError() == 0; }, kLimit);
  const std::string request = "GET / HTTP/1.0\r\nHost: test\r\n\r\n";
  slow.Write(request.data(), request.size());
  ASSERT_TRUE(loop_.RunUntil([&] { return kept != nullptr; }, kLimit));
  EXPECT_FALSE(loop_.RunUntil([&] { return kept->PendingBytes() == 0; },
                              milliseconds(50)));
  std::size_t received = 0;
  bool ended = false;
  std::string buffer(65536, '\0');
  const timer_id reader = loop_.SchedulePeriodic(milliseconds(1), [&] {
    const transfer_result result = slow.Read(buffer.data(), buffer.size());
    received += result.bytes;
    ended = ended || result.outcome == transfer_result::kind::ended;
  });
  EXPECT_TRUE(loop_.RunUntil([&] { return ended; }, kLimit));
  loop_.Cancel(reader);
  EXPECT_GT(received, kPieces * piece.size());
  EXPECT_LT(received, kPieces * piece.size() + 1000);
}

struct endless_request {
  const char* name;
  /** Sent once, and then `piece` without end. */
  std::string start;
  std::string piece;
};

void PrintTo(const endless_request& request, std::ostream* out) {
  *out << request.name;
}

class endless_request_test
    : public http_server_test,
      public ::testing::WithParamInterface<endless_request> {};

// Guards against a client whose request does not end: it must be closed, or at
// least be read so slowly that others are answered in time.
TEST_P(endless_request_test, OtherClientsAreAnsweredBesideIt) {
  http_server_options options;
  options.maximum_body_bytes = 64 * 1024;
  StartServer(options, [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond({200, {}, "ok"});
  });
  std::vector<std::unique_ptr<test_peer>> endless;
  std::string many;
  while (many.size() < 64 * 1024) many += GetParam().piece;
  for (int i = 0; i < 20; ++i) {
    endless.push_back(std::make_unique<test_peer>(loop_, server_->Port()));
    endless.back()->Send(GetParam().start);
  }
  std::vector<std::size_t> position(endless.size());
  const timer_id pour = loop_.SchedulePeriodic(milliseconds(1), [&] {
    for (std::size_t i = 0; i < endless.size(); ++i) {
      if (endless[i]->IsClosedByPeer()) continue;
      position[i] += endless[i]->Write(many.data() + position[i],
                                       many.size() - position[i]);
      position[i] %= many.size();
    }
  });
  for (int i = 0; i < 50; ++i) {
    const auto began = loop_.Now();
    const http_result result = Call({.url = Url("/")});
    EXPECT_EQ(result.status, 200);
    EXPECT_LT(loop_.Now() - began, milliseconds(1000));
  }
  loop_.Cancel(pour);
  std::size_t received = 0;
  for (const auto& peer : endless) received += peer->Received().size();
  EXPECT_LT(received, 64U * 1024 * 1024);
}

const std::string kChunkedRequest =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    clients, endless_request_test,
    ::testing::Values(
        endless_request{"target", "GET /", "x"},
        endless_request{"header", "GET / HTTP/1.1\r\nHost: h\r\nX: ", "x"},
        endless_request{"headers", "GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
        endless_request{"empty_lines", "", "\r\n"},
        endless_request{"extension", kChunkedRequest + "5;a=", "x"},
        endless_request{"extensions", kChunkedRequest,
                        "1;" + std::string(7'000, 'e') + "\r\nx\r\n"},
        endless_request{"chunks", kChunkedRequest, "1\r\nx\r\n"},
        endless_request{"trailers", kChunkedRequest + "0\r\n", "A: b\r\n"},
        endless_request{"body",
                        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                        "999999999999\r\n\r\n",
                        "x"},
        endless_request{"pipelined", "", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}),
    [](const auto& test) { return std::string(test.param.name); });

TEST_F(http_server_test, SurvivesGarbage) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  test_peer peer(loop_, server_->Port());
  std::string garbage;
  for (int i = 0; i < 4096; ++i) garbage += static_cast<char>(i * 37);
  peer.Send(garbage + "\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return peer.IsClosedByPeer(); }, kLimit));
  ExpectAlive();
}

// Guards against connections that are held open with an incomplete header.
TEST_F(http_server_test, ClosesAConnectionWithHalfAHeader) {
  http_server_options options;
  options.idle_timeout = core::seconds(1);
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  test_peer peer(loop_, server_->Port());
  peer.Send("GET / HTTP/1.1\r\nHost: te");
  test_peer silent(loop_, server_->Port());
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return peer.IsClosedByPeer() && silent.IsClosedByPeer(); },
      kLimit));
  ExpectAlive();
}

// Guards against an idle timeout that closes requests that wait for a response.
TEST_F(http_server_test, KeepsAWaitingRequestBeyondTheIdleTimeout) {
  http_server_options options;
  options.idle_timeout = core::seconds(1);
  StartServer(options, [&](const std::shared_ptr<http_exchange>& exchange) {
    loop_.Schedule(milliseconds(2200), [exchange] {
      exchange->Respond({200, {}, "patient"});
    });
  });
  EXPECT_EQ(Get("/").body, "patient");
}

// A raised idle timeout must keep connections open that were there before it;
// a lowered one closes them.
TEST_F(http_server_test, AChangedIdleTimeoutAppliesToOpenConnections) {
  http_server_options options;
  options.idle_timeout = core::seconds(1);
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  test_peer used(loop_, server_->Port());
  used.Send(request);
  const test_peer silent(loop_, server_->Port());
  server_->SetLimits({.idle_timeout = milliseconds(60'000)});
  loop_.RunUntil([] { return false; }, milliseconds(2500));
  EXPECT_FALSE(used.IsClosedByPeer());
  EXPECT_FALSE(silent.IsClosedByPeer());
  const std::size_t before = used.Received().size();
  used.Send(request);
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return used.Received().size() == 2 * before; }, kLimit));
  server_->SetLimits({.idle_timeout = milliseconds(2000)});
  const auto lowered_at = loop_.Now();
  EXPECT_TRUE(loop_.RunUntil([&] { return silent.IsClosedByPeer(); }, kLimit));
  EXPECT_LT(loop_.Now() - lowered_at, milliseconds(1000));
  EXPECT_FALSE(used.IsClosedByPeer());
  EXPECT_TRUE(loop_.RunUntil([&] { return used.IsClosedByPeer(); }, kLimit));
  EXPECT_GE(loop_.Now() - lowered_at, milliseconds(1900));
}

// The idle timeout is for connections between requests only.
TEST_F(http_server_test, AShortIdleTimeoutEndsNoRequest) {
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    loop_.Schedule(milliseconds(1500), [exchange] {
      exchange->Respond({200, {}, "patient"});
    });
  });
  server_->SetLimits({.idle_timeout = milliseconds(500)});
  test_peer peer(loop_, server_->Port());
  peer.Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nab");
  loop_.RunUntil([] { return false; }, milliseconds(1500));
  peer.Send("cd");
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return peer.Received().find("patient") != std::string::npos; },
      kLimit));
}

// A client that sends its headers in single bytes is never without progress.
TEST_F(http_server_test, ASlowHeadEndsAtTheHeaderTimeout) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  server_->SetLimits({.header_timeout = milliseconds(1000)});
  const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  test_peer fresh(loop_, server_->Port());
  test_peer used(loop_, server_->Port());
  used.Send(request);
  ASSERT_TRUE(loop_.RunUntil([&] { return !used.Received().empty(); }, kLimit));
  std::size_t sent = 0;
  const timer_id drip = loop_.SchedulePeriodic(milliseconds(100), [&] {
    const std::string byte(1, sent < request.size() ? request[sent] : 'x');
    if (++sent >= request.size() - 2) return;
    if (!fresh.IsClosedByPeer()) fresh.Send(byte);
    if (!used.IsClosedByPeer()) used.Send(byte);
  });
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return fresh.IsClosedByPeer() && used.IsClosedByPeer(); },
      milliseconds(2500)));
  loop_.Cancel(drip);
  ExpectAlive();
}

// Requests that have begun keep the limit that they began with.
TEST_F(http_server_test, AChangedBodyLimitAppliesToNewRequests) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  http_call call{.method = "POST", .url = Url("/")};
  call.body = std::string(2'000'000, 'x');
  EXPECT_EQ(Call(call).status, 413);
  server_->SetLimits({.maximum_body_bytes = 3'000'000});
  EXPECT_EQ(Call(call).status, 200);
  test_peer begun(loop_, server_->Port());
  begun.Send("PUT / HTTP/1.1\r\nHost: test\r\nContent-Length: 2000\r\n\r\n" +
             std::string(1000, 'x'));
  loop_.RunUntil([] { return false; }, milliseconds(100));
  server_->SetLimits({.maximum_body_bytes = 1000});
  begun.Send(std::string(1000, 'x'));
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return begun.Received().rfind("HTTP/1.1 200", 0) == 0; }, kLimit));
  EXPECT_EQ(Call(call).status, 413);
}

TEST_F(http_server_test, AChangedHeaderLimitAppliesToNewRequests) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  http_call call{.url = Url("/"), .target = '/' + std::string(3000, 'p')};
  call.headers["x-large"] = std::string(2000, 'x');
  EXPECT_EQ(Call(call).status, 200);
  server_->SetLimits({.maximum_header_bytes = 2000});
  EXPECT_EQ(Call(call).status, 431);
  // The request line doesn't count.
  call.headers["x-large"] = std::string(1700, 'x');
  EXPECT_EQ(Call(call).status, 200);
}

// Guards against a spinning watcher or a lost response when a client pipelines
// requests.
TEST_F(http_server_test, AnswersPipelinedRequestsInOrder) {
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    loop_.Schedule(milliseconds(20), [exchange] {
      exchange->Respond({200, {}, "answer " + exchange->Request().path});
    });
  });
  test_peer peer(loop_, server_->Port());
  peer.Send(
      "GET /1 HTTP/1.1\r\nHost: test\r\n\r\n"
      "GET /2 HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return peer.Received().find("answer /2") != std::string::npos; },
      kLimit));
  EXPECT_LT(peer.Received().find("answer /1"),
            peer.Received().find("answer /2"));
}

// Guards the drain: open requests end normally, new connections are refused.
TEST_F(http_server_test, StopAcceptingLetsOpenRequestsFinish) {
  std::shared_ptr<http_exchange> kept;
  StartServer(
      [&](const std::shared_ptr<http_exchange>& exchange) { kept = exchange; });
  test_peer peer(loop_, server_->Port());
  peer.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return kept != nullptr; }, kLimit));
  server_->StopAccepting();
  EXPECT_EQ(Get("/").failure, http_failure::not_sent);
  kept->Respond({200, {}, "finished"});
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return peer.Received().find("finished") != std::string::npos; },
      kLimit));
}

// Guards against use of a destroyed server by exchanges that outlive it.
TEST_F(http_server_test, StopsWithOpenRequests) {
  std::vector<std::shared_ptr<http_exchange>> kept;
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->Request().path == "/stream") exchange->BeginStream(200, {});
    kept.push_back(exchange);
  });
  test_peer waiting(loop_, server_->Port());
  waiting.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  test_peer streaming(loop_, server_->Port());
  streaming.Send("GET /stream HTTP/1.1\r\nHost: test\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return kept.size() == 2; }, kLimit));
  server_.reset();
  for (const auto& exchange : kept) {
    exchange->Write("late");
    exchange->EndStream();
    exchange->Respond({});
  }
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return waiting.IsClosedByPeer() && streaming.IsClosedByPeer(); },
      kLimit));
}

TEST_F(http_server_test, RefusesAnAddressInUse) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  http_server_options options;
  options.port = server_->Port();
  EXPECT_THROW(http_server(loop_, options, nullptr), net_error);
  options.address = "not an address";
  EXPECT_THROW(http_server(loop_, options, nullptr), net_error);
}

// Guards against a server that stops listening for good at its connection
// limit.
TEST_F(http_server_test, AcceptsAgainAfterItWasFull) {
  http_server_options options;
  options.maximum_connections = 2;
  StartServer(options,
              [](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  test_peer first(loop_, server_->Port());
  test_peer second(loop_, server_->Port());
  ASSERT_TRUE(
      loop_.RunUntil([&] { return server_->ConnectionCount() == 2; }, kLimit));
  test_peer third(loop_, server_->Port());
  third.Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  loop_.RunUntil([] { return false; }, milliseconds(20));
  EXPECT_EQ(third.Received(), "");
  first.Close();
  EXPECT_TRUE(loop_.RunUntil(
      [&] { return third.Received().find("200 OK") != std::string::npos; },
      kLimit));
}

// As AcceptsAgainAfterItWasFull, for a process out of file descriptors.
TEST_F(http_server_test, AcceptsAgainAfterDescriptorsRanOut) {
  StartServer([](const std::shared_ptr<http_exchange>& e) { Echo(e); });
  for (int round = 0; round < 2; ++round) {
    std::optional<test_peer> open;
    if (round == 1) open.emplace(loop_, server_->Port());
    const std::size_t connections = round == 1 ? 1 : 0;
    ASSERT_TRUE(loop_.RunUntil(
        [&] { return server_->ConnectionCount() == connections; }, kLimit));
    tcp_socket waiting =
        tcp_socket::Connect(socket_address("127.0.0.1", server_->Port()));
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    rlimit exhausted = before;
    exhausted.rlim_cur = static_cast<rlim_t>(waiting.Descriptor()) + 1;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
    loop_.RunUntil([] { return false; }, milliseconds(30));
    EXPECT_EQ(server_->ConnectionCount(), connections);
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    if (open) open->Close();
    EXPECT_TRUE(loop_.RunUntil([&] { return server_->ConnectionCount() == 1; },
                               kLimit));
    waiting.Close();
    ExpectAlive();
    client_.emplace(loop_);
    EXPECT_TRUE(loop_.RunUntil([&] { return server_->ConnectionCount() == 0; },
                               kLimit));
  }
}

// Each of many parallel calls must get its own response.
TEST_F(http_server_test, AnswersManyClientsAtOnce) {
  StartServer([&](const std::shared_ptr<http_exchange>& exchange) {
    loop_.Schedule(milliseconds(5), [exchange] { Echo(exchange); });
  });
  int correct = 0;
  int done = 0;
  for (int i = 0; i < 200; ++i) {
    http_callbacks callbacks;
    callbacks.on_done = [&, i](const http_result& result) {
      ++done;
      if (result.body == std::to_string(i)) ++correct;
    };
    client_->Start(
        {.method = "POST", .url = Url("/"), .body = std::to_string(i)},
        callbacks);
  }
  ASSERT_TRUE(loop_.RunUntil([&] { return done == 200; }, kLimit));
  EXPECT_EQ(correct, 200);
}

}  // namespace
}  // namespace comfreyspring::net

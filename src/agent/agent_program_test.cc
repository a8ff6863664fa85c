// Runs the whole agent on real sockets with a fake plain service and a fake
// entry.

#include "agent/agent_program.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "config/documents.h"
#include "core/hash.h"
#include "core/random_source.h"
#include "core/uuid.h"
#include "net/frame_link.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "stream/stream_assembler.h"
#include "wire/codec.h"

namespace comfreyspring::agent {
namespace {

using core::milliseconds;

constexpr milliseconds kTimeout{5000};
const core::endpoint_id kEndpoint("desk-1");

/** The entry side of a link. */
class fake_entry {
 public:
  fake_entry(net::event_loop& loop, std::uint16_t port,
             std::int64_t instance_ms)
      : instance_ms_(instance_ms) {
    net::frame_link_callbacks callbacks;
    callbacks.on_open = [this] { SendHello(); };
    callbacks.on_frame = [this](std::string_view frame) {
      received_.push_back(wire::Decode(frame));
    };
    callbacks.on_closed = [this](const std::string&) { closed_ = true; };
    link_ = net::ConnectFrameLink(loop, "127.0.0.1", port, {}, callbacks);
  }
  ~fake_entry() { link_->Close(); }

  void Send(const wire::message& message) {
    link_->Send(wire::Encode(message));
  }
  void SendRaw(std::string frame) { link_->Send(std::move(frame)); }
  void Close() { link_->Close(); }
  bool IsClosed() const { return closed_; }

  template <class Message>
  std::vector<Message> Received() const {
    std::vector<Message> found;
    for (const auto& message : received_) {
      if (const auto* typed = std::get_if<Message>(&message)) {
        found.push_back(*typed);
      }
    }
    return found;
  }

 private:
  void SendHello() {
    wire::hello hello;
    hello.process = core::process_id("entry-1");
    hello.role = "entry";
    hello.instance_ms = instance_ms_;
    Send(hello);
  }

  std::int64_t instance_ms_;
  std::shared_ptr<net::frame_link> link_;
  std::vector<wire::message> received_;
  bool closed_ = false;
};

class agent_program_test : public ::testing::Test {
 protected:
  agent_program_test()
      : service_(loop_, {},
                 [this](const std::shared_ptr<net::http_exchange>& exchange) {
                   ++runs_;
                   last_key_ =
                       exchange->Request().headers.at("idempotency-key");
                   held_.push_back(exchange);
                   if (!hold_) AnswerHeld();
                 }) {
    agent_settings settings;
    settings.endpoint = kEndpoint;
    settings.kind = core::endpoint_kind::plain_service;
    settings.service.url =
        net::url::Parse("http://127.0.0.1:" + std::to_string(service_.Port()));
    settings.drain_timeout = core::seconds(5);
    agent_ = std::make_unique<agent_program>(loop_, settings);
    entry_ = Connect(1);
  }

  void AnswerHeld() {
    for (const auto& exchange : std::exchange(held_, {})) {
      exchange->Respond({.status = 201,
                         .headers = {{"content-type", "text/plain"}},
                         .body = "done"});
    }
  }

  std::unique_ptr<fake_entry> Connect(std::int64_t instance_ms) {
    auto entry =
        std::make_unique<fake_entry>(loop_, agent_->LinkPort(), instance_ms);
    EXPECT_TRUE(
        WaitUntil([&] { return !entry->Received<wire::hello>().empty(); }));
    return entry;
  }

  bool WaitUntil(const std::function<bool()>& done) {
    return loop_.RunUntil(done, kTimeout);
  }

  config::configuration TestConfiguration() {
    config::configuration set;
    set.version.generation = 7;
    set.published_ms = 1;
    config::endpoint_record endpoint;
    endpoint.endpoint = kEndpoint;
    endpoint.vm = core::vm_id("vm-1");
    endpoint.kind = core::endpoint_kind::plain_service;
    endpoint.data_centre = core::data_centre_id("dc-1");
    endpoint.address = "127.0.0.1";
    endpoint.agent_port = 7300;
    endpoint.service = core::service_id("orders");
    set.endpoints.push_back(endpoint);
    config::service_record service;
    service.service = core::service_id("orders");
    service.repeatable = false;
    service.epochs = {{1, 1, {kEndpoint}}};
    set.services.push_back(service);
    return set;
  }

  /** Answers the configuration requests of the agent until it has adopted the
   * set. */
  void ServeConfiguration(const config::configuration& set) {
    const config::document_set documents = config::EncodeSet(set);
    wire::heartbeat update;
    const core::config_version version{set.version.generation,
                                       core::Hash64(documents.manifest_bytes)};
    update.version = version;
    entry_->Send(update);
    std::size_t answered = 0;
    EXPECT_TRUE(WaitUntil([&] {
      const auto wanted = entry_->Received<wire::config_request>();
      for (; answered < wanted.size(); ++answered) {
        wire::config_part part;
        part.manifest = !wanted[answered].hash.has_value();
        part.hash = wanted[answered].hash.value_or(0);
        part.bytes = part.manifest ? documents.manifest_bytes
                                   : documents.parts.at(part.hash);
        entry_->Send(part);
      }
      const auto replies = entry_->Received<wire::heartbeat_reply>();
      return !replies.empty() && replies.back().version == version;
    }));
  }

  wire::submit NonIdempotentCall(const std::string& attempt) {
    wire::submit message;
    message.attempt = core::attempt_id(attempt);
    message.kind = core::request_kind::service_call;
    message.idempotent = false;
    message.service = core::service_id("orders");
    // Newer than the start of the agent by more than the clock skew.
    message.key = core::idempotency_key(
        core::MakeUuidV7(loop_.WallNow() + milliseconds(1500), random_));
    message.remaining = milliseconds(10'000);
    message.expires_unix_ms = core::UnixMilliseconds(loop_.WallNow()) + 10'000;
    message.method = "POST";
    message.path = "/new";
    return message;
  }

  void WaitUntilKeysAreAccepted() {
    loop_.RunUntil([] { return false; }, milliseconds(700));
  }

  net::event_loop loop_;
  core::random_source random_{11};
  int runs_ = 0;
  bool hold_ = false;
  std::string last_key_;
  std::vector<std::shared_ptr<net::http_exchange>> held_;
  net::http_server service_;
  std::unique_ptr<agent_program> agent_;
  std::unique_ptr<fake_entry> entry_;
};

TEST_F(agent_program_test, AdoptsAConfigurationAndRunsACall) {
  ServeConfiguration(TestConfiguration());
  WaitUntilKeysAreAccepted();
  const auto call = NonIdempotentCall("r.1");
  entry_->Send(call);
  ASSERT_TRUE(
      WaitUntil([&] { return !entry_->Received<wire::finished>().empty(); }));
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(last_key_, call.key.Value());
  const auto finished = entry_->Received<wire::finished>().front();
  EXPECT_EQ(finished.status, 201);
  EXPECT_EQ(finished.content_type, "text/plain");
  stream::stream_assembler assembler;
  for (const auto& chunk : entry_->Received<wire::chunk>()) {
    assembler.OnChunk(chunk);
  }
  EXPECT_EQ(assembler.OnFinished(finished), stream::assembly_state::complete);
}

// The response of a running call must reach its entry over a new link after the
// first one was lost.
TEST_F(agent_program_test, AResponseContinuesOnANewLink) {
  ServeConfiguration(TestConfiguration());
  WaitUntilKeysAreAccepted();
  hold_ = true;
  entry_->Send(NonIdempotentCall("r.1"));
  ASSERT_TRUE(WaitUntil([&] { return !held_.empty(); }));
  entry_->Close();
  AnswerHeld();
  const auto second = Connect(1);
  second->Send(wire::resume{core::attempt_id("r.1"), 0});
  ASSERT_TRUE(
      WaitUntil([&] { return !second->Received<wire::finished>().empty(); }));
  EXPECT_EQ(second->Received<wire::chunk>().front().data, "done");
  EXPECT_EQ(runs_, 1);
}

TEST_F(agent_program_test, AnswersHeartbeats) {
  entry_->Send(wire::heartbeat{.nonce = 77});
  ASSERT_TRUE(WaitUntil(
      [&] { return !entry_->Received<wire::heartbeat_reply>().empty(); }));
  const auto reply = entry_->Received<wire::heartbeat_reply>().front();
  EXPECT_EQ(reply.nonce, 77U);
  EXPECT_TRUE(reply.report.endpoint_up);
}

// Guards the process against malformed frames and peers that are not entries.
TEST_F(agent_program_test, ClosesALinkWithAMalformedFrame) {
  entry_->SendRaw("\xff\xff no message");
  EXPECT_TRUE(WaitUntil([&] { return entry_->IsClosed(); }));
  const auto second = Connect(1);
  EXPECT_EQ(second->Received<wire::hello>().front().role, "agent");
}

TEST_F(agent_program_test, ClosesTheLinksOfAnOlderInstance) {
  const auto second = Connect(2);
  EXPECT_TRUE(WaitUntil([&] { return entry_->IsClosed(); }));
  EXPECT_FALSE(second->IsClosed());
}

// Guards against a drain that cuts off running work, or that loses a submit
// which arrives after the announcement.
TEST_F(agent_program_test, DrainsWithoutCuttingOffRunningWork) {
  ServeConfiguration(TestConfiguration());
  WaitUntilKeysAreAccepted();
  hold_ = true;
  entry_->Send(NonIdempotentCall("r.1"));
  ASSERT_TRUE(WaitUntil([&] { return !held_.empty(); }));
  agent_->Drain();
  ASSERT_TRUE(
      WaitUntil([&] { return !entry_->Received<wire::leaving>().empty(); }));
  entry_->Send(NonIdempotentCall("r.2"));
  ASSERT_TRUE(
      WaitUntil([&] { return !entry_->Received<wire::refused>().empty(); }));
  EXPECT_EQ(entry_->Received<wire::refused>().front().outcome,
            core::outcome::not_run);
  AnswerHeld();
  ASSERT_TRUE(
      WaitUntil([&] { return !entry_->Received<wire::finished>().empty(); }));
  EXPECT_EQ(runs_, 1);
}

TEST_F(agent_program_test, DrainsAtAPlannedStop) {
  auto set = TestConfiguration();
  const auto now = loop_.WallNow();
  set.stops.push_back({.endpoint = kEndpoint,
                       .starts_at = now - milliseconds(1000),
                       .ends_at = now + milliseconds(600'000)});
  ServeConfiguration(set);
  EXPECT_TRUE(
      WaitUntil([&] { return !entry_->Received<wire::leaving>().empty(); }));
}

TEST_F(agent_program_test, ServesHealthStateAndMetrics) {
  net::http_client client(loop_);
  const auto get = [&](const std::string& path) {
    std::optional<net::http_result> result;
    net::http_callbacks callbacks;
    callbacks.on_done = [&](const net::http_result& done) { result = done; };
    client.Start(
        {.url = net::url::Parse(
             "http://127.0.0.1:" + std::to_string(agent_->AdminPort()) + path)},
        callbacks);
    EXPECT_TRUE(WaitUntil([&] { return result.has_value(); }));
    return result.value_or(net::http_result());
  };
  EXPECT_EQ(get("/healthz").status, 200);
  EXPECT_EQ(get("/nothing").status, 404);
  EXPECT_NE(get("/metrics").body.find("agent_running"), std::string::npos);
  const auto state = nlohmann::json::parse(get("/debug/state").body);
  EXPECT_EQ(state["configuration"]["generation"], 0);
  EXPECT_EQ(state["links"]["entries"].size(), 1U);
  EXPECT_EQ(state["queue"]["running"], 0);
}

}  // namespace
}  // namespace comfreyspring::agent

#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/request_forwarder.h"
#include "gateway/sidecar_links.h"

namespace comfreyspring::gateway::test {

using core::milliseconds;

/** Protocol with short header names, independent of the platform. */
class plain_protocol final : public traffic_protocol {
 public:
  request_metadata ReadRequest(
      const net::http_request& request) const override {
    request_metadata metadata;
    const auto text = [&](const char* name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string() : found->second;
    };
    metadata.id = core::request_id(text("id"));
    metadata.host = text("host");
    if (!text("limit").empty()) {
      metadata.time_limit = milliseconds(std::stoi(text("limit")));
    }
    metadata.adapter = {core::model_id(text("model")),
                        core::adapter_id(text("adapter"))};
    return metadata;
  }
  net::http_call MakeCall(const net::http_request& request,
                          const forward_fields& fields) const override {
    net::http_call call;
    call.method = request.method;
    call.url = net::url(fields.address);
    call.target = request.target;
    call.headers["id"] = request.headers.at("id");
    call.headers["instance"] = fields.instance.Value();
    call.headers["left"] = std::to_string(fields.time_left.count());
    call.headers["after"] = fields.last_event;
    return call;
  }
  response_metadata ReadResponse(int status, const net::header_map& headers,
                                 const core::request_id& id) const override {
    response_metadata metadata;
    const auto echoed = headers.find("id");
    metadata.authentic =
        echoed != headers.end() && echoed->second == id.Value();
    metadata.for_other_request = echoed != headers.end() && !metadata.authentic;
    metadata.not_run =
        headers.count("not-run") > 0 && !metadata.for_other_request;
    metadata.status_means_not_run = status == 503;
    metadata.misdirected = status == 421;
    metadata.draining = headers.count("leaving") > 0;
    const auto limit = headers.find("limit-per-s");
    metadata.limit.present = limit != headers.end();
    if (metadata.limit.present && limit->second != "unreadable") {
      metadata.limit.rate = limits::request_rate(std::stod(limit->second));
    }
    const auto refusal = headers.find("refuses-ms");
    metadata.requests_backoff = refusal != headers.end();
    if (metadata.requests_backoff) {
      metadata.backoff = milliseconds(std::stoi(refusal->second));
    }
    return metadata;
  }
  net::header_map ResponseHeaders(
      const net::header_map& headers) const override {
    return headers;
  }
  net::http_response MakeReply(const local_reply& reply,
                               const core::request_id&) const override {
    net::http_response response{.status = reply.status, .body = reply.type};
    if (reply.retry_after) {
      response.headers["retry"] = std::to_string(reply.retry_after->count());
    }
    return response;
  }
};

class fake_exchange final : public net::http_exchange {
 public:
  const net::http_request& Request() const override { return request; }
  void Respond(net::http_response value) override {
    ++responses;
    response = std::move(value);
  }
  void BeginStream(int status, net::header_map headers) override {
    ++responses;
    response = {status, std::move(headers), ""};
    streaming = true;
  }
  void Write(std::string data) override {
    if (!reads) pending += data.size();
    written += data;
  }
  void EndStream() override { ended = true; }
  void EndIncomplete() override { aborted = true; }
  void Abort() override { aborted = true; }
  void OnClientGone(std::function<void()> callback) override {
    gone = std::move(callback);
  }
  std::size_t PendingBytes() const override { return pending; }
  void OnDrained(std::size_t bytes, std::function<void()> callback) override {
    drained_at = bytes;
    drained = std::move(callback);
  }

  net::http_request request;
  net::http_response response;
  std::string written;
  int responses = 0;
  bool streaming = false;
  bool ended = false;
  bool aborted = false;
  std::function<void()> gone;
  /** Whether the caller reads what is written. */
  bool reads = true;
  std::size_t pending = 0;
  std::size_t drained_at = 0;
  std::function<void()> drained;
};

class fake_http final : public net::http_client_interface {
 public:
  struct entry {
    net::http_call call;
    net::http_callbacks callbacks;
    bool cancelled = false;
    bool held = false;
  };
  net::http_call_id Start(net::http_call call,
                          net::http_callbacks callbacks) override {
    calls.push_back({std::move(call), std::move(callbacks)});
    return calls.size();
  }
  void Cancel(net::http_call_id id) override { calls[id - 1].cancelled = true; }
  void Hold(net::http_call_id id) override { calls[id - 1].held = true; }
  void Release(net::http_call_id id) override { calls[id - 1].held = false; }

  void Headers(int status, net::header_map headers) {
    const auto callback = calls.back().callbacks.on_headers;
    callback(status, headers);
  }
  void Data(const std::string& data) {
    const auto callback = calls.back().callbacks.on_data;
    callback(data);
  }
  void Done(net::http_failure failure = net::http_failure::none) {
    const auto callback = calls.back().callbacks.on_done;
    callback({.failure = failure, .error_message = "broken"});
  }
  void End(net::body_end end) {
    const auto callback = calls.back().callbacks.on_done;
    callback({.end = end});
  }
  void Respond(int status, const net::header_map& headers,
               const std::string& body = "") {
    Headers(status, headers);
    if (!body.empty()) Data(body);
    Done();
  }

  std::deque<entry> calls;
};

class fixed_source final : public catalog::catalog_source {
 public:
  void ReadAll(milliseconds, read_callback on_done) override {
    if (is_late) {
      pending = std::move(on_done);
    } else {
      on_done(first);
    }
  }
  void CompleteRead() { std::exchange(pending, nullptr)(first); }
  void ReadChanges(const catalog::change_query& /*query*/,
                   read_callback on_done) override {
    pending = std::move(on_done);
  }
  void ReadEndpointChanges(const catalog::change_query& /*query*/,
                           read_callback /*on_done*/) override {}
  catalog::published_change Decode(
      const catalog::change_document& document) const override {
    return {document.revision, catalog::unreadable_entry{}, document.text};
  }
  catalog::catalog_read first;
  bool is_late = false;
  read_callback pending;
};

class request_forwarder_test : public ::testing::Test,
                               public catalog::follower_listener,
                               public sidecar_listener {
 protected:
  void SetUp() override {
    settings_.retry_extra = 200;
    source_.first.outcome = catalog::read_outcome::done;
    Route("/once/", "plain", {.retries = kOnce});
    Route("/again/", "plain",
          {.retries = catalog::retry_rule::idempotent, .maximum_endpoints = 2});
    Route("/stream/", "plain", {.streams = true});
    Route("/resume/", "plain",
          {.streams = true, .resumable = true, .maximum_endpoints = 2});
    configuration_.version = 3;
    configuration_.services.push_back({.id = core::service_id("plain")});
    source_.first.changes.reserve(8);
    // Assigned in place: moving the variant is a false positive of g++ 12
    // (-Wmaybe-uninitialized).
    source_.first.changes.emplace_back().content = configuration_;
    for (const char* name : {"p1", "p2", "p3"}) {
      source_.first.changes.emplace_back().content = catalog::endpoint_record{
          .instance = catalog::instance_id(name),
          .service = core::service_id("plain"),
          .address = {std::string("10.0.0.") + name[1], 80},
          .slots = 6};
    }
    forwarder_.SetLinks(links_);
    follower_.Start();
  }

  void Route(const std::string& prefix, const std::string& service,
             catalog::route route) {
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.first_output_target = milliseconds(150);
    if (route.timeout.count() == 0) route.timeout = milliseconds(5000);
    route.destinations = {{core::service_id(service), 1.0}};
    configuration_.routes.push_back(std::move(route));
  }

  std::shared_ptr<fake_exchange> Send(const std::string& target,
                                      const std::string& limit = "5000",
                                      const std::string& id = "r1") {
    auto exchange = std::make_shared<fake_exchange>();
    exchange->request.method = "POST";
    exchange->request.target = target;
    exchange->request.headers = {{"id", id}, {"host", "h"}, {"limit", limit}};
    forwarder_.OnRequest(exchange);
    return exchange;
  }
  /** Stops the gateway; the times count from now. */
  void BeginDrain(milliseconds last_start, milliseconds answers_due) {
    forwarder_.BeginDrain(loop_.Now() + last_start, loop_.Now() + answers_due);
  }
  void Wait(milliseconds length) {
    loop_.RunUntil([] { return false; }, length);
  }
  net::header_map Own() const { return {{"id", "r1"}}; }
  std::string InstanceOf(std::size_t call) const {
    return http_.calls[call].call.headers.at("instance");
  }

  // follower_listener, sidecar_listener.
  void OnConfiguration(
      const std::shared_ptr<const catalog::route_table>& table) override {
    forwarder_.OnConfiguration(table);
  }
  void OnEndpoint(const catalog::endpoint_change& change) override {
    forwarder_.OnEndpoint(change);
  }
  void OnLocalRead(const catalog::change_batch&) override {}
  void OnSidecarLost(const std::string&) override {}
  void OnSidecarMessage(const std::string&, const grants::message&) override {}

  static constexpr auto kOnce = catalog::retry_rule::non_idempotent;

  net::event_loop loop_;
  std::string log_text_;
  telemetry::event_log log_{"test",
                            {},
                            [] { return core::wall_time(); },
                            [this](std::string_view text) {
                              log_text_ += text;
                              return static_cast<std::int64_t>(text.size());
                            }};
  telemetry::metrics metrics_;
  settings::node_settings settings_;
  plain_protocol protocol_;
  /** Has the follower read the catalog anew, as after a long suspension. */
  void ReadAgain() { follower_.OnPaused(milliseconds(60'000)); }

  fake_http http_;
  fixed_source source_;
  catalog::configuration configuration_;
  catalog::catalog_follower follower_{loop_, source_, {}, *this, log_};
  request_forwarder forwarder_{loop_,     settings_, protocol_, http_,
                               follower_, log_,      metrics_};
  sidecar_links links_{loop_, {}, *this, log_};
};

}  // namespace comfreyspring::gateway::test

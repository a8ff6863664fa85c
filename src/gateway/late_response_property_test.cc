#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "gateway/forwarder_fixture_test.h"

namespace comfreyspring::gateway::test {
namespace {

/** Statuses that promise that the request has not run and never will. */
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/** What an endpoint does with a request that it has received. */
enum class fate {
  refuses,
  /** Answers 503 without stating that the request has not run. */
  unavailable,
  fails,
  runs,
  runs_and_cuts,
  cuts,
};

/** Refusals are frequent, as at an endpoint near its capacity. */
constexpr std::array kFates = {
    fate::refuses, fate::refuses,    fate::refuses,       fate::refuses,
    fate::runs,    fate::runs,       fate::runs_and_cuts, fate::cuts,
    fate::fails,   fate::unavailable};

constexpr int kResetConnectionsPercent = 40;
constexpr int kClosedAfterResponsePercent = 10;
constexpr int kCopiedResponsePercent = 50;
constexpr std::uint64_t kMaximumRequests = 24;

struct response {
  int status = 200;
  net::header_map headers;
  std::string body;
};

/** A connection that is kept open between calls. */
struct connection {
  /** Responses that arrive ahead of the one to the next request. */
  std::vector<response> late;
};

struct open_call {
  std::size_t index = 0;
  std::string address;
  connection used;
  /** Nothing if the endpoint breaks the connection. */
  std::optional<response> answer;
};

struct caller {
  std::string id;
  std::string target;
  std::shared_ptr<fake_exchange> exchange;
};

/**
 * Endpoints that refuse, run, cut, reset and answer in any order, and that may
 * write a response once more in front of the next one on the same connection.
 * They record which requests have run.
 */
class late_response_test : public request_forwarder_test {
 protected:
  void SetUp() override {
    Serve("alone", {"a1"});
    Serve("pair", {"b1", "b2"});
    Serve("plain", {});
    request_forwarder_test::SetUp();
    for (const catalog::endpoint_record& record : added_) {
      source_.first.changes.emplace_back().content = record;
    }
    // The follower reads the endpoints again.
    ReadAgain();
  }

  /** Adds a service and routes to it with every limit on endpoints. */
  void Serve(const std::string& service,
             const std::vector<std::string>& endpoints) {
    for (const int maximum_endpoints : {1, 2, 3}) {
      const std::string prefix =
          "/" + service + std::to_string(maximum_endpoints) + "/";
      Route(prefix, service,
            {.retries = kOnce, .maximum_endpoints = maximum_endpoints});
      once_.push_back(prefix + "a");
    }
    if (endpoints.empty()) return;
    configuration_.services.push_back({.id = core::service_id(service)});
    for (const std::string& name : endpoints) {
      added_.push_back(
          {.instance = catalog::instance_id(name),
           .service = core::service_id(service),
           .address = {"10.0.1." + std::to_string(added_.size()), 80},
           .slots = 6});
    }
  }

  bool Draw(int percent) {
    return random_.NextBelow(100) < static_cast<std::uint64_t>(percent);
  }

  void SendNext() {
    const std::string id = "q" + std::to_string(callers_.size());
    const std::string target =
        Draw(20) ? "/again/a" : once_.at(random_.NextBelow(once_.size()));
    callers_.push_back({id, target, Send(target, "60000", id)});
  }

  /** The endpoints receive the calls that the forwarder has made since. */
  void ReceiveCalls() {
    while (received_ < http_.calls.size()) Receive(received_++);
  }

  void Receive(std::size_t index) {
    const net::http_call& call = http_.calls[index].call;
    const std::string id = call.headers.at("id");
    open_call open{.index = index, .address = call.url.Text()};
    auto& kept = kept_[open.address];
    if (!call.fresh_connection && !kept.empty()) {
      open.used = std::move(kept.back());
      kept.pop_back();
    } else if (Draw(kResetConnectionsPercent)) {
      const auto on_done = http_.calls[index].callbacks.on_done;
      on_done({.failure = net::http_failure::not_sent});
      return;
    }
    const fate drawn = kFates.at(random_.NextBelow(kFates.size()));
    if (drawn != fate::refuses && drawn != fate::cuts) ++runs_[id];
    switch (drawn) {
      case fate::refuses:
        open.answer = response{503, {{"id", id}, {"not-run", "1"}}, ""};
        break;
      case fate::unavailable:
        open.answer = response{503, {{"id", id}}, ""};
        break;
      case fate::fails:
        open.answer = response{500, {{"id", id}}, ""};
        break;
      case fate::runs:
        open.answer = response{200, {{"id", id}}, id};
        break;
      case fate::runs_and_cuts:
      case fate::cuts:
        break;
    }
    open_.push_back(std::move(open));
  }

  /** One of the open calls gets the first response on its connection. */
  void AnswerOne() {
    const auto chosen = open_.begin() + static_cast<std::ptrdiff_t>(
                                            random_.NextBelow(open_.size()));
    open_call call = std::move(*chosen);
    open_.erase(chosen);
    auto& late = call.used.late;
    if (call.answer) late.push_back(*call.answer);
    const auto callbacks = http_.calls[call.index].callbacks;
    if (late.empty()) {
      callbacks.on_done({.failure = net::http_failure::broken});
      return;
    }
    const response first = late.front();
    late.erase(late.begin());
    callbacks.on_headers(first.status, first.headers);
    if (http_.calls[call.index].cancelled) return;
    if (!first.body.empty()) callbacks.on_data(first.body);
    if (call.answer && !Draw(kClosedAfterResponsePercent)) {
      if (late.empty() && Draw(kCopiedResponsePercent)) late.push_back(first);
      kept_[call.address].push_back(std::move(call.used));
    }
    callbacks.on_done({});
  }

  core::random_source random_{0};
  /** Targets of requests that must not run twice. */
  std::vector<std::string> once_;
  std::vector<catalog::endpoint_record> added_;
  std::vector<caller> callers_;
  std::vector<open_call> open_;
  /** Idle connections by address. */
  std::map<std::string, std::vector<connection>> kept_;
  std::map<std::string, int> runs_;
  std::size_t received_ = 0;
};

// A late copy of a response that is taken for the response to a later attempt
// of the same request tells a caller that an order has not run although it has.
RC_GTEST_FIXTURE_PROP(late_response_test, NothingThatRanIsRefused,
                      (std::uint64_t seed)) {
  random_ = core::random_source(seed);
  const std::size_t requests = 1 + random_.NextBelow(kMaximumRequests);
  while (callers_.size() < requests || !open_.empty()) {
    if (callers_.size() < requests && (open_.empty() || Draw(50))) {
      SendNext();
    } else {
      AnswerOne();
    }
    ReceiveCalls();
  }
  for (const caller& each : callers_) {
    RC_ASSERT(each.exchange->responses == 1);
    const int status = each.exchange->response.status;
    if (status == 200) RC_ASSERT(each.exchange->response.body == each.id);
    if (each.target == "/again/a") continue;
    RC_ASSERT(runs_[each.id] <= 1);
    if (PromisesNotRun(status)) RC_ASSERT(runs_[each.id] == 0);
  }
}

}  // namespace
}  // namespace comfreyspring::gateway::test

#pragma once

#include <gmock/gmock.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "agent/endpoint_runner.h"
#include "agent/entry_instance.h"
#include "net/http_client.h"

namespace comfreyspring::agent {

/** HTTP client that stores every call, so that a test can play the server. */
class mock_http_client : public net::http_client_interface {
 public:
  mock_http_client() {
    ON_CALL(*this, Start)
        .WillByDefault(
            [this](net::http_call call, net::http_callbacks callbacks) {
              calls_[++last_] = {std::move(call), std::move(callbacks)};
              return last_;
            });
    ON_CALL(*this, Cancel).WillByDefault([this](net::http_call_id call) {
      calls_.erase(call);
    });
  }

  MOCK_METHOD(net::http_call_id, Start,
              (net::http_call call, net::http_callbacks callbacks), (override));
  MOCK_METHOD(void, Cancel, (net::http_call_id call), (override));
  MOCK_METHOD(void, Hold, (net::http_call_id call), (override));
  MOCK_METHOD(void, Release, (net::http_call_id call), (override));

  /** Open calls whose URL contains the text, oldest first. */
  std::vector<net::http_call_id> Open(const std::string& text) const {
    std::vector<net::http_call_id> found;
    for (const auto& [id, entry] : calls_) {
      if (entry.first.url.Text().find(text) != std::string::npos)
        found.push_back(id);
    }
    return found;
  }
  const net::http_call& CallOf(net::http_call_id id) const {
    return calls_.at(id).first;
  }
  nlohmann::json BodyOf(net::http_call_id id) const {
    return nlohmann::json::parse(CallOf(id).body);
  }

  /** Answers a call with a complete response. */
  void Answer(net::http_call_id id, int status, const std::string& body) {
    const auto callbacks = calls_.at(id).second;
    if (callbacks.on_headers) callbacks.on_headers(status, {});
    const bool streams = callbacks.on_data != nullptr;
    if (streams && !body.empty()) callbacks.on_data(body);
    Done(id, {.status = status, .body = streams ? "" : body});
  }
  /** Sends one event of a streamed response. */
  void Event(net::http_call_id id, const nlohmann::json& event) {
    EventText(id, event.dump());
  }
  /** The same, for data that need not be JSON. */
  void EventText(net::http_call_id id, const std::string& data) {
    const auto callbacks = calls_.at(id).second;
    callbacks.on_headers(200, {});
    callbacks.on_data("data: " + data + "\n\n");
  }
  void Fail(net::http_call_id id, net::http_failure failure) {
    Done(id, {.failure = failure, .error_message = "test"});
  }

 private:
  void Done(net::http_call_id id, const net::http_result& result) {
    // A cancelled call gets no callback.
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    const auto callbacks = std::move(found->second.second);
    calls_.erase(found);
    callbacks.on_done(result);
  }

  std::map<net::http_call_id, std::pair<net::http_call, net::http_callbacks>>
      calls_;
  net::http_call_id last_ = 0;
};

class mock_endpoint_listener : public endpoint_listener {
 public:
  MOCK_METHOD(void, OnOutput, (const core::attempt_id&, const std::string&),
              (override));
  MOCK_METHOD(void, OnCompleted, (const core::attempt_id&, const run_result&),
              (override));
  MOCK_METHOD(void, OnFailed, (const core::attempt_id&, const run_failure&),
              (override));
  MOCK_METHOD(void, OnReleased, (const core::attempt_id&), (override));
  MOCK_METHOD(void, OnCancelled, (const core::attempt_id&), (override));
  MOCK_METHOD(void, OnAdapterMissing, (const core::attempt_id&, bool),
              (override));
  MOCK_METHOD(void, OnLoadDone,
              (const core::adapter_reference&, core::milliseconds), (override));
  MOCK_METHOD(void, OnLoadFailed, (const core::adapter_reference&), (override));
  MOCK_METHOD(void, OnEndpointState,
              (const admission::engine_limits&,
               const std::vector<core::adapter_reference>&),
              (override));
  MOCK_METHOD(void, OnEndpointRestart, (), (override));
  MOCK_METHOD(void, OnEndpointAvailability, (), (override));
};

class mock_endpoint_runner : public endpoint_runner {
 public:
  MOCK_METHOD(void, SetListener, (endpoint_listener&), (override));
  MOCK_METHOD(void, Begin, (), (override));
  MOCK_METHOD(void, Run, (run_request), (override));
  MOCK_METHOD(void, Cancel, (const core::attempt_id&), (override));
  MOCK_METHOD(void, Load,
              (const core::adapter_reference&,
               const std::optional<core::adapter_reference>&),
              (override));
  MOCK_METHOD(void, Revalidate, (), (override));
  MOCK_METHOD(bool, IsUp, (), (const, override));
  MOCK_METHOD(bool, IsReady, (), (const, override));
  MOCK_METHOD(nlohmann::json, ToJson, (), (const, override));
};

/** Records the messages that are sent to entries. */
class recording_sender : public entry_sender {
 public:
  bool Send(const entry_instance& entry,
            const wire::message& message) override {
    receivers_.push_back(entry);
    sent_.push_back(message);
    return true;
  }

  /** Receivers of the messages, in order of sending. */
  const std::vector<entry_instance>& Receivers() const { return receivers_; }
  /** All messages of one type, in order of sending. */
  template <class Message>
  std::vector<Message> Sent() const {
    std::vector<Message> found;
    for (const wire::message& message : sent_) {
      if (const auto* typed = std::get_if<Message>(&message)) {
        found.push_back(*typed);
      }
    }
    return found;
  }
  /** Number of final messages (finished, refused, withdrawn) of the attempt. */
  std::size_t FinalMessageCount(const core::attempt_id& attempt) const {
    return CountFinalMessages<wire::finished>(attempt) +
           CountFinalMessages<wire::refused>(attempt) +
           CountFinalMessages<wire::withdrawn>(attempt);
  }

 private:
  template <class Message>
  std::size_t CountFinalMessages(const core::attempt_id& attempt) const {
    std::size_t count = 0;
    for (const auto& message : Sent<Message>()) {
      if (message.attempt == attempt) ++count;
    }
    return count;
  }

  std::vector<entry_instance> receivers_;
  std::vector<wire::message> sent_;
};

}  // namespace comfreyspring::agent

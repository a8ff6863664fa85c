#pragma once

#include <functional>
#include <string>
#include <utility>

#include "net/http_server.h"

namespace comfreyspring::entry {

/** HTTP exchange for tests; records the response. */
class fake_exchange : public net::http_exchange {
 public:
  explicit fake_exchange(net::http_request request)
      : request_(std::move(request)) {}

  const net::http_request& Request() const override { return request_; }
  void Respond(net::http_response response) override {
    ++response_count;
    recorded_response = std::move(response);
  }
  void BeginStream(int status, net::header_map headers) override {
    recorded_response.status = status;
    recorded_response.headers = std::move(headers);
  }
  void Write(std::string data) override { recorded_response.body += data; }
  void EndStream() override { ++response_count; }
  void EndIncomplete() override {
    ++response_count;
    aborted = true;
  }
  void Abort() override { aborted = true; }
  void OnClientGone(std::function<void()> callback) override {
    client_gone = std::move(callback);
  }
  std::size_t PendingBytes() const override { return 0; }
  void OnDrained(std::size_t /*bytes*/,
                 std::function<void()> callback) override {
    callback();
  }

  net::http_response recorded_response;
  int response_count = 0;
  bool aborted = false;
  std::function<void()> client_gone;

 private:
  net::http_request request_;
};

}  // namespace comfreyspring::entry

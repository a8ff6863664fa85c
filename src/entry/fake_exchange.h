#pragma once

#include <functional>
#include <string>
#include <utility>

#include "net/http_server.h"

namespace comfreyspring::entry {

/** Exchange that records its answer; for tests of this module. */
class fake_exchange : public net::http_exchange {
 public:
  explicit fake_exchange(net::http_request request)
      : request_(std::move(request)) {}

  const net::http_request& Request() const override { return request_; }
  void Respond(net::http_response response) override {
    ++answers;
    answer = std::move(response);
  }
  void BeginStream(int status, net::header_map headers) override {
    answer.status = status;
    answer.headers = std::move(headers);
  }
  void Write(std::string data) override { answer.body += data; }
  void EndStream() override { ++answers; }
  void Abort() override { aborted = true; }
  void OnClientGone(std::function<void()> callback) override {
    client_gone = std::move(callback);
  }
  std::size_t PendingBytes() const override { return 0; }

  net::http_response answer;
  int answers = 0;
  bool aborted = false;
  std::function<void()> client_gone;

 private:
  net::http_request request_;
};

}  // namespace comfreyspring::entry

#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "net/http_client.h"

namespace comfreyspring::standins {

/** Test client that runs on the event loop of the server under test. */
class test_client {
 public:
  /** Call whose body is filled in as it arrives. */
  struct running_call {
    net::http_call_id id = 0;
    int status = 0;
    std::string body;
    std::optional<net::http_result> result;
  };

  test_client(net::event_loop& loop, std::uint16_t port)
      : loop_(loop),
        client_(loop),
        base_("http://127.0.0.1:" + std::to_string(port)) {}

  std::shared_ptr<running_call> Start(const std::string& method,
                                      const std::string& path,
                                      const std::string& body = "",
                                      net::header_map headers = {}) {
    auto call = std::make_shared<running_call>();
    net::http_callbacks callbacks;
    callbacks.on_headers = [call](int status, const net::header_map&) {
      call->status = status;
    };
    callbacks.on_data = [call](std::string_view data) { call->body += data; };
    callbacks.on_done = [call](const net::http_result& result) {
      call->result = result;
    };
    call->id = client_.Start({.method = method,
                              .url = net::url::Parse(base_ + path),
                              .headers = std::move(headers),
                              .body = body},
                             callbacks);
    return call;
  }
  void Wait(const std::shared_ptr<running_call>& call) {
    loop_.RunUntil([&] { return call->result.has_value(); },
                   core::milliseconds(5000));
  }
  std::shared_ptr<running_call> Call(const std::string& method,
                                     const std::string& path,
                                     const std::string& body = "",
                                     net::header_map headers = {}) {
    auto call = Start(method, path, body, std::move(headers));
    Wait(call);
    return call;
  }
  nlohmann::json Get(const std::string& path) {
    return nlohmann::json::parse(Call("GET", path)->body);
  }
  void Cancel(const std::shared_ptr<running_call>& call) {
    client_.Cancel(call->id);
  }

 private:
  net::event_loop& loop_;
  net::http_client client_;
  std::string base_;
};

}  // namespace comfreyspring::standins

#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace comfreyspring::process_test {

struct http_answer {
  /** 0 if there was no answer. */
  long status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /** False if the connection broke before the end of the answer. */
  bool complete = false;

  nlohmann::json Json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
};

/** Blocking HTTP call with libcurl; `limit_ms` bounds the whole call. */
http_answer Call(const std::string& method, const std::string& url,
                 const std::string& body = "",
                 const std::map<std::string, std::string>& headers = {},
                 long limit_ms = 20000);

/** Text of all events of an OpenAI completion stream; `done` if it is whole. */
struct stream_text {
  std::string text;
  bool done = false;
  bool error = false;
};
stream_text ParseStream(const std::string& body);

}  // namespace comfreyspring::process_test
